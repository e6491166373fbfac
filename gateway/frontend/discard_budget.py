"""Limits the reads from clients whose bytes are discarded, of all such clients together."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Protocol

from gateway.read_scheduler import BULK_READ_BYTES, READ_BYTES

INTERVAL_SECONDS = 0.01
READS_PER_INTERVAL = 16  # of up to `BULK_READ_BYTES` each


class DiscardBudget:
    """The reads that are left in the current interval, and the connections that wait for the next one.

    A rejected client may go on to send as much as it can.  Its bytes are read, as closing a connection with
    unread bytes makes the system send a reset, which could overtake the response.  The reads of each interval
    are shared among the connections that wait, in turn, so that the time for them does not grow with the
    number of rejected clients.  An interval begins with a read, so no timer runs while nothing is discarded.

    Attributes:
        reads_left: Number of reads that are left in the current interval.
    """

    def __init__(self) -> None:
        self.reads_left = READS_PER_INTERVAL
        self._loop = asyncio.get_running_loop()
        self._waiting: OrderedDict[DiscardingConnection, None] = OrderedDict()
        self._timer_is_set = False

    def count_read(self) -> None:
        """Count a read, which may also be one more than the interval allows."""
        self.reads_left -= 1
        self._set_timer()

    def wait(self, connection: DiscardingConnection) -> None:
        """Give a connection another share in one of the next intervals."""
        self._waiting[connection] = None
        self._set_timer()

    def forget(self, connection: DiscardingConnection) -> None:
        """Give a connection that is lost no further share."""
        self._waiting.pop(connection, None)

    def _set_timer(self) -> None:
        if not self._timer_is_set:
            self._timer_is_set = True
            self._loop.call_later(INTERVAL_SECONDS, self._start_interval)

    def _start_interval(self) -> None:
        """Share the reads of a new interval among the connections that have waited for longest."""
        self._timer_is_set = False
        self.reads_left = READS_PER_INTERVAL
        count = min(len(self._waiting), READS_PER_INTERVAL)
        if not count:
            return
        self._set_timer()
        for _ in range(count):
            connection, _ = self._waiting.popitem(last=False)
            connection.discard_share.reads_left = READS_PER_INTERVAL // count
            connection.update_reading()


class DiscardShare:
    """The part of the budget that one connection may use.

    Attributes:
        reads_left: Number of reads after which the connection has to wait for another share; reading is
            paused while it is 0.
    """

    __slots__ = ("_budget", "reads_left")

    def __init__(self, budget: DiscardBudget) -> None:
        self.reads_left = 1
        self._budget = budget

    @property
    def read_bytes(self) -> int:
        """The number of bytes that the next read may have."""
        return BULK_READ_BYTES if self._budget.reads_left > 0 else READ_BYTES

    def release(self, connection: DiscardingConnection) -> None:
        """Give up the share of a connection that is lost."""
        self._budget.forget(connection)

    def count_read(self, connection: DiscardingConnection) -> None:
        """Count a read; once the share or the budget is used up, pause reading and wait for another share."""
        self.reads_left -= 1
        self._budget.count_read()
        if self.reads_left > 0 and self._budget.reads_left > 0:
            return
        self.reads_left = 0
        self._budget.wait(connection)
        connection.update_reading()


class DiscardingConnection(Protocol):
    """A connection whose received bytes are discarded.

    Attributes:
        discard_share: The reads that it may use.
    """

    discard_share: DiscardShare

    def update_reading(self) -> None:
        """Pause or resume reading, as the share allows."""
