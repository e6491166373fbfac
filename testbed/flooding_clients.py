"""Clients that send as much as they can, in their own process.

Run as `python -m testbed.flooding_clients PORT KIND COUNT FIRST`.  Each client has one connection, and opens
another one once that is closed.  The process prints a line once all clients have begun to connect, and for
each line of standard input how many responses the clients have received so far.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, cast

import uvloop

from testbed.child_process import ChildProcess, input_lines
from testbed.fake_server import LOOPBACK

if TYPE_CHECKING:
    import contextlib
    from collections.abc import Callable, Iterator

READY_LINE = "connecting"
RECONNECT_SECONDS = 0.001  # after a connection was refused or closed
CLIENT_STRIDE = 1024  # the connections of a client have every 1024th number
REQUEST_STRIDE = 1 << 16  # the requests of a connection have consecutive numbers, up to this many
RESPONSE_START = b"HTTP/1.1 "

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


class FloodConnection(asyncio.Protocol):
    """A connection on which the pieces of a flood are sent.

    Attributes:
        lost: Done once the connection is closed.
    """

    def __init__(self, kind: FloodKind, number: int, count_responses: Callable[[int], None]) -> None:
        self._kind = kind
        self._pieces = kind.pieces(number)
        self._count_responses = count_responses
        self._can_write = True
        self._loop = asyncio.get_running_loop()
        self.lost = self._loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to send."""
        self._transport = cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(len(PIECE))
        self._send()

    def connection_lost(self, _error: Exception | None) -> None:
        """Report the end of the connection."""
        self._can_write = False
        if not self.lost.done():
            self.lost.set_result(None)

    def data_received(self, data: bytes) -> None:
        """Count responses, and send the piece that waits for one."""
        count = data.count(RESPONSE_START)
        self._count_responses(count)
        if self._kind.awaits_responses and count:
            self._send()

    def eof_received(self) -> bool:
        """Go on to send, or close the connection."""
        return not self._kind.reconnects_at_eof

    def pause_writing(self) -> None:
        """Stop sending until the gateway has read what was sent."""
        self._can_write = False

    def resume_writing(self) -> None:
        """Send more."""
        self._can_write = True
        self._send()

    def _send(self) -> None:
        """Send pieces until there is a reason to wait."""
        while self._can_write and not self._transport.is_closing():
            piece = next(self._pieces, None)
            if piece is None:
                return
            self._transport.write(piece)
            if self._kind.awaits_responses:
                return
            if self._kind.pause_seconds:
                self._loop.call_later(self._kind.pause_seconds, self._send)
                return


@dataclass
class FloodingClients:
    """Clients of one port.

    Attributes:
        port: The port on the loopback address.
        kind: What they send.
        count: Number of clients.
        first: Number of the first client; clients of other processes have other numbers.
        response_count: Number of responses received.
    """

    port: int
    kind: FloodKind
    count: int
    first: int
    response_count: int = 0

    async def run(self) -> None:
        """Send until the end of standard input."""
        clients = {asyncio.create_task(self._flood(self.first + index)) for index in range(self.count)}
        await asyncio.sleep(0)  # each client starts to connect
        print(READY_LINE, flush=True)  # noqa: T201
        async for _ in input_lines():
            print(self.response_count, flush=True)  # noqa: T201
        assert clients  # the event loop has no reference to them
        os._exit(0)  # cancelling clients that connect leaves closed transports, on which they would send

    async def _flood(self, client: int) -> None:
        """Send on one connection after another."""
        loop = asyncio.get_running_loop()
        for number in itertools.count(client, CLIENT_STRIDE):
            connect = partial(FloodConnection, self.kind, number, self._count_responses)
            try:
                _, connection = await loop.create_connection(connect, LOOPBACK, self.port)
            except OSError:
                await asyncio.sleep(RECONNECT_SECONDS)
            else:
                await connection.lost

    def _count_responses(self, count: int) -> None:
        self.response_count += count


@dataclass(frozen=True)
class FloodProcess:
    """Flooding clients in a process of their own."""

    process: ChildProcess

    @classmethod
    async def start(
        cls, stack: contextlib.AsyncExitStack, port: int, kind: str, count: int, first: int = 0
    ) -> FloodProcess:
        """Start the clients, which run until the stack is closed."""
        arguments = (str(port), kind, str(count), str(first))
        process = await stack.enter_async_context(ChildProcess("testbed.flooding_clients", *arguments))
        assert await process.read_line() == READY_LINE
        return cls(process)

    async def response_count(self) -> int:
        """Return how many responses the clients have received so far."""
        self.process.write_line("")
        return int(await self.process.read_line())


def main() -> None:
    """Run the clients that the arguments describe."""
    port, kind, count, first = sys.argv[1:]
    uvloop.run(FloodingClients(int(port), KINDS[kind], int(count), int(first)).run())


if __name__ == "__main__":
    main()
