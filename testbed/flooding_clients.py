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
from testbed.flood_kinds import KINDS, PIECE

if TYPE_CHECKING:
    import contextlib
    from collections.abc import Callable

    from testbed.flood_kinds import FloodKind

READY_LINE = "connecting"
RECONNECT_SECONDS = 0.001  # after a connection was refused or closed
CLIENT_STRIDE = 1024  # the connections of a client have every 1024th number
RESPONSE_START = b"HTTP/1.1 "


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
