"""Base of the protocols of connections whose received bytes may be costly to parse."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from gateway.read_scheduler import ITERATION_SECONDS, READ_BYTES

if TYPE_CHECKING:
    from gateway.read_scheduler import ReadScheduler


class ScheduledProtocol(asyncio.BufferedProtocol):
    """Reads a bounded number of bytes at a time, and parses them when the scheduler has time for it.

    A peer that sends many small pieces at full speed thus holds up neither the other connections nor timers,
    and what it has sent beyond one read stays in the system's socket buffer.  The event loop calls the
    methods of `asyncio.BufferedProtocol`; subclasses implement the methods that raise NotImplementedError.
    """

    def __init__(self, read_scheduler: ReadScheduler) -> None:
        super().__init__()
        self._read_scheduler = read_scheduler
        self._deferred_bytes = b""
        # Whether all reads are deferred, as the last deferred one was as long as a read can be.
        self._is_throttled = False

    def parse(self, data: memoryview | bytes) -> None:
        """Parse received bytes.  The memory of `data` is used again after this call."""
        raise NotImplementedError

    def bulk_bytes(self) -> int:
        """Return how many of the next bytes cost a fixed number of calls to parse, as in a plain body."""
        raise NotImplementedError

    def update_reading(self) -> None:
        """Pause or resume reading: it has to pause while `has_deferred_bytes` is true."""
        raise NotImplementedError

    @property
    def has_deferred_bytes(self) -> bool:
        """Whether received bytes are not parsed yet."""
        return bool(self._deferred_bytes)

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Return the memory for the next read."""
        scheduler = self._read_scheduler
        return scheduler.bulk_buffer if self.bulk_bytes() > READ_BYTES else scheduler.buffer

    def buffer_updated(self, size: int) -> None:
        """Parse the bytes that were read, or defer them."""
        scheduler = self._read_scheduler
        data = scheduler.bulk_buffer[:size]
        has_to_wait = self._is_throttled or scheduler.spent >= ITERATION_SECONDS
        if has_to_wait and size > self.bulk_bytes():
            self._defer(bytes(data))
            return
        started_at = time.perf_counter()
        self.parse(data)
        scheduler.spend(time.perf_counter() - started_at)

    def _defer(self, data: bytes) -> None:
        is_long = len(data) >= READ_BYTES
        self._deferred_bytes += data
        self._is_throttled = True
        self._read_scheduler.defer(self, is_long=is_long)
        self.update_reading()

    def parse_deferred(self) -> None:
        """Parse the bytes, then resume reading; called by the scheduler."""
        data = self._deferred_bytes
        if not data:  # they were discarded meanwhile
            return
        self._deferred_bytes = b""
        self._is_throttled = len(data) >= READ_BYTES
        try:
            self.parse(data)
        finally:
            self.update_reading()

    def discard_deferred(self) -> None:
        """Forget received bytes that are not parsed yet, as the connection is lost or about to be closed."""
        self._deferred_bytes = b""
