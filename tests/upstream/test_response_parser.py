"""Tests of the response parser, without sockets."""

from __future__ import annotations

import tracemalloc

import pytest

from gateway.policy.events import Outcome
from gateway.upstream.errors import MalformedResponseError, UpstreamError
from gateway.upstream.response_parser import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    MAX_RESPONSE_BYTES,
    ResponseParser,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nServer-Load: early\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CLOSE_DELIMITED = b"HTTP/1.1 200 OK\r\n\r\nsome"


@pytest.fixture
def parser() -> ResponseParser:
    return ResponseParser()


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_a_response_is_complete_at_its_last_byte(parser: ResponseParser, size: int) -> None:
    head = b"HTTP/1.1 200 OK\r\nServer-Load: a=1\r\ncontent-type: x/y\r\nContent-Length: 4\r\n\r\n"
    data = INTERIM + head + b"done"
    for start in range(0, len(data), size):
        assert not parser.is_complete
        parser.feed(data[start : start + size])
    assert parser.is_complete
    assert parser.is_reusable
    assert parser.outcome is Outcome.OK
    assert parser.body == b"done"
    assert parser.load_report == b"a=1"
    assert parser.content_type == b"x/y"


@pytest.mark.parametrize(
    ("status", "not_started", "outcome"),
    [
        (200, b"0", Outcome.OK),
        (200, b"1", Outcome.OK),
        (201, b"0", Outcome.ERROR),
        (404, b"1", Outcome.ERROR),
        (500, b"1", Outcome.ERROR),
        (503, b"0", Outcome.ERROR),
        (503, b"1", Outcome.OVERLOADED),
        (504, b"1", Outcome.OVERLOADED),
        (504, b"true", Outcome.ERROR),
    ],
)
def test_the_outcome_follows_from_status_and_not_started(
    parser: ResponseParser, status: int, not_started: bytes, outcome: Outcome
) -> None:
    parser.feed(b"HTTP/1.1 %d X\r\nNot-Started: %s\r\nContent-Length: 0\r\n\r\n" % (status, not_started))
    assert parser.is_complete
    assert parser.outcome is outcome


def test_reset_discards_the_last_response(parser: ResponseParser) -> None:
    parser.feed(b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nServer-Load: a=1\r\nContent-Length: 1\r\n\r\nx")
    parser.reset()
    assert not parser.is_complete
    parser.feed(OK)
    assert parser.outcome is Outcome.OK
    assert parser.body == b"done"
    assert parser.load_report == b""


@pytest.mark.parametrize(
    "extra_bytes",
    [
        pytest.param(OK, id="second response"),
        pytest.param(b"\x00\x01 noise", id="garbage"),
        pytest.param(b"HTTP/1.1 5", id="part of a response"),
    ],
)
def test_bytes_after_a_response_only_prevent_reuse_of_the_connection(
    parser: ResponseParser, extra_bytes: bytes
) -> None:
    parser.feed(OK + extra_bytes)
    assert parser.is_complete
    assert not parser.is_reusable
    assert parser.outcome is Outcome.OK
    assert parser.body == b"done"


def test_connection_close_prevents_reuse(parser: ResponseParser) -> None:
    parser.feed(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
    assert parser.is_complete
    assert not parser.is_reusable


def test_the_end_of_the_stream_completes_a_close_delimited_response(parser: ResponseParser) -> None:
    parser.feed(CLOSE_DELIMITED)
    assert not parser.is_complete
    parser.feed_eof()
    assert parser.is_complete
    assert not parser.is_reusable
    assert parser.body == b"some"


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="nothing"),
        pytest.param(b"HTTP/1.1 200 OK\r\n", id="part of the headers"),
        pytest.param(OK[:-1], id="part of the body"),
        pytest.param(CHUNKED + b"4\r\ndone", id="part of a chunk"),
        pytest.param(INTERIM, id="interim responses"),
    ],
)
def test_the_end_of_the_stream_does_not_complete_a_truncated_response(
    parser: ResponseParser, data: bytes
) -> None:
    parser.feed(data)
    parser.feed_eof()
    assert not parser.is_complete


# Guards against unbounded memory use by one response; each large case is just over its limit.
@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"HTTP/1.1 200 OK\r\nX-Pad: ".ljust(MAX_HEADER_BYTES + 1, b"x"), id="headers"),
        pytest.param(INTERIM * (MAX_HEADER_BYTES // len(INTERIM) + 1), id="interim responses"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), id="Content-Length"
        ),
        pytest.param(CHUNKED + b"%x\r\n" % (MAX_BODY_BYTES + 1) + b"x" * (MAX_BODY_BYTES + 1), id="body"),
        pytest.param(
            (CHUNKED + b"0001" + b"\r\nx\r\n0001" * MAX_BODY_BYTES)[: MAX_RESPONSE_BYTES + 1], id="chunks"
        ),
        pytest.param(b"\x16\x03\x01 noise\r\n\r\n", id="garbage"),
        pytest.param(
            b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + OK,
            id="upgrade",
        ),
    ],
)
def test_a_response_that_is_invalid_or_too_large_is_rejected(parser: ResponseParser, data: bytes) -> None:
    with pytest.raises(MalformedResponseError) as error:
        parser.feed(data)
    assert isinstance(error.value, UpstreamError)
    assert str(error.value)


def test_a_response_of_the_maximum_size_is_accepted(parser: ResponseParser) -> None:
    parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MAX_BODY_BYTES + b"x" * MAX_BODY_BYTES)
    assert len(parser.body) == MAX_BODY_BYTES


# Guards against memory that grows with the number of chunks, and not with the bytes of the body.
@pytest.mark.parametrize("size", [1, 2, 16])
def test_a_body_in_small_chunks_takes_up_about_its_size(parser: ResponseParser, size: int) -> None:
    chunks = (b"%x\r\n" % size + b"x" * size + b"\r\n") * (MAX_BODY_BYTES // size - 1)
    tracemalloc.start()
    parser.feed(CHUNKED + chunks)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert allocated < 1.5 * MAX_BODY_BYTES
