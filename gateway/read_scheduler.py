"""Shares the time of the event loop among connections whose received bytes may be costly to parse."""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import asyncio

READ_BYTES = 4096  # of one read, as their parsing may cost a Python call for every few bytes
BULK_READ_BYTES = 64 * 1024  # of one read whose parsing costs a fixed number of calls
ITERATION_SECONDS = 0.02  # of parsing in one iteration of the event loop, after which reads are deferred
DEFERRED_SECONDS = 0.005  # of parsing deferred reads in one iteration
RESET_SECONDS = ITERATION_SECONDS / 4  # of parsing after which the next iteration resets the count


class DeferredReader(Protocol):
    """A connection that has bytes to parse and does not read any more until they are parsed."""

    def parse_deferred(self) -> None:
        """Parse the bytes, then resume reading."""


class ReadScheduler:
    """Bounds the time for which the received bytes of a group of connections hold up the event loop.

    In each iteration of the event loop, connections parse what they read until a time limit; the bytes of
    all others are deferred, each connection's at most one read, and are parsed in later iterations.  Timers
    and other connections run between the iterations.

    Attributes:
        bulk_buffer: The memory that all connections read into, one after another.
        buffer: The part of it for a read that is not in bulk.
        spent: Seconds of parsing since the count was last reset.
    """

    __slots__ = ("_long_reads", "_loop", "_run_is_due", "_short_reads", "buffer", "bulk_buffer", "spent")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.bulk_buffer = memoryview(bytearray(BULK_READ_BYTES))
        self.buffer = self.bulk_buffer[:READ_BYTES]
        self.spent = 0.0
        self._loop = loop
        self._run_is_due = False
        self._short_reads: deque[DeferredReader] = deque()
        self._long_reads: deque[DeferredReader] = deque()

    def spend(self, seconds: float) -> None:
        """Count the time of parsing one read."""
        self.spent += seconds
        if self.spent >= RESET_SECONDS:
            self._run_soon()

    def defer(self, reader: DeferredReader, *, is_long: bool) -> None:
        """Have a connection parse its bytes later; those with a long read wait for those with a short one.

        A usual request is short, so that it waits only for others that are short, and not for connections
        that send as much as they can.
        """
        readers = self._long_reads if is_long else self._short_reads
        readers.append(reader)
        self._run_soon()

    def _run_soon(self) -> None:
        if not self._run_is_due:
            self._run_is_due = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        """Reset the count, and parse deferred bytes until the time limit, at least those of one long read."""
        self._run_is_due = False
        self.spent = 0.0
        if not self._short_reads and not self._long_reads:
            return
        self._run_soon()
        deadline = time.perf_counter() + DEFERRED_SECONDS
        while self._short_reads and time.perf_counter() < deadline:
            self._short_reads.popleft().parse_deferred()
        while self._long_reads:
            self._long_reads.popleft().parse_deferred()
            if time.perf_counter() >= deadline:
                break
