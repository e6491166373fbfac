"""Parses the requests on a connection and enforces size limits; performs no I/O."""

from __future__ import annotations

import enum
import time
from dataclasses import dataclass
from typing import Protocol

import httptools

from gateway.frontend import request_headers
from gateway.frontend.errors import BadRequestError, BodyTooLargeError, FrontendError
from gateway.http_body import append_part

MAX_BODY_BYTES = 64 * 1024  # limit of the protocol
MAX_HEADER_BYTES = 16 * 1024  # target and headers, including separators
HEADER_SEPARATOR_BYTES = 4  # colon, space, carriage return and line feed
EXPECT = b"expect"
CONTINUE_EXPECTED = b"100-continue"  # the value of Expect
HEADER_TOO_LARGE = "header too large"
MAX_BYTES_BEFORE_REQUEST = 1024  # such as empty lines
MAX_INCOMPLETE_BYTES = MAX_HEADER_BYTES  # of a header that is not complete, which the parser buffers
MAX_HEADERS = 128
MAX_REQUEST_BYTES = 10 * MAX_BODY_BYTES  # on the wire, where a chunked body may consist of one-byte chunks


class ReaderState(enum.Enum):
    """What a reader does with the next bytes."""

    BETWEEN_REQUESTS = enum.auto()
    RECEIVING = enum.auto()  # part of a request was received
    CLOSED = enum.auto()  # further bytes are discarded


# Looked up once, because accessing an enum member through its class costs a Python function call in
# Python 3.11.
BETWEEN_REQUESTS, RECEIVING, CLOSED = ReaderState


