"""One connection of a client: socket events in, responses out in the order of their requests."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Protocol, cast

from gateway.frontend.client_socket import ClientSocket
from gateway.frontend.errors import FrontendError, UnavailableError
from gateway.frontend.exchange import Exchange
from gateway.frontend.http_response import encode_response, error_response
from gateway.frontend.request_budget import BodyReservation
from gateway.frontend.request_reader import ReceivedRequest, RequestReader

if TYPE_CHECKING:
    from gateway.frontend.request_dispatcher import RequestDispatcher
    from gateway.frontend.wait_queue import WaitQueue

MAX_PIPELINED_REQUESTS = 4  # on one connection, that wait for their responses
DISCARD_PAUSE_SECONDS = 0.01  # for a rejected client that goes on sending; bounds what reading it costs


class ConnectionOwner(Protocol):
    """The table of all connections, as one of them sees it.

    The connection calls all methods, and enters itself into the queue of what it waits for.
    """

    new_connections: WaitQueue[ClientConnection]
    idle_connections: WaitQueue[ClientConnection]
    receiving: WaitQueue[ClientConnection]
    half_closed: WaitQueue[ClientConnection]
    is_stopping: bool

    def add(self, client: ClientConnection) -> None:
        """Count a connection that was made."""

    def remove(self, client: ClientConnection) -> None:
        """Forget a connection that is lost."""

    def mark_write_blocked(self, client: ClientConnection) -> None:
        """Note that a connection is not read, as its client does not read its responses."""

    def unmark_write_blocked(self, client: ClientConnection) -> None:
        """Note that a connection is read again."""


class ClientConnection(asyncio.Protocol):
    """One connection of a client.

    It is in at most one of its owner's queues, by what it waits for; while a response is owed, in none.

    The event loop calls the methods of ``asyncio.Protocol``, the reader those of ``RequestHandler``, and the
    exchanges ``flush``.  The owner calls ``enqueue``, ``reject`` and ``abort``, and ``eof_received`` for a
    client that has disconnected while it is not read.

    Attributes:
        socket: The socket of the client.
        reader: Reads the requests.
        pending: The requests whose responses are not written yet, in their order.
        queue: The queue in which the connection waits; None while it is in none.
    """

    def __init__(self, owner: ConnectionOwner, dispatcher: RequestDispatcher) -> None:
        self.socket = ClientSocket()
        self.reader = RequestReader(self)
        self.pending: deque[Exchange] = deque()
        self.queue: WaitQueue[ClientConnection] | None = None
        self._owner = owner
        self._dispatcher = dispatcher
        self._body = BodyReservation(dispatcher.budget)  # of the request that is being received

    def enqueue(self, queue: WaitQueue[ClientConnection] | None) -> None:
        """Move to the end of a queue, or out of all."""
        if self.queue is not None:
            self.queue.discard(self)
        self.queue = queue
        if queue is not None:
            queue.add(self)

    def has_unread_bytes(self) -> bool:
        """Return whether bytes wait to be read.

        A connection must not be closed on a request that has arrived.
        """
        return not self.reader.is_closed and self.socket.has_unread_bytes()

    # --- called by the event loop ------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request."""
        self.socket.attach(cast("asyncio.Transport", transport))  # uvloop's are not its subclasses
        self.enqueue(self._owner.new_connections)
        self._owner.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Free everything that is held for the connection."""
        self.socket.detach()
        self.enqueue(None)
        self._owner.remove(self)
        self._release_body()
        self._disconnect_pending()

    def data_received(self, data: bytes) -> None:
        """Read requests; invalid bytes get an error response.

        Bytes behind an invalid request are read and discarded, as a reset on unread bytes could overtake the
        response, but at a bounded pace.
        """
        if not self.reader.is_closed:
            try:
                self.reader.feed(data)
            except FrontendError as error:
                self.reject(error)
        elif self.reader.discard(len(data)) and self.socket.is_attached:
            self.socket.pause_reading()
            asyncio.get_running_loop().call_later(DISCARD_PAUSE_SECONDS, self.resume_writing)

    def eof_received(self) -> None:
        """Disconnect the client, which has ended its sending.

        The transport closes only once all written bytes are sent, and reports nothing more until then.
        """
        self.reader.close()
        self._disconnect_pending()
        self.enqueue(self._owner.half_closed)  # it has as long to read as behind any last response

    def pause_writing(self) -> None:
        """Read no further requests until the client reads its responses, which must not pile up here."""
        if self.socket.is_attached:
            self.socket.pause_reading()
            self._owner.mark_write_blocked(self)

    def resume_writing(self) -> None:
        """Read requests again."""
        self._owner.unmark_write_blocked(self)
        self.socket.resume_reading()

    # --- called by the reader ----------------------------------------------------------------------

    def request_started(self) -> None:
        """Wait for the rest of the request."""
        if self.queue is self._owner.idle_connections:
            self.enqueue(self._owner.receiving)

    def continue_expected(self) -> None:
        """Send the 100 response that the client waits for, unless another response is owed before."""
        if not self.pending:
            self.socket.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def body_received(self, size: int) -> None:
        """Count a part of a body among all bytes that are buffered."""
        self._body.grow(size)

    def request_received(self, request: ReceivedRequest) -> None:
        """Take a complete request, which owes a response from now on."""
        if len(self.pending) >= MAX_PIPELINED_REQUESTS:
            # One read may bring hundreds of requests, each with a response of 64 KiB to keep for its turn.
            raise UnavailableError("too many requests at once")
        if self.socket.has_peer_closed():
            self.eof_received()  # the client ended its sending behind the request, which may have waited here
            return
        self.enqueue(None)
        exchange = Exchange(self, keep_alive=request.keep_alive)
        self.pending.append(exchange)
        self._dispatcher.dispatch(exchange, request, self._body)
        self._release_body()

    # --- responses ---------------------------------------------------------------------------------

    def reject(self, error: FrontendError) -> None:
        """Send an error response, behind the responses that are still owed, and close the connection."""
        if self.reader.is_closed:
            return
        self.reader.close()
        self._release_body()
        if self.pending:
            self.enqueue(None)  # the responses before it have their own deadlines
        exchange = Exchange(self, keep_alive=False)
        self.pending.append(exchange)
        exchange.reply(error_response(error))

    def flush(self) -> None:
        """Write the responses whose turn has come; wait for the next request once none is owed."""
        while self.pending and (response := self.pending[0].response) is not None:
            exchange = self.pending.popleft()
            if not self.socket.is_open:
                continue
            is_last = not exchange.keep_alive or (self._owner.is_stopping and not self.pending)
            self.socket.write(encode_response(response, close=is_last))
            if is_last:
                self._end_sending()
                return
        if not self.pending and self.queue is None:
            is_receiving = self.reader.is_receiving
            self.enqueue(self._owner.receiving if is_receiving else self._owner.idle_connections)

    def abort(self) -> None:
        """Close the connection at once; unsent bytes are lost."""
        self.enqueue(None)
        self.socket.abort()

    def _end_sending(self) -> None:
        """End sending, but go on reading: a reset on unread bytes could overtake the response."""
        self.reader.close()
        if self.socket.is_attached:
            self.socket.write_eof()
            self.enqueue(self._owner.half_closed)
            self._disconnect_pending()  # those that were pipelined behind the last one

    def _disconnect_pending(self) -> None:
        """Tell the driver for each response that is still owed that the client has disconnected."""
        pending = self.pending
        self.pending = deque()
        for exchange in pending:
            exchange.disconnect()

    def _release_body(self) -> None:
        """Free what is buffered of a body that is not part of an open request."""
        self._body.release()
        self.reader.discard_body()
