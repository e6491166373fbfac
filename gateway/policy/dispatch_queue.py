"""Admitted requests that wait for an endpoint with capacity."""

from __future__ import annotations

from operator import attrgetter

from gateway.policy.pending_request import PendingRequest

PRIORITY = attrgetter("priority")


class DispatchQueue:
    """The admitted requests of which no attempt is in flight, though one may start."""

    def __init__(self) -> None:
        self._waiting: list[PendingRequest] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, pending: PendingRequest) -> None:
        """Queue a request."""
        self._waiting.append(pending)

    def take_all(self) -> list[PendingRequest]:
        """Remove all requests and return them by priority, those of one priority as they were queued."""
        waiting = self._waiting
        self._waiting = []
        return sorted(waiting, key=PRIORITY, reverse=True)

    def drop_closed(self) -> None:
        """Remove the requests that are answered or whose clients are gone."""
        self._waiting = [pending for pending in self._waiting if not pending.closed]

    def request_ids(self) -> list[int]:
        """Return the ids of the queued requests, in the order in which they were queued."""
        return [pending.request.request_id for pending in self._waiting]
