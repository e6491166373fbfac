"""Decides when a watch needs another connection to its agent, and opens it."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING, Protocol

from gateway.backoff import Backoff

if TYPE_CHECKING:
    from gateway.discovery.connection_set import WatchConnectionSet
    from gateway.discovery.watch_connection import WatchConnection

MIN_RETRY_DELAY_SECONDS = 0.25  # between attempts; well within the time that an endpoint drains for
MAX_RETRY_DELAY_SECONDS = 0.5  # between attempts on an agent that responds
LASTING_ATTEMPT_SECONDS = 2 * MAX_RETRY_DELAY_SECONDS  # an attempt that lasted longer needs no backoff


class SupervisedWatch(Protocol):
    """What the supervisor needs of its watch."""

    @property
    def active_connection(self) -> WatchConnection | None:
        """The connection whose updates count; None before the first complete list."""
        ...

    def seconds_until_silent(self) -> float:
        """Return for how long no other connection is needed; 0 or less if one is needed now."""
        ...


class WatchSupervisor:
    """Attempts new connections, with a backoff, for as long as the active one is not sufficient.

    It runs in a task of its own until it is closed.
    """

    def __init__(
        self, watch: SupervisedWatch, connections: WatchConnectionSet, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._watch = watch
        self._connections = connections
        self._woken_up = asyncio.Event()
        self._backoff = Backoff(MIN_RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS)
        self._newest: WatchConnection | None = None  # the last that was attempted
        self._attempted_at = 0.0  # monotonic seconds
        self._task = loop.create_task(self._run())

    async def _run(self) -> None:
        while True:
            seconds = self._watch.seconds_until_silent()
            if seconds > 0:
                await self._wait_until_woken_up(seconds)
            else:
                self._attempt_connection()
                await asyncio.sleep(self._backoff.seconds)

    def _attempt_connection(self) -> None:
        has_lasted = time.monotonic() - self._attempted_at > LASTING_ATTEMPT_SECONDS
        if self._is_responding() and not has_lasted:
            self._backoff.lengthen()  # an agent that responds gets fewer attempts
        else:
            self._backoff.reset()
        self._newest = self._connections.open(kept=self._watch.active_connection)
        self._attempted_at = time.monotonic()

    def _is_responding(self) -> bool:
        """Return whether any byte came on an attempt that is open, or on the newest attempt."""
        active = self._watch.active_connection
        attempts = [connection for connection in self._connections if connection is not active]
        if self._newest is not None:
            attempts.append(self._newest)
        return any(connection.has_received for connection in attempts)

    async def _wait_until_woken_up(self, timeout_seconds: float) -> None:
        self._woken_up.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                await self._woken_up.wait()

    def wake_up(self) -> None:
        """Look at the watch again at once."""
        self._woken_up.set()

    def close(self) -> None:
        """Attempt no further connection."""
        self._task.cancel()
