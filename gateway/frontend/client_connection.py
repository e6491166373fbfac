"""One connection of a client: socket events in, responses out in the order of their requests."""

from __future__ import annotations

import asyncio
import logging
import select
import time
from collections import OrderedDict, deque
from typing import TYPE_CHECKING, TypeAlias, cast

from gateway.driver.open_request import Response
from gateway.frontend.errors import FrontendError, UnavailableError
from gateway.frontend.exchange import Exchange
from gateway.frontend.http_response import encode_response, error_response
from gateway.frontend.request_reader import ReceivedRequest, RequestReader

if TYPE_CHECKING:
    from gateway.frontend.listener import Listener

MAX_PIPELINED_REQUESTS = 4  # on one connection, that wait for their responses
DISCARD_PAUSE_SECONDS = 0.01  # for a rejected client that goes on sending; bounds what reading it costs
READY_TARGET = b"/-/ready"

ConnectionQueue: TypeAlias = OrderedDict["ClientConnection", None]  # the one that has waited longest first

log = logging.getLogger(__name__)


class ClientConnection(asyncio.Protocol):
    """One connection of a client.

    It is in at most one of the listener's queues, by what it waits for; while a response is owed, in none.
    """

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.socket_poll = select.poll()  # what the system knows of the connection, and the loop not yet
        self.reader = RequestReader(self)
        self.pending: deque[Exchange] = deque()
        self.queue: ConnectionQueue | None = None
        self.queued_since = 0.0  # monotonic seconds
        self.buffered_bytes = 0  # of a body that is being received

    @property
    def is_receiving(self) -> bool:
        """Whether part of a request has come."""
        return self.reader.is_receiving

    @property
    def is_reader_closed(self) -> bool:
        """Whether nothing more is taken for a request."""
        return self.reader.is_closed

    def enqueue(self, queue: ConnectionQueue | None) -> None:
        """Move to the end of a queue, or out of all."""
        if self.queue is not None:
            self.queue.pop(self, None)
        self.queue = queue
        if queue is not None:
            queue[self] = None
            self.queued_since = time.monotonic()

    # --- the socket --------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request."""
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        self.transport = transport
        descriptor = transport.get_extra_info("socket").fileno()
        self.socket_poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
        self.enqueue(self.listener.new_connections)
        self.listener.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Free everything that is held for the connection."""
        self.transport = None
        self.enqueue(None)
        self.listener.remove(self)
        self.release_body()
        self.disconnect_pending()

    def data_received(self, data: bytes) -> None:
        """Read requests; what is invalid gets an error response.

        What comes behind one is read and discarded, as a reset on unread bytes could overtake the response,
        but at a bounded pace.
        """
        reader = self.reader
        if not reader.is_closed:
            try:
                reader.feed(data)
            except FrontendError as error:
                self.reject(error)
        elif reader.discard(len(data)) and self.transport is not None:
            self.transport.pause_reading()
            self.listener.loop.call_later(DISCARD_PAUSE_SECONDS, self.resume_writing)

    def eof_received(self) -> None:
        """The client has ended its sending, which is how one disconnects.

        The transport closes only once all that was written has left, and until then reports nothing more.
        """
        self.reader.close()
        self.disconnect_pending()
        self.enqueue(self.listener.half_closed)  # it has as long to read as behind any last response

    def pause_writing(self) -> None:
        """Read no further requests until the client reads its responses: they must not pile up here."""
        if self.transport is not None:
            self.transport.pause_reading()
            self.listener.set_write_blocked(self, True)

    def resume_writing(self) -> None:
        """Read on."""
        self.listener.set_write_blocked(self, False)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def has_socket_event(self, events: int) -> bool:
        """Whether the system has one of these poll events for the socket."""
        if self.transport is None or self.transport.is_closing():
            return False
        return any(found & events for _, found in self.socket_poll.poll(0))

    def has_unread_bytes(self) -> bool:
        """Whether bytes wait to be read: a connection must not be closed on a request that has come."""
        return not self.reader.is_closed and self.has_socket_event(select.POLLIN)

    # --- requests: called by the reader ------------------------------------------------------------

    def request_started(self) -> None:
        """Wait for the rest of the request."""
        if self.queue is self.listener.idle_connections:
            self.enqueue(self.listener.receiving)

    def continue_expected(self) -> None:
        """Tell the client to send the body, unless a response is owed before."""
        if self.transport and not self.pending:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def body_received(self, size: int) -> None:
        """Count part of a body among all that are buffered."""
        self.buffered_bytes += size
        self.listener.reserve_buffer(size)

    def request_received(self, request: ReceivedRequest) -> None:
        """Take a complete request, which owes a response from now on."""
        if len(self.pending) >= MAX_PIPELINED_REQUESTS:
            # One read may bring hundreds of requests, each with a response of 64 KiB to keep for its turn.
            raise UnavailableError("too many requests at once")
        if self.has_socket_event(select.POLLRDHUP):
            self.eof_received()  # it left behind its request, which may have waited here, as in a stall
            return
        self.enqueue(None)
        exchange = Exchange(self, keep_alive=request.keep_alive)
        self.pending.append(exchange)
        try:
            self.handle_request(exchange, request)
        except FrontendError as error:
            exchange.keep_alive = False  # its descriptor is of use to others
            exchange.reply(error_response(error))
        except Exception:
            log.exception("a request could not be handled")
            if exchange.response is None:
                exchange.reply(Response(502))
        self.release_body()

    def handle_request(self, exchange: Exchange, request: ReceivedRequest) -> None:
        """Answer a readiness check; submit any other request to the policy, if there is room for it."""
        listener = self.listener
        if request.target == READY_TARGET:
            exchange.reply(Response(200 if listener.is_ready() else 503))
            return
        if len(listener.connections) > listener.max_connections:
            exchange.keep_alive = False
            exchange.reply(Response(UnavailableError.status, retry_after=UnavailableError.retry_after))
            return
        metadata = listener.metadata_parser.parse(request.method, request.target, request.headers)
        listener.reserve_request_id(metadata.request_id)
        exchange.request_id = metadata.request_id
        exchange.buffered_bytes, self.buffered_bytes = self.buffered_bytes, 0
        exchange.submit(listener.driver, request, metadata)

    def reject(self, error: FrontendError) -> None:
        """Answer what cannot be read as a request, behind the responses still owed, and close."""
        if self.reader.is_closed:
            return
        self.reader.close()
        self.release_body()
        if self.pending:
            self.enqueue(None)  # the responses before it have their own deadlines
        exchange = Exchange(self, keep_alive=False)
        self.pending.append(exchange)
        exchange.reply(error_response(error))

    def release_body(self) -> None:
        """Free what is buffered of a body that is not part of an open request."""
        if self.buffered_bytes:
            self.listener.release_buffer(self.buffered_bytes)
            self.buffered_bytes = 0
        self.reader.discard_body()

    def request_released(self, exchange: Exchange) -> None:
        """Free what was held for an open request, now that it is over at the endpoints too."""
        if exchange.buffered_bytes:
            self.listener.release_buffer(exchange.buffered_bytes)
            exchange.buffered_bytes = 0
        self.listener.release_request_id(exchange.request_id)

    # --- responses ---------------------------------------------------------------------------------

    def flush(self) -> None:
        """Write the responses whose turn has come; wait for the next request once none is owed."""
        listener = self.listener
        while self.pending and (response := self.pending[0].response) is not None:
            exchange = self.pending.popleft()
            if self.transport is None or self.transport.is_closing():
                continue
            close = not exchange.keep_alive or (listener.stopping and not self.pending)
            self.transport.write(encode_response(response, close))
            if close:
                self.end()
                return
        if not self.pending and self.queue is None:
            self.enqueue(listener.receiving if self.is_receiving else listener.idle_connections)

    def end(self) -> None:
        """End sending; read on for a moment, as a reset on unread bytes could overtake the response."""
        self.reader.close()
        if self.transport is not None:
            self.transport.write_eof()
            self.enqueue(self.listener.half_closed)
            self.disconnect_pending()  # those that were pipelined behind the last one

    def disconnect_pending(self) -> None:
        """Tell the driver that the client has gone, for each response that is still owed."""
        pending, self.pending = self.pending, deque()
        for exchange in pending:
            if exchange.open_request is not None:
                self.listener.driver.client_disconnected(exchange.open_request)

    def abort(self) -> None:
        """Close the connection at once, whatever was not sent."""
        self.enqueue(None)
        if self.transport is not None:
            self.transport.abort()
