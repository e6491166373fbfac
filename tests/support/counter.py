"""Helpers for the tests of the counter client: a client of a fake counter, which records its replies."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from gateway.address import Address, parse_address
from gateway.counter.client import CounterClient
from gateway.counter.connection import ConnectionState, CounterConnection
from gateway.policy.actions import AddToCounter
from testbed.fake_server import Handler, listening
from tests.support.event_loop import until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from gateway.policy.events import CounterReply, Outcome

SHORT_TIMEOUT_SECONDS = 0.08  # for calls that are answered immediately or never
LONG_TIMEOUT_SECONDS = 5.0  # for calls that end before their timeout


@dataclass
class CounterTestClient:
    """A counter client, and the replies that it has delivered."""

    client: CounterClient
    replies: list[CounterReply] = field(default_factory=list)

    @property
    def outcomes(self) -> list[Outcome]:
        return [reply.outcome for reply in self.replies]

    @property
    def last_reply(self) -> CounterReply:
        return self.replies[-1]

    @property
    def addresses(self) -> list[Address]:
        """The address of each connection in use."""
        return [connection.address for connection in self.client.connections]

    @property
    def first_connection(self) -> CounterConnection:
        """The connection used for calls of the name 8."""
        return self.client.connections[0]

    async def until_replies(self, count: int) -> None:
        """Wait until the client has delivered this many replies in total."""
        await until(lambda: len(self.replies) == count)

    async def add_and_wait(self, action: AddToCounter) -> CounterReply:
        """Send an addition and wait for its reply."""
        count = len(self.replies) + 1
        self.client.add_to_counter(action)
        await self.until_replies(count)
        return self.last_reply

    async def until_open(self) -> None:
        """Wait until all connections are open."""
        await until(lambda: all(map(is_open, self.client.connections)))

    async def until_moved(self) -> None:
        """Wait until the connections to a changed address are in use and open."""
        await until(lambda: not self.client.replacements)
        await self.until_open()


@contextlib.asynccontextmanager
async def counter_client(
    address: str, timeout_seconds: float = SHORT_TIMEOUT_SECONDS
) -> AsyncIterator[CounterTestClient]:
    """Run a client of the counter at the given address."""
    replies: list[CounterReply] = []
    client = CounterClient(parse_address(address), timeout_seconds, replies.append)
    try:
        yield CounterTestClient(client, replies)
    finally:
        client.close()


@contextlib.asynccontextmanager
async def counter_client_for(
    handler: Handler, timeout_seconds: float = SHORT_TIMEOUT_SECONDS
) -> AsyncIterator[CounterTestClient]:
    """Run a counter, whose connections the handler serves, and a client of it."""
    async with listening(handler) as address, counter_client(address, timeout_seconds) as counter:
        yield counter


def make_add_action(name: int = 9, amount: float = 1.0, expires_after: float = 4.0) -> AddToCounter:
    """Return an addition; the names 8 and 9 are sent on different connections."""
    return AddToCounter(name, amount, expires_after)


def is_open(connection: CounterConnection) -> bool:
    return connection.state is ConnectionState.OPEN


async def never_reply(_reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    """Handle a connection without sending anything."""
    await asyncio.sleep(30)
