"""A client's connection: receives requests and sends responses in the order of the requests."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol, cast

from gateway.frontend.client_socket import ClientSocket
from gateway.frontend.discard_budget import DiscardBudget, DiscardShare
from gateway.frontend.errors import FrontendError, UnavailableError
from gateway.frontend.exchange import Exchange
from gateway.frontend.http_response import encode_response, error_response
from gateway.frontend.request_budget import BodyReservation
from gateway.frontend.request_reader import ReceivedRequest, RequestReader
from gateway.scheduled_protocol import ScheduledProtocol

if TYPE_CHECKING:
    import asyncio

    from gateway.frontend.request_dispatcher import RequestDispatcher
    from gateway.frontend.wait_queue import WaitQueue
    from gateway.read_scheduler import ReadScheduler

MAX_PIPELINED_REQUESTS = 4  # requests on one connection whose responses are not sent yet
MAX_REQUESTS_PER_READ = 16  # on one connection; a response that is ready at once takes no time to send


class ConnectionRegistry(Protocol):
    """The interface of the connection table that its connections use.

    Each connection registers itself and adds itself to the queue that matches its state.
    """

    new_connections: WaitQueue[ClientConnection]
    idle_connections: WaitQueue[ClientConnection]
    receiving: WaitQueue[ClientConnection]
    half_closed: WaitQueue[ClientConnection]
    is_stopping: bool

    def add(self, connection: ClientConnection) -> None:
        """Register a new connection."""

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that is lost."""

    def mark_paused(self, connection: ClientConnection) -> None:
        """Record that reading from a connection is paused, so that the event loop reports no disconnect."""

    def unmark_paused(self, connection: ClientConnection) -> None:
        """Record that reading from a connection is resumed."""


