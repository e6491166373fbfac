"""Encoding of the counter's commands and parsing of its replies, without sockets."""

from __future__ import annotations

import pytest

from gateway.counter.errors import CounterError, MalformedReplyError
from gateway.counter.resp import (
    MAX_REPLY_BYTES,
    ErrorReply,
    PongReply,
    Reply,
    ReplyParser,
    TotalReply,
    UnexpectedReply,
    encode_add,
)
from tests.support.counter import make_add_action


@pytest.mark.parametrize(
    ("expires_after", "milliseconds"),
    [
        pytest.param(4.0, b"4000", id="accepted"),
        pytest.param(90.0, b"60000", id="too long"),
        pytest.param(0.0, b"1", id="too short"),
    ],
)
def test_an_addition_is_encoded_with_its_expiry_clamped(expires_after: float, milliseconds: bytes) -> None:
    command = encode_add(make_add_action(9, -1.5, expires_after))
    expected = [b"TALLY", b"9", b"-1.500000", milliseconds]
    assert command == b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in expected)


@pytest.mark.parametrize(
    ("data", "reply"),
    [
        pytest.param(b"$4\r\n-2.5\r\n", TotalReply(-2.5), id="total"),
        pytest.param(b"$5\r\n1e-07\r\n", TotalReply(1e-07), id="total with exponent"),
        pytest.param(b"+PONG\r\n", PongReply(), id="pong"),
        pytest.param(b"-BUSY try later\r\n", ErrorReply("BUSY try later"), id="busy"),
        pytest.param(b"$3\r\nnan\r\n", UnexpectedReply(b"nan"), id="nan"),
        pytest.param(b":5\r\n", UnexpectedReply(5), id="integer"),
    ],
)
def test_a_reply_is_returned_as_soon_as_its_last_byte_is_fed(data: bytes, reply: Reply) -> None:
    parser = ReplyParser()
    for byte in data[:-1]:
        assert list(parser.feed(bytes([byte]))) == []
    assert list(parser.feed(data[-1:] + data)) == [reply, reply]


@pytest.mark.parametrize(
    ("data", "text"),
    [
        pytest.param(b"?!\r\n", "invalid RESP", id="not RESP"),
        pytest.param(b"$300000000\r\n" + b"7" * MAX_REPLY_BYTES, "exceeds 65536 bytes", id="too long"),
    ],
)
def test_malformed_replies_raise_an_error(data: bytes, text: str) -> None:
    with pytest.raises(MalformedReplyError, match=text) as raised:
        list(ReplyParser().feed(data))
    assert isinstance(raised.value, CounterError)


# Guards against a reply of a few bytes that makes hiredis allocate gigabytes, or raise an unexpected error.
@pytest.mark.parametrize(
    "pieces",
    [
        pytest.param([b"*1000000\r\n"], id="array"),
        pytest.param([b"+PONG\r\n*1000000\r\n"], id="array after a reply"),
        pytest.param([b"+PONG\r\n", b"*1000000\r\n"], id="array in a read of its own"),
        pytest.param([b"%1\r\n*0\r\n:1\r\n"], id="map with an array as key"),
        pytest.param([b"~1\r\n"], id="set"),
        pytest.param([b">1\r\n"], id="push"),
        pytest.param([b"|1\r\n"], id="attribute"),
    ],
)
def test_replies_that_contain_others_raise_an_error(pieces: list[bytes]) -> None:
    *earlier, last = pieces
    parser = ReplyParser()
    for piece in earlier:
        list(parser.feed(piece))
    with pytest.raises(MalformedReplyError, match="contains others"):
        list(parser.feed(last))


def test_an_error_text_may_contain_the_start_of_an_array() -> None:
    (reply,) = ReplyParser().feed(b"-ERR unknown call *1 %2\r\n")
    assert reply == ErrorReply("ERR unknown call *1 %2")
