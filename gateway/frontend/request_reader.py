"""What the bytes of a client's requests mean: framing, size limits, headers and body; no I/O."""

from __future__ import annotations

import enum
import time
from dataclasses import dataclass
from typing import Protocol

import httptools

from gateway.frontend.errors import BadRequestError, BodyTooLargeError, FrontendError

MAX_BODY_BYTES = 64 * 1024  # by the protocol
MAX_HEADER_BYTES = 16 * 1024  # target and headers, with their separators
HEADER_SEPARATOR_BYTES = 4  # colon, space and line end
HEADER_TOO_LARGE = "header too large"
MAX_UNPARSED_BYTES = 1024  # that belong to no request, such as empty lines
MAX_DISCARDED_BYTES = 1 << 20  # read of a rejected client before it is paused


class ReaderState(enum.Enum):
    """What the next byte is taken for."""

    BETWEEN_REQUESTS = enum.auto()
    RECEIVING = enum.auto()  # part of a request has come
    CLOSED = enum.auto()  # nothing more is taken for a request


# Looked up once: access to a member through its class takes a Python call in Python 3.11.
BETWEEN_REQUESTS, RECEIVING, CLOSED = ReaderState


@dataclass(slots=True)
class ReceivedRequest:
    """A complete request; header names are in lower case, `started_at` is monotonic seconds."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool
    started_at: float


class RequestHandler(Protocol):
    """Receives the events in the stream of bytes, within the call of `RequestReader.feed`."""

    def request_started(self) -> None:
        """The first byte of a request was read."""

    def continue_expected(self) -> None:
        """The client wants to be told to go on before it sends the body."""

    def body_received(self, size: int) -> None:
        """Part of a body was read; a `FrontendError` raised here rejects the request."""

    def request_received(self, request: ReceivedRequest) -> None:
        """A request is complete; a `FrontendError` raised here ends the reading."""


class RequestReader:
    """Reads the requests on one connection.

    All changes of `state` are made here.  The HTTP parser calls the methods named `on_...`.
    """

    __slots__ = (
        "body_bytes", "body_parts", "handler", "header_bytes", "headers", "headers_complete", "parser",
        "started_at", "state", "target", "unparsed_bytes",
    )  # fmt: skip

    def __init__(self, handler: RequestHandler) -> None:
        self.handler = handler
        self.parser = httptools.HttpRequestParser(self)
        self.state = BETWEEN_REQUESTS
        self.unparsed_bytes = 0  # read since the last complete request
        self.started_at = 0.0
        self.start_request()

    @property
    def is_receiving(self) -> bool:
        """Whether part of a request has come."""
        return self.state is RECEIVING

    @property
    def is_closed(self) -> bool:
        """Whether nothing more is taken for a request."""
        return self.state is CLOSED

    def start_request(self) -> None:
        """Forget the last request."""
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.headers_complete = False
        self.header_bytes = 0
        self.body_parts: list[bytes] = []
        self.body_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse what was read, and call the handler for what it brings.

        Raises:
            FrontendError: What was read is no valid request, or the handler has refused it.
        """
        self.unparsed_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadRequestError("no upgrades here") from None
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, FrontendError):
                raise cause from None
            raise BadRequestError("malformed request") from None
        if self.unparsed_bytes > MAX_UNPARSED_BYTES and self.state is not RECEIVING:
            raise BadRequestError("no request")

    def close(self) -> None:
        """Take nothing more for a request."""
        self.state = CLOSED

    def discard(self, size: int) -> bool:
        """Count bytes that were read after `close`.

        Returns:
            Whether so many came that the client has to pause; the count then starts anew.
        """
        self.unparsed_bytes += size
        if self.unparsed_bytes <= MAX_DISCARDED_BYTES:
            return False
        self.unparsed_bytes = 0
        return True

    def discard_body(self) -> None:
        """Free the memory of the body that has come so far."""
        self.body_parts = []

    def on_message_begin(self) -> None:
        """Begin a request, unless the reader was closed within this call of `feed`."""
        if self.state is CLOSED:
            raise BadRequestError("nothing more is read here")
        self.start_request()
        self.started_at = time.monotonic()
        self.state = RECEIVING
        self.handler.request_started()

    def on_url(self, target: bytes) -> None:
        """Collect the target, which may come in parts."""
        self.target += target
        self.header_bytes += len(target)
        if self.header_bytes > MAX_HEADER_BYTES:
            raise BadRequestError(HEADER_TOO_LARGE)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header.  Trailers are left out, as one could stand in for a header that is absent."""
        self.header_bytes += len(name) + len(value) + HEADER_SEPARATOR_BYTES
        if self.header_bytes > MAX_HEADER_BYTES:
            raise BadRequestError(HEADER_TOO_LARGE)
        if not self.headers_complete:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the announced length before any of the body is read."""
        self.headers_complete = True
        for name, value in self.headers:
            if name == b"content-length" and int(value) > MAX_BODY_BYTES:
                raise BodyTooLargeError("body too large")
            if name == b"expect" and value.lower() == b"100-continue":
                self.handler.continue_expected()

    def on_body(self, data: bytes) -> None:
        """Collect the body up to its limit."""
        self.body_bytes += len(data)
        if self.body_bytes > MAX_BODY_BYTES:
            raise BodyTooLargeError("body too large")
        self.handler.body_received(len(data))
        self.body_parts.append(data)

    def on_message_complete(self) -> None:
        """Hand the complete request over."""
        if self.state is RECEIVING:
            self.state = BETWEEN_REQUESTS
        self.unparsed_bytes = 0
        self.handler.request_received(
            ReceivedRequest(
                self.parser.get_method(),
                self.target,
                self.headers,
                b"".join(self.body_parts),
                self.parser.should_keep_alive(),
                self.started_at,
            )
        )
