"""The counter ledger of a concurrency quota, whose total is the number of slots in use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gateway.policy.context import TICK_SECONDS
from gateway.policy.counter_ledger import CounterLedger, Denial, LeaseBatch, TotalUpdate

if TYPE_CHECKING:
    from gateway.policy.lease_request import LeaseRequest

DENIAL_SECONDS = 2 * TICK_SECONDS  # short, as any request that ends frees a slot


@dataclass(slots=True)
class ConcurrencyLedger(CounterLedger):
    """The ledger of a quota of slots, one for each request in progress.

    Each gateway adds a slot to the total when it admits a request, and subtracts it when the request ends.
    """

    def open_window(self, window_index: int, _credits_left: float, slots_in_use: int) -> None:
        """Carry the slots of requests in progress over into the new window's total."""
        self._start_window(window_index, float(slots_in_use))

    def record_lost_reply(self, _request: LeaseRequest) -> None:
        """Do nothing: the slots stay in the total until the window ends."""

    def _units_to_restore(self, update: TotalUpdate) -> float:
        """Return the slots of this gateway that the counter lost; other gateways restore their own."""
        return self.confirmed_units - update.total

    def _deduplicate_carry_over(self, _update: TotalUpdate) -> None:
        """Do nothing: each gateway carries over only its own slots."""

    def correct_total(self, _request: LeaseRequest, _update: TotalUpdate) -> float:
        """Return 0: each gateway adds only its own slots, so none are counted twice."""
        return 0.0

    def may_report_units(self) -> bool:
        """Return True: no other gateway adds this gateway's slots."""
        return True

    def overdue_units(self) -> float:
        """Return the slots in use that the total does not have yet, such as those admitted locally."""
        return max(0.0, self.unreported_units)

    def next_batch(self, _batch_size: float, _now: float) -> LeaseBatch:
        """Return one slot; slots do not accrue, so there is no overflow."""
        return LeaseBatch(1.0)

    def excess_units(self, _now: float) -> float:
        """Return the slots in use beyond the limit; below 0, the free slots."""
        return self.estimated_total - self.quota.limit

    def quota_utilization(self, _now: float) -> float:
        """Return the fraction of the slots that are in use."""
        return self.estimated_total / self.quota.limit

    def is_scarce(self, _now: float) -> bool:
        """Return False: slots are leased only when requests need them."""
        return False

    def is_half_available(self, _now: float) -> bool:
        """Return False: the number of free slots may change at any time."""
        return False

    def is_grant_ratio_current(self, _now: float) -> bool:
        """Return True: grants of slots do not depend on a level that refills over time."""
        return True

    def denial(self, _needed_units: float, _credits_left: float, _spendable: float, _now: float) -> Denial:
        """Return a constant delay."""
        return Denial(DENIAL_SECONDS)
