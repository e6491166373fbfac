"""Stand-ins of discovery and of the counter, as the protocol page describes them."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from harness.record import Record

HEARTBEAT_SECONDS = 2.0


class Discovery:
    """The agent: answers with the list that it has, and tells changes on each watch.

    Attributes:
        port: The port that it listens on.
        is_down: While true it is silent: connections come up and get no bytes.
    """

    def __init__(self, record: Record) -> None:
        self.port = 0
        self.is_down = False
        self._record = record
        self._version = 1
        self._hosts: dict[str, dict[str, Any]] = {}
        self._watches: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self, hosts: list[dict[str, Any]]) -> None:
        """Listen, with a first list."""
        self._hosts = {entry["host"]: entry for entry in hosts}
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def tell(self, *entries: dict[str, Any]) -> None:
        """Change entries of the list, and tell all watches."""
        self._version += 1
        for entry in entries:
            if entry["health"] == "Gone":
                self._hosts.pop(entry["host"], None)
            else:
                self._hosts[entry["host"]] = entry
            self._record.write("discovery", f"tells {entry['host']} {entry['dial']} {entry['health']}")
        line = json.dumps({"seq": self._version, "whole": False, "hosts": list(entries)}).encode() + b"\n"
        for writer in self._watches:
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))

    def snapshot(self) -> bytes:
        """Return the whole list."""
        hosts = list(self._hosts.values())
        return json.dumps({"seq": self._version, "whole": True, "hosts": hosts}).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if self.is_down:
                    await reader.read()
                    return
                target = head.split()[1].decode()
                if "watch=1" in target:
                    await self._watch(target, writer)
                    return
                body = self.snapshot()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _watch(self, target: str, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if int(target.rsplit("=", 1)[1]) != self._version:
            line = self.snapshot() + b"\n"
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        self._watches.append(writer)
        try:
            while not writer.is_closing():
                await asyncio.sleep(HEARTBEAT_SECONDS)
                if not self.is_down:
                    writer.write(b"1\r\n\n\r\n")
                    await writer.drain()
        finally:
            self._watches.remove(writer)


class Counter:
    """The counter: adds amounts to named numbers."""

    def __init__(self) -> None:
        self.port = 0
        self._totals: dict[bytes, float] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                writer.write(self._answer(await _read_call(reader)))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _answer(self, call: list[bytes]) -> bytes:
        match call:
            case [b"TALLY", name, amount, _life]:
                self._totals[name] = self._totals.get(name, 0.0) + float(amount)
                text = f"{self._totals[name]:.7g}".encode()
                return b"$%d\r\n%s\r\n" % (len(text), text)
            case [b"PING"]:
                return b"+PONG\r\n"
            case [b"CLIENT" | b"SELECT", *_]:
                return b"+OK\r\n"
        return b"-ERR no such call\r\n"


async def _read_call(reader: asyncio.StreamReader) -> list[bytes]:
    count = int((await reader.readuntil(b"\r\n"))[1:])
    parts = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        parts.append((await reader.readexactly(size + 2))[:-2])
    return parts
