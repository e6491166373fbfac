"""Schedules the timer of the policy."""

from __future__ import annotations

import math
from dataclasses import dataclass

from gateway.policy.context import EPSILON, TICK_SECONDS

SLOW_TICK_FACTOR = 2  # ticks per slow tick
SLOW_TICK_SECONDS = SLOW_TICK_FACTOR * TICK_SECONDS  # period of the timer while no request waits
TIMER_TOLERANCE_SECONDS = EPSILON  # a timer may fire this early, as a driver may round its time down


@dataclass(slots=True)
class TickTimer:
    """Schedules one timer; as a timer cannot be unset, an earlier one may be set in addition.

    Attributes:
        due: Unix time for which a timer was last set, in seconds.
    """

    due: float = -math.inf

    def schedule(self, now: float, *, waiting: bool) -> float | None:
        """Return the Unix time in seconds to set a timer for, or None if an early enough one is set.

        Args:
            now: Unix time in seconds.
            waiting: Whether a request waits, so that the timer is due after one tick, not a slow tick.
        """
        due = now + (TICK_SECONDS if waiting else SLOW_TICK_SECONDS)
        if now + TIMER_TOLERANCE_SECONDS < self.due <= due:
            return None
        self.due = due
        return due
