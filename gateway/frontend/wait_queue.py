"""A queue that records when each of its entries was added."""

from __future__ import annotations

import time
from collections import OrderedDict
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

WaiterT = TypeVar("WaiterT")


class WaitQueue(Generic[WaiterT]):
    """Waiters in the order in which they were added.

    Attributes:
        waiting_since: Monotonic time in seconds at which each waiter was added, the oldest first.
    """

    __slots__ = ("waiting_since",)

    def __init__(self) -> None:
        self.waiting_since: OrderedDict[WaiterT, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self.waiting_since)

    def __iter__(self) -> Iterator[WaiterT]:
        return iter(self.waiting_since)

    @property
    def oldest(self) -> WaiterT | None:
        """The waiter that has been in the queue for longest; None if the queue is empty."""
        return next(iter(self.waiting_since), None)

    def add(self, waiter: WaiterT) -> None:
        """Add a waiter at the end."""
        self.waiting_since[waiter] = time.monotonic()

    def discard(self, waiter: WaiterT) -> None:
        """Remove a waiter if it is in the queue."""
        self.waiting_since.pop(waiter, None)
