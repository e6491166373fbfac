"""Parses the bytes of a client's requests: framing, size limits, headers and body; performs no I/O."""

from __future__ import annotations

import enum
import time
from dataclasses import dataclass
from typing import Protocol

import httptools

from gateway.frontend import request_headers
from gateway.frontend.errors import BadRequestError, BodyTooLargeError, FrontendError

MAX_BODY_BYTES = 64 * 1024  # the limit of the protocol
MAX_HEADER_BYTES = 16 * 1024  # target and headers, with their separators
HEADER_SEPARATOR_BYTES = 4  # colon, space and line end
EXPECT = b"expect"
CONTINUE_EXPECTED = b"100-continue"  # the value of Expect
HEADER_TOO_LARGE = "header too large"
MAX_UNPARSED_BYTES = 1024  # of no request, such as empty lines
MAX_DISCARDED_BYTES = 1 << 20  # of a rejected client, after which reading pauses


class ReaderState(enum.Enum):
    """What a reader expects."""

    BETWEEN_REQUESTS = enum.auto()
    RECEIVING = enum.auto()  # part of a request was read
    CLOSED = enum.auto()  # further bytes are discarded


# Looked up once: access to a member through its class takes a Python call in Python 3.11.
BETWEEN_REQUESTS, RECEIVING, CLOSED = ReaderState


@dataclass(slots=True)
class ReceivedRequest:
    """A complete request.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Names, in lower case, and values in their order.
        body: Body without its framing.
        keep_alive: Whether the client keeps the connection open behind the request.
        started_at: Monotonic time in seconds at which the first byte was read.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool
    started_at: float


class RequestHandler(Protocol):
    """Receives what the reader finds in the bytes.

    The reader calls all methods, within the call of `RequestReader.feed`.
    """

    def request_started(self) -> None:
        """The first byte of a request was read."""

    def continue_expected(self) -> None:
        """The client waits for a 100 response before it sends the body."""

    def body_received(self, size: int) -> None:
        """Part of a body was read; a `FrontendError` raised here rejects the request."""

    def request_received(self, request: ReceivedRequest) -> None:
        """A request is complete; a `FrontendError` raised here ends the reading."""


class RequestReader:
    """Reads the requests on one connection.

    The HTTP parser calls the methods named `on_...`; the connection calls the others.

    Attributes:
        state: What the reader expects.
        unparsed_bytes: How many bytes were read since the last complete request.
    """

    __slots__ = (
        "_body_bytes",
        "_body_parts",
        "_handler",
        "_header_bytes",
        "_headers",
        "_headers_complete",
        "_parser",
        "_started_at",
        "_target",
        "state",
        "unparsed_bytes",
    )

    def __init__(self, handler: RequestHandler) -> None:
        self.state = BETWEEN_REQUESTS
        self.unparsed_bytes = 0
        self._handler = handler
        self._parser = httptools.HttpRequestParser(self)
        self._started_at = 0.0
        self._start_request()

    @property
    def is_receiving(self) -> bool:
        """Whether part of a request was read."""
        return self.state is RECEIVING

    @property
    def is_closed(self) -> bool:
        """Whether further bytes are discarded."""
        return self.state is CLOSED

    def _start_request(self) -> None:
        """Reset the fields of the request."""
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._headers_complete = False
        self._header_bytes = 0
        self._body_parts: list[bytes] = []
        self._body_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse bytes that were read, and call the handler for what they complete.

        Raises:
            FrontendError: The bytes are no valid request, or the handler has rejected it.
        """
        self.unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
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
        """Discard further bytes."""
        self.state = CLOSED

    def discard(self, size: int) -> bool:
        """Count bytes that are read after `close`.

        Returns:
            Whether they exceed the limit, so that reading has to pause; the count then starts anew.
        """
        self.unparsed_bytes += size
        if self.unparsed_bytes <= MAX_DISCARDED_BYTES:
            return False
        self.unparsed_bytes = 0
        return True

    def discard_body(self) -> None:
        """Free the memory of the part of a body that was read."""
        self._body_parts = []

    def on_message_begin(self) -> None:
        """Start a request, unless the reader was closed within this call of `feed`."""
        if self.state is CLOSED:
            raise BadRequestError("nothing more is read here")
        self._start_request()
        self._started_at = time.monotonic()
        self.state = RECEIVING
        self._handler.request_started()

    def on_url(self, target: bytes) -> None:
        """Add a part of the target."""
        self._target += target
        self._header_bytes += len(target)
        if self._header_bytes > MAX_HEADER_BYTES:
            raise BadRequestError(HEADER_TOO_LARGE)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header.  Trailers are left out, as one could take the place of a header that is absent."""
        self._header_bytes += len(name) + len(value) + HEADER_SEPARATOR_BYTES
        if self._header_bytes > MAX_HEADER_BYTES:
            raise BadRequestError(HEADER_TOO_LARGE)
        if not self._headers_complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the announced length before any of the body is read."""
        self._headers_complete = True
        for name, value in self._headers:
            if name == request_headers.CONTENT_LENGTH and int(value) > MAX_BODY_BYTES:
                raise BodyTooLargeError("body too large")
            if name == EXPECT and value.lower() == CONTINUE_EXPECTED:
                self._handler.continue_expected()

    def on_body(self, data: bytes) -> None:
        """Add a part of the body, up to the limit of its size."""
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            raise BodyTooLargeError("body too large")
        self._handler.body_received(len(data))
        self._body_parts.append(data)

    def on_message_complete(self) -> None:
        """Pass the complete request to the handler."""
        if self.state is RECEIVING:
            self.state = BETWEEN_REQUESTS
        self.unparsed_bytes = 0
        self._handler.request_received(
            ReceivedRequest(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                body=b"".join(self._body_parts),
                keep_alive=self._parser.should_keep_alive(),
                started_at=self._started_at,
            )
        )