@dataclass(slots=True)
class ReceivedRequest:
    """A complete request.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Names, in lower case, and values in the order of arrival.
        body: Body without its framing.
        keep_alive: Whether the client asks to keep the connection open after the response.
        started_at: Monotonic time in seconds at which the first byte was received.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool
    started_at: float


class RequestHandler(Protocol):
    """Handles the events of a reader, which calls all methods from within `RequestReader.feed`."""

    def request_started(self) -> None:
        """The first byte of a request was received."""

    def continue_expected(self) -> None:
        """The client waits for a 100 Continue response before it sends the body."""

    def body_received(self, size: int) -> None:
        """Part of a body was received; a `FrontendError` raised here rejects the request."""

    def request_received(self, request: ReceivedRequest) -> None:
        """A request is complete; a `FrontendError` raised here stops the parsing."""


class RequestReader:
    """Parses the requests on one connection.

    The HTTP parser calls the methods named `on_...`; the connection calls the others.

    Attributes:
        state: What the reader does with the next bytes.
        bytes_since_request: Number of bytes received after the read that completed the last request.
    """

    __slots__ = (
        "_body",
        "_content_length",
        "_handler",
        "_header_bytes",
        "_headers",
        "_headers_complete",
        "_incomplete_bytes",
        "_parser",
        "_started_at",
        "_target",
        "bytes_since_request",
        "state",
    )

    def __init__(self, handler: RequestHandler) -> None:
        self.state = BETWEEN_REQUESTS
        self.bytes_since_request = 0
        self._handler = handler
        self._parser = httptools.HttpRequestParser(self)
        self._started_at = 0.0
        self._incomplete_bytes = 0  # bytes since the last read that completed a header or a part of a body
        self._start_request()

    @property
    def bulk_bytes(self) -> int:
        """How many of the next bytes cost a fixed number of calls to parse, as they are of a plain body."""
        return self._content_length - len(self._body) if self._content_length else 0

    @property
    def is_receiving(self) -> bool:
        """Whether part of a request was received."""
        return self.state is RECEIVING

    @property
    def is_closed(self) -> bool:
        """Whether further bytes are discarded."""
        return self.state is CLOSED

    def _start_request(self) -> None:
        """Reset the state of the current request."""
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._headers_complete = False
        self._header_bytes = 0
        # Of the current body, and 0 if it is chunked or its headers are incomplete.
        self._content_length = 0
        self._body: bytes | bytearray = b""

    def feed(self, data: memoryview | bytes) -> None:
        """Parse received bytes and report the results to the handler.

        Raises:
            FrontendError: The bytes are not a valid request, or the handler has rejected the request.
        """
        self.bytes_since_request += len(data)
        pieces_before = self._header_bytes + len(self._body)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadRequestError("protocol upgrades are not supported") from None
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, FrontendError):
                raise cause from None
            raise BadRequestError("malformed request") from None
        if self.state is RECEIVING:
            has_progressed = self._header_bytes + len(self._body) != pieces_before
            self._incomplete_bytes = 0 if has_progressed else self._incomplete_bytes + len(data)
            self._check_sizes()
        elif self.bytes_since_request > MAX_BYTES_BEFORE_REQUEST:
            raise BadRequestError("too many bytes before a request")

    def _check_sizes(self) -> None:
        """Check the sizes of an incomplete request that the calls of the parser do not tell."""
        if self._incomplete_bytes > MAX_INCOMPLETE_BYTES:
            raise BadRequestError(HEADER_TOO_LARGE)
        if self.bytes_since_request > MAX_REQUEST_BYTES:
            raise BodyTooLargeError("body too large")

    def close(self) -> None:
        """Stop parsing; further bytes are discarded."""
        self.state = CLOSED

    def release(self) -> None:
        """Break the reference cycles with the handler and httptools after the connection is lost."""
        self.close()
        del self._parser
        del self._handler

    def discard_body(self) -> None:
        """Free the received part of the current body."""
        self._body = b""
        self._content_length = 0

    def on_message_begin(self) -> None:
        """Start a request; reject it if the handler has closed the reader during this call of `feed`."""
        if self.state is CLOSED:
            raise BadRequestError("no further request is accepted on this connection")
        self._start_request()
        self._started_at = time.monotonic()
        self.state = RECEIVING
        self._handler.request_started()

    def on_url(self, target: bytes) -> None:
        """Append a part of the target."""
        self._target += target
        self._header_bytes += len(target)
        if self._header_bytes > MAX_HEADER_BYTES:
            raise BadRequestError(HEADER_TOO_LARGE)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header.  Trailers are ignored, as a trailer could replace a header that is missing."""
        self._header_bytes += len(name) + len(value) + HEADER_SEPARATOR_BYTES
        if self._header_bytes > MAX_HEADER_BYTES:
            raise BadRequestError(HEADER_TOO_LARGE)
        if self._headers_complete:
            return
        if len(self._headers) >= MAX_HEADERS:
            raise BadRequestError(HEADER_TOO_LARGE)
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check Content-Length and Expect before the body is received."""
        self._headers_complete = True
        expects_continue = False
        for name, value in self._headers:
            if name == request_headers.CONTENT_LENGTH:
                self._content_length = int(value)
            elif name == EXPECT and value.lower() == CONTINUE_EXPECTED:
                expects_continue = True
        if self._content_length > MAX_BODY_BYTES:
            raise BodyTooLargeError("body too large")
        if expects_continue:
            self._handler.continue_expected()

    def on_body(self, data: bytes) -> None:
        """Append a part of the body, up to the size limit."""
        if len(self._body) + len(data) > MAX_BODY_BYTES:
            raise BodyTooLargeError("body too large")
        self._handler.body_received(len(data))
        self._body = append_part(self._body, data)

    def on_message_complete(self) -> None:
        """Pass the complete request to the handler."""
        if self.state is RECEIVING:
            self.state = BETWEEN_REQUESTS
        self.bytes_since_request = 0
        self._incomplete_bytes = 0
        self._content_length = 0
        self._handler.request_received(
            ReceivedRequest(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                body=bytes(self._body),
                keep_alive=self._parser.should_keep_alive(),
                started_at=self._started_at,
            )
        )
