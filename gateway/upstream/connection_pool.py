"""The pool of connections to one endpoint."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING, Any, Protocol

from gateway.policy.events import Outcome
from gateway.upstream.connection import UpstreamConnection

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from gateway.address import Address
    from gateway.upstream.attempt import Attempt
    from gateway.upstream.load_report import LoadReportParser

REUSE_DELAY_SECONDS = 0.010  # after a response, as a second copy of it may come some milliseconds later


class PoolOwner(Protocol):
    """What a pool needs of the client that all pools share."""

    loop: asyncio.AbstractEventLoop
    connect_timeout: float
    load_report_parser: LoadReportParser

    def reserve_connection(self, open_in_pool: int) -> bool:
        """Count one more connection if the limits allow it; return whether they do."""

    def release_connection(self) -> None:
        """Count one connection fewer."""

    def run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine that is cancelled when the client is closed."""


class EndpointPool:
    """The connections to one endpoint, and the attempts that wait for one.

    Attributes:
        owner: The client that all pools share.
        endpoint_id: The endpoint's id.
        address: Where the endpoint listens.
        started_at: When the endpoint was last started.
        load_report_parser: Parses the load reports of the endpoint.
        idle_connections: Connections that carry no attempt, oldest first; the newest is used first.
        connections: All open connections.
        waiting_attempts: Attempts that wait for a connection.
        connecting: Number of connections that are being opened.
        is_removed: Whether the endpoint has moved or is gone, so that no connection is kept.
    """

    def __init__(self, owner: PoolOwner, endpoint_id: int, address: Address, started_at: float) -> None:
        self.owner = owner
        self.endpoint_id = endpoint_id
        self.address = address
        self.started_at = started_at
        self.load_report_parser = owner.load_report_parser
        self.idle_connections: deque[UpstreamConnection] = deque()
        self.connections: set[UpstreamConnection] = set()
        self.waiting_attempts: set[Attempt] = set()
        self.connecting = 0
        self.is_removed = False

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop that all pools share."""
        return self.owner.loop

    def start(self, attempt: Attempt) -> None:
        """Carry an attempt on an idle connection if one is usable, else on a new one."""
        while self.idle_connections:
            connection = self.take_idle()
            if connection.is_usable():
                self.carry_after_reuse_delay(connection, attempt)
                return
            connection.abort()
        self.carry_on_new_connection(attempt)

    def carry_after_reuse_delay(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Carry an attempt on a connection once that has been idle for the reuse delay."""
        delay = connection.idle_since + REUSE_DELAY_SECONDS - time.monotonic()
        if delay <= 0:
            connection.carry(attempt)
        else:
            self.waiting_attempts.add(attempt)
            self.loop.call_later(delay, self.reuse, connection, attempt)

    def carry_on_new_connection(self, attempt: Attempt) -> None:
        """Start to open a connection for an attempt; without capacity for one, fail the attempt."""
        if not self.owner.reserve_connection(self.connecting + len(self.connections)):
            # Nothing was sent.  It is no failed connection either, as the endpoint is not to blame.
            self.loop.call_soon(attempt.fail, Outcome.OVERLOADED)
            return
        self.connecting += 1
        self.waiting_attempts.add(attempt)
        self.owner.run_in_background(self.connect(attempt))

    def take_idle(self) -> UpstreamConnection:
        """Take the newest connection whose reuse delay has passed, else the one that is idle longest."""
        latest = time.monotonic() - REUSE_DELAY_SECONDS
        newest_first = reversed(range(len(self.idle_connections)))
        index = next(
            (index for index in newest_first if self.idle_connections[index].idle_since <= latest), 0
        )
        connection = self.idle_connections[index]
        del self.idle_connections[index]
        return connection

    def reuse(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Carry an attempt that has waited for the reuse delay, unless it was abandoned in the meantime."""
        is_wanted = self.stop_waiting(attempt)
        if not connection.is_usable():
            connection.abort()
            if is_wanted:
                self.start(attempt)
        elif is_wanted:
            connection.carry(attempt)
        else:
            self.put_back(connection)

    async def connect(self, attempt: Attempt) -> None:
        """Open a connection for an attempt, and keep it if the attempt was abandoned in the meantime."""
        try:
            async with asyncio.timeout(self.owner.connect_timeout):
                _, connection = await self.loop.create_connection(
                    lambda: UpstreamConnection(self), self.address.host, self.address.port
                )
        except (OSError, TimeoutError):
            self.owner.release_connection()
            if attempt in self.waiting_attempts:
                attempt.fail(Outcome.CONNECT_FAILED)
            return
        finally:
            self.connecting -= 1
            is_wanted = self.stop_waiting(attempt)
        self.connections.add(connection)
        if not connection.is_open:
            self.discard(connection)
            if is_wanted:
                attempt.fail(Outcome.CONNECT_FAILED)
        elif is_wanted:
            connection.carry(attempt)
        else:
            self.put_back(connection)

    def stop_waiting(self, attempt: Attempt) -> bool:
        """End an attempt's wait for a connection; return whether it is still to be carried."""
        is_wanted = attempt in self.waiting_attempts and not attempt.is_finished
        self.waiting_attempts.discard(attempt)
        return is_wanted

    def cancel_waiting_attempts(self) -> None:
        """Fail the attempts that wait for a connection, as nothing new is to go to this endpoint.

        They never ran.  They finish only after this call returns, once the policy knows why.
        """
        waiting = self.waiting_attempts
        self.waiting_attempts = set()
        for attempt in waiting:
            self.loop.call_soon(attempt.fail, Outcome.NOT_STARTED)

    def put_back(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next attempt, unless the endpoint has moved or is gone."""
        if self.is_removed:
            connection.abort()
            return
        connection.mark_idle()
        self.idle_connections.append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Forget a connection that has ended."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.owner.release_connection()
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)

    def remove(self) -> None:
        """Keep no connection from now on; the attempts that were written run on."""
        self.is_removed = True
        self.close_idle_connections()
        self.cancel_waiting_attempts()

    def close_idle_connections(self) -> None:
        """Close all idle connections."""
        idle = self.idle_connections
        self.idle_connections = deque()
        for connection in idle:
            connection.abort()

    def close_oldest_idle(self) -> None:
        """Close the connection that has been idle longest."""
        self.idle_connections.popleft().abort()

    def close_idle_before(self, time_limit: float) -> None:
        """Close the connections that have been idle since before a time limit, in monotonic seconds."""
        while self.idle_connections and self.idle_connections[0].idle_since < time_limit:
            self.close_oldest_idle()

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections:
            connection.abort()
