"""The request reader, fed with complete and partial requests, without sockets."""

from __future__ import annotations

import tracemalloc

import pytest

from gateway.frontend.errors import BadRequestError, BodyTooLargeError, FrontendError, UnavailableError
from gateway.frontend.request_reader import (
    MAX_BODY_BYTES,
    MAX_BYTES_BEFORE_REQUEST,
    MAX_HEADER_BYTES,
    MAX_HEADERS,
    MAX_REQUEST_BYTES,
    ReaderState,
    ReceivedRequest,
    RequestReader,
)

UPGRADE = b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
LONG_TARGET = b"GET /" + b"x" * MAX_HEADER_BYTES + b" HTTP/1.1\r\n\r\n"
LONG_HEADER = b"GET / HTTP/1.1\r\nX: " + b"x" * MAX_HEADER_BYTES + b"\r\n\r\n"
LONG_BODY = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1)
LONG_CHUNKED_BODY = (
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"%x\r\n" % (MAX_BODY_BYTES + 1)
    + b"x" * (MAX_BODY_BYTES + 1)
)
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
MANY_HEADERS = b"GET / HTTP/1.1\r\n" + b"a:\r\n" * (MAX_HEADERS + 1) + b"\r\n"
READ_BYTES = 4096  # the parts in which a long request is fed
MAX_BUFFERED_BYTES = 4 * MAX_HEADER_BYTES  # of a request that has no body yet
EMPTY_LINES = b"\r\n" * (MAX_BYTES_BEFORE_REQUEST // 2 + 1)
GET = b"GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nsome"


class RecordingHandler:
    """Records the calls of the reader, and raises `error`, if set, for each complete request."""

    def __init__(self) -> None:
        self.events: list[str] = []
        self.requests: list[ReceivedRequest] = []
        self.body_bytes = 0
        self.error: FrontendError | None = None

    def request_started(self) -> None:
        self.events.append("started")

    def continue_expected(self) -> None:
        self.events.append("continue")

    def body_received(self, size: int) -> None:
        self.body_bytes += size

    def request_received(self, request: ReceivedRequest) -> None:
        self.events.append("received")
        self.requests.append(request)
        if self.error is not None:
            raise self.error


@pytest.fixture
def handler() -> RecordingHandler:
    return RecordingHandler()


@pytest.fixture
def reader(handler: RecordingHandler) -> RequestReader:
    return RequestReader(handler)


@pytest.mark.parametrize(
    "size",
    [
        pytest.param(1, id="byte by byte"),
        pytest.param(7, id="in parts"),
        pytest.param(1000, id="at once"),
    ],
)
def test_request_is_received_with_its_last_byte(
    reader: RequestReader, handler: RecordingHandler, size: int
) -> None:
    for start in range(0, len(POST), size):
        assert not handler.requests
        reader.feed(POST[start : start + size])
    (request,) = handler.requests
    assert request.method == b"POST"
    assert request.target == b"/a"
    assert request.body == b"some"
    assert request.headers == [(b"content-length", b"4")]
    assert request.keep_alive
    assert handler.events == ["started", "received"]
    assert handler.body_bytes == 4
    assert reader.state is ReaderState.BETWEEN_REQUESTS
    assert reader.bytes_since_request == 0


def test_pipelined_requests_are_received_in_order(reader: RequestReader, handler: RecordingHandler) -> None:
    reader.feed(GET + POST + GET[:5])
    assert [request.method for request in handler.requests] == [b"GET", b"POST"]
    assert reader.is_receiving


def test_connection_close_header_is_reported(reader: RequestReader, handler: RecordingHandler) -> None:
    reader.feed(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
    assert not handler.requests[0].keep_alive


def test_expect_continue_header_is_reported(reader: RequestReader, handler: RecordingHandler) -> None:
    reader.feed(b"POST / HTTP/1.1\r\nContent-Length: 4\r\nExpect: 100-Continue\r\n\r\n")
    assert handler.events == ["started", "continue"]


# Guards against a trailer that replaces a missing header.
def test_trailers_are_not_treated_as_headers(reader: RequestReader, handler: RecordingHandler) -> None:
    reader.feed(
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n0\r\nRequest-Id: one\r\n\r\n"
    )
    (request,) = handler.requests
    assert request.headers == [(b"transfer-encoding", b"chunked")]
    assert request.body == b"some"


# Guards the status and body of the error responses to malformed requests; sizes are just over their limits.
@pytest.mark.parametrize(
    ("data", "kind", "text"),
    [
        pytest.param(b"nonsense\r\n\r\n", BadRequestError, "malformed request", id="not HTTP"),
        pytest.param(UPGRADE, BadRequestError, "protocol upgrades are not supported", id="upgrade"),
        pytest.param(LONG_TARGET, BadRequestError, "header too large", id="target"),
        pytest.param(LONG_HEADER, BadRequestError, "header too large", id="header"),
        pytest.param(MANY_HEADERS, BadRequestError, "header too large", id="number of headers"),
        pytest.param(LONG_BODY, BodyTooLargeError, "body too large", id="announced body"),
        pytest.param(LONG_CHUNKED_BODY, BodyTooLargeError, "body too large", id="chunked body"),
        pytest.param(EMPTY_LINES, BadRequestError, "too many bytes before a request", id="empty lines"),
    ],
)
def test_invalid_request_raises_an_error(
    reader: RequestReader, data: bytes, kind: type[FrontendError], text: str
) -> None:
    with pytest.raises(kind) as error:
        reader.feed(data)
    assert str(error.value) == text


def test_error_raised_by_the_handler_stops_the_parsing(
    reader: RequestReader, handler: RecordingHandler
) -> None:
    handler.error = UnavailableError("simulated")
    with pytest.raises(UnavailableError) as error:
        reader.feed(GET + GET)
    assert error.value is handler.error
    assert len(handler.requests) == 1


# Guards against accepting a request after the last response on its connection.
def test_no_request_is_received_after_the_reader_is_closed(
    reader: RequestReader, handler: RecordingHandler, monkeypatch: pytest.MonkeyPatch
) -> None:
    def receive_and_close(request: ReceivedRequest) -> None:
        handler.requests.append(request)
        reader.close()

    monkeypatch.setattr(handler, "request_received", receive_and_close)
    with pytest.raises(BadRequestError):
        reader.feed(GET + GET)
    assert len(handler.requests) == 1
    assert reader.is_closed


def test_closed_reader_stays_closed_when_its_request_is_complete(
    reader: RequestReader, handler: RecordingHandler
) -> None:
    reader.feed(GET[:-1])
    reader.close()
    reader.feed(GET[-1:])
    assert handler.events == ["started", "received"]
    assert reader.is_closed


def feed_in_reads(reader: RequestReader, data: bytes) -> None:
    for start in range(0, len(data), READ_BYTES):
        reader.feed(data[start : start + READ_BYTES])


def allocated_bytes(reader: RequestReader, data: bytes) -> int:
    """Return how many bytes of memory a reader takes up for what it is fed, until it raises an error."""
    tracemalloc.start()
    try:
        feed_in_reads(reader, data)
    except FrontendError:
        pass
    finally:
        allocated, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    return allocated


# Guards against a header that never ends: the HTTP parser buffers all of it, until the memory limit.
@pytest.mark.parametrize(
    "start",
    [
        pytest.param(b"GET / HTTP/1.1\r\nX: ", id="value"),
        pytest.param(b"GET / HTTP/1.1\r\n", id="name"),
        pytest.param(b"GET /", id="target"),
        pytest.param(CHUNKED_HEAD + b"1;", id="chunk extension"),
        pytest.param(CHUNKED_HEAD + b"1;a=", id="value of a chunk extension"),
        pytest.param(CHUNKED_HEAD + b"0\r\nX: ", id="trailer"),
    ],
)
def test_a_header_that_never_ends_is_rejected(reader: RequestReader, start: bytes) -> None:
    with pytest.raises(BadRequestError, match="header too large"):
        feed_in_reads(reader, start + b"a" * MAX_BUFFERED_BYTES)
    assert reader.bytes_since_request <= MAX_BUFFERED_BYTES


# As above, by the memory: a later header starts the count of an incomplete one anew.
def test_headers_that_are_too_large_take_up_little_memory(reader: RequestReader) -> None:
    headers = b"".join(b"X: " + b"a" * (MAX_HEADER_BYTES // 2) + b"\r\n" for _ in range(100))
    assert allocated_bytes(reader, b"GET / HTTP/1.1\r\n" + headers) < MAX_BUFFERED_BYTES


# Guards against many small headers, each of which takes up twenty times the bytes that it has on the wire.
def test_many_small_headers_take_up_little_memory(reader: RequestReader) -> None:
    headers = b"a:\r\n" * (MAX_HEADER_BYTES // 5)
    assert allocated_bytes(reader, b"GET / HTTP/1.1\r\n" + headers) < MAX_BUFFERED_BYTES


# Guards against memory beyond the budget of bodies: a list of parts takes up many times the bytes of a body.
@pytest.mark.parametrize("size", [1, 2, 16])
def test_a_body_in_small_chunks_takes_up_about_its_size(reader: RequestReader, size: int) -> None:
    chunk = b"%x\r\n" % size + b"x" * size + b"\r\n"
    body = chunk * (MAX_BODY_BYTES // size - 1)
    assert allocated_bytes(reader, CHUNKED_HEAD + body) < 1.5 * MAX_BODY_BYTES


def test_a_body_in_one_byte_chunks_is_received(reader: RequestReader, handler: RecordingHandler) -> None:
    feed_in_reads(reader, CHUNKED_HEAD + b"1\r\nx\r\n" * MAX_BODY_BYTES + b"0\r\n\r\n")
    assert [request.body for request in handler.requests] == [b"x" * MAX_BODY_BYTES]


# Guards against chunk extensions without end, each of which is short.
def test_a_chunked_body_has_a_limit_on_the_wire(reader: RequestReader) -> None:
    with pytest.raises(BodyTooLargeError):
        feed_in_reads(reader, CHUNKED_HEAD + b"1;a=aaaaaaaaaaaa\r\nx\r\n" * (MAX_BODY_BYTES - 1))
    assert reader.bytes_since_request <= MAX_REQUEST_BYTES + READ_BYTES


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        pytest.param(POST[:-1], 1, id="plain body"),
        pytest.param(POST[:-5], 0, id="incomplete headers"),
        pytest.param(POST, 0, id="complete request"),
        pytest.param(GET, 0, id="no body"),
        pytest.param(CHUNKED_HEAD + b"5\r\nx", 0, id="chunked body"),
    ],
)
def test_bulk_bytes_are_those_of_a_plain_body_that_are_still_to_come(
    reader: RequestReader, data: bytes, expected: int
) -> None:
    reader.feed(data)
    assert reader.bulk_bytes == expected
