"""The counter ledger of a rate quota: a token bucket whose level follows from the window's total."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gateway.policy.context import EPSILON
from gateway.policy.counter_ledger import CounterLedger, Denial, LeaseBatch, TotalUpdate

if TYPE_CHECKING:
    from gateway.policy.lease_request import LeaseRequest


@dataclass(slots=True)
class RateLedger(CounterLedger):
    """The ledger of a quota that starts each window full and refills at the plan's rate.

    The total is the sum of the units leased, the deficit carried over from the window before and the
    overflow: units that accrued while the quota was full.  Gateways that have seen the same total thus
    compute the same level.  If a gateway adds units in error and stops, another one corrects the total.

    Attributes:
        carried_deficit: Units by which the level was below a burst when the window began; 0 once the
            first total has shown whether this gateway or another one adds them.
        expired_credits: Credits of this gateway that expired when the window began; 0 after the first total.
    """

    carried_deficit: float = 0.0
    expired_credits: float = 0.0

    def level(self, now: float) -> float:
        """Return the units left in the quota; below 0 if units were leased ahead, before they accrued."""
        quota = self.quota
        elapsed = now + quota.phase - self.window_index * quota.window_length
        accrued = elapsed * quota.plan.rate
        return quota.burst + accrued - self.estimated_total - self.unreported_units

    def available(self, now: float) -> float:
        """Return the units that can be leased now: the level, up to a burst."""
        return min(self.quota.burst, self.level(now))

    def open_window(self, window_index: int, credits_left: float, _slots_in_use: int) -> None:
        """Carry the quota's deficit over into the new window; unspent credits expire and are not part of it.

        The deficit is at most two bursts: one burst in use, and one that was leased ahead.
        """
        quota = self.quota
        accrued = (window_index - self.window_index) * quota.window_length * quota.plan.rate
        deficit = self.estimated_total + self.unreported_units - credits_left - accrued
        self.carried_deficit = min(max(0.0, deficit), 2 * quota.burst)
        self.expired_credits = credits_left
        self._start_window(window_index, self.carried_deficit)

    def record_lost_reply(self, request: LeaseRequest) -> None:
        """Record that a later call must subtract the requested units: no waiter waits for them any longer."""
        self.unreported_units -= request.requested_units
        if self.synchronized:  # before the first total, calls do not include the carried deficit
            self._clear_carry_over()

    def _clear_carry_over(self) -> None:
        self.carried_deficit = 0.0
        self.expired_credits = 0.0

    def _units_to_restore(self, update: TotalUpdate) -> float:
        """Return the units of all gateways that the counter lost, by the last total that this gateway saw."""
        return self.estimated_total - update.in_flight_units - update.total

    def _deduplicate_carry_over(self, update: TotalUpdate) -> None:
        """Drop this gateway's carried deficit if another gateway has already added its own.

        The other gateway's deficit counts this gateway's unspent credits as used, so they are subtracted.
        """
        others_added_before = update.total > update.amount + EPSILON
        if others_added_before:
            self.unreported_units -= self.carried_deficit + self.expired_credits
        else:
            self.confirmed_units -= self.carried_deficit  # others may subtract their expired credits
        self._clear_carry_over()

    def correct_total(self, request: LeaseRequest, update: TotalUpdate) -> float:
        """Correct overflow that several gateways added, and a level lower than leases can make it."""
        now = update.received_at
        burst = self.quota.burst
        requested = request.requested_units
        # The level as it would be without the units that this request added.
        level_before = self.level(now) + requested + request.units_before_sync + request.overflow_units
        if level_before < -burst - 2 * self.quota.gateway_set_size:
            # The total has units that a gateway added in error before it stopped, or units that were admitted
            # locally over a long time.  Subtracting them raises the level before this request to 0.
            self.unreported_units += level_before
        if update.is_first_in_window:  # the overflow is known only now; `report_carry_over` adds it
            request.set_overflow(max(0.0, self.level(now) + requested - burst))
            return 0.0
        duplicate_overflow = request.overflow_units - max(0.0, level_before - burst)  # added by others too
        if not requested and duplicate_overflow < request.overflow_units / 2:
            return 0.0  # no other gateway added the overflow: the level is lower because units were leased
        self.unreported_units -= duplicate_overflow
        return self.unreported_units

    def may_report_units(self) -> bool:
        """Return whether a total of this window is known, which shows what other gateways have added."""
        return self.synchronized

    def overdue_units(self) -> float:
        """Return 0: corrections wait for the next lease request."""
        return 0.0

    def next_batch(self, batch_size: float, now: float) -> LeaseBatch:
        """Return whole units, up to those available: a fraction cannot be spent and would expire."""
        units = float(round(min(batch_size, self.available(now))))
        overflow = 0.0
        if self.synchronized:
            overflow = max(0.0, self.level(now) - self.quota.burst)
        return LeaseBatch(units, overflow)

    def excess_units(self, now: float) -> float:
        """Return the units by which the level is below 0."""
        return -self.level(now)

    def quota_utilization(self, now: float) -> float:
        """Return the fraction of a burst that is not available."""
        return 1 - self.available(now) / self.quota.burst

    def is_scarce(self, now: float) -> bool:
        """Return whether less than half a burst is available."""
        return self.available(now) < self.quota.burst / 2

    def is_half_available(self, now: float) -> bool:
        """Return whether half a burst is available, by a recent total.

        A total is recent until a whole burst could have accrued since.
        """
        burst = self.quota.burst
        if not self.synchronized:
            return False
        is_recent = now - self.synchronized_at < burst / max(EPSILON, self.quota.plan.rate)
        return is_recent and self.available(now) >= burst / 2

    def is_grant_ratio_current(self, now: float) -> bool:
        """Return whether half the quota is available, by a recent total."""
        return self.is_half_available(now)

    def denial(self, needed_units: float, credits_left: float, spendable: float, now: float) -> Denial:
        """Return the time in which the missing units accrue; contended if the lease has no credits left."""
        missing = max(0.0, needed_units - spendable)
        is_empty = credits_left < EPSILON
        if is_empty:
            missing = max(missing, 1.0 - self.level(now))
        return Denial(missing / self.quota.plan.rate, is_contended=is_empty)
