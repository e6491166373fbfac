"""The counter's calls and replies as bytes, without sockets."""

from __future__ import annotations

import pytest

from gateway.counter.errors import CounterError, MalformedReplyError
from gateway.counter.resp import (
    MAX_REPLY_BYTES,
    ErrorReply,
    Pong,
    Reply,
    ReplyParser,
    Total,
    UnexpectedReply,
    encode_add,
)
from tests.counter.support import make_add


@pytest.mark.parametrize(("expires_after", "milliseconds"), [(4.0, b"4000"), (90.0, b"60000"), (0.0, b"1")])
def test_an_addition_is_encoded_with_an_expiry_that_the_counter_accepts(
    expires_after: float, milliseconds: bytes
) -> None:
    command = encode_add(make_add(9, -1.5, expires_after))
    expected = [b"TALLY", b"9", b"-1.500000", milliseconds]
    assert command == b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in expected)


@pytest.mark.parametrize(
    ("data", "reply"),
    [
        (b"$4\r\n-2.5\r\n", Total(-2.5)), (b"$5\r\n1e-07\r\n", Total(1e-07)), (b"+PONG\r\n", Pong()),
        (b"-BUSY try later\r\n", ErrorReply("BUSY try later")), (b"$3\r\nnan\r\n", UnexpectedReply(b"nan")),
        (b":5\r\n", UnexpectedReply(5)),
    ],
)  # fmt: skip
def test_a_reply_is_parsed_with_its_last_byte(data: bytes, reply: Reply) -> None:
    parser = ReplyParser()
    assert [found for byte in data[:-1] for found in parser.feed(bytes([byte]))] == []
    assert list(parser.feed(data[-1:] + data)) == [reply, reply]


@pytest.mark.parametrize(
    ("data", "text"),
    [(b"?!\r\n", "not RESP"), (b"$300000000\r\n" + b"7" * MAX_REPLY_BYTES, "more than 65536 bytes")],
)
def test_bytes_that_are_no_reply_are_an_error(data: bytes, text: str) -> None:
    with pytest.raises(MalformedReplyError, match=text) as raised:
        list(ReplyParser().feed(data))
    assert isinstance(raised.value, CounterError)
