"""The state of a lease's calls to the counter that request units."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class LeaseRequest:
    """The last counter call that requested units, or reported a carry-over, for one lease.

    Attributes:
        in_flight: Whether the call has no reply yet.
        requested_units: Units that the call requests; 0 if it reports a carry-over.
        overflow_units: Units that accrued while the quota was full, which the call adds to the total too.
        units_before_sync: For a call that reports a carry-over, the units that the call before it requested,
            whose reply contained the first total of the window; otherwise 0.
    """

    in_flight: bool = False
    requested_units: float = 0.0
    overflow_units: float = 0.0
    units_before_sync: float = 0.0

    def mark_sent(self, requested_units: float, overflow_units: float) -> None:
        """Record that a call was sent which requests units."""
        self.in_flight = True
        self.requested_units = requested_units
        self.overflow_units = overflow_units
        self.units_before_sync = 0.0

    def mark_carry_over_sent(self) -> None:
        """Record that a call was sent which reports a carry-over and requests no units."""
        self.in_flight = True
        self.units_before_sync = self.requested_units
        self.requested_units = 0.0

    def set_overflow(self, overflow_units: float) -> None:
        """Set the overflow that follows from the first total of a window."""
        self.overflow_units = overflow_units

    def mark_finished(self) -> None:
        """Record that the call has ended, with a reply or by a failure."""
        self.in_flight = False
