"""Client of the counter: sends additions, and moves to a new address of the counter."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from gateway.counter.call import CounterCall
from gateway.counter.call_expiry import CallExpiry
from gateway.counter.connection import PING_INTERVAL_SECONDS, CounterConnection

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from gateway.address import Address
    from gateway.policy.actions import AddToCounter
    from gateway.policy.events import CounterReply

CONNECTION_COUNT = 4  # the counter accepts at most 32 connections from one gateway
LIVENESS_CHECK_SECONDS = PING_INTERVAL_SECONDS / 2  # interval between checks of the connections in use


class CounterClient:
    """Sends additions to the counter, and passes a reply to each of them to a callback.

    All additions to one name use the same connection, so that their replies arrive in the order of the calls.
    The client decides which connections are in use; each connection owns its state and its calls.

    Attributes:
        on_reply: Called with the reply to each addition.
        call_expiry: Applies the timeout of calls.
        ready: Done once the first attempt to connect has succeeded or failed.
        connections: The connections in use.
        replacements: Connections to a changed address, each of which replaces the connection at its index
            once it is open; empty unless a change of address is in progress.
    """

    def __init__(
        self, address: Address, timeout_seconds: float, on_reply: Callable[[CounterReply], None]
    ) -> None:
        self.on_reply = on_reply
        self.loop = asyncio.get_running_loop()
        self.call_expiry = CallExpiry(self.loop, timeout_seconds)
        self.ready = self.loop.create_future()
        self.is_closed = False
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections = self._make_connections(address)
        self.replacements: list[CounterConnection] = []
        for connection in self.connections:
            connection.connect()
        self._liveness_timer = self.loop.call_later(LIVENESS_CHECK_SECONDS, self._check_liveness)

    def _make_connections(self, address: Address) -> list[CounterConnection]:
        return [CounterConnection(self, address) for _ in range(CONNECTION_COUNT)]

    def add_to_counter(self, action: AddToCounter) -> None:
        """Send an addition; `on_reply` may be called before this method returns.

        The timeout is scheduled first, so that the call ends even if an exception is raised as it is sent.
        """
        connection = self.connections[action.name % CONNECTION_COUNT]
        call = CounterCall(action, time.monotonic(), connection, self.on_reply)
        self.call_expiry.schedule(call)
        connection.submit(call)

    def change_address(self, address: Address) -> None:
        """Connect to another address; each connection in use remains so until its replacement is open."""
        newest = self.replacements or self.connections
        if address == newest[-1].address:
            return
        superseded = self.replacements
        self.replacements = self._make_connections(address)
        for connection in superseded:
            if connection not in self.connections:
                connection.abort()
        for connection in self.replacements:
            connection.connect()

    def is_current(self, connection: CounterConnection) -> bool:
        """Return whether the connection is in use or is a replacement that is not open yet."""
        return connection in self.connections or connection in self.replacements

    def start_task(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a task, which is cancelled when the client is closed."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def connect_attempt_ended(self) -> None:
        """Complete `ready` after an attempt to connect has succeeded or failed."""
        if not self.ready.done():
            self.ready.set_result(None)

    def connection_opened(self, connection: CounterConnection) -> None:
        """Put a replacement connection that has just opened into use."""
        is_replacement = connection in self.replacements and connection not in self.connections
        if not is_replacement:  # it reconnects, and may still be listed while the others are not open
            return
        index = self.replacements.index(connection)
        replaced = self.connections[index]
        self.connections[index] = connection
        replaced.replace_with(connection)
        if all(current.address == connection.address for current in self.connections):
            self.replacements = []

    def _check_liveness(self) -> None:
        now = time.monotonic()
        for connection in self.connections:
            connection.check_liveness(now)
        self._liveness_timer = self.loop.call_later(LIVENESS_CHECK_SECONDS, self._check_liveness)

    def close(self) -> None:
        """Close the connections in use and their replacements, and stop the timeout of calls."""
        self.is_closed = True
        self._liveness_timer.cancel()
        self.call_expiry.cancel()
        for task in self._tasks:
            task.cancel()
        for connection in [*self.connections, *self.replacements]:
            connection.abort()
