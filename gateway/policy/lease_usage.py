"""How much a lease is used by client requests, and when it was used last."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class LeaseUsage:
    """The use of one lease.

    Attributes:
        served_units: Units that were spent in the current refill time.
        active_requests: Requests in progress that hold credits of the lease.
        last_used_at: Unix time of the last request, in seconds.
        is_frequent: Whether the last two requests arrived within one refill time.
    """

    served_units: float = 0.0
    active_requests: int = 0
    last_used_at: float = 0.0
    is_frequent: bool = False

    def record_request(self, now: float, refill_time: float) -> None:
        """Record the arrival of a request that needs credits."""
        self.is_frequent = now - self.last_used_at < refill_time
        self.last_used_at = now

    def record_spend(self, units: float) -> None:
        """Record that a request has spent units."""
        self.served_units += units
        self.active_requests += 1

    def record_release(self) -> None:
        """Record that a request no longer holds its credits."""
        self.active_requests -= 1

    def reset_served_units(self) -> None:
        """Reset the count of spent units when a new refill time begins."""
        self.served_units = 0.0

    def postpone_eviction(self, now: float) -> None:
        """Treat the lease as used now, because a request still holds credits of it."""
        self.last_used_at = now
