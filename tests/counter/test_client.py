"""Additions to a fake counter on loopback sockets, and the move from one counter to another."""

from __future__ import annotations

import asyncio

from gateway.address import parse_address
from gateway.counter.client import CONNECTION_COUNT
from gateway.policy.events import Outcome
from tests.counter.support import counting, is_open, make_add
from tests.support.harness import async_test
from tests.support.sockets import FakeCounter, listening, until


@async_test
async def test_calls_are_pipelined_and_their_replies_come_in_order() -> None:
    counter = FakeCounter()
    async with counting(counter.handle) as (client, replies):
        for amount in (4.0, -1.5, 0.0):
            client.add(make_add(9, amount))
        client.add(make_add(10, expires_after=90.0))
        await until(lambda: len(replies) == 4)
        assert [reply.total for reply in replies if reply.name == 9] == [4.0, 2.5, 2.5]
        assert all(reply.outcome is Outcome.OK for reply in replies)
        assert [b"TALLY", b"9", b"-1.500000", b"4000"] in counter.calls
        assert [b"TALLY", b"10", b"1.000000", b"60000"] in counter.calls


# Guards against a gap when the configuration names another counter, and against replies out of their order:
# a call written to the old one ends there, with its own reply, before the next of its name is written.
@async_test
async def test_calls_move_to_another_counter_without_a_gap() -> None:
    gate = asyncio.Event()
    old, new = FakeCounter(), FakeCounter()

    async def handle_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await gate.wait()
        await old.handle(reader, writer)

    async with (
        listening(new.handle) as new_address,
        counting(handle_late, timeout_seconds=5.0) as (client, replies),
    ):
        await client.ready
        client.add(make_add(8, 5.0))
        client.change_address(parse_address(new_address))
        client.add(make_add(8, 6.0))  # the old connection is used until the new one is open
        await until(lambda: all(map(is_open, client.connections)) and not client.replacements)
        client.add(make_add(8, 7.0))
        await asyncio.sleep(0)
        assert not replies
        assert not new.calls
        gate.set()
        await until(lambda: len(replies) == 3)
        assert [(reply.outcome, reply.total) for reply in replies][-1] == (Outcome.OK, 7.0)
        assert [float(call[2]) for call in new.calls] == [7.0]
        addresses = [connection.address for connection in client.connections]
        assert addresses == [parse_address(new_address)] * CONNECTION_COUNT


# Guards against an outage by a wrong address: the old counter serves until another one is up.
@async_test
async def test_an_unreachable_counter_does_not_take_over() -> None:
    counter = FakeCounter()
    async with counting(counter.handle) as (client, replies):
        await until(lambda: all(map(is_open, client.connections)))
        client.change_address(parse_address("127.0.0.1:1"))
        client.change_address(parse_address("127.0.0.1:2"))
        client.add(make_add())
        await until(lambda: replies)
        assert replies[0].outcome is Outcome.OK
