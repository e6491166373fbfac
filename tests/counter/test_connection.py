"""One connection to a fake counter on loopback sockets: replies, reconnects, idleness and bounds."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from gateway.counter import connection as counter_connection
from gateway.counter.client import CONNECTION_COUNT, CounterClient
from gateway.counter.connection import (
    MAX_PENDING_CALLS,
    MIN_RETRY_DELAY_SECONDS,
    PING_INTERVAL_SECONDS,
    REPLY_TIMEOUT_SECONDS,
)
from gateway.counter.transport import CounterTransport
from gateway.policy.events import Outcome
from testbed.fake_counter import FakeCounter
from testbed.fake_server import listening
from tests.support.counter import (
    LONG_TIMEOUT_SECONDS,
    CounterTestClient,
    counter_client,
    counter_client_for,
    is_open,
    make_add_action,
    never_reply,
)
from tests.support.event_loop import async_test, until

if TYPE_CHECKING:
    from gateway.counter.connection import CounterConnection

CONNECT_TIMEOUT_SECONDS = 0.02  # in tests where it passes


def counter_with_first_reply(first_reply: bytes) -> FakeCounter:
    """Return a counter that sends the given bytes as its reply to the first call."""
    return FakeCounter(lambda number, _: first_reply if number == 0 else None)


async def check_that_the_second_call_succeeds(counter: CounterTestClient) -> None:
    """Check that a first call times out as its connection is lost, and that a second one succeeds."""
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
async def test_a_rejected_call_keeps_its_connection_open(reply: bytes) -> None:
    async with counter_client_for(counter_with_first_reply(reply).handle) as counter:
        counter.client.add_to_counter(make_add_action())
        counter.client.add_to_counter(make_add_action())
        await counter.until_replies(2)
        assert counter.outcomes == [Outcome.OVERLOADED, Outcome.OK]


# Guards against totals that are matched to the wrong call: replies after an invalid one cannot be matched, so
# the connection is closed, and the calls still pending on it may have been added.  nan and inf are invalid
# totals, as every later sum of the customer would be nan or inf as well.
@pytest.mark.parametrize(
    "reply",
    [
        pytest.param(b"+what\r\n", id="unknown status"),
        pytest.param(b"$3\r\nnan\r\n", id="nan"),
        pytest.param(b"$3\r\ninf\r\n", id="inf"),
        pytest.param(b"$3\r\n1_0\r\n", id="number with underscore"),
        pytest.param(b"$0\r\n\r\n", id="empty string"),
        pytest.param(b"*0\r\n", id="empty array"),
        pytest.param(b"$-1\r\n", id="null"),
        pytest.param(b":5\r\n", id="integer"),
        pytest.param(b"\x00noise\r\n", id="not RESP"),
        pytest.param(b"$300000000\r\n" + b"7" * 100_000, id="too long"),
    ],
)
@async_test
async def test_a_reply_without_a_total_closes_its_connection(reply: bytes) -> None:
    async with counter_client_for(counter_with_first_reply(reply).handle, LONG_TIMEOUT_SECONDS) as counter:
        counter.client.add_to_counter(make_add_action())
        counter.client.add_to_counter(make_add_action())
        await counter.until_replies(2)
        assert counter.outcomes == [Outcome.TIMEOUT, Outcome.TIMEOUT]
        third_reply = await counter.add_and_wait(make_add_action())
        assert third_reply.outcome is Outcome.OK
        assert third_reply.total == 3.0


@async_test
async def test_invalid_resp_closes_the_connection() -> None:
    async with counter_client_for(
        counter_with_first_reply(b"?!\r\n").handle, LONG_TIMEOUT_SECONDS
    ) as counter:
        await check_that_the_second_call_succeeds(counter)


class LateCounter:
    """A counter that replies to the first call once `may_reply` is set, and to the second at once."""

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
async def test_a_late_reply_is_not_matched_to_the_next_call() -> None:
    timeout_seconds = 0.05
    server = LateCounter()
    async with counter_client_for(server.handle, timeout_seconds) as counter:
        first_reply = await counter.add_and_wait(make_add_action(8))
        assert first_reply.outcome is Outcome.TIMEOUT
        assert first_reply.elapsed >= timeout_seconds
        counter.client.call_expiry.timeout_seconds = LONG_TIMEOUT_SECONDS
        server.may_reply.set()
        second_reply = await counter.add_and_wait(make_add_action(8, 2.0))
        assert second_reply.outcome is Outcome.OK
        assert second_reply.total == 3.0


class FirstCallLosingCounter(FakeCounter):
    """A counter that closes the connection on which it reads the first call."""

    def __init__(self) -> None:
        super().__init__()
        self.has_closed_a_connection = False

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.has_closed_a_connection:
            await super().handle(reader, writer)
        elif await reader.read(1000):
            self.has_closed_a_connection = True


@async_test
async def test_a_call_times_out_when_its_connection_is_lost_and_the_next_call_reconnects() -> None:
    server = FirstCallLosingCounter()
    async with counter_client_for(server.handle, LONG_TIMEOUT_SECONDS) as counter:
        await check_that_the_second_call_succeeds(counter)
        assert len(server.calls) == 1


@async_test
async def test_calls_fail_without_being_added_while_connections_are_refused() -> None:
    async with listening(FakeCounter().handle) as closed_address:
        pass
    async with counter_client(closed_address) as counter:
        await counter.add_and_wait(make_add_action(8))  # queued while connecting
        await counter.add_and_wait(make_add_action(8))  # fails at once while disconnected
        assert counter.outcomes == [Outcome.CONNECT_FAILED] * 2


@async_test
async def test_an_unresponsive_connection_is_replaced() -> None:
    opened: list[int] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        opened.append(1)
        await never_reply(reader, writer)

    async with counter_client_for(handle, timeout_seconds=0.02) as counter:
        await until(lambda: len(opened) == CONNECTION_COUNT)
        await counter.add_and_wait(make_add_action(8))
        connection = counter.first_connection
        connection.check_liveness(time.monotonic() + REPLY_TIMEOUT_SECONDS / 2)
        assert connection.can_write()
        connection.check_liveness(time.monotonic() + REPLY_TIMEOUT_SECONDS + 0.1)
        await until(lambda: len(opened) == CONNECTION_COUNT + 1)


@async_test
async def test_an_idle_connection_is_pinged() -> None:
    server = FakeCounter()
    async with counter_client_for(server.handle) as counter:
        connection = counter.first_connection
        await until(lambda: is_open(connection))
        silent_since_before = connection.silent_since
        connection.check_liveness(time.monotonic() + PING_INTERVAL_SECONDS + 1.0)
        assert len(connection.pipeline) == 1
        await until(lambda: len(connection.pipeline) == 0)
        assert connection.silent_since > silent_since_before
        assert not server.calls


@async_test
async def test_pending_calls_are_bounded() -> None:
    async with counter_client_for(never_reply, LONG_TIMEOUT_SECONDS) as counter:
        for _ in range(MAX_PENDING_CALLS + 1):
            counter.client.add_to_counter(make_add_action(8))
        assert counter.outcomes == [Outcome.OVERLOADED]


def stall_as_connections_open(monkeypatch: pytest.MonkeyPatch, stall_count: int) -> None:
    """Stall the event loop for longer than the connect timeout as each of the first connections opens."""
    report_opening = CounterClient.connection_opened
    stalls = iter(range(stall_count))

    def stall(client: CounterClient, connection: CounterConnection) -> None:
        if next(stalls, None) is not None:
            time.sleep(2 * CONNECT_TIMEOUT_SECONDS)
        report_opening(client, connection)

    monkeypatch.setattr(counter_connection, "CONNECT_TIMEOUT_SECONDS", CONNECT_TIMEOUT_SECONDS)
    monkeypatch.setattr(CounterClient, "connection_opened", stall)


# Guards against a connection that counts as open for ever: a connect timeout that passes while the connection
# opens closes the transport without `connection_lost`.
@async_test
async def test_a_connection_whose_timeout_passes_as_it_opens_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stall_as_connections_open(monkeypatch, CONNECTION_COUNT)
    server = FakeCounter()
    async with counter_client_for(server.handle, LONG_TIMEOUT_SECONDS) as counter:
        await until(lambda: server.accepted_connections > CONNECTION_COUNT)
        await counter.until_open()
        reply = await counter.add_and_wait(make_add_action(8))
        assert reply.outcome is Outcome.OK


def reset_as_connections_open(monkeypatch: pytest.MonkeyPatch, reset_count: int) -> None:
    """Reset each of the first connections as it opens, while its connect timeout passes."""
    stall_as_connections_open(monkeypatch, reset_count)
    stall = CounterClient.connection_opened
    resets = iter(range(reset_count))

    def reset(client: CounterClient, connection: CounterConnection) -> None:
        if next(resets, None) is not None:
            connection.abort()
        stall(client, connection)

    monkeypatch.setattr(CounterClient, "connection_opened", reset)


# Guards against an attempt to connect that fails after its connection has opened, was reset and is being
# replaced: it disturbed the replacement, whose socket stayed open beside that of yet another one.
@async_test
async def test_a_connection_that_is_reset_as_its_timeout_passes_is_replaced_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reset_as_connections_open(monkeypatch, CONNECTION_COUNT)
    server = FakeCounter()
    async with counter_client_for(server.handle, LONG_TIMEOUT_SECONDS) as counter:
        await until(lambda: server.accepted_connections >= 2 * CONNECTION_COUNT)
        await asyncio.sleep(2 * MIN_RETRY_DELAY_SECONDS)  # a failed attempt would be repeated meanwhile
        await counter.until_open()
        assert server.open_connections == CONNECTION_COUNT
        assert server.accepted_connections == 2 * CONNECTION_COUNT


# Guards against a call that never ends, and with it a customer's lease, because its write raised an error.
@async_test
async def test_a_call_whose_write_raises_ends_once_at_its_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(_transport: CounterTransport, _data: bytes) -> None:
        raise RuntimeError("the handler is closed")

    async with counter_client_for(FakeCounter().handle) as counter:
        await counter.until_open()
        monkeypatch.setattr(CounterTransport, "write", raise_error)
        with pytest.raises(RuntimeError):
            counter.client.add_to_counter(make_add_action(8))
        await counter.until_replies(1)
        assert counter.last_reply.elapsed < REPLY_TIMEOUT_SECONDS
        monkeypatch.undo()
        counter.first_connection.check_liveness(time.monotonic() + REPLY_TIMEOUT_SECONDS + 0.1)
        await counter.until_open()
        assert (await counter.add_and_wait(make_add_action(8))).outcome is Outcome.OK
        assert counter.outcomes == [Outcome.TIMEOUT, Outcome.OK]
