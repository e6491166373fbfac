"""The account of a concurrency quota with the counter: the slots that are in use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gateway.policy.context import TICK_SECONDS
from gateway.policy.counter_ledger import CounterLedger, Denial, LeaseBatch, TotalUpdate

if TYPE_CHECKING:
    from gateway.policy.lease_request import LeaseRequest

DENIAL_SECONDS = 2 * TICK_SECONDS  # slots may become free at any time


@dataclass(slots=True)
class ConcurrencyLedger(CounterLedger):
    """A quota whose total is the number of slots in use; each gateway adds and takes off its own."""

    def open_window(self, window_index: int, _credits_left: float, slots_in_use: int) -> None:
        """Add the slots of requests that are still in progress."""
        self._start_window(window_index, float(slots_in_use))

    def record_lost_reply(self, _request: LeaseRequest) -> None:
        """Leave the slots in the total until the window ends."""

    def _units_to_restore(self, reply: TotalUpdate) -> float:
        """Return this gateway's own slots that the counter lost."""
        return self.confirmed_units - reply.total

    def _deduplicate_carry_over(self, _reply: TotalUpdate) -> None:
        """Leave the total: nothing is carried over but this gateway's own slots."""

    def correct_total(self, _request: LeaseRequest, _reply: TotalUpdate) -> float:
        """Return 0: only this gateway knows its slots."""
        return 0.0

    def may_report_units(self) -> bool:
        """Return True: nobody else adds this gateway's slots."""
        return True

    def overdue_units(self) -> float:
        """Return the slots that were taken locally."""
        return max(0.0, self.unreported_units)

    def next_batch(self, _batch_size: float, _now: float) -> LeaseBatch:
        """Return one slot; slots do not accrue, so there is no overflow."""
        return LeaseBatch(1.0)

    def excess_units(self, _now: float) -> float:
        """Return the slots in use beyond the limit."""
        return self.estimated_total - self.quota.limit

    def quota_utilization(self, _now: float) -> float:
        """Return the fraction of the slots that is in use."""
        return self.estimated_total / self.quota.limit

    def is_scarce(self, _now: float) -> bool:
        """Return False: no slot is kept unused."""
        return False

    def is_half_available(self, _now: float) -> bool:
        """Return False: how many slots are free may change at once."""
        return False

    def is_grant_ratio_current(self, _now: float) -> bool:
        """Return True: a grant shows the slots at that time, and does not depend on a level."""
        return True

    def denial(self, _needed_units: float, _credits_left: float, _spendable: float, _now: float) -> Denial:
        """Return a constant time."""
        return Denial(DENIAL_SECONDS)
