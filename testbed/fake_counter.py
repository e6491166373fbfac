"""A fake counter service."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from testbed.fake_server import FakeServer

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable


@dataclass
class FakeCounter(FakeServer):
    """A counter service in memory.

    Attributes:
        override_reply: Given the number of a call, from 0, and the call, returns the reply to it, or None for
            the usual reply.
        totals: The total of each name.
        calls: The calls received, without pings.
    """

    override_reply: Callable[[int, list[bytes]], bytes | None] | None = None
    totals: dict[bytes, float] = field(default_factory=dict)
    calls: list[list[bytes]] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reply to calls until the client closes the connection."""
        while True:
            call = await read_call(reader)
            if call[0] == b"PING":
                writer.write(b"+PONG\r\n")
                continue
            self.calls.append(call)
            override = self.override_reply(len(self.calls) - 1, call) if self.override_reply else None
            reply = self.add(call)
            writer.write(reply if override is None else override)

    def add(self, call: list[bytes]) -> bytes:
        """Add to a total and return the encoded reply."""
        _command, name, amount, *_ = call
        self.totals[name] = self.totals.get(name, 0.0) + float(amount)
        total = f"{self.totals[name]:g}".encode()
        return b"$%d\r\n%s\r\n" % (len(total), total)


async def read_call(reader: asyncio.StreamReader) -> list[bytes]:
    """Read the command and arguments of one call; the end of the connection is an IncompleteReadError."""
    parts = []
    part_count = int((await reader.readuntil(b"\r\n"))[1:])
    for _ in range(part_count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        part = await reader.readexactly(size + 2)  # including CRLF
        parts.append(part[:-2])
    return parts
