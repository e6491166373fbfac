"""All client connections: limits their number, tracks their states in queues, enforces their timeouts."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from gateway.frontend.errors import RequestTimeoutError, UnavailableError
from gateway.frontend.wait_queue import WaitQueue

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gateway.frontend.client_connection import ClientConnection

READ_TIMEOUT_SECONDS = 2.3  # to receive a complete request; for the first one, since the client connected
IDLE_TIMEOUT_SECONDS = 15.0  # between requests, unless the table is crowded
CROWDED_IDLE_TIMEOUT_SECONDS = 2.0  # between requests, once the table is crowded or full
EVICTION_GRACE_SECONDS = 0.1  # before a new or half-closed connection is evicted, unless there is no other
HALF_CLOSED_TIMEOUT_SECONDS = 3.0  # for a client to read the last response on its connection
TIMEOUT_SWEEP_SECONDS = 0.25  # interval of the checks for these timeouts
DISCONNECT_POLL_SECONDS = 0.05  # no attempt may start later than 0.1 s after its client has disconnected
CROWDED_FRACTION = 0.5  # share of the maximum number of connections at which the table counts as crowded


class ConnectionTable:
    """All client connections.

    A connection without pending requests is in one of the queues, depending on its state.

    Attributes:
        max_connections: Number of connections above which requests are rejected.
        surplus_connections: Number of connections that are kept open above the maximum, so that their
            requests get an error response.
        connections: All connections except those that are lost or evicted.
        new_connections: Connections whose first request is not complete.
        idle_connections: Connections between two requests.
        receiving: Connections on which part of a second or later request has been received.
        half_closed: Connections whose client has shut down its sending side, or that have sent their last
            response.
        paused: Connections from which reading is paused.
        is_stopping: Whether connections are closed once they have no pending requests.
    """

    def __init__(self, max_connections: int, surplus_connections: int) -> None:
        self.max_connections = max_connections
        self.surplus_connections = surplus_connections
        self.connections: set[ClientConnection] = set()
        self.new_connections: WaitQueue[ClientConnection] = WaitQueue()
        self.idle_connections: WaitQueue[ClientConnection] = WaitQueue()
        self.receiving: WaitQueue[ClientConnection] = WaitQueue()
        self.half_closed: WaitQueue[ClientConnection] = WaitQueue()
        self.paused: set[ClientConnection] = set()
        self.is_stopping = False
        self._loop = asyncio.get_running_loop()
        self._timeout_timer = self._loop.call_later(TIMEOUT_SWEEP_SECONDS, self.close_overdue_connections)
        self._disconnect_timer = self._loop.call_later(DISCONNECT_POLL_SECONDS, self._detect_disconnects)

    # --- the number of connections -----------------------------------------------------------------

    @property
    def has_too_many_connections(self) -> bool:
        """Whether there are so many connections that requests are rejected."""
        return len(self.connections) > self.max_connections

    @property
    def spare_connections(self) -> int:
        """How many more connections may be served without evicting one whose client may still send.

        Half-closed ones do not count, as they have had their last response and are evicted first.
        """
        return self.max_connections + len(self.half_closed) - len(self.connections)

    def add(self, connection: ClientConnection) -> None:
        """Add a new connection; above the maximum, evict a connection without pending requests."""
        self.connections.add(connection)
        if not self.has_too_many_connections:
            return
        # If there is nothing to evict, the new connection stays open within the surplus and its request gets
        # an error response.  Closing the connection at once could lose a request without any response.
        evicted = self.choose_connection_to_evict(connection)
        if evicted is None and len(self.connections) > self.max_connections + self.surplus_connections:
            evicted = connection
        if evicted is not None:
            self.connections.discard(evicted)
            evicted.abort()

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that is lost."""
        self.connections.discard(connection)
        self.paused.discard(connection)

    def choose_connection_to_evict(self, newest: ClientConnection) -> ClientConnection | None:
        """Return a connection to evict in favour of the newest one, or None if none is suitable.

        Connections with pending requests, unread bytes or part of a later request are not evicted.  Of the
        others, those that were opened or used recently are the last choice, as their clients may be about to
        send.
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
            oldest.move_to_queue(queue)  # to the end, as its unread bytes are about to be read
        return None

    # --- connections from which reading is paused --------------------------------------------------

    def mark_paused(self, connection: ClientConnection) -> None:
        """Record that reading from a connection is paused, so that the event loop reports no disconnect."""
        self.paused.add(connection)

    def unmark_paused(self, connection: ClientConnection) -> None:
        """Record that reading from a connection is resumed."""
        self.paused.discard(connection)

    def _detect_disconnects(self) -> None:
        """Handle clients that have disconnected while reading from them is paused.

        The event loop does not report such a disconnect, because it would have to read the bytes before it.
        """
        for connection in [paused for paused in self.paused if paused.socket.has_peer_closed()]:
            self.paused.discard(connection)
            connection.eof_received()
        self._disconnect_timer = self._loop.call_later(DISCONNECT_POLL_SECONDS, self._detect_disconnects)

    # --- timeouts ----------------------------------------------------------------------------------

    def close_overdue_connections(self) -> None:
        """Reject requests that are not complete in time, and close connections that are idle for too long."""
        self._reject_overdue_requests()
        self._close_overdue_idle()
        self._timeout_timer = self._loop.call_later(TIMEOUT_SWEEP_SECONDS, self.close_overdue_connections)

    def _reject_overdue_requests(self) -> None:
        """Close connections whose request is overdue, with an error response if any bytes were received."""
        error = RequestTimeoutError("the request was not received completely within the time limit")
        for queue in (self.new_connections, self.receiving):
            for connection in _pop_overdue(queue, READ_TIMEOUT_SECONDS):
                # Bytes before a request, such as empty lines, get an error response too.
                reader = connection.reader
                if reader.is_receiving or reader.bytes_since_request or connection.has_deferred_bytes:
                    connection.reject(error)
                else:
                    connection.abort()

    def _close_overdue_idle(self) -> None:
        """Close connections that are idle for too long, or whose client does not read its last response.

        The idle timeout gets shorter before the table is full, so that a burst of new connections does not
        evict connections that are about to be used.
        """
        is_crowded = len(self.connections) >= self.max_connections * CROWDED_FRACTION
        idle_timeout = CROWDED_IDLE_TIMEOUT_SECONDS if is_crowded else IDLE_TIMEOUT_SECONDS
        timeouts = ((self.idle_connections, idle_timeout), (self.half_closed, HALF_CLOSED_TIMEOUT_SECONDS))
        for queue, timeout in timeouts:
            for connection in _pop_overdue(queue, timeout):
                if connection.has_unread_bytes():
                    connection.move_to_queue(self.idle_connections)
                else:
                    connection.abort()  # `close` would wait for a client that never reads its last response

    # --- shutdown ----------------------------------------------------------------------------------

    def stop(self) -> None:
        """Close idle connections now, and all others once they have no pending requests."""
        self.is_stopping = True
        for connection in [*self.idle_connections, *self.new_connections]:
            if not connection.reader.is_receiving and not connection.has_unread_bytes():
                connection.socket.close()

    def has_incoming_requests(self) -> bool:
        """Return whether any client has sent part of a request, or bytes that are not read yet."""
        queues = (self.receiving, self.new_connections, self.idle_connections)
        return any(
            connection.reader.is_receiving or connection.has_unread_bytes()
            for queue in queues
            for connection in queue
        )

    def has_unsent_responses(self) -> bool:
        """Return whether any response is not handed to the system completely."""
        return any(connection.socket.unsent_bytes for connection in self.connections)

    def reject_incomplete_requests(self) -> None:
        """Send an error response to incomplete requests, because the process is about to exit.

        Connections that have sent their last response are still read until their client closes them, as a
        reset for unread bytes could overtake the response.
        """
        error = UnavailableError("the gateway is shutting down")
        for connection in list(self.connections):
            if connection.reader.is_receiving or connection.has_unread_bytes():
                connection.reject(error)
            elif not connection.reader.is_closed and not connection.pending_exchanges:
                connection.socket.close()

    def close(self) -> None:
        """Close each connection once all bytes written to it are sent."""
        self._timeout_timer.cancel()
        self._disconnect_timer.cancel()
        for connection in list(self.connections):
            connection.socket.close()


def _pop_overdue(queue: WaitQueue[ClientConnection], timeout: float) -> Iterator[ClientConnection]:
    """Remove and yield the connections that have been in a queue for longer than a timeout in seconds."""
    cutoff = time.monotonic() - timeout
    while (oldest := queue.oldest) is not None and queue.waiting_since[oldest] < cutoff:
        oldest.move_to_queue(None)
        yield oldest
