"""What the bytes of an endpoint's responses mean: framing, size limits and the headers that count; no I/O."""

from __future__ import annotations

import httptools

from gateway.policy.events import Outcome
from gateway.upstream.errors import MalformedResponseError

MAX_BODY_BYTES = 64 * 1024  # by the protocol
MAX_HEADER_BYTES = 16 * 1024  # including those of interim responses
MAX_RESPONSE_BYTES = 8 * MAX_BODY_BYTES  # as sent: a chunked body may come in chunks of one byte
FIRST_FINAL_STATUS = 200  # lower ones are interim responses, which a final one follows


class ResponseParser:
    """Parses the responses on one connection, one at a time.

    Once `is_complete` is true, `outcome`, `body`, `content_type` and `load_report` tell what the final
    response says, and `is_reusable` whether the connection can carry another request; `reset` prepares
    the parser for the next response.  The HTTP parser calls the methods named `on_...`.
    """

    __slots__ = (
        "body", "body_bytes", "body_parts", "bytes_read", "content_length", "content_type", "has_framing",
        "headers_complete", "is_complete", "is_reusable", "load_report", "not_started", "outcome",
        "parser",
    )  # fmt: skip

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.outcome = Outcome.ERROR
        self.reset()

    def reset(self) -> None:
        """Forget the last response."""
        self.bytes_read = 0  # since the last final response, thus including interim ones
        self.is_complete = False
        self.is_reusable = False
        self.body = b""
        self.start_message()

    def start_message(self) -> None:
        """Expect the first byte of an interim or final response."""
        self.headers_complete = False
        self.body_parts: list[bytes] = []
        self.body_bytes = 0
        self.content_length = 0
        self.not_started = False
        self.has_framing = False  # whether its end can be told from the end of the connection
        self.load_report = b""
        self.content_type = b""

    def feed(self, data: bytes) -> None:
        """Parse what was read.

        Bytes behind a complete response do not spoil it, but rule out that the connection is used again.

        Raises:
            MalformedResponseError: The response is invalid or too large.  The parser is of no further use.
        """
        self.bytes_read += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.is_complete:
                raise MalformedResponseError(str(error.__context__ or error)) from error
            self.is_reusable = False
        else:
            if not self.is_complete:
                self.check_size()

    def feed_eof(self) -> None:
        """The endpoint has ended its sending, which completes a response that has no framing."""
        if self.headers_complete and not self.has_framing:
            self.on_message_complete()

    def check_size(self) -> None:
        """Bound what is read of an incomplete response."""
        limit = MAX_RESPONSE_BYTES if self.headers_complete else MAX_HEADER_BYTES
        if self.bytes_read > limit:
            raise MalformedResponseError(f"incomplete after {self.bytes_read} bytes, of {limit} allowed")

    def on_message_begin(self) -> None:
        """Refuse a second response to one request."""
        if self.is_complete:
            raise MalformedResponseError("bytes behind the response")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the headers that count."""
        name = name.lower()
        if name == b"server-load":
            self.load_report = value
        elif name == b"not-started":
            self.not_started = value == b"1"
        elif name == b"content-type":
            self.content_type = value
        elif name == b"content-length":
            self.has_framing, self.content_length = True, int(value)  # the HTTP parser accepts digits only
        elif name == b"transfer-encoding":
            self.has_framing = True

    def on_headers_complete(self) -> None:
        """Check the announced length before any of the body is read."""
        self.headers_complete = self.parser.get_status_code() >= FIRST_FINAL_STATUS
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
        if status == 200:
            self.outcome = Outcome.OK
        elif status in (503, 504) and self.not_started:
            self.outcome = Outcome.OVERLOADED
        else:
            self.outcome = Outcome.ERROR
        self.body = b"".join(self.body_parts)
        self.is_complete = True
        self.is_reusable = self.has_framing and self.parser.should_keep_alive()
