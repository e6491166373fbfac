"""Timers that the policy sets."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from gateway.policy.events import Event, TimerFired

if TYPE_CHECKING:
    from collections.abc import Callable

    from gateway.driver.clock import UnixClock

MIN_TIMER_SECONDS = 0.001  # timer resolution of the event loop


class PolicyTimers:
    """Delivers a ``TimerFired`` event for each timer, never before the time for which it is set."""

    def __init__(self, clock: UnixClock, deliver: Callable[[Event], None]) -> None:
        self._clock = clock
        self._deliver = deliver
        self._loop = asyncio.get_running_loop()

    def set(self, at: float, token: int) -> None:
        """Set a timer.

        Args:
            at: Unix time in seconds at which the timer fires.
            token: Number that identifies the timer to the policy.
        """
        # The event loop's timers have a resolution of 1 ms and use a cached clock, so they may fire early.
        # `_fire` then sets the timer again.
        delay = math.ceil((at - self._clock.read()) * 1000) / 1000
        self._loop.call_later(max(MIN_TIMER_SECONDS, delay), self._fire, at, token)

    def _fire(self, at: float, token: int) -> None:
        if self._clock.read() < at:
            self.set(at, token)
        else:
            self._deliver(TimerFired(token))
