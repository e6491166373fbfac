"""When the policy asks for its timer."""

from __future__ import annotations

import math
from dataclasses import dataclass

from gateway.policy.context import EPSILON, TICK_SECONDS

SLOW_TICK_FACTOR = 2  # ticks between two timers while all requests have attempts in flight
SLOW_TICK_SECONDS = SLOW_TICK_FACTOR * TICK_SECONDS
MIN_DELAY_SECONDS = EPSILON  # a driver may round a timer down a little


@dataclass(slots=True)
class TickTimer:
    """The timer that is set; it cannot be unset, so an earlier one may follow.

    Attributes:
        due: Unix time of the last timer, in seconds.
    """

    due: float = -math.inf

    def schedule(self, now: float, *, waiting: bool) -> float | None:
        """Return when to set a timer for, in seconds of Unix time; None where one in time is set.

        Args:
            now: Unix time in seconds.
            waiting: Whether a request waits, so that the next tick may let it go on.
        """
        due = now + (TICK_SECONDS if waiting else SLOW_TICK_SECONDS)
        if now + MIN_DELAY_SECONDS < self.due <= due:
            return None
        self.due = due
        return due
