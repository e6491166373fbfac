"""The set of connections to one discovery agent, with a bound on their number and time limits for each."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from gateway.connector import connect
from gateway.discovery.watch_connection import WatchConnection, WatchConsumer, WatchState
from gateway.read_scheduler import ReadScheduler

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gateway.address import Address

ATTEMPT_IDLE_TIMEOUT_SECONDS = 1.0  # since the last received byte; short, as the agent is on the same machine
SNAPSHOT_TIMEOUT_SECONDS = 5.0  # from the start of an attempt until its snapshot is complete


class WatchConnectionSet:
    """The connections to an agent, oldest first; at most `max_connections`.

    Each connection has its own task, which closes the connection when it exceeds a time limit.
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
        self._read_scheduler = ReadScheduler(loop)
        self._tasks: dict[WatchConnection, asyncio.Task[None]] = {}

    def __len__(self) -> int:
        """Return the number of connections that are connecting or open."""
        return len(self._tasks)

    def __iter__(self) -> Iterator[WatchConnection]:
        """Yield the connections, oldest first."""
        return iter(self._tasks)

    def open(self, *, keep: WatchConnection | None) -> WatchConnection:
        """Start to open a connection; at the bound, first close the oldest one other than `keep`."""
        while len(self) >= self._max_connections:
            self.close(next(oldest for oldest in self if oldest is not keep))
        connection = WatchConnection(self._consumer, self._loop, self._read_scheduler)
        task = self._loop.create_task(self._run(connection))
        self._tasks[connection] = task
        task.add_done_callback(lambda _: self._tasks.pop(connection, None))
        return connection

    async def _run(self, connection: WatchConnection) -> None:
        """Connect, and wait until the connection is closed or exceeds a time limit."""
        started_at = time.monotonic()
        try:
            await connect(self._loop, connection, self._address, ATTEMPT_IDLE_TIMEOUT_SECONDS)
            await self._await_snapshot(connection, started_at + SNAPSHOT_TIMEOUT_SECONDS)
            await connection.closed
        except (OSError, TimeoutError):
            return
        finally:
            connection.abort()

    async def _await_snapshot(self, connection: WatchConnection, deadline: float) -> None:
        """Wait until the snapshot is received or the connection is closed.

        Args:
            connection: The connection, which has requested the snapshot.
            deadline: Monotonic time in seconds by which the snapshot must be complete.

        Raises:
            TimeoutError: No byte was received for too long, or the snapshot is incomplete at the deadline.
        """
        while connection.state is WatchState.FETCHING_SNAPSHOT:
            idle_deadline = connection.last_received_at + ATTEMPT_IDLE_TIMEOUT_SECONDS
            seconds_left = min(idle_deadline, deadline) - time.monotonic()
            if seconds_left <= 0:
                raise TimeoutError
            await asyncio.wait([connection.closed], timeout=seconds_left)

    def close(self, connection: WatchConnection) -> None:
        """Close a connection immediately and remove it from the set."""
        connection.abort()
        self._tasks.pop(connection).cancel()

    def close_all(self, *, keep: WatchConnection | None = None) -> None:
        """Close all connections except `keep`."""
        for connection in list(self):
            if connection is not keep:
                self.close(connection)
