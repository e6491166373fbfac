"""Opens new connections to a discovery agent when the active one needs a replacement."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING, Protocol

from gateway.backoff import Backoff

if TYPE_CHECKING:
    from gateway.discovery.connection_set import WatchConnectionSet
    from gateway.discovery.watch_connection import WatchConnection

MIN_RETRY_DELAY_SECONDS = 0.25  # between attempts; short, as an endpoint may drain for only 1 s
MAX_RETRY_DELAY_SECONDS = 0.5  # between attempts while the agent responds
BACKOFF_RESET_SECONDS = 2 * MAX_RETRY_DELAY_SECONDS  # the backoff is reset if the last attempt is older


class WatchStatus(Protocol):
    """What the supervisor needs to know about its watch."""

    @property
    def active_connection(self) -> WatchConnection | None:
        """The connection whose updates are published; None before the first snapshot."""
        ...

    def seconds_until_replacement(self) -> float:
        """Return the seconds until the active connection needs a replacement; 0 or less if it does now."""
        ...


class WatchSupervisor:
    """Attempts new connections, with a backoff, while the active connection needs a replacement.

    It runs in its own task until it is closed.
    """

    def __init__(
        self, watch: WatchStatus, connections: WatchConnectionSet, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._watch = watch
        self._connections = connections
        self._woken_up = asyncio.Event()
        self._backoff = Backoff(MIN_RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS)
        self._last_attempt: WatchConnection | None = None  # the most recently opened connection
        self._attempted_at = 0.0  # monotonic time of the last attempt, in seconds
        self._task = loop.create_task(self._run())

    async def _run(self) -> None:
        while True:
            seconds = self._watch.seconds_until_replacement()
            if seconds > 0:
                await self._wait_until_woken_up(seconds)
            else:
                self._attempt_connection()
                await asyncio.sleep(self._backoff.seconds)

    def _attempt_connection(self) -> None:
        is_last_attempt_old = time.monotonic() - self._attempted_at > BACKOFF_RESET_SECONDS
        if self._is_responding() and not is_last_attempt_old:
            self._backoff.increase()  # attempt less often while the agent responds
        else:
            self._backoff.reset()
        self._last_attempt = self._connections.open(keep=self._watch.active_connection)
        self._attempted_at = time.monotonic()

    def _is_responding(self) -> bool:
        """Return whether bytes were received on the last attempt, or on an earlier one that is still open."""
        active = self._watch.active_connection
        attempts = [connection for connection in self._connections if connection is not active]
        if self._last_attempt is not None:
            attempts.append(self._last_attempt)
        return any(connection.has_received for connection in attempts)

    async def _wait_until_woken_up(self, timeout_seconds: float) -> None:
        self._woken_up.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                await self._woken_up.wait()

    def wake_up(self) -> None:
        """Check the watch immediately, or after the delay that follows an attempt."""
        self._woken_up.set()

    def close(self) -> None:
        """Stop attempting connections."""
        self._task.cancel()
