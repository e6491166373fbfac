"""What the tests of endpoint discovery share: updates as JSON, a client of a fake agent, failing agents."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any

from gateway.address import Address, parse_address
from gateway.discovery.client import DiscoveryClient
from gateway.discovery.endpoint_decoder import EndpointDecoder
from gateway.policy.events import EndpointUpdate
from tests.support.sockets import FakeDiscoveryAgent, Handler, listening


def update_json(version: int, *hosts: Any, complete: bool = False) -> bytes:
    """An endpoint list, or a change to it, as an agent sends it."""
    return json.dumps({"seq": version, "whole": complete, "hosts": hosts}).encode()


def make_decoder() -> EndpointDecoder:
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


@contextlib.asynccontextmanager
async def discovering(handler: Handler) -> AsyncIterator[tuple[DiscoveryClient, ReceivedUpdates]]:
    """A client of the agent that the handler serves."""
    async with listening(handler) as address:
        received = ReceivedUpdates()
        client = DiscoveryClient(parse_address(address), make_decoder(), received.append)
        try:
            yield client, received
        finally:
            client.close()


class PartitionedAgent(FakeDiscoveryAgent):
    """An agent that accepts connections while it is cut off, and never responds on those."""

    def __init__(self, is_cut_off: Callable[[], bool]) -> None:
        super().__init__()
        self.is_cut_off, self.attempts = is_cut_off, 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_cut_off():
            self.attempts += 1
            await reader.read()
        else:
            await super().handle(reader, writer)
