"""The sharing of reads that are discarded, without sockets."""

from __future__ import annotations

import asyncio

from gateway.frontend.discard_budget import INTERVAL_SECONDS, READS_PER_INTERVAL, DiscardBudget, DiscardShare
from tests.support.event_loop import async_test, until

FEW = 3
MANY = 4 * READS_PER_INTERVAL


class Reader:
    """A rejected connection whose share is used up; records the reads of each share that it gets."""

    def __init__(self, budget: DiscardBudget) -> None:
        self.discard_share = DiscardShare(budget)
        self.granted: list[int] = []

    def update_reading(self) -> None:
        if self.discard_share.reads_left:
            self.granted.append(self.discard_share.reads_left)


def waiting_readers(budget: DiscardBudget, count: int) -> list[Reader]:
    readers = [Reader(budget) for _ in range(count)]
    for reader in readers:
        budget.wait(reader)
    return readers


def granted(readers: list[Reader]) -> list[int]:
    return [sum(reader.granted) for reader in readers]


@async_test
async def test_few_connections_share_the_reads_of_an_interval() -> None:
    readers = waiting_readers(DiscardBudget(), FEW)
    await until(lambda: readers[0].granted)
    assert granted(readers) == [READS_PER_INTERVAL // FEW] * FEW


# Guards against reads that grow with the number of rejected clients (review case 6).
@async_test
async def test_the_reads_of_an_interval_do_not_grow_with_the_connections() -> None:
    readers = waiting_readers(DiscardBudget(), MANY)
    await until(lambda: readers[0].granted)
    assert granted(readers) == [1] * READS_PER_INTERVAL + [0] * (MANY - READS_PER_INTERVAL)


@async_test
async def test_connections_take_turns() -> None:
    readers = waiting_readers(DiscardBudget(), MANY)
    started_at = asyncio.get_running_loop().time()
    await until(lambda: readers[-1].granted)
    assert granted(readers) == [1] * MANY
    intervals = MANY // READS_PER_INTERVAL
    assert asyncio.get_running_loop().time() - started_at > (intervals - 1) * INTERVAL_SECONDS


@async_test
async def test_the_reads_are_counted_anew_in_each_interval() -> None:
    budget = DiscardBudget()
    for _ in range(READS_PER_INTERVAL + 1):
        budget.count_read()
    assert budget.reads_left < 0
    await until(lambda: budget.reads_left == READS_PER_INTERVAL)
