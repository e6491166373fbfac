"""A discovery agent at two addresses whose faults are switched on and off from outside, in its own process.

Run as `python -m testbed.faulty_discovery`.  It prints both ports as JSON and takes lines of the type
`Command`.
"""

from __future__ import annotations

import asyncio
import enum
import json
import sys
from dataclasses import dataclass
from typing import Any, Literal

import uvloop
from pydantic import TypeAdapter

from testbed.child_process import serve_commands
from testbed.fake_discovery import snapshot
from testbed.fake_server import LOOPBACK
from testbed.http_messages import http_response, read_message

ADDRESS_COUNT = 2  # so that a changed configuration can name another
HEARTBEAT_SECONDS = 2.0
WATCH_MARK = "watch=1"  # in the target of a request for a watch
POLL_SECONDS = 0.01  # between checks for news


class DiscoveryFault(enum.StrEnum):
    """What the agent does with its connections."""

    NONE = "none"
    SILENT = "silent"  # sends nothing, not even on open watches; what it missed follows afterwards
    GONE = "gone"  # closes all connections, and each new one
    STALE = "stale"  # sends the list before the last change as the snapshot; the watch brings the change


@dataclass(frozen=True, slots=True)
class Publish:
    """A command: these entries of the endpoint list have changed."""

    hosts: list[dict[str, Any]]
    kind: Literal["publish"] = "publish"


@dataclass(frozen=True, slots=True)
class SetDiscoveryFault:
    """A command: the agent has a fault from now on."""

    fault: DiscoveryFault
    kind: Literal["fault"] = "fault"


@dataclass(frozen=True, slots=True)
class Command:
    """A line of standard input."""

    action: Publish | SetDiscoveryFault


COMMAND = TypeAdapter(Command)


class Agent:
    """The endpoint list and its history.

    Attributes:
        fault: What the agent does now.
        deltas: The changed entries of each version; the first version has the whole list.
    """

    def __init__(self) -> None:
        self.fault = DiscoveryFault.NONE
        self.deltas: list[list[dict[str, Any]]] = []

    async def serve(self) -> None:
        """Serve gateways and commands until the end of standard input."""
        servers = [
            await asyncio.start_server(self.handle_connection, LOOPBACK, 0) for _ in range(ADDRESS_COUNT)
        ]
        ports = [server.sockets[0].getsockname()[1] for server in servers]
        print(json.dumps(ports), flush=True)  # noqa: T201
        await serve_commands(self.handle_command)

    def handle_command(self, line: str) -> None:
        """Execute a command."""
        action = COMMAND.validate_json(line).action
        if isinstance(action, Publish):
            self.deltas.append(action.hosts)
        else:
            self.fault = action.fault

    def snapshot(self, version: int) -> bytes:
        """Return the whole list as of a version; endpoints that are gone are left out."""
        by_name = {host["host"]: host for delta in self.deltas[:version] for host in delta}
        hosts = [host for host in by_name.values() if host["health"] != "Gone"]
        return snapshot(version, hosts)

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the snapshot, then a watch, until the gateway closes the connection."""
        try:
            await self.serve_connection(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the gateway or this process has ended the connection
        finally:
            writer.close()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests until one asks for a watch, which lasts until the connection ends."""
        while True:
            request = await read_message(reader)
            if not await self.may_send():
                return
            if WATCH_MARK in request.target:
                await self.send_watch(writer, version=int(request.target.rpartition("=")[2]))
                return
            is_stale = self.fault is DiscoveryFault.STALE and len(self.deltas) > 1
            writer.write(http_response(body=self.snapshot(len(self.deltas) - is_stale)))

    async def may_send(self) -> bool:
        """Wait while the agent is silent; return whether the connection stays open."""
        while self.fault is DiscoveryFault.SILENT:  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)
        return self.fault is not DiscoveryFault.GONE

    async def send_watch(self, writer: asyncio.StreamWriter, version: int) -> None:
        """Send each change after a version, and a heartbeat while nothing changes."""
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        loop = asyncio.get_running_loop()
        heartbeat_at = loop.time()
        while not writer.is_closing() and await self.may_send():
            line = b""
            if version < len(self.deltas):
                hosts = self.deltas[version]
                version += 1
                line = json.dumps({"seq": version, "whole": False, "hosts": hosts}).encode()
            if line or loop.time() >= heartbeat_at:
                heartbeat_at = loop.time() + HEARTBEAT_SECONDS
                writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
                await writer.drain()
            await asyncio.sleep(POLL_SECONDS)


if __name__ == "__main__":
    sys.exit(uvloop.run(Agent().serve()))
