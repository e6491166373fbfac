"""The counter client with a fake counter on loopback sockets: additions, and a change of address."""

from __future__ import annotations

import asyncio

from gateway.address import parse_address
from gateway.counter.client import CONNECTION_COUNT
from gateway.policy.events import Outcome
from testbed.fake_counter import FakeCounter
from testbed.fake_server import Handler, listening
from tests.support.counter import LONG_TIMEOUT_SECONDS, counter_client_for, is_open, make_add_action
from tests.support.event_loop import async_test


@async_test
async def test_calls_are_pipelined_and_their_replies_arrive_in_order() -> None:
    server = FakeCounter()
    async with counter_client_for(server.handle) as counter:
        for amount in (4.0, -1.5, 0.0):
            counter.client.add_to_counter(make_add_action(9, amount))
        counter.client.add_to_counter(make_add_action(10, expires_after=90.0))
        await counter.until_replies(4)
        assert [reply.total for reply in counter.replies if reply.name == 9] == [4.0, 2.5, 2.5]
        assert all(outcome is Outcome.OK for outcome in counter.outcomes)
        assert [b"TALLY", b"9", b"-1.500000", b"4000"] in server.calls
        assert [b"TALLY", b"10", b"1.000000", b"60000"] in server.calls


def gated_handler(server: FakeCounter, gate: asyncio.Event) -> Handler:
    """Return a handler that serves connections once the gate is set."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await gate.wait()
        await server.handle(reader, writer)

    return handle


# Guards against an outage while the address of the counter changes, and against replies out of order: a call
# written to the old counter is settled before the next call of its name is written to the new one.
@async_test
async def test_calls_move_to_another_counter_without_interruption() -> None:
    gate = asyncio.Event()
    old_server = FakeCounter()
    new_server = FakeCounter()
    async with (
        listening(new_server.handle) as new_address,
        counter_client_for(gated_handler(old_server, gate), LONG_TIMEOUT_SECONDS) as counter,
    ):
        client = counter.client
        await client.ready
        client.add_to_counter(make_add_action(8, 5.0))
        client.change_address(parse_address(new_address))
        client.add_to_counter(make_add_action(8, 6.0))  # the old connection is used until the new one is open
        await counter.until_moved()
        client.add_to_counter(make_add_action(8, 7.0))
        await asyncio.sleep(0)
        assert not counter.replies
        assert not new_server.calls
        gate.set()
        await counter.until_replies(3)
        assert counter.last_reply.outcome is Outcome.OK
        assert counter.last_reply.total == 7.0
        assert [float(call[2]) for call in new_server.calls] == [7.0]
        assert counter.addresses == [parse_address(new_address)] * CONNECTION_COUNT


# Guards against an outage after a change to a wrong address: connections to the old counter remain in use.
@async_test
async def test_an_unreachable_counter_does_not_replace_the_one_in_use() -> None:
    async with counter_client_for(FakeCounter().handle) as counter:
        await counter.until_open()
        counter.client.change_address(parse_address("127.0.0.1:1"))
        counter.client.change_address(parse_address("127.0.0.1:2"))
        reply = await counter.add_and_wait(make_add_action())
        assert reply.outcome is Outcome.OK


# Guards against a connection that hands its queued calls over to itself, and loses them: one that has
# replaced another drops and reconnects while the other replacements are not open yet.
@async_test
async def test_a_replacement_that_reconnects_during_a_move_does_not_replace_itself() -> None:
    server = FakeCounter()
    async with (
        listening(server.handle) as new_address,
        counter_client_for(FakeCounter().handle, LONG_TIMEOUT_SECONDS) as counter,
    ):
        client = counter.client
        await counter.until_open()
        client.change_address(parse_address(new_address))
        await counter.until_moved()
        client.replacements = list(client.connections)  # as while the others are not open yet
        first = counter.first_connection
        first.abort()
        while is_open(first):  # noqa: ASYNC110  # no event tells that a connection is lost
            await asyncio.sleep(0)
        client.add_to_counter(make_add_action(8))  # queued until it is open again
        await counter.until_replies(1)
        assert counter.outcomes == [Outcome.OK]
        assert len(server.calls) == 1


# Guards against replies out of order: the second replacement must not write while calls of the first
# connection, which it does not replace directly, are in flight.
@async_test
async def test_calls_keep_their_order_through_two_moves_within_a_call() -> None:
    gate = asyncio.Event()
    old_server = FakeCounter()
    new_servers = [FakeCounter(), FakeCounter()]
    async with (
        listening(new_servers[0].handle) as first_address,
        listening(new_servers[1].handle) as second_address,
        counter_client_for(gated_handler(old_server, gate), LONG_TIMEOUT_SECONDS) as counter,
    ):
        client = counter.client
        await counter.until_open()
        client.add_to_counter(make_add_action(8, 5.0))
        for address in (first_address, second_address):
            client.change_address(parse_address(address))
            await counter.until_moved()
        client.add_to_counter(make_add_action(8, 7.0))
        await asyncio.sleep(0.02)
        assert not new_servers[1].calls
        gate.set()
        await counter.until_replies(2)
        assert [reply.total for reply in counter.replies] == [5.0, 7.0]
