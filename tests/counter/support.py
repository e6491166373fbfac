"""What the tests of the counter's client share: a client of a fake counter, and a counter that is silent."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from gateway.address import parse_address
from gateway.counter.client import CounterClient
from gateway.counter.connection import ConnectionState, CounterConnection
from gateway.policy.actions import AddToCounter
from gateway.policy.events import CounterReply
from tests.support.sockets import Handler, listening


@contextlib.asynccontextmanager
async def client_of(
    address: str, timeout_seconds: float = 0.08
) -> AsyncIterator[tuple[CounterClient, list[CounterReply]]]:
    """A client of the counter at an address, and the replies that it gives."""
    replies: list[CounterReply] = []
    client = CounterClient(parse_address(address), timeout_seconds, replies.append)
    try:
        yield client, replies
    finally:
        client.close()


@contextlib.asynccontextmanager
async def counting(
    handler: Handler, timeout_seconds: float = 0.08
) -> AsyncIterator[tuple[CounterClient, list[CounterReply]]]:
    """A client of the counter that the handler serves, and the replies that it gives."""
    async with listening(handler) as address, client_of(address, timeout_seconds) as pair:
        yield pair


def make_add(name: int = 9, amount: float = 1.0, expires_after: float = 4.0) -> AddToCounter:
    return AddToCounter(name, amount, expires_after)


def is_open(connection: CounterConnection) -> bool:
    return connection.state is ConnectionState.OPEN


async def never_reply(_reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(30)
