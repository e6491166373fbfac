"""Clients that connect, send nothing, and connect again when they are disconnected, in their own process.

Run as `python -m testbed.idle_clients PORT COUNT RECONNECT_SECONDS`.  It prints a line once all clients have
begun to connect, and for each line of standard input how many connections were closed on them so far.
"""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

import uvloop

from testbed.child_process import ChildProcess, input_lines
from testbed.fake_server import LOOPBACK

if TYPE_CHECKING:
    import contextlib

READY_LINE = "connecting"


class IdleConnection(asyncio.Protocol):
    """A connection that sends nothing.

    Attributes:
        lost: Done once the connection is closed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.lost = loop.create_future()

    def connection_lost(self, _error: Exception | None) -> None:
        """Report the end of the connection."""
        if not self.lost.done():
            self.lost.set_result(None)


@dataclass
class IdleClients:
    """Clients of one port.

    Attributes:
        port: The port on the loopback address.
        count: Number of clients.
        reconnect_seconds: Delay before a disconnected client connects again.
        closed_count: Number of connections that were closed on the clients.
    """

    port: int
    count: int
    reconnect_seconds: float
    closed_count: int = 0

    async def run(self) -> None:
        """Keep the clients connected until the end of standard input."""
        clients = [asyncio.create_task(self._stay_connected()) for _ in range(self.count)]
        await asyncio.sleep(0)  # each client starts to connect
        print(READY_LINE, flush=True)  # noqa: T201
        async for _ in input_lines():
            print(self.closed_count, flush=True)  # noqa: T201
        for client in clients:
            client.cancel()

    async def _stay_connected(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                _, connection = await loop.create_connection(
                    lambda: IdleConnection(loop), LOOPBACK, self.port
                )
            except OSError:
                pass
            else:
                await connection.lost
                self.closed_count += 1
            await asyncio.sleep(self.reconnect_seconds)


@dataclass(frozen=True)
class IdleClientProcess:
    """Idle clients in a process of their own."""

    process: ChildProcess

    @classmethod
    async def start(
        cls, stack: contextlib.AsyncExitStack, port: int, count: int, reconnect_seconds: float
    ) -> IdleClientProcess:
        """Start the clients, which run until `disconnect` or until the stack is closed."""
        arguments = (str(port), str(count), str(reconnect_seconds))
        process = await stack.enter_async_context(ChildProcess("testbed.idle_clients", *arguments))
        assert await process.read_line() == READY_LINE
        return cls(process)

    async def closed_count(self) -> int:
        """Return how many connections were closed on the clients so far."""
        self.process.write_line("")
        return int(await self.process.read_line())

    def disconnect(self) -> None:
        """Disconnect all clients."""
        self.process.close_input()


def main() -> None:
    """Run the clients that the arguments describe."""
    port, count, reconnect_seconds = sys.argv[1:]
    uvloop.run(IdleClients(int(port), int(count), float(reconnect_seconds)).run())


if __name__ == "__main__":
    main()
