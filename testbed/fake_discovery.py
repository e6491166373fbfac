"""A fake discovery agent, and the entries of its endpoint list."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from testbed.fake_server import FakeServer
from testbed.http_messages import http_response, read_message

POLL_SECONDS = 0.002  # between checks for new lines of a watch
END_OF_WATCH = b"<end>"  # a line at which the agent closes the connection


@dataclass
class FakeDiscoveryAgent(FakeServer):
    """A discovery agent.

    Attributes:
        watch_lines: The lines sent on each watch, one chunk per line; lines appended later are sent as well.
        targets: The targets of all requests received.
        snapshot: The response to a request for the snapshot.
    """

    watch_lines: list[bytes] = field(default_factory=list)
    targets: list[str] = field(default_factory=list)
    snapshot: bytes = b'{"seq":41,"whole":true,"hosts":[]}'

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to a request for the snapshot, then to a request for the watch."""
        self.targets.append((await read_message(reader)).target)
        writer.write(http_response(body=self.snapshot))
        self.targets.append((await read_message(reader)).target)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        ended = asyncio.ensure_future(reader.read())
        sent = 0
        while not ended.done():
            for line in self.watch_lines[sent:]:
                if line == END_OF_WATCH:
                    self.watch_lines.remove(line)
                    return
                writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
            sent = len(self.watch_lines)
            await asyncio.sleep(POLL_SECONDS)


def host_entry(name: str, dial: str, health: str = "Ready", block: int = 0) -> dict[str, Any]:
    """Return the entry of an endpoint in the list of an agent."""
    return {
        "host": name,
        "dial": dial,
        "site": "a",
        "class": "m2",
        "block": block,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


def snapshot(version: int, hosts: list[dict[str, Any]]) -> bytes:
    """Return a snapshot as an agent sends it."""
    return json.dumps({"seq": version, "whole": True, "hosts": hosts}).encode()
