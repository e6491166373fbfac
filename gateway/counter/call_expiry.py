"""The timeout of calls to the counter."""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from gateway.counter.call import CounterCall


class CallExpiry:
    """Expires each call that is not settled within `timeout_seconds`.

    All calls have the same timeout, so they expire in the order in which they were scheduled, and one timer
    is enough for all of them.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, timeout_seconds: float) -> None:
        self.timeout_seconds = timeout_seconds
        self._loop = loop
        # Oldest first; a settled call is removed at its timeout at the latest.
        self._calls: deque[CounterCall] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def schedule(self, call: CounterCall) -> None:
        """Expire the call unless it is settled before its timeout."""
        self._calls.append(call)
        if self._timer is None:
            self._timer = self._loop.call_later(self.timeout_seconds, self._expire_overdue_calls)

    def cancel(self) -> None:
        """Cancel the timer, so that no more calls expire."""
        if self._timer is not None:
            self._timer.cancel()

    def _expire_overdue_calls(self) -> None:
        now = time.monotonic()
        while self._calls:
            call = self._calls[0]
            if not call.is_settled:
                seconds_left = call.started_at + self.timeout_seconds - now
                if seconds_left > 0:
                    self._timer = self._loop.call_later(seconds_left, self._expire_overdue_calls)
                    return
                call.expire()
            self._calls.popleft()
        self._timer = None
