"""The connections to one discovery agent: opening them, their bound, and the time limits of each."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from gateway.discovery.watch_connection import WatchConnection, WatchConsumer, WatchState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gateway.address import Address

ATTEMPT_IDLE_TIMEOUT_SECONDS = 1.0  # without a byte; short, as the agent is on this machine
SNAPSHOT_TIMEOUT_SECONDS = 5.0  # from the start of an attempt until its endpoint list is complete


class WatchConnectionSet:
    """All open connections to an agent, oldest first; at most `max_connections`.

    Each connection runs in a task of its own, which ends it when it exceeds a time limit.
    """

    def __init__(
        self,
        consumer: WatchConsumer,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        max_connections: int,
    ) -> None:
        self._consumer = consumer
        self._loop = loop
        self._address = address
        self._max_connections = max_connections
        self._tasks: dict[WatchConnection, asyncio.Task[None]] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._tasks)

    def __iter__(self) -> Iterator[WatchConnection]:
        """Yield the open connections, oldest first."""
        return iter(self._tasks)

    def open(self, *, kept: WatchConnection | None) -> WatchConnection:
        """Start to open a connection; at the bound, abandon the oldest other than `kept` for it."""
        while len(self) >= self._max_connections:
            self.abandon(next(oldest for oldest in self if oldest is not kept))
        connection = WatchConnection(self._consumer, self._loop)
        task = self._loop.create_task(self._run(connection))
        self._tasks[connection] = task
        task.add_done_callback(lambda _: self._tasks.pop(connection, None))
        return connection

    async def _run(self, connection: WatchConnection) -> None:
        """Connect and wait until the connection has ended, or has exceeded a time limit."""
        started_at = time.monotonic()
        try:
            await self._connect(connection)
            await self._fetch_snapshot(connection, started_at + SNAPSHOT_TIMEOUT_SECONDS)
            await connection.closed
        except (OSError, TimeoutError):
            return
        finally:
            connection.abort()

    async def _connect(self, connection: WatchConnection) -> None:
        host = self._address.host
        port = self._address.port
        async with asyncio.timeout(ATTEMPT_IDLE_TIMEOUT_SECONDS):
            await self._loop.create_connection(lambda: connection, host, port)

    async def _fetch_snapshot(self, connection: WatchConnection, deadline: float) -> None:
        """Wait until the complete endpoint list has come, or the connection has ended.

        Raises:
            TimeoutError: No byte came for too long, or the list was not complete at the deadline, which is
                in monotonic seconds.
        """
        while connection.state is WatchState.FETCHING_SNAPSHOT:
            idle_deadline = connection.last_received_at + ATTEMPT_IDLE_TIMEOUT_SECONDS
            seconds_left = min(idle_deadline, deadline) - time.monotonic()
            if seconds_left <= 0:
                raise TimeoutError
            await asyncio.wait([connection.closed], timeout=seconds_left)

    def abandon(self, connection: WatchConnection) -> None:
        """Close a connection; what comes on it from now on is not read."""
        connection.abort()
        self._tasks.pop(connection).cancel()

    def abandon_all(self, *, kept: WatchConnection | None = None) -> None:
        """Close all connections, except for `kept`."""
        for connection in list(self):
            if connection is not kept:
                self.abandon(connection)
