"""Parses the responses of endpoints: framing, size limits, and the headers that are used; does no I/O."""

from __future__ import annotations

import enum

import httptools

from gateway.policy.events import Outcome
from gateway.upstream.errors import MalformedResponseError

MAX_BODY_BYTES = 64 * 1024  # by the protocol
MAX_HEADER_BYTES = 16 * 1024  # including those of interim responses
MAX_RESPONSE_BYTES = 8 * MAX_BODY_BYTES  # as sent: a chunked body may come in chunks of one byte
FIRST_FINAL_STATUS = 200  # lower ones are those of interim responses, which a final one follows
OK_STATUS = 200
NOT_STARTED_STATUSES = (503, 504)  # of responses that may say Not-Started

# Names of the headers that are used, in lower case, each as the attribute of the parser that it becomes.
LOAD_REPORT = b"server-load"
NOT_STARTED = b"not-started"
NOT_STARTED_TRUE = b"1"  # the value if the request has not run
CONTENT_TYPE = b"content-type"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"


class ResponseState(enum.Enum):
    """How much of the final response has come."""

    HEADERS = enum.auto()  # not all of its headers; interim responses may precede them
    BODY = enum.auto()  # all of its headers, not all of its body
    COMPLETE = enum.auto()


# Looked up once: access to a member through its class takes a Python call in Python 3.11.
HEADERS = ResponseState.HEADERS
BODY = ResponseState.BODY
COMPLETE = ResponseState.COMPLETE


class ResponseParser:
    """Parses the responses on one connection, one at a time.

    `reset` prepares the parser for the next response.  The HTTP parser calls the methods named `on_...`.

    Attributes:
        state: How much of the response has come; the attributes below hold once it is COMPLETE.
        is_reusable: Whether the connection can carry another request.
        outcome: What the response means to the policy.
        body: The body of the response.
        content_type: The value of Content-Type; empty without one.
        load_report: The value of Server-Load; empty without one.
    """

    __slots__ = (
        "body",
        "body_bytes",
        "body_parts",
        "bytes_read",
        "content_length",
        "content_type",
        "has_framing",
        "is_reusable",
        "load_report",
        "not_started",
        "outcome",
        "parser",
        "state",
    )

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.outcome = Outcome.ERROR
        self.reset()

    def reset(self) -> None:
        """Forget the last response."""
        self.bytes_read = 0  # since the last final response, including interim responses
        self.is_reusable = False
        self.body = b""
        self.start_message()

    def start_message(self) -> None:
        """Expect the first byte of an interim or final response."""
        self.state = HEADERS
        self.body_parts: list[bytes] = []
        self.body_bytes = 0
        self.content_length = 0
        self.not_started = False
        self.has_framing = False  # whether it ends by itself, not only with the connection
        self.load_report = b""
        self.content_type = b""

    @property
    def is_complete(self) -> bool:
        """Whether the final response is complete."""
        return self.state is COMPLETE

    def feed(self, data: bytes) -> None:
        """Parse the bytes that were read.

        Bytes behind a complete response do not invalidate it, but the connection cannot be used again.

        Raises:
            MalformedResponseError: The response is invalid or too large.  The parser cannot be used further.
        """
        self.bytes_read += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.state is not COMPLETE:
                raise MalformedResponseError(str(error.__context__ or error)) from error
            self.is_reusable = False
        else:
            if self.state is not COMPLETE:
                self.check_size()

    def feed_eof(self) -> None:
        """Complete a response that has no framing, as the endpoint has stopped sending."""
        if self.state is BODY and not self.has_framing:
            self.on_message_complete()

    def check_size(self) -> None:
        """Check that an incomplete response is within the limits.

        Raises:
            MalformedResponseError: It is not.
        """
        limit = MAX_HEADER_BYTES if self.state is HEADERS else MAX_RESPONSE_BYTES
        if self.bytes_read > limit:
            raise MalformedResponseError(f"incomplete after {self.bytes_read} bytes, of {limit} allowed")

    def on_message_begin(self) -> None:
        """Reject a second response to one request."""
        if self.state is COMPLETE:
            raise MalformedResponseError("bytes behind the response")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the headers that are used."""
        name = name.lower()
        if name == LOAD_REPORT:
            self.load_report = value
        elif name == NOT_STARTED:
            self.not_started = value == NOT_STARTED_TRUE
        elif name == CONTENT_TYPE:
            self.content_type = value
        elif name == CONTENT_LENGTH:
            self.has_framing = True
            self.content_length = int(value)  # the HTTP parser accepts digits only
        elif name == TRANSFER_ENCODING:
            self.has_framing = True

    def on_headers_complete(self) -> None:
        """Check the announced length before any of the body is read."""
        if self.parser.get_status_code() >= FIRST_FINAL_STATUS:
            self.state = BODY
        if self.content_length > MAX_BODY_BYTES:
            raise MalformedResponseError(f"Content-Length {self.content_length} exceeds {MAX_BODY_BYTES}")

    def on_body(self, data: bytes) -> None:
        """Collect the body up to its limit."""
        self.body_bytes += len(data)
        if self.body_bytes > MAX_BODY_BYTES:
            raise MalformedResponseError(f"the body exceeds {MAX_BODY_BYTES} bytes")
        self.body_parts.append(data)

    def on_message_complete(self) -> None:
        """Finish a final response; an interim one is forgotten."""
        status = self.parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self.start_message()
            return
        self.outcome = self._outcome_of(status)
        self.body = b"".join(self.body_parts)
        self.state = COMPLETE
        self.is_reusable = self.has_framing and self.parser.should_keep_alive()

    def _outcome_of(self, status: int) -> Outcome:
        if status == OK_STATUS:
            return Outcome.OK
        if status in NOT_STARTED_STATUSES and self.not_started:
            return Outcome.OVERLOADED
        return Outcome.ERROR
