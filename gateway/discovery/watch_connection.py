"""One connection to a discovery agent: fetches the complete endpoint list, then watches for updates."""

from __future__ import annotations

import asyncio
import enum
import logging
import time
from http import HTTPStatus
from typing import Protocol, cast

import httptools

from gateway.discovery import endpoint_keys
from gateway.discovery.json_stream import JsonStream

MAX_UPDATE_BYTES = 1 << 20  # of one endpoint list or delta, enough for thousands of endpoints

log = logging.getLogger(__name__)


class WatchState(enum.Enum):
    """How far a connection has come."""

    CONNECTING = enum.auto()
    FETCHING_SNAPSHOT = enum.auto()  # the complete list has been requested
    WATCHING = enum.auto()  # the list has been accepted; updates follow
    CLOSED = enum.auto()


NEXT_STATES = {
    WatchState.CONNECTING: {WatchState.FETCHING_SNAPSHOT, WatchState.CLOSED},
    WatchState.FETCHING_SNAPSHOT: {WatchState.WATCHING, WatchState.CLOSED},
    WatchState.WATCHING: {WatchState.CLOSED},
    WatchState.CLOSED: set(),
}


class WatchConsumer(Protocol):
    """What a connection needs of the watch that opened it."""

    version: int

    def accept_snapshot(self, connection: WatchConnection, document: bytes) -> bool:
        """Publish a complete endpoint list; return whether the document is one."""
        ...

    def apply_update(self, connection: WatchConnection, document: bytes) -> bool:
        """Apply an update of the watch; return whether it could be read and was not outdated."""
        ...

    def request_resync(self, connection: WatchConnection) -> None:
        """Fetch the complete list again, on another connection."""
        ...

    def wake_up(self) -> None:
        """Look again at which connections are needed."""
        ...


class WatchConnection(asyncio.Protocol):
    """One connection to an agent; the HTTP parser and the `JsonStream` interpret its bytes.

    The event loop calls the methods of `asyncio.Protocol`, and the HTTP parser the methods named `on_...`.
    The complete list is requested first on each connection, as the version of another connection's list may
    mean nothing to this agent.  The watch is a chunked response of JSON documents.

    Attributes:
        state: How far the connection has come.
        closed: Done once the connection has ended.
        has_received: Whether any byte of the complete list has come.
        last_received_at: When bytes of the complete list, then a document or a heartbeat of the watch, came
            last; in monotonic seconds.
    """

    def __init__(self, consumer: WatchConsumer, loop: asyncio.AbstractEventLoop) -> None:
        self.state = WatchState.CONNECTING
        self.closed: asyncio.Future[None] = loop.create_future()
        self.has_received = False
        self.last_received_at = time.monotonic()
        self._consumer = consumer
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._snapshot = b""  # the bytes of the complete list so far
        self._documents = JsonStream()

    def _enter(self, state: WatchState) -> None:
        assert state in NEXT_STATES[self.state], f"{self.state} to {state}"
        self.state = state

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Request the complete list."""
        self._transport = cast("asyncio.Transport", transport)  # uvloop's are not its subclasses
        self.last_received_at = time.monotonic()
        self._enter(WatchState.FETCHING_SNAPSHOT)
        self._send_request(endpoint_keys.SNAPSHOT_TARGET)

    def _send_request(self, target: str) -> None:
        assert self._transport is not None
        self._transport.write(f"GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Feed the HTTP parser, which calls the `on_...` methods."""
        if self.state is not WatchState.WATCHING:
            self.has_received = True
            self.last_received_at = time.monotonic()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:  # the end of the message cannot be found any more
            self._fail(f"malformed response: {error}")

    def on_headers_complete(self) -> None:
        """End the connection unless the agent serves the request."""
        if self._parser.get_status_code() != HTTPStatus.OK:
            self._fail(f"response status {self._parser.get_status_code()}")

    def on_body(self, body: bytes) -> None:
        """Collect the complete list, or pass on the documents of the watch that are complete."""
        if self.state is WatchState.WATCHING:
            self._apply_documents(body)
        else:
            self._snapshot += body
        if len(self._snapshot) + self._documents.buffered_bytes > MAX_UPDATE_BYTES:
            self._fail(f"an update of more than {MAX_UPDATE_BYTES} bytes")

    def _apply_documents(self, body: bytes) -> None:
        for document in self._documents.feed(body):
            self.last_received_at = time.monotonic()
            is_heartbeat = not document
            if not is_heartbeat and not self._consumer.apply_update(self, document):
                self._consumer.request_resync(self)

    def on_message_complete(self) -> None:
        """Start the watch once the complete list is accepted; a watch that ends closes the connection."""
        if self._transport is None or self._transport.is_closing():
            return
        if self.state is WatchState.WATCHING:
            self._transport.close()
        elif not self._consumer.accept_snapshot(self, self._snapshot):
            self._fail("the response is not a complete endpoint list")
        else:
            self._enter(WatchState.WATCHING)
            self._snapshot = b""
            self._send_request(endpoint_keys.WATCH_TARGET.format(version=self._consumer.version))

    def _fail(self, reason: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            log.warning("discovery: watch ended: %s", reason)
            self._transport.abort()

    def abort(self) -> None:
        """Close the connection at once, if there is one."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, _error: Exception | None) -> None:
        """Tell the watch that this connection has ended."""
        self._enter(WatchState.CLOSED)
        if not self.closed.done():  # it is cancelled together with a task that waits for it
            self.closed.set_result(None)
        self._consumer.wake_up()
