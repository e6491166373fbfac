"""One connection to a fake counter on loopback sockets: replies, reconnecting, idleness and bounds."""

from __future__ import annotations

import asyncio
import time

import pytest

from gateway.counter.client import CONNECTION_COUNT
from gateway.counter.connection import (
    MAX_PENDING_CALLS,
    PING_INTERVAL_SECONDS,
    REPLY_TIMEOUT_SECONDS,
)
from gateway.policy.events import Outcome
from tests.support.counter import (
    LONG_TIMEOUT_SECONDS,
    CounterSetUp,
    client_of,
    counting,
    is_open,
    make_add_action,
    never_reply,
)
from tests.support.event_loop import async_test, until
from tests.support.fake_counter import FakeCounter
from tests.support.fake_server import listening


def counter_with_first_reply(first_reply: bytes) -> FakeCounter:
    """Return a counter whose reply to the first call is not that of a counter."""
    return FakeCounter(lambda number, _: first_reply if number == 0 else None)


async def check_that_the_second_call_succeeds(counter: CounterSetUp) -> None:
    """Let a first call time out as its connection is lost, and a second one go over a new connection."""
    first_reply = await counter.add_and_wait(make_add_action(8))
    assert first_reply.outcome is Outcome.TIMEOUT
    await until(lambda: is_open(counter.first_connection))
    second_reply = await counter.add_and_wait(make_add_action(8))
    assert second_reply.outcome is Outcome.OK


@pytest.mark.parametrize(
    "reply",
    [
        pytest.param(b"-BUSY try later\r\n", id="busy"),
        pytest.param(b"-ERR no such call\r\n", id="error"),
    ],
)
@async_test
async def test_a_rejected_call_leaves_the_connection_in_use(reply: bytes) -> None:
    async with counting(counter_with_first_reply(reply).handle) as counter:
        counter.client.add_to_counter(make_add_action())
        counter.client.add_to_counter(make_add_action())
        await counter.until_replies(2)
        assert counter.outcomes == [Outcome.OVERLOADED, Outcome.OK]


# Guards against totals that belong to another call: after a reply without a number nothing on that connection
# can be matched, so it ends, and what was written behind may have been added.  No total is nan or inf: a
# customer's sums would never be right again.
@pytest.mark.parametrize(
    "reply",
    [
        pytest.param(b"+what\r\n", id="another status"),
        pytest.param(b"$3\r\nnan\r\n", id="nan"),
        pytest.param(b"$3\r\ninf\r\n", id="inf"),
        pytest.param(b"$3\r\n1_0\r\n", id="number with underscore"),
        pytest.param(b"$0\r\n\r\n", id="empty string"),
        pytest.param(b"*0\r\n", id="empty array"),
        pytest.param(b"$-1\r\n", id="null"),
        pytest.param(b":5\r\n", id="integer"),
        pytest.param(b"\x00noise\r\n", id="noise"),
        pytest.param(b"$300000000\r\n" + b"7" * 100_000, id="too long"),
    ],
)
@async_test
async def test_a_reply_without_a_total_ends_its_connection(reply: bytes) -> None:
    async with counting(counter_with_first_reply(reply).handle, LONG_TIMEOUT_SECONDS) as counter:
        counter.client.add_to_counter(make_add_action())
        counter.client.add_to_counter(make_add_action())
        await counter.until_replies(2)
        assert counter.outcomes == [Outcome.TIMEOUT, Outcome.TIMEOUT]
        third_reply = await counter.add_and_wait(make_add_action())
        assert third_reply.outcome is Outcome.OK
        assert third_reply.total == 3.0


@async_test
async def test_bytes_that_are_no_reply_end_the_connection() -> None:
    async with counting(counter_with_first_reply(b"?!\r\n").handle, LONG_TIMEOUT_SECONDS) as counter:
        await check_that_the_second_call_succeeds(counter)


class LateCounter:
    """A counter that replies to the first call once `may_reply` is set, and then to one more call."""

    def __init__(self) -> None:
        self.may_reply = asyncio.Event()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if b"TALLY" not in await reader.read(1000):
            return
        await self.may_reply.wait()
        writer.write(b"$1\r\n1\r\n")
        await reader.read(1000)
        writer.write(b"$1\r\n3\r\n")
        await reader.read()


@async_test
async def test_a_late_reply_is_not_taken_for_the_next_calls() -> None:
    timeout_seconds = 0.05
    server = LateCounter()
    async with counting(server.handle, timeout_seconds) as counter:
        first_reply = await counter.add_and_wait(make_add_action(8))
        assert first_reply.outcome is Outcome.TIMEOUT
        assert first_reply.elapsed >= timeout_seconds
        counter.client.call_expiry.timeout_seconds = LONG_TIMEOUT_SECONDS
        server.may_reply.set()
        second_reply = await counter.add_and_wait(make_add_action(8, 2.0))
        assert second_reply.outcome is Outcome.OK
        assert second_reply.total == 3.0


class FirstConnectionLost(FakeCounter):
    """A counter that ends the connection of the first call that it reads."""

    def __init__(self) -> None:
        super().__init__()
        self.has_ended_one = False

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.has_ended_one:
            await super().handle(reader, writer)
        elif await reader.read(1000):
            self.has_ended_one = True


@async_test
async def test_a_call_whose_connection_ends_may_have_been_added_and_the_next_reconnects() -> None:
    server = FirstConnectionLost()
    async with counting(server.handle, LONG_TIMEOUT_SECONDS) as counter:
        await check_that_the_second_call_succeeds(counter)
        assert len(server.calls) == 1


@async_test
async def test_a_refused_connection_proves_that_nothing_was_added() -> None:
    async with listening(FakeCounter().handle) as closed_address:
        pass
    async with client_of(closed_address) as counter:
        await counter.add_and_wait(make_add_action(8))  # queued while the connection is attempted
        await counter.add_and_wait(make_add_action(8))  # not queued while it is known to be down
        assert counter.outcomes == [Outcome.CONNECT_FAILED] * 2


@async_test
async def test_a_vanished_counter_is_reconnected_to() -> None:
    opened: list[int] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        opened.append(1)
        await never_reply(reader, writer)

    async with counting(handle, timeout_seconds=0.02) as counter:
        await until(lambda: len(opened) == CONNECTION_COUNT)
        await counter.add_and_wait(make_add_action(8))
        connection = counter.first_connection
        connection.check_liveness(time.monotonic() + REPLY_TIMEOUT_SECONDS / 2)
        assert connection.can_write()
        connection.check_liveness(time.monotonic() + REPLY_TIMEOUT_SECONDS + 0.1)
        await until(lambda: len(opened) == CONNECTION_COUNT + 1)


@async_test
async def test_an_idle_connection_is_kept_open_by_a_ping() -> None:
    server = FakeCounter()
    async with counting(server.handle) as counter:
        connection = counter.first_connection
        await until(lambda: is_open(connection))
        last_received_before = connection.last_received_at
        connection.check_liveness(time.monotonic() + PING_INTERVAL_SECONDS + 1.0)
        assert len(connection.calls) == 1
        await until(lambda: len(connection.calls) == 0)
        assert connection.last_received_at > last_received_before
        assert not server.calls


@async_test
async def test_pending_calls_are_bounded() -> None:
    async with counting(never_reply, LONG_TIMEOUT_SECONDS) as counter:
        for _ in range(MAX_PENDING_CALLS + 1):
            counter.client.add_to_counter(make_add_action(8))
        assert counter.outcomes == [Outcome.OVERLOADED]
