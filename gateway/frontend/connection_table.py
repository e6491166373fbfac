"""The connections of clients: their number, the queues in which they wait, and their time limits."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from gateway.frontend.errors import RequestTimeoutError, UnavailableError
from gateway.frontend.wait_queue import WaitQueue

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gateway.frontend.client_connection import ClientConnection

READ_TIMEOUT_SECONDS = 2.3  # for a request to be complete, the first one counted from connecting
IDLE_TIMEOUT_SECONDS = 15.0  # between requests, unless the table is crowded
CROWDED_IDLE_TIMEOUT_SECONDS = 2.0  # between requests, once the table is crowded or full
EVICTION_GRACE_SECONDS = 0.1  # before a connection with no request yet, or with its last response, is evicted
HALF_CLOSED_TIMEOUT_SECONDS = 3.0  # for a client to read the last response on its connection
TIMEOUT_SWEEP_SECONDS = 0.25  # between checks of these times
DISCONNECT_POLL_SECONDS = 0.05  # no attempt may start 0.1 s after its client has disconnected
CROWDED_FRACTION = 0.5  # of the maximum number of connections, from which on the table is crowded


class ConnectionTable:
    """All connections of clients.

    A connection that owes no response is in one queue: before its first request is complete, between
    requests, while one is received, or after the last response.

    Attributes:
        max_connections: The number of connections beyond which requests are rejected.
        surplus_connections: Further connections that are kept so that their requests get a response.
        connections: All connections that are not lost and not evicted.
        new_connections: Those whose first request is not complete.
        idle_connections: Those between two requests.
        receiving: Those of which part of a further request has come.
        half_closed: Those whose client has ended its sending, or that were sent their last response.
        write_blocked: Those that are not read, as their clients do not read their responses.
        is_stopping: Whether each connection is closed behind the responses that it owes.
    """

    def __init__(self, max_connections: int, surplus_connections: int) -> None:
        self.max_connections = max_connections
        self.surplus_connections = surplus_connections
        self.connections: set[ClientConnection] = set()
        self.new_connections: WaitQueue[ClientConnection] = WaitQueue()
        self.idle_connections: WaitQueue[ClientConnection] = WaitQueue()
        self.receiving: WaitQueue[ClientConnection] = WaitQueue()
        self.half_closed: WaitQueue[ClientConnection] = WaitQueue()
        self.write_blocked: set[ClientConnection] = set()
        self.is_stopping = False
        self._loop = asyncio.get_running_loop()
        self._timeout_timer = self._loop.call_later(TIMEOUT_SWEEP_SECONDS, self.close_overdue_connections)
        self._disconnect_timer = self._loop.call_later(DISCONNECT_POLL_SECONDS, self._detect_disconnects)

    # --- the number of connections -----------------------------------------------------------------

    @property
    def has_too_many_connections(self) -> bool:
        """Whether there are more connections than requests are accepted on."""
        return len(self.connections) > self.max_connections

    def add(self, client: ClientConnection) -> None:
        """Count a connection that was made; beyond the maximum, evict one that owes no response."""
        self.connections.add(client)
        if not self.has_too_many_connections:
            return
        # With none to evict the new one is kept within a surplus, and its request rejected: to close it at
        # once could fail a request.
        evicted = self.choose_evicted(client)
        if evicted is None and len(self.connections) > self.max_connections + self.surplus_connections:
            evicted = client
        if evicted is not None:
            self.connections.discard(evicted)
            evicted.abort()

    def remove(self, client: ClientConnection) -> None:
        """Forget a connection that is lost."""
        self.connections.discard(client)
        self.write_blocked.discard(client)

    def choose_evicted(self, newest: ClientConnection) -> ClientConnection | None:
        """Return the connection to evict for the newest one, or None if each owes a response.

        A connection that was opened or used a moment ago is the last choice: it may be about to send.
        """
        now = time.monotonic()
        choices = (
            (self.half_closed, EVICTION_GRACE_SECONDS),
            (self.new_connections, EVICTION_GRACE_SECONDS),
            (self.idle_connections, CROWDED_IDLE_TIMEOUT_SECONDS),
            (self.half_closed, 0.0),
            (self.idle_connections, 0.0),
            (self.new_connections, 0.0),
        )
        for queue, min_wait in choices:
            oldest = queue.oldest
            if oldest is None or oldest is newest:
                continue
            if now - queue.waiting_since[oldest] < min_wait:
                continue
            if not oldest.has_unread_bytes():
                return oldest
            oldest.enqueue(queue)  # about to be read
        return None

    # --- clients that do not read ------------------------------------------------------------------

    def mark_write_blocked(self, client: ClientConnection) -> None:
        """Note that a connection is not read, as its client does not read its responses."""
        self.write_blocked.add(client)

    def unmark_write_blocked(self, client: ClientConnection) -> None:
        """Note that a connection is read again."""
        self.write_blocked.discard(client)

    def _detect_disconnects(self) -> None:
        """Find the clients that have disconnected while they are not read.

        The end of their sending is behind bytes that are not read, so that the loop does not report it.
        """
        for client in [blocked for blocked in self.write_blocked if blocked.socket.has_peer_closed()]:
            self.write_blocked.discard(client)
            client.eof_received()
        self._disconnect_timer = self._loop.call_later(DISCONNECT_POLL_SECONDS, self._detect_disconnects)

    # --- time limits -------------------------------------------------------------------------------

    def close_overdue_connections(self) -> None:
        """Reject requests that are not complete in time; close connections that wait too long."""
        self._reject_overdue_requests()
        self._close_overdue_idle()
        self._timeout_timer = self._loop.call_later(TIMEOUT_SWEEP_SECONDS, self.close_overdue_connections)

    def _reject_overdue_requests(self) -> None:
        """Close connections whose request is not complete in time, with a response if any of it has come."""
        error = RequestTimeoutError("the request did not come whole")
        for queue in (self.new_connections, self.receiving):
            for client in _take_overdue(queue, READ_TIMEOUT_SECONDS):
                # Bytes that came without a request, such as empty lines, are owed a response too.
                if client.reader.is_receiving or client.reader.unparsed_bytes:
                    client.reject(error)
                else:
                    client.abort()

    def _close_overdue_idle(self) -> None:
        """Close connections that are idle, or do not read their last response.

        A crowded table is cleared before it is full: a burst of new connections must not evict those that
        are about to be used.
        """
        is_crowded = len(self.connections) >= self.max_connections * CROWDED_FRACTION
        idle_timeout = CROWDED_IDLE_TIMEOUT_SECONDS if is_crowded else IDLE_TIMEOUT_SECONDS
        timeouts = ((self.idle_connections, idle_timeout), (self.half_closed, HALF_CLOSED_TIMEOUT_SECONDS))
        for queue, timeout in timeouts:
            for client in _take_overdue(queue, timeout):
                if client.has_unread_bytes():
                    client.enqueue(self.idle_connections)
                else:
                    client.abort()  # a close would wait for a client that never reads its last response

    # --- shutdown ----------------------------------------------------------------------------------

    def stop(self) -> None:
        """Close the connections that are idle now, and each other one behind the responses that it owes."""
        self.is_stopping = True
        for client in [*self.idle_connections, *self.new_connections]:
            if not client.reader.is_receiving and not client.has_unread_bytes():
                client.socket.close()

    def has_incoming_requests(self) -> bool:
        """Return whether part of a request has come, or bytes that are not read yet."""
        queues = (self.receiving, self.new_connections, self.idle_connections)
        return any(
            client.reader.is_receiving or client.has_unread_bytes() for queue in queues for client in queue
        )

    def has_unsent_responses(self) -> bool:
        """Return whether part of a response is still unsent in this process."""
        return any(client.socket.unsent_bytes for client in self.connections)

    def reject_incomplete_requests(self) -> None:
        """Answer requests that are not complete, as the process is about to end.

        Clients that have their last response are read until they close: a reset on unread bytes could
        overtake it.
        """
        error = UnavailableError("the front door ends")
        for client in list(self.connections):
            if client.reader.is_receiving or client.has_unread_bytes():
                client.reject(error)
            elif not client.reader.is_closed and not client.pending:
                client.socket.close()

    def close(self) -> None:
        """Close all connections once what was written to them is sent."""
        self._timeout_timer.cancel()
        self._disconnect_timer.cancel()
        for client in list(self.connections):
            client.socket.close()


def _take_overdue(queue: WaitQueue[ClientConnection], timeout: float) -> Iterator[ClientConnection]:
    """Take the connections out of a queue that have been in it for longer than a timeout in seconds."""
    latest = time.monotonic() - timeout
    while (oldest := queue.oldest) is not None and queue.waiting_since[oldest] < latest:
        oldest.enqueue(None)
        yield oldest
