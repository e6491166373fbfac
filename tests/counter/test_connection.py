"""One connection to a fake counter on loopback sockets: replies, reconnecting, idleness and bounds."""

from __future__ import annotations

import asyncio
import time

import pytest

from gateway.counter.client import CONNECTION_COUNT, CounterClient
from gateway.counter.connection import MAX_PENDING_CALLS, REPLY_TIMEOUT_SECONDS
from gateway.policy.events import CounterReply, Outcome
from tests.counter.support import client_of, counting, is_open, make_add, never_reply
from tests.support.harness import async_test
from tests.support.sockets import FakeCounter, listening, until


async def check_that_the_second_call_succeeds(client: CounterClient, replies: list[CounterReply]) -> None:
    """Let a first call time out as its connection is lost, and a second one go over a new connection."""
    client.add(make_add(8))
    await until(lambda: replies)
    assert replies[0].outcome is Outcome.TIMEOUT
    await until(lambda: is_open(client.connections[0]))
    client.add(make_add(8))
    await until(lambda: len(replies) == 2)
    assert replies[1].outcome is Outcome.OK


@pytest.mark.parametrize("reply", [b"-BUSY try later\r\n", b"-ERR no such call\r\n"])
@async_test
async def test_a_rejected_call_leaves_the_connection_in_use(reply: bytes) -> None:
    counter = FakeCounter(lambda number, _: reply if number == 0 else None)
    async with counting(counter.handle) as (client, replies):
        client.add(make_add())
        client.add(make_add())
        await until(lambda: len(replies) == 2)
        assert [reply.outcome for reply in replies] == [Outcome.OVERLOADED, Outcome.OK]


# Guards against totals that belong to another call: after a reply without a number nothing on that connection
# can be matched, so it ends, and what was written behind may have been added.  No total is nan or inf: a
# customer's sums would never be right again.
@pytest.mark.parametrize(
    "reply",
    [b"+what\r\n", b"$3\r\nnan\r\n", b"$3\r\ninf\r\n", b"$3\r\n1_0\r\n", b"$0\r\n\r\n", b"*0\r\n", b"$-1\r\n",
     b":5\r\n", b"\x00noise\r\n", b"$300000000\r\n" + b"7" * 100_000],
    ids=range(10),
)  # fmt: skip
@async_test
async def test_a_reply_without_a_total_ends_its_connection(reply: bytes) -> None:
    counter = FakeCounter(lambda number, _: reply if number == 0 else None)
    async with counting(counter.handle, timeout_seconds=5.0) as (client, replies):
        client.add(make_add())
        client.add(make_add())
        await until(lambda: len(replies) == 2)
        assert [reply.outcome for reply in replies] == [Outcome.TIMEOUT, Outcome.TIMEOUT]
        client.add(make_add())
        await until(lambda: len(replies) == 3)
        assert (replies[2].outcome, replies[2].total) == (Outcome.OK, 3.0)


@async_test
async def test_bytes_that_are_no_reply_end_the_connection() -> None:
    counter = FakeCounter(lambda number, _: b"?!\r\n" if number == 0 else None)
    async with counting(counter.handle, timeout_seconds=5.0) as (client, replies):
        await check_that_the_second_call_succeeds(client, replies)


@async_test
async def test_a_late_reply_is_not_taken_for_the_next_calls() -> None:
    go = asyncio.Event()

    async def reply_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if b"TALLY" not in await reader.read(1000):
            return
        await go.wait()
        writer.write(b"$1\r\n1\r\n")  # the reply to the call that has timed out
        await reader.read(1000)
        writer.write(b"$1\r\n3\r\n")
        await reader.read()

    async with counting(reply_late, timeout_seconds=0.05) as (client, replies):
        client.add(make_add(8))
        await until(lambda: replies)
        assert replies[0].outcome is Outcome.TIMEOUT
        assert replies[0].elapsed >= 0.05
        client.call_expiry.timeout_seconds = 5.0
        client.add(make_add(8, 2.0))
        go.set()
        await until(lambda: len(replies) == 2)
        assert (replies[1].outcome, replies[1].total) == (Outcome.OK, 3.0)


@async_test
async def test_a_call_whose_connection_ends_may_have_been_added_and_the_next_reconnects() -> None:
    counter = FakeCounter()
    ended: list[int] = []

    async def end_the_first(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not ended:
            if await reader.read(1000):
                ended.append(1)
            return
        await counter.handle(reader, writer)

    async with counting(end_the_first, timeout_seconds=5.0) as (client, replies):
        await check_that_the_second_call_succeeds(client, replies)
        assert len(counter.calls) == 1


@async_test
async def test_a_refused_connection_proves_that_nothing_was_added() -> None:
    async with listening(FakeCounter().handle) as address:
        pass
    async with client_of(address) as (client, replies):
        client.add(make_add(8))  # queued while the connection is attempted
        await until(lambda: replies)
        client.add(make_add(8))  # not queued while it is known to be down
        await until(lambda: len(replies) == 2)
        assert [reply.outcome for reply in replies] == [Outcome.CONNECT_FAILED] * 2


@async_test
async def test_a_vanished_counter_is_reconnected_to() -> None:
    opened: list[int] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        opened.append(1)
        await never_reply(reader, writer)

    async with counting(handle, timeout_seconds=0.02) as (client, replies):
        await until(lambda: len(opened) == CONNECTION_COUNT)
        client.add(make_add(8))
        await until(lambda: replies)
        connection = client.connections[0]
        connection.check_liveness(time.monotonic() + REPLY_TIMEOUT_SECONDS / 2)
        assert connection.can_write()
        connection.check_liveness(time.monotonic() + REPLY_TIMEOUT_SECONDS + 0.1)
        await until(lambda: len(opened) == CONNECTION_COUNT + 1)


@async_test
async def test_an_idle_connection_is_kept_open_by_a_ping() -> None:
    counter = FakeCounter()
    async with counting(counter.handle) as (client, _):
        connection = client.connections[0]
        await until(lambda: is_open(connection))
        before = connection.last_received_at
        connection.check_liveness(time.monotonic() + 3.0)
        assert len(connection.calls) == 1
        await until(lambda: len(connection.calls) == 0)
        assert connection.last_received_at > before
        assert not counter.calls


@async_test
async def test_pending_calls_are_bounded() -> None:
    async with counting(never_reply, timeout_seconds=10.0) as (client, replies):
        for _ in range(MAX_PENDING_CALLS + 1):
            client.add(make_add(8))
        assert [reply.outcome for reply in replies] == [Outcome.OVERLOADED]
