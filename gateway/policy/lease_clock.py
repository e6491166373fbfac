"""Which window and refill time a lease is in, without computing it for each request."""

from __future__ import annotations

import math
from dataclasses import dataclass

BOUNDARY_MARGIN_SECONDS = 1e-3  # before an edge, in which the indices are computed each time: it is rounded


@dataclass(slots=True)
class LeaseClock:
    """The refill time of a lease, and the time for which neither that nor the window changes.

    Attributes:
        refill_index: Number of the refill time; -1 before the first one.
        checked_at: Unix time when the indices were computed last, in seconds.
        unchanged_until: Unix time until which they surely stay, in seconds.
    """

    refill_index: int = -1
    checked_at: float = math.inf
    unchanged_until: float = -math.inf

    def advance(self, now: float, refill_index: int, next_boundary: float) -> None:
        """Set the refill time, and the Unix time at which it or the window ends."""
        self.refill_index = refill_index
        self.checked_at = now
        self.unchanged_until = next_boundary - BOUNDARY_MARGIN_SECONDS
