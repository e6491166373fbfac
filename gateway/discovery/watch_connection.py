"""One connection to a discovery agent: fetches a snapshot of the endpoint list, then watches for updates."""

from __future__ import annotations

import enum
import logging
import time
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol, cast

import httptools

from gateway.connector import OutgoingProtocol
from gateway.discovery import endpoint_keys
from gateway.discovery.json_stream import JsonStream
from gateway.scheduled_protocol import ScheduledProtocol

if TYPE_CHECKING:
    import asyncio

    from gateway.read_scheduler import ReadScheduler

MAX_UPDATE_BYTES = 1 << 20  # for one endpoint list or delta; enough for thousands of endpoints
MAX_REJECTED_UPDATES = 16  # on one connection, each of which costs a line of the log and a new snapshot

log = logging.getLogger(__name__)


class WatchState(enum.Enum):
    """The state of a connection."""

    CONNECTING = enum.auto()
    FETCHING_SNAPSHOT = enum.auto()  # the snapshot was requested
    WATCHING = enum.auto()  # the snapshot was accepted, and the watch requested
    CLOSED = enum.auto()


ALLOWED_TRANSITIONS = {
    WatchState.CONNECTING: {WatchState.FETCHING_SNAPSHOT, WatchState.CLOSED},
    WatchState.FETCHING_SNAPSHOT: {WatchState.WATCHING, WatchState.CLOSED},
    WatchState.WATCHING: {WatchState.CLOSED},
    WatchState.CLOSED: set(),
}


class WatchConsumer(Protocol):
    """What a connection needs from the watch that opened it."""

    version: int

    def accept_snapshot(self, connection: WatchConnection, document: bytes) -> bool:
        """Publish a snapshot; return false if the document is not a snapshot."""
        ...

    def apply_update(self, connection: WatchConnection, document: bytes) -> bool:
        """Apply an update; return false if a new snapshot must be fetched."""
        ...

    def request_resync(self, connection: WatchConnection) -> None:
        """Fetch a snapshot on a new connection."""
        ...

    def wake_up(self) -> None:
        """Check whether a new connection is needed."""
        ...


class WatchConnection(ScheduledProtocol, OutgoingProtocol):
    """One connection to an agent, which parses HTTP responses and the JSON documents in them.

    The event loop calls the methods of `asyncio.BufferedProtocol`, and the HTTP parser those named `on_...`.
    Each connection first requests a snapshot, as the agent may not recognize the version of a snapshot that
    was received on another connection.  The watch is a chunked response of JSON documents.

    Attributes:
        state: The state of the connection.
        closed: Done once the connection is closed.
        has_received: Whether any byte of the snapshot response was received.
        last_received_at: Monotonic time in seconds of the last received bytes of the snapshot, or of the
            last document or heartbeat of the watch.
    """

    def __init__(
        self, consumer: WatchConsumer, loop: asyncio.AbstractEventLoop, read_scheduler: ReadScheduler
    ) -> None:
        super().__init__(read_scheduler)
        self.state = WatchState.CONNECTING
        self.closed: asyncio.Future[None] = loop.create_future()
        self.has_received = False
        self.last_received_at = time.monotonic()
        self._consumer = consumer
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._snapshot = bytearray()  # the received bytes of the snapshot
        self._documents = JsonStream()
        self._watched = bytearray()  # bytes of the watch in the last read
        self._rejected_updates = 0  # updates that could not be applied

    def _set_state(self, state: WatchState) -> None:
        assert state in ALLOWED_TRANSITIONS[self.state], f"{self.state} to {state}"
        self.state = state

    @property
    def has_transport(self) -> bool:
        """Whether `connection_made` was called, and `connection_lost` was not called since."""
        return self._transport is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Request the snapshot."""
        super().connection_made(transport)
        self._transport = cast("asyncio.Transport", transport)  # uvloop's transports do not subclass it
        self.last_received_at = time.monotonic()
        self._set_state(WatchState.FETCHING_SNAPSHOT)
        self._send_request(endpoint_keys.SNAPSHOT_TARGET)

    def _send_request(self, target: str) -> None:
        assert self._transport is not None
        self._transport.write(f"GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def bulk_bytes(self) -> int:
        """Return 0: a list may come in a chunk for each byte, and each byte may be a document."""
        return 0

    def update_reading(self) -> None:
        """Pause reading while received bytes are not parsed yet, and resume it otherwise."""
        if self._transport is None or self._transport.is_closing():
            return
        if self.has_deferred_bytes:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def parse(self, data: memoryview | bytes) -> None:
        """Feed the HTTP parser, which calls the `on_...` methods."""
        if self.state is not WatchState.WATCHING:
            self.has_received = True
            self.last_received_at = time.monotonic()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:  # the end of the response can no longer be found
            self._fail(f"malformed HTTP response: {error}")
        self._apply_documents()

    def on_headers_complete(self) -> None:
        """Close the connection unless the status is 200."""
        if self._parser.get_status_code() != HTTPStatus.OK:
            self._fail(f"unexpected status {self._parser.get_status_code()}")

    def on_body(self, body: bytes) -> None:
        """Collect the bytes of the snapshot or of the watch; a read may contain a chunk for each byte."""
        if self.state is WatchState.WATCHING:
            self._watched += body
        else:
            self._snapshot += body
            self._check_size()

    def _apply_documents(self) -> None:
        """Apply the documents of the watch that the last read has completed."""
        if not self._watched:
            return
        documents = self._documents.feed(self._watched)
        self._watched.clear()
        for document in documents:
            self.last_received_at = time.monotonic()
            is_heartbeat = not document
            if is_heartbeat or self._consumer.apply_update(self, document):
                continue
            self._consumer.request_resync(self)
            self._rejected_updates += 1
            if self._rejected_updates > MAX_REJECTED_UPDATES:
                self._fail("too many updates that cannot be applied")
                return
        self._check_size()

    def _check_size(self) -> None:
        if len(self._snapshot) + self._documents.buffered_bytes > MAX_UPDATE_BYTES:
            self._fail(f"update exceeds {MAX_UPDATE_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Request the watch after the snapshot; close the connection at the end of the watch."""
        if self._transport is None or self._transport.is_closing():
            return
        if self.state is WatchState.WATCHING:
            self._apply_documents()
            self._transport.close()
        elif not self._consumer.accept_snapshot(self, bytes(self._snapshot)):
            self._fail("response is not a snapshot of the endpoint list")
        else:
            self._set_state(WatchState.WATCHING)
            self._snapshot.clear()
            self._send_request(endpoint_keys.WATCH_TARGET.format(version=self._consumer.version))

    def _fail(self, reason: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            log.warning("discovery: watch ended: %s", reason)
            self.abort()

    def abort(self) -> None:
        """Close the transport immediately, if there is one; bytes that are not parsed yet are lost."""
        self.discard_deferred()
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, _error: Exception | None) -> None:
        """Notify the watch that this connection is closed."""
        self._transport = None
        self.discard_deferred()
        del self._parser  # httptools holds the methods `on_...`, a reference cycle
        self._set_state(WatchState.CLOSED)
        if not self.closed.done():  # it is already cancelled if the task that awaits it was cancelled
            self.closed.set_result(None)
        self._consumer.wake_up()
