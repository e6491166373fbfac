"""What the tests of the counter's client share: a client of a fake counter, and the replies that it gives."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from gateway.address import Address, parse_address
from gateway.counter.client import CounterClient
from gateway.counter.connection import ConnectionState, CounterConnection
from gateway.policy.actions import AddToCounter
from tests.support.event_loop import until
from tests.support.fake_server import Handler, listening

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from gateway.policy.events import CounterReply, Outcome

SHORT_TIMEOUT_SECONDS = 0.08  # of a call that is to be answered at once, or not at all
LONG_TIMEOUT_SECONDS = 5.0  # of a call that ends for another reason


@dataclass
class CounterSetUp:
    """A client of a counter, and the replies that it gives."""

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
        """The connection that carries calls of the name 8."""
        return self.client.connections[0]

    async def until_replies(self, count: int) -> None:
        """Wait until the client has given this many replies in all."""
        await until(lambda: len(self.replies) == count)

    async def add_and_wait(self, request: AddToCounter) -> CounterReply:
        """Make an addition, and wait for its reply."""
        count = len(self.replies) + 1
        self.client.add_to_counter(request)
        await self.until_replies(count)
        return self.last_reply

    async def until_open(self) -> None:
        """Wait until all connections are open."""
        await until(lambda: all(map(is_open, self.client.connections)))

    async def until_moved(self) -> None:
        """Wait until the connections to a changed address have replaced the ones before."""
        await until(lambda: not self.client.replacements)
        await self.until_open()


@contextlib.asynccontextmanager
async def client_of(
    address: str, timeout_seconds: float = SHORT_TIMEOUT_SECONDS
) -> AsyncIterator[CounterSetUp]:
    """Run a client of the counter at an address."""
    replies: list[CounterReply] = []
    client = CounterClient(parse_address(address), timeout_seconds, replies.append)
    try:
        yield CounterSetUp(client, replies)
    finally:
        client.close()


@contextlib.asynccontextmanager
async def counting(
    handler: Handler, timeout_seconds: float = SHORT_TIMEOUT_SECONDS
) -> AsyncIterator[CounterSetUp]:
    """Run a client of a counter whose connections the handler serves."""
    async with listening(handler) as address, client_of(address, timeout_seconds) as counter:
        yield counter


def make_add_action(name: int = 9, amount: float = 1.0, expires_after: float = 4.0) -> AddToCounter:
    """Return an addition; those of the names 8 and 9 have connections of their own."""
    return AddToCounter(name, amount, expires_after)


def is_open(connection: CounterConnection) -> bool:
    return connection.state is ConnectionState.OPEN


async def never_reply(_reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    """Serve a connection on which the counter says nothing."""
    await asyncio.sleep(30)