class ClientConnection(ScheduledProtocol):
    """One connection of a client.

    It is in at most one of the registry's queues, depending on its state, and in none while the response to
    a complete request is pending.

    The event loop calls the methods of ``asyncio.BufferedProtocol``, the scheduler ``parse_deferred``, the
    reader the methods of ``RequestHandler``, the discard budget ``update_reading``, and the exchanges
    ``flush_responses``.  The registry calls ``move_to_queue``, ``reject`` and ``abort``, and ``eof_received``
    for a client that has disconnected while reading from it is paused.

    Attributes:
        socket: The client's socket.
        reader: Parses the requests.
        pending_exchanges: Requests whose responses are not written yet, in the order of arrival.
        queue: The registry's queue that contains the connection; None if it is in none.
        discard_share: The reads that may be discarded after the last response.
    """

    def __init__(
        self,
        registry: ConnectionRegistry,
        dispatcher: RequestDispatcher,
        read_scheduler: ReadScheduler,
        discard_budget: DiscardBudget,
    ) -> None:
        super().__init__(read_scheduler)
        self.socket = ClientSocket()
        self.reader = RequestReader(self)
        self.pending_exchanges: deque[Exchange] = deque()
        self.queue: WaitQueue[ClientConnection] | None = None
        self.discard_share = DiscardShare(discard_budget)
        self._registry = registry
        self._dispatcher = dispatcher
        self._body_reservation = BodyReservation(dispatcher.budget)
        self._requests_in_read = 0  # requests that the last read has completed so far
        self._has_unread_responses = False  # too many bytes of responses that the client has not read

    def move_to_queue(self, queue: WaitQueue[ClientConnection] | None) -> None:
        """Move to the end of a queue, or with None leave the current queue."""
        if self.queue is not None:
            self.queue.discard(self)
        self.queue = queue
        if queue is not None:
            queue.add(self)

    def has_unread_bytes(self) -> bool:
        """Return whether bytes were received that are not parsed yet.

        They may be a request, so the connection must not be closed as idle.
        """
        if self.reader.is_closed:
            return False
        return self.has_deferred_bytes or self.socket.has_unread_bytes()

    # --- called by the event loop ------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request."""
        # The cast is needed because uvloop's transports do not inherit from asyncio.Transport.
        self.socket.attach(cast("asyncio.Transport", transport))
        self.move_to_queue(self._registry.new_connections)
        self._registry.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Release the connection's resources and report the disconnect for all pending requests."""
        self.socket.detach()
        self.discard_deferred()
        self.discard_share.release(self)
        self.move_to_queue(None)
        self._registry.remove(self)
        self._release_body()
        self.reader.release()
        self._disconnect_pending_exchanges()

    def bulk_bytes(self) -> int:
        """Return how many of the next bytes cost a fixed number of calls to parse or to discard."""
        if self.reader.is_closed:
            return self.discard_share.read_bytes
        return self.reader.bulk_bytes

    def parse(self, data: memoryview | bytes) -> None:
        """Parse requests; on an invalid request, send an error response and close the connection.

        Bytes after an invalid request are read and discarded, at a limited rate: closing a connection with
        unread bytes makes the system send a reset, which could reach the client before the response.
        """
        if self.reader.is_closed:
            self.discard_share.count_read(self)
            return
        self._requests_in_read = 0
        try:
            self.reader.feed(data)
        except FrontendError as error:
            self.reject(error)

    def eof_received(self) -> None:
        """Treat a client that has shut down its sending side as disconnected.

        The transport closes only once all written bytes are sent, and reports no other event before that.
        """
        self.reader.close()
        self._disconnect_pending_exchanges()
        # The client may still read the responses that are already written.
        self.move_to_queue(self._registry.half_closed)

    def pause_writing(self) -> None:
        """Pause reading until the client reads its responses, so that they do not pile up in memory."""
        self._has_unread_responses = True
        self.update_reading()

    def resume_writing(self) -> None:
        """Resume reading requests."""
        self._has_unread_responses = False
        self.update_reading()

    def update_reading(self) -> None:
        """Pause reading while there is a reason for it, and resume it otherwise."""
        if not self.socket.is_attached:
            return
        if self._has_unread_responses or self.has_deferred_bytes or not self.discard_share.reads_left:
            self.socket.pause_reading()
            if self.pending_exchanges or not self.reader.is_closed:  # else a disconnect changes nothing
                self._registry.mark_paused(self)
        else:
            self._registry.unmark_paused(self)
            self.socket.resume_reading()

    # --- called by the reader ----------------------------------------------------------------------

    def request_started(self) -> None:
        """Start the read timeout; for the first request, it has run since the client connected."""
        if self.queue is self._registry.idle_connections:
            self.move_to_queue(self._registry.receiving)

    def continue_expected(self) -> None:
        """Send the 100 Continue response that the client expects, unless earlier responses are pending."""
        if not self.pending_exchanges:
            self.socket.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def body_received(self, size: int) -> None:
        """Reserve bytes of the request budget for a part of a body."""
        self._body_reservation.grow(size)

    def request_received(self, request: ReceivedRequest) -> None:
        """Dispatch a complete request."""
        self._requests_in_read += 1
        has_too_many_pending = len(self.pending_exchanges) >= MAX_PIPELINED_REQUESTS
        # One read may contain hundreds of requests, each with a response of up to 64 KiB to buffer.
        if has_too_many_pending or self._requests_in_read > MAX_REQUESTS_PER_READ:
            raise UnavailableError("too many pipelined requests on this connection")
        if self.socket.has_peer_closed():
            # The client has disconnected after sending the request, which may have been in the socket buffer
            # for some time.
            self.eof_received()
            return
        self.move_to_queue(None)
        exchange = Exchange(self, keep_alive=request.keep_alive)
        self.pending_exchanges.append(exchange)
        self._dispatcher.dispatch(exchange, request, self._body_reservation)
        self._release_body()

    # --- responses ---------------------------------------------------------------------------------

    def reject(self, error: FrontendError) -> None:
        """Send an error response after all pending responses, and close the connection."""
        if self.reader.is_closed:
            return
        self.reader.close()
        self._release_body()
        if self.pending_exchanges:
            self.move_to_queue(None)  # the pending responses have their own deadlines
        exchange = Exchange(self, keep_alive=False)
        self.pending_exchanges.append(exchange)
        exchange.respond(error_response(error))

    def flush_responses(self) -> None:
        """Write the responses that are next in order; if none is pending, wait for the next request.

        After the last response on the connection, shut down the sending side but keep reading: closing with
        unread bytes would make the system send a reset, which could overtake the response.
        """
        while self.pending_exchanges and (response := self.pending_exchanges[0].response) is not None:
            exchange = self.pending_exchanges.popleft()
            if not self.socket.is_open:
                continue
            is_last = not exchange.keep_alive or (self._registry.is_stopping and not self.pending_exchanges)
            self.socket.write(encode_response(response, close=is_last))
            if is_last:
                self.reader.close()
                self.socket.write_eof()
                self.move_to_queue(self._registry.half_closed)
                self._disconnect_pending_exchanges()  # pipelined requests that get no response any more
                return
        if not self.pending_exchanges and self.queue is None:
            is_receiving = self.reader.is_receiving
            self.move_to_queue(self._registry.receiving if is_receiving else self._registry.idle_connections)

    def abort(self) -> None:
        """Close the connection at once; unsent bytes, and received ones that are not parsed, are lost."""
        self.discard_deferred()
        self.move_to_queue(None)
        self.socket.abort()

    def _disconnect_pending_exchanges(self) -> None:
        """Tell the driver for each pending request that the client has disconnected."""
        pending = self.pending_exchanges
        self.pending_exchanges = deque()
        for exchange in pending:
            exchange.disconnect()

    def _release_body(self) -> None:
        """Free the buffered part of a body that belongs to no open request."""
        self._body_reservation.release()
        self.reader.discard_body()
