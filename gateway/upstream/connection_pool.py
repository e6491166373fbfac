"""Connection pool for one endpoint."""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING, Any, Protocol

from gateway.connector import connect
from gateway.policy.events import Outcome
from gateway.upstream.connection import UpstreamConnection

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Coroutine

    from gateway.address import Address
    from gateway.read_scheduler import ReadScheduler
    from gateway.upstream.attempt import Attempt
    from gateway.upstream.load_report import LoadReportParser

# A connection is not reused for this time after a response, because a duplicate of the response may arrive
# some milliseconds later.
REUSE_DELAY_SECONDS = 0.010


class PoolOwner(Protocol):
    """The interface of the upstream client that its pools use."""

    loop: asyncio.AbstractEventLoop
    connect_timeout: float
    load_report_parser: LoadReportParser
    read_scheduler: ReadScheduler

    def reserve_connection(self, connections_in_pool: int) -> bool:
        """Count a new connection if the limits allow it; return whether they do."""

    def release_connection(self) -> None:
        """Subtract a connection from the count of connections."""

    def run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task, which is cancelled when the client is closed."""


class EndpointPool:
    """The connections to one endpoint, and the attempts that wait for one of them.

    Attributes:
        owner: The upstream client that the pool belongs to.
        endpoint_id: The endpoint's id.
        address: The address that the endpoint listens on.
        started_at: The start time of the endpoint as discovery reports it.
        load_report_parser: Parses the load reports of the endpoint.
        read_scheduler: Bounds the time for which responses are parsed.
        idle_connections: Idle connections, the longest idle first; the most recently used is reused first.
        connections: All open connections.
        waiting_attempts: Attempts that wait for a connection.
        connecting_count: Number of connections that are being opened.
        is_removed: Whether the pool is no longer in use; its connections are then closed instead of pooled.
    """

    def __init__(self, owner: PoolOwner, endpoint_id: int, address: Address, started_at: float) -> None:
        self.owner = owner
        self.endpoint_id = endpoint_id
        self.address = address
        self.started_at = started_at
        self.load_report_parser = owner.load_report_parser
        self.read_scheduler = owner.read_scheduler
        self.idle_connections: deque[UpstreamConnection] = deque()
        self.connections: set[UpstreamConnection] = set()
        self.waiting_attempts: set[Attempt] = set()
        self.connecting_count = 0
        self.is_removed = False

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop of the upstream client."""
        return self.owner.loop

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection if one is usable, otherwise on a new connection."""
        while self.idle_connections:
            connection = self.pop_idle_connection()
            if connection.is_usable():
                self.send_after_reuse_delay(connection, attempt)
                return
            connection.abort()
        self.send_on_new_connection(attempt)

    def send_after_reuse_delay(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Send an attempt on a connection as soon as the connection has been idle for the reuse delay."""
        delay = connection.idle_since + REUSE_DELAY_SECONDS - time.monotonic()
        if delay <= 0:
            connection.send(attempt)
        else:
            self.waiting_attempts.add(attempt)
            self.loop.call_later(delay, self.finish_reuse_delay, connection, attempt)

    def send_on_new_connection(self, attempt: Attempt) -> None:
        """Open a connection for an attempt in the background; fail the attempt at the connection limit."""
        if not self.owner.reserve_connection(self.connecting_count + len(self.connections)):
            # OVERLOADED says that the request was not executed.  CONNECT_FAILED would blame the endpoint.
            self.loop.call_soon(attempt.fail, Outcome.OVERLOADED)
            return
        self.connecting_count += 1
        self.waiting_attempts.add(attempt)
        self.owner.run_in_background(self.connect(attempt))

    def pop_idle_connection(self) -> UpstreamConnection:
        """Remove and return an idle connection.

        This is the most recently used connection whose reuse delay has passed, or the longest idle connection
        if no reuse delay has passed.
        """
        cutoff = time.monotonic() - REUSE_DELAY_SECONDS
        newest_first = reversed(range(len(self.idle_connections)))
        index = next(
            (index for index in newest_first if self.idle_connections[index].idle_since <= cutoff), 0
        )
        connection = self.idle_connections[index]
        del self.idle_connections[index]
        return connection

    def finish_reuse_delay(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Send an attempt that has waited for the reuse delay, unless it has been abandoned."""
        was_waiting = self.remove_waiting_attempt(attempt)
        if not connection.is_usable():
            connection.abort()
            if was_waiting:
                self.send(attempt)
        elif was_waiting:
            connection.send(attempt)
        else:
            self.return_connection(connection)

    async def connect(self, attempt: Attempt) -> None:
        """Open a connection and send an attempt on it; pool the connection if the attempt was abandoned."""
        connection = UpstreamConnection(self)
        try:
            await connect(self.loop, connection, self.address, self.owner.connect_timeout)
        except (OSError, TimeoutError):
            self.owner.release_connection()
            if attempt in self.waiting_attempts:
                attempt.fail(Outcome.CONNECT_FAILED)
            return
        finally:
            self.connecting_count -= 1
            was_waiting = self.remove_waiting_attempt(attempt)
        self.connections.add(connection)
        if not connection.is_open:
            self.remove_connection(connection)
            if was_waiting:
                attempt.fail(Outcome.CONNECT_FAILED)
        elif was_waiting:
            connection.send(attempt)
        else:
            self.return_connection(connection)

    def remove_waiting_attempt(self, attempt: Attempt) -> bool:
        """Remove an attempt from the waiting attempts; return whether it was waiting and has not finished."""
        was_waiting = attempt in self.waiting_attempts and not attempt.is_finished
        self.waiting_attempts.discard(attempt)
        return was_waiting

    def cancel_waiting_attempts(self) -> None:
        """Fail the attempts that wait for a connection, because the endpoint must get no new requests.

        They fail with NOT_STARTED after this method returns, so that the policy handles the endpoint update
        that caused the cancellation first.
        """
        waiting_attempts = self.waiting_attempts
        self.waiting_attempts = set()
        for attempt in waiting_attempts:
            self.loop.call_soon(attempt.fail, Outcome.NOT_STARTED)

    def return_connection(self, connection: UpstreamConnection) -> None:
        """Make a connection available to the next attempt, or close it if the pool has been removed."""
        if self.is_removed:
            connection.abort()
            return
        connection.mark_idle()
        self.idle_connections.append(connection)

    def remove_connection(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection from the pool."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.owner.release_connection()
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)

    def remove(self) -> None:
        """Close idle connections now and the others after their attempts; fail waiting attempts."""
        self.is_removed = True
        self.close_idle_connections()
        self.cancel_waiting_attempts()

    def close_idle_connections(self) -> None:
        """Close all idle connections."""
        idle_connections = self.idle_connections
        self.idle_connections = deque()
        for connection in idle_connections:
            connection.abort()

    def close_longest_idle(self) -> None:
        """Close the longest idle connection."""
        self.idle_connections.popleft().abort()

    def close_idle_before(self, cutoff: float) -> None:
        """Close the connections that became idle before a `time.monotonic` value."""
        while self.idle_connections and self.idle_connections[0].idle_since < cutoff:
            self.close_longest_idle()

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections:
            connection.abort()
