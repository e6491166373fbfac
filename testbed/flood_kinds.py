"""What flooding clients send: each kind of flood yields the bytes of one connection, piece by piece."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

REQUEST_STRIDE = 1 << 16  # the requests of a connection have consecutive numbers, up to this many

LARGE_BODY_BYTES = 60_000_000
PIECE = b"x" * 65536
MAX_HEAD_BYTES = 16 * 1024  # the gateway's limit
MAX_FIELDS = 120  # besides the usual ones; the gateway accepts 128 in all
MAX_BODY_BYTES = 64 * 1024  # the protocol's limit
FIRST_CUSTOMER = 1 << 32  # customers that no usual client has
CUSTOMER_COUNT = 1 << 32
SLOW_PIECE_BYTES = 16
CHUNK_BYTES = 4096
PIPELINED_REQUESTS = 300


def request_head(number: int, method: str, path: str, *fields: str) -> bytes:
    """Return the head of a request; the customer is made from the request's number."""
    lines = [
        f"{method} {path}?customer={FIRST_CUSTOMER + number % CUSTOMER_COUNT:016x} HTTP/1.1",
        "Host: origin.svc",
        f"Request-Id: flood-{number}",
        f"Request-Class: {path[1:]}",
        "X-Tier: plan-0",
        "Request-Timeout: 4000m",
        "X-Call-Terms: units=1,spread=3,first=0",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def large_bodies(number: int) -> Iterator[bytes]:
    """Yield a request with a body of 60 MB, which is rejected before most of it is sent."""
    yield request_head(number, "POST", "/class-2", f"Content-Length: {LARGE_BODY_BYTES}")
    for _ in range(LARGE_BODY_BYTES // len(PIECE)):
        yield PIECE


def chunked_bodies(number: int) -> Iterator[bytes]:
    """Yield a request with a body of 60 MB in chunks."""
    yield request_head(number, "POST", "/class-2", "Transfer-Encoding: chunked")
    chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, PIECE[:CHUNK_BYTES])
    yield from itertools.repeat(chunk, LARGE_BODY_BYTES // CHUNK_BYTES)


def one_byte_chunks(number: int) -> Iterator[bytes]:
    """Yield the largest request that is accepted, in chunks of one byte, without its end."""
    yield request_head(number, "POST", "/class-2", "Transfer-Encoding: chunked")
    yield b"1\r\nx\r\n" * (MAX_BODY_BYTES - 1)


def pipelined_requests(number: int) -> Iterator[bytes]:
    """Yield hundreds of requests at once, of which the gateway accepts the first few."""
    numbers = range(number * REQUEST_STRIDE, number * REQUEST_STRIDE + PIPELINED_REQUESTS)
    yield b"".join(request_head(request, "GET", "/class-0") for request in numbers)


def readiness_checks(_number: int) -> Iterator[bytes]:
    """Yield readiness checks without end, without waiting for their responses."""
    yield from itertools.repeat(b"GET /-/ready HTTP/1.1\r\n\r\n" * 100)


def unknown_classes(number: int) -> Iterator[bytes]:
    """Yield a request of a class that does not exist."""
    yield request_head(number, "GET", "/no-such-class")


def endless_heads(number: int) -> Iterator[bytes]:
    """Yield a head that never ends."""
    yield request_head(number, "GET", "/class-0").removesuffix(b"\r\n")
    yield from itertools.repeat(b"x" * CHUNK_BYTES)


def unreadable_bytes(_number: int) -> Iterator[bytes]:
    """Yield bytes that are not HTTP."""
    yield b"\x00\x01 not a request \xff\r\n\r\n" * 64


def small_segments(_number: int) -> Iterator[bytes]:
    """Yield a request that is rejected, and after it one byte at a time without end."""
    yield b"nonsense\r\n\r\n"
    yield from itertools.repeat(b"x")


def half_bodies(number: int) -> Iterator[bytes]:
    """Yield the largest request that is accepted, up to the middle of its body."""
    yield request_head(number, "POST", "/class-2", f"Content-Length: {MAX_BODY_BYTES}")
    yield PIECE[: MAX_BODY_BYTES // 2]


def many_fields(number: int) -> Iterator[bytes]:
    """Yield a head of as many short fields as fit in it, without its end."""
    head = request_head(number, "GET", "/class-0")
    fields = (f"f{index}: {index}\r\n".encode() for index in itertools.count())
    length = len(head)
    yield head.removesuffix(b"\r\n")
    for field in fields:
        length += len(field)
        if length > MAX_HEAD_BYTES:
            return
        yield field


def largest_requests(number: int) -> Iterator[bytes]:
    """Yield the largest request that is accepted, with as many fields as possible, without its last byte."""
    fields = [f"f{index}: {index:0100}" for index in range(MAX_FIELDS)]
    yield request_head(number, "POST", "/class-2", f"Content-Length: {MAX_BODY_BYTES}", *fields)
    yield PIECE[: MAX_BODY_BYTES - 1]


def slow_writes(number: int) -> Iterator[bytes]:
    """Yield a request in pieces of a few bytes."""
    head = request_head(number, "POST", "/class-2", f"Content-Length: {MAX_BODY_BYTES}")
    for start in range(0, len(head), SLOW_PIECE_BYTES):
        yield head[start : start + SLOW_PIECE_BYTES]
    yield from itertools.repeat(PIECE[:SLOW_PIECE_BYTES])


def new_customers(number: int) -> Iterator[bytes]:
    """Yield sound requests, each in the name of another customer."""
    for index in itertools.count():
        yield request_head(number * REQUEST_STRIDE + index, "GET", "/class-0")


@dataclass(frozen=True)
class FloodKind:
    """What a client sends.

    Attributes:
        pieces: Returns what is sent on a connection, from the connection's number.
        awaits_responses: Whether each piece is sent after the response to the one before it.
        reconnects_at_eof: Whether a client closes its connection, and opens another one, as soon as the
            gateway has sent its last response; others go on to send until the gateway closes.
        pause_seconds: Time between two pieces; 0 to send as fast as the gateway reads.
    """

    pieces: Callable[[int], Iterator[bytes]]
    awaits_responses: bool = False
    reconnects_at_eof: bool = False
    pause_seconds: float = 0.0


KINDS = {
    "large-bodies": FloodKind(large_bodies),
    "chunked-bodies": FloodKind(chunked_bodies, reconnects_at_eof=True),
    "one-byte-chunks": FloodKind(one_byte_chunks, reconnects_at_eof=True),
    "pipelined-requests": FloodKind(pipelined_requests, reconnects_at_eof=True),
    "readiness-checks": FloodKind(readiness_checks, reconnects_at_eof=True),
    "unknown-classes": FloodKind(unknown_classes, reconnects_at_eof=True),
    "endless-heads": FloodKind(endless_heads, reconnects_at_eof=True),
    "unreadable-bytes": FloodKind(unreadable_bytes, reconnects_at_eof=True),
    "small-segments": FloodKind(small_segments, pause_seconds=1e-6),
    "half-bodies": FloodKind(half_bodies),
    "largest-requests": FloodKind(largest_requests),
    "many-fields": FloodKind(many_fields),
    "slow-writes": FloodKind(slow_writes, pause_seconds=0.01),
    "new-customers": FloodKind(new_customers, awaits_responses=True),
}
