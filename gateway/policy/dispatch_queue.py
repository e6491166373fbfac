"""Admitted requests that wait for an endpoint with capacity."""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gateway.policy.pending_request import PendingRequest

PRIORITY = attrgetter("priority")


class DispatchQueue:
    """The admitted requests of which no attempt is in flight, though one may start.

    Attributes:
        waiting: The requests, in the order in which they were queued.
    """

    def __init__(self) -> None:
        self.waiting: list[PendingRequest] = []

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, pending: PendingRequest) -> None:
        """Queue a request."""
        self.waiting.append(pending)

    def pop_all(self) -> list[PendingRequest]:
        """Remove all requests and return them by priority, those of one priority as they were queued."""
        waiting = self.waiting
        self.waiting = []
        return sorted(waiting, key=PRIORITY, reverse=True)

    def remove_closed(self) -> None:
        """Remove the requests that are answered or whose clients are gone."""
        self.waiting = [pending for pending in self.waiting if not pending.closed]
