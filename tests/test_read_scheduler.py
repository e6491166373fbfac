"""The scheduling of reads among the connections of a group, without sockets."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from gateway.read_scheduler import (
    BULK_READ_BYTES,
    DEFERRED_SECONDS,
    ITERATION_SECONDS,
    READ_BYTES,
    ReadScheduler,
)
from gateway.scheduled_protocol import ScheduledProtocol
from tests.support.event_loop import async_test, until

if TYPE_CHECKING:
    from collections.abc import Iterable

SHORT_READ = READ_BYTES // 2


class RecordingProtocol(ScheduledProtocol):
    """Records what it parses; each read takes `seconds` to parse."""

    def __init__(self, scheduler: ReadScheduler, name: str, parsed: list[str], seconds: float) -> None:
        super().__init__(scheduler)
        self.name = name
        self.parsed = parsed
        self.seconds = seconds
        self.plain_bytes = 0
        self.is_paused = False

    def bulk_bytes(self) -> int:
        return self.plain_bytes

    def update_reading(self) -> None:
        self.is_paused = self.has_deferred_bytes

    def parse(self, data: memoryview | bytes) -> None:
        end = time.perf_counter() + self.seconds
        while time.perf_counter() < end:
            pass
        self.parsed.append(f"{self.name} {len(data)}")


def exhausted_scheduler() -> ReadScheduler:
    scheduler = ReadScheduler(asyncio.get_running_loop())
    scheduler.spend(ITERATION_SECONDS)
    return scheduler


def protocols(
    scheduler: ReadScheduler, names: Iterable[str], seconds: float = 0.0
) -> list[RecordingProtocol]:
    parsed: list[str] = []
    return [RecordingProtocol(scheduler, name, parsed, seconds) for name in names]


@async_test
async def test_a_read_is_parsed_at_once_while_there_is_time() -> None:
    (protocol,) = protocols(ReadScheduler(asyncio.get_running_loop()), "a")
    protocol.buffer_updated(READ_BYTES)
    assert protocol.parsed == [f"a {READ_BYTES}"]
    assert not protocol.is_paused


# Guards against connections that hold up the event loop by bytes that are costly to parse.
@async_test
async def test_reads_beyond_the_time_limit_are_parsed_in_later_iterations() -> None:
    scheduler = ReadScheduler(asyncio.get_running_loop())
    connections = protocols(scheduler, "abcd", ITERATION_SECONDS)
    for connection in connections:
        connection.buffer_updated(READ_BYTES)
    assert len(connections[0].parsed) == 1
    assert [connection.is_paused for connection in connections] == [False, True, True, True]
    counts = []
    while len(connections[0].parsed) < 4:
        await asyncio.sleep(0)
        counts.append(len(connections[0].parsed))
    assert {2, 3} <= set(counts)  # one connection in each iteration
    assert not any(connection.is_paused for connection in connections)


# Guards against usual requests that wait for connections that send as much as they can.
@async_test
async def test_short_reads_are_parsed_before_long_ones() -> None:
    long, short = protocols(exhausted_scheduler(), ["long", "short"])
    long.buffer_updated(READ_BYTES)
    short.buffer_updated(SHORT_READ)
    await until(lambda: len(long.parsed) == 2)
    assert long.parsed == [f"short {SHORT_READ}", f"long {READ_BYTES}"]


@async_test
async def test_short_reads_do_not_starve_long_ones() -> None:
    long, *shorts = protocols(exhausted_scheduler(), ["long", *"abcdefgh"], DEFERRED_SECONDS)
    long.buffer_updated(READ_BYTES)
    for short in shorts:
        short.buffer_updated(SHORT_READ)
    await until(lambda: len(long.parsed) >= 2)
    assert long.parsed[:2] == [f"a {SHORT_READ}", f"long {READ_BYTES}"]


@pytest.mark.parametrize(
    ("size", "is_deferred"),
    [pytest.param(READ_BYTES, True, id="full length"), pytest.param(SHORT_READ, False, id="shorter")],
)
@async_test
async def test_reads_stay_deferred_after_one_of_full_length(size: int, *, is_deferred: bool) -> None:
    (protocol,) = protocols(exhausted_scheduler(), "a")
    protocol.buffer_updated(size)
    await until(lambda: len(protocol.parsed) == 1)
    protocol.buffer_updated(SHORT_READ)
    assert protocol.has_deferred_bytes is is_deferred


# Guards against plain bodies that are read in more calls, or later, than they need.
@async_test
async def test_a_plain_body_is_read_in_bulk_and_never_deferred() -> None:
    (protocol,) = protocols(exhausted_scheduler(), "a")
    assert len(protocol.get_buffer(-1)) == READ_BYTES
    protocol.plain_bytes = BULK_READ_BYTES
    assert len(protocol.get_buffer(-1)) == BULK_READ_BYTES
    protocol.buffer_updated(BULK_READ_BYTES)
    assert protocol.parsed == [f"a {BULK_READ_BYTES}"]


@async_test
async def test_bytes_of_a_lost_connection_are_not_parsed() -> None:
    lost, other = protocols(exhausted_scheduler(), ["lost", "other"])
    lost.buffer_updated(SHORT_READ)
    lost.discard_deferred()
    other.buffer_updated(SHORT_READ)
    await until(lambda: other.parsed)
    assert other.parsed == [f"other {SHORT_READ}"]
