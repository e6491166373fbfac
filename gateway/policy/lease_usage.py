"""How much a lease is used, and how lately."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class LeaseUsage:
    """The use of one lease.

    Attributes:
        served_units: Units that were spent in the present refill time.
        slots_in_use: Requests in progress that hold a credit.
        last_used_at: Unix time of the last request, in seconds.
        is_frequent: Whether the last two requests came within a refill time.
    """

    served_units: float = 0.0
    slots_in_use: int = 0
    last_used_at: float = 0.0
    is_frequent: bool = False

    def record_request(self, now: float, refill_time: float) -> None:
        """Count a request that needs a credit."""
        self.is_frequent = now - self.last_used_at < refill_time
        self.last_used_at = now

    def record_spend(self, units: float) -> None:
        """Count a credit that a request takes."""
        self.served_units += units
        self.slots_in_use += 1

    def record_release(self) -> None:
        """Count a credit that a request no longer holds."""
        self.slots_in_use -= 1

    def reset_served_units(self) -> None:
        """Count the units of a new refill time."""
        self.served_units = 0.0

    def postpone_expiry(self, now: float) -> None:
        """Count the lease as used now, as a request still holds a credit."""
        self.last_used_at = now
