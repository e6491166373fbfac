"""The refill time that a lease is in, cached so that it is not computed for each request."""

from __future__ import annotations

import math
from dataclasses import dataclass

# The boundary of a window or refill time is rounded: within this margin before it, nothing is cached.
BOUNDARY_MARGIN_SECONDS = 1e-3


@dataclass(slots=True)
class LeaseClock:
    """The refill time of a lease, and how long it and the window are known not to change.

    Attributes:
        refill_index: Index of the refill time; -1 before the first one.
        checked_at: Unix time at which the refill time and the window were last computed, in seconds.
        unchanged_until: Unix time until which both stay the same, in seconds.
    """

    refill_index: int = -1
    checked_at: float = math.inf
    unchanged_until: float = -math.inf

    def advance(self, now: float, refill_index: int, next_boundary: float) -> None:
        """Set the refill time, and the Unix time at which it or the window ends, whichever comes first."""
        self.refill_index = refill_index
        self.checked_at = now
        self.unchanged_until = next_boundary - BOUNDARY_MARGIN_SECONDS
