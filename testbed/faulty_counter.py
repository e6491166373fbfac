"""A counter at two addresses whose faults are switched on and off from outside, in a process of its own.

Run as `python -m testbed.faulty_counter`.  It prints both ports as JSON and takes the names of `CounterFault`
as commands.
"""

from __future__ import annotations

import asyncio
import enum
import json

import hiredis
import uvloop

from testbed.child_process import serve_commands
from testbed.fake_server import LOOPBACK

ADDRESS_COUNT = 2  # so that a changed configuration can name another


class CounterFault(enum.StrEnum):
    """What the counter does; RESET and FORGET happen once, the others last until the next command."""

    NONE = "none"
    SILENT = "silent"  # replies to nothing
    BUSY = "busy"  # rejects every call
    GARBAGE = "garbage"  # replies without a number
    RESET = "reset"  # resets all connections
    FORGET = "forget"  # forgets all totals


class Counter:
    """The totals and the connections of the counter."""

    def __init__(self) -> None:
        self.fault = CounterFault.NONE
        self.totals: dict[bytes, float] = {}
        self.connections: set[CounterServerConnection] = set()

    async def serve(self) -> None:
        """Serve calls and commands until the end of standard input."""
        loop = asyncio.get_running_loop()
        servers = [
            await loop.create_server(lambda: CounterServerConnection(self), LOOPBACK, 0)
            for _ in range(ADDRESS_COUNT)
        ]
        ports = [server.sockets[0].getsockname()[1] for server in servers]
        print(json.dumps(ports), flush=True)  # noqa: T201
        await serve_commands(self.handle)

    def handle(self, line: str) -> None:
        """Execute a command."""
        fault = CounterFault(line)
        if fault is CounterFault.RESET:
            for connection in list(self.connections):
                connection.transport.abort()
        elif fault is CounterFault.FORGET:
            self.totals.clear()
        else:
            self.fault = fault

    def reply_to(self, call: list[bytes]) -> bytes:
        """Return the reply to a call; empty for none."""
        if call[0] == b"PING":
            return b"" if self.fault is CounterFault.SILENT else b"+PONG\r\n"
        _command, name, amount, _expiry = call
        if self.fault is CounterFault.BUSY:
            return b"-BUSY try later\r\n"
        total = self.totals[name] = self.totals.get(name, 0.0) + float(amount)
        if self.fault is CounterFault.SILENT:
            return b""
        if self.fault is CounterFault.GARBAGE:
            return b"$4\r\nnone\r\n"
        text = f"{total:.7g}".encode()
        return b"$%d\r\n%s\r\n" % (len(text), text)


class CounterServerConnection(asyncio.Protocol):
    """One connection from a gateway."""

    def __init__(self, counter: Counter) -> None:
        self.counter = counter
        self.reader = hiredis.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.counter.connections.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """Forget the connection."""
        self.counter.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Reply to the calls that are complete."""
        self.reader.feed(data)
        while (call := self.reader.gets()) is not False:
            self.transport.write(self.counter.reply_to(call))


if __name__ == "__main__":
    uvloop.run(Counter().serve())
