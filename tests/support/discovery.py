"""Helpers for the tests of endpoint discovery: updates as JSON, a client of a fake agent, faulty agents."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from gateway.address import Address, parse_address
from gateway.discovery import connection_set
from gateway.discovery.client import DiscoveryClient
from gateway.discovery.endpoint_decoder import EndpointDecoder
from testbed.fake_discovery import FakeDiscoveryAgent, host_entry
from testbed.fake_server import Handler, listening
from testbed.http_messages import http_response
from tests.support.event_loop import until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from gateway.policy.events import EndpointUpdate

FIRST_VERSION = 41  # of the initial snapshot of a fake agent
CHUNKED_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BLANK_CHUNK = b"1\r\n \r\n"
END_OF_HEAD = b"\r\n\r\n"
FIRST_ENDPOINT = host_entry("s-00000007", "127.0.0.1:81")
FIRST_ENDPOINT_ID = 7
SECOND_ENDPOINT = host_entry("s-00000008", "127.0.0.1:82")
SECOND_ENDPOINT_ID = 8


def update_json(version: int, *hosts: Any, is_snapshot: bool = False) -> bytes:
    """Return a snapshot or a delta as an agent sends it."""
    return json.dumps({"seq": version, "whole": is_snapshot, "hosts": hosts}).encode()


def make_decoder() -> EndpointDecoder:
    """Return a decoder for two zones and two machine types."""
    return EndpointDecoder(("a", "b"), ("m1", "m2"))


@dataclass
class ReceivedUpdates:
    """The updates that a client has passed on, in order."""

    updates: list[EndpointUpdate] = field(default_factory=list)
    addresses: list[dict[int, Address]] = field(default_factory=list)

    def append(self, update: EndpointUpdate, addresses: dict[int, Address]) -> None:
        self.updates.append(update)
        self.addresses.append(addresses)

    @property
    def versions(self) -> list[int]:
        return [update.version for update in self.updates]

    @property
    def last_version(self) -> int | None:
        return self.updates[-1].version if self.updates else None

    @property
    def endpoint_ids(self) -> list[int]:
        """The endpoint ids of all updates, in order."""
        return [record.endpoint_id for update in self.updates for record in update.records]

    async def until_version(self, version: int) -> None:
        """Wait until the last update has this version."""
        await until(lambda: self.last_version == version)


@contextlib.asynccontextmanager
async def discovery_client_for(handler: Handler) -> AsyncIterator[tuple[DiscoveryClient, ReceivedUpdates]]:
    """Run an agent, whose connections the handler serves, and a client of it."""
    async with listening(handler) as address:
        received = ReceivedUpdates()
        client = DiscoveryClient(parse_address(address), make_decoder(), received.append)
        try:
            yield client, received
        finally:
            client.close()


class GatedAgent(FakeDiscoveryAgent):
    """An agent that serves connections once `may_serve` is set."""

    def __init__(self, snapshot: bytes) -> None:
        super().__init__(snapshot=snapshot)
        self.may_serve = asyncio.Event()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.may_serve.wait()
        await super().handle(reader, writer)


class PartitionedAgent(FakeDiscoveryAgent):
    """An agent that never responds on connections that it accepts while it is partitioned."""

    def __init__(self, is_partitioned: Callable[[], bool]) -> None:
        super().__init__()
        self.is_partitioned = is_partitioned
        self.attempts = 0  # connections accepted while partitioned

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_partitioned():
            self.attempts += 1
            await reader.read()
        else:
            await super().handle(reader, writer)


class AgentFault(enum.Enum):
    """What an agent does on a connection instead of sending its snapshot."""

    SILENT = enum.auto()  # sends nothing
    SLOW = enum.auto()  # sends a response without end
    TRUNCATED = enum.auto()  # never sends the end of the response
    ERROR_STATUS = enum.auto()
    RESET = enum.auto()


class FaultyAgent(FakeDiscoveryAgent):
    """An agent that sends no updates on its watch, and has a fault on the next `remaining` connections."""

    def __init__(self, fault: AgentFault) -> None:
        super().__init__()
        self.fault = fault
        self.remaining = 0
        self.attempts = 0  # connections with the fault

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.remaining <= 0:
            await super().handle(reader, writer)
            return
        self.remaining -= 1
        self.attempts += 1
        if self.fault is AgentFault.RESET:
            writer.transport.abort()
            return
        await reader.readuntil(END_OF_HEAD)
        await self.respond(reader, writer)
        await reader.read()

    async def respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to a request as the fault requires."""
        match self.fault:
            case AgentFault.ERROR_STATUS:
                writer.write(http_response(500))
            case AgentFault.TRUNCATED:
                writer.write(http_response(body=self.snapshot)[:-10])
            case AgentFault.SLOW:
                pause_seconds = connection_set.ATTEMPT_IDLE_TIMEOUT_SECONDS / 3
                await respond_without_end(reader, writer, pause_seconds)


async def respond_without_end(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pause_seconds: float
) -> None:
    """Send a response of blank chunks until the client closes the connection."""
    writer.write(CHUNKED_RESPONSE_HEAD)
    while not (writer.is_closing() or reader.at_eof()):
        writer.write(BLANK_CHUNK)
        await writer.drain()
        await asyncio.sleep(pause_seconds)


class SlowAgent(FakeDiscoveryAgent):
    """An agent whose responses do not end while `is_slow` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.is_slow = True
        self.slow_responses = 0  # responses in progress

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.is_slow:
            await super().handle(reader, writer)
            return
        self.slow_responses += 1
        with contextlib.suppress(OSError):
            await respond_without_end(reader, writer, pause_seconds=0.01)
        self.slow_responses -= 1


class DelayedResponseAgent(FakeDiscoveryAgent):
    """An agent that completes its first response, an outdated snapshot, once `may_finish` is set."""

    def __init__(self, old_snapshot: bytes, new_snapshot: bytes) -> None:
        super().__init__(snapshot=new_snapshot)
        self.old_snapshot = old_snapshot
        self.connections = 0
        self.may_finish = asyncio.Event()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        if self.connections > 1:
            await super().handle(reader, writer)
            return
        await reader.readuntil(END_OF_HEAD)
        response = http_response(body=self.old_snapshot)
        writer.write(response[:-1])
        await self.may_finish.wait()
        writer.write(response[-1:])
        await reader.read()
