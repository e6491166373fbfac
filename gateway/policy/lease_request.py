"""The counter call by which a lease requests units, from its start to its reply."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class LeaseRequest:
    """The last request of one lease.

    Attributes:
        in_flight: Whether its call has no reply yet.
        requested_units: Units that it requests.
        overflow_units: Units that accrued while the quota was full, and that the call adds to the total.
        units_before_sync: Units that the call before requested, whose reply was the window's first total.
    """

    in_flight: bool = False
    requested_units: float = 0.0
    overflow_units: float = 0.0
    units_before_sync: float = 0.0

    def mark_sent(self, requested_units: float, overflow_units: float) -> None:
        """Begin a request for units."""
        self.in_flight = True
        self.requested_units = requested_units
        self.overflow_units = overflow_units
        self.units_before_sync = 0.0

    def mark_carry_over_sent(self) -> None:
        """Begin a call that requests no units, but adds what the first total in a window left to add."""
        self.in_flight = True
        self.units_before_sync = self.requested_units
        self.requested_units = 0.0

    def set_overflow(self, overflow_units: float) -> None:
        """Replace the overflow, as the first total in a window shows it."""
        self.overflow_units = overflow_units

    def mark_finished(self) -> None:
        """Record that the call has its reply, or gets none."""
        self.in_flight = False
