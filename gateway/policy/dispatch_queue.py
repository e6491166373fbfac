"""Admitted requests that wait for an endpoint with capacity."""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gateway.policy.pending_request import PendingRequest

PRIORITY = attrgetter("priority")


class DispatchQueue:
    """A queue of admitted requests that have no attempt in flight and may start one.

    Attributes:
        waiting: The requests, in the order in which they were queued.
    """

    def __init__(self) -> None:
        self.waiting: list[PendingRequest] = []

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, pending: PendingRequest) -> None:
        """Add a request at the end of the queue."""
        self.waiting.append(pending)

    def pop_all(self) -> list[PendingRequest]:
        """Remove all requests; return them by descending priority, with equal priorities in queue order."""
        waiting = self.waiting
        self.waiting = []
        return sorted(waiting, key=PRIORITY, reverse=True)

    def remove_closed(self) -> None:
        """Remove the requests that have been answered or whose clients have disconnected."""
        self.waiting = [pending for pending in self.waiting if not pending.closed]
