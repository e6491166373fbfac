"""Parser for the responses of endpoints: framing, size limits and the headers in use; does no I/O."""

from __future__ import annotations

import enum

import httptools

from gateway.http_body import append_part
from gateway.policy.events import Outcome
from gateway.upstream.errors import MalformedResponseError

MAX_BODY_BYTES = 64 * 1024  # set by the protocol
MAX_HEADER_BYTES = 16 * 1024  # includes the headers of interim responses
MAX_RESPONSE_BYTES = 8 * MAX_BODY_BYTES  # on the wire, where a chunked body may consist of one-byte chunks
FIRST_FINAL_STATUS = 200  # lower status codes are those of interim responses
OK_STATUS = 200
NOT_STARTED_STATUSES = (503, 504)  # status codes for which the Not-Started header is evaluated

# Names of the headers in use, in lower case.
SERVER_LOAD_HEADER = b"server-load"
NOT_STARTED_HEADER = b"not-started"
CONTENT_TYPE_HEADER = b"content-type"
CONTENT_LENGTH_HEADER = b"content-length"
TRANSFER_ENCODING_HEADER = b"transfer-encoding"

NOT_STARTED_TRUE = b"1"  # value of Not-Started if the endpoint has not executed the request


class ResponseState(enum.Enum):
    """How much of the final response has been received."""

    HEADERS = enum.auto()  # the headers are incomplete; interim responses may precede them
    BODY = enum.auto()  # the headers are complete and the body is incomplete
    COMPLETE = enum.auto()


# Module-level aliases, because looking up an enum member on its class costs a Python call in Python 3.11.
HEADERS = ResponseState.HEADERS
BODY = ResponseState.BODY
COMPLETE = ResponseState.COMPLETE


class ResponseParser:
    """Parses the responses on one connection, one at a time.

    Call `reset` before each further response.  httptools calls the methods named `on_...`.

    Attributes:
        state: The progress of the response; the attributes below are valid once it is COMPLETE.
        is_reusable: Whether the connection can be used for another request.
        outcome: The outcome that is reported to the policy.
        body: The part of the response body that was received.
        content_type: The value of the Content-Type header; empty if the response has none.
        load_report: The value of the Server-Load header; empty if the response has none.
    """

    __slots__ = (
        "body",
        "bytes_read",
        "content_length",
        "content_type",
        "is_close_delimited",
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
        """Discard the last response and prepare for the next."""
        self.bytes_read = 0  # bytes of this response, including its interim responses
        self.is_reusable = False
        self.reset_message()

    def close(self) -> None:
        """Break the reference cycle with httptools, which holds the methods `on_...`; no call may follow."""
        del self.parser

    def reset_message(self) -> None:
        """Prepare for the next message, which is an interim or a final response."""
        self.state = HEADERS
        self.body: bytes | bytearray = b""
        self.content_length = 0
        self.not_started = False
        self.is_close_delimited = True  # whether only the close of the connection ends the body
        self.load_report = b""
        self.content_type = b""

    @property
    def is_complete(self) -> bool:
        """Whether the final response is complete."""
        return self.state is COMPLETE

    @property
    def plain_body_bytes(self) -> int:
        """The number of bytes that are still to come of a body with a Content-Length."""
        return self.content_length - len(self.body) if self.state is BODY and self.content_length else 0

    def feed(self, data: memoryview | bytes) -> None:
        """Parse received bytes.

        Bytes after a complete response do not invalidate it, but the connection cannot be reused.

        Raises:
            MalformedResponseError: The response is invalid or too large.  The parser cannot be used any more.
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
        """Complete a close-delimited response, because the endpoint has closed the connection."""
        if self.state is BODY and self.is_close_delimited:
            self.on_message_complete()

    def check_size(self) -> None:
        """Check the size of an incomplete response.

        Raises:
            MalformedResponseError: The response exceeds the limit.
        """
        limit = MAX_HEADER_BYTES if self.state is HEADERS else MAX_RESPONSE_BYTES
        if self.bytes_read > limit:
            raise MalformedResponseError(
                f"response is incomplete after {self.bytes_read} bytes; the limit is {limit}"
            )

    def on_message_begin(self) -> None:
        """Reject a second response to one request."""
        if self.state is COMPLETE:
            raise MalformedResponseError("unexpected bytes after the response")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the headers in use."""
        name = name.lower()
        if name == SERVER_LOAD_HEADER:
            self.load_report = value
        elif name == NOT_STARTED_HEADER:
            self.not_started = value == NOT_STARTED_TRUE
        elif name == CONTENT_TYPE_HEADER:
            self.content_type = value
        elif name == CONTENT_LENGTH_HEADER:
            self.is_close_delimited = False
            self.content_length = int(value)  # httptools has checked that it consists of digits
        elif name == TRANSFER_ENCODING_HEADER:
            self.is_close_delimited = False

    def on_headers_complete(self) -> None:
        """Check Content-Length before the body is read."""
        if self.parser.get_status_code() >= FIRST_FINAL_STATUS:
            self.state = BODY
        if self.content_length > MAX_BODY_BYTES:
            raise MalformedResponseError(
                f"Content-Length {self.content_length} exceeds the limit of {MAX_BODY_BYTES} bytes"
            )

    def on_body(self, data: bytes) -> None:
        """Store a part of the body and check the size of the body."""
        if len(self.body) + len(data) > MAX_BODY_BYTES:
            raise MalformedResponseError(f"body exceeds the limit of {MAX_BODY_BYTES} bytes")
        self.body = append_part(self.body, data)

    def on_message_complete(self) -> None:
        """Complete a final response, or discard an interim response."""
        status = self.parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self.reset_message()
            return
        self.outcome = self._outcome_of(status)
        self.body = bytes(self.body)
        self.state = COMPLETE
        self.is_reusable = not self.is_close_delimited and self.parser.should_keep_alive()

    def _outcome_of(self, status: int) -> Outcome:
        if status == OK_STATUS:
            return Outcome.OK
        if status in NOT_STARTED_STATUSES and self.not_started:
            return Outcome.OVERLOADED
        return Outcome.ERROR
