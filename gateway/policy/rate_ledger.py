"""The account of a rate quota with the counter: the level that follows from a window's total."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gateway.policy.context import EPSILON
from gateway.policy.counter_ledger import CounterLedger, Denial, LeaseBatch, TotalUpdate

if TYPE_CHECKING:
    from gateway.policy.lease_request import LeaseRequest


@dataclass(slots=True)
class RateLedger(CounterLedger):
    """A quota that was full when its window began, and that fills at the plan's rate.

    The total has all units that were leased and the overflow, so that gateways which have seen the same total
    know the same level.  Units that a gateway added in error before it died stay until another corrects them.

    Attributes:
        carried_deficit: Units that the quota lacked at the window's edge, until the counter has them.
        expired_credits: Credits that expired there, until the counter has the deficit.
    """

    carried_deficit: float = 0.0
    expired_credits: float = 0.0

    def level(self, now: float) -> float:
        """Return the units that the quota holds; below 0 for units leased ahead."""
        quota = self.quota
        elapsed = now + quota.phase - self.window_index * quota.window_length
        accrued = elapsed * quota.plan.rate
        return quota.burst + accrued - self.estimated_total - self.unreported_units

    def available(self, now: float) -> float:
        """Return the units that can be leased now."""
        return min(self.quota.burst, self.level(now))

    def open_window(self, window_index: int, credits_left: float, _slots_in_use: int) -> None:
        """Carry over what the quota lacks: a burst, and one that was leased ahead at most."""
        quota = self.quota
        accrued = (window_index - self.window_index) * quota.window_length * quota.plan.rate
        deficit = self.estimated_total + self.unreported_units - credits_left - accrued
        self.carried_deficit = min(max(0.0, deficit), 2 * quota.burst)
        self.expired_credits = credits_left
        self._start_window(window_index, self.carried_deficit)

    def record_lost_reply(self, request: LeaseRequest) -> None:
        """Take the requested units off again, as they come too late to be spent."""
        self.unreported_units -= request.requested_units
        if self.synchronized:  # else the carried deficit was not part of the call
            self._clear_carry_over()

    def _clear_carry_over(self) -> None:
        self.carried_deficit = 0.0
        self.expired_credits = 0.0

    def _units_to_restore(self, reply: TotalUpdate) -> float:
        """Return the units of all gateways that the counter lost, as far as this one has seen them."""
        return self.estimated_total - reply.in_flight_units - reply.total

    def _deduplicate_carry_over(self, reply: TotalUpdate) -> None:
        """Leave out the deficit, and what expired here unspent, if another gateway has added it."""
        others_added_before = reply.total > reply.amount + EPSILON
        if others_added_before:
            self.unreported_units -= self.carried_deficit + self.expired_credits
        else:
            self.confirmed_units -= self.carried_deficit  # others may take their part of it off again
        self._clear_carry_over()

    def correct_total(self, request: LeaseRequest, reply: TotalUpdate) -> float:
        """Return the units to add so that overflow counts once, and levels stay within what can be leased."""
        now = reply.received_at
        burst = self.quota.burst
        requested = request.requested_units
        level = self.level(now) + requested + request.units_before_sync + request.overflow_units
        if level < -burst - 2 * self.quota.gateway_set_size:
            # Added in error by a gateway that died since, or admitted locally for long.
            self.unreported_units += level
        if reply.is_first_in_window:  # the carry-over has the overflow, which is known only now
            request.set_overflow(max(0.0, self.level(now) + requested - burst))
            return 0.0
        duplicate_overflow = request.overflow_units - max(0.0, level - burst)  # or added by others before
        if not requested and duplicate_overflow < request.overflow_units / 2:
            return 0.0  # nobody else added it at the same time: the rest was leased
        self.unreported_units -= duplicate_overflow
        return self.unreported_units

    def may_report_units(self) -> bool:
        """Return whether the counter has replied: only then it is known what others have added."""
        return self.synchronized

    def overdue_units(self) -> float:
        """Return 0: a correction waits for the next request."""
        return 0.0

    def next_batch(self, batch_size: float, now: float) -> LeaseBatch:
        """Return whole units, as a fraction would serve nobody and expire; no more than are available."""
        units = float(round(min(batch_size, self.available(now))))
        overflow = 0.0
        if self.synchronized:
            overflow = max(0.0, self.level(now) - self.quota.burst)
        return LeaseBatch(units, overflow)

    def excess_units(self, now: float) -> float:
        """Return the units that the quota lacks."""
        return -self.level(now)

    def quota_utilization(self, now: float) -> float:
        """Return the fraction of a burst that is missing."""
        return 1 - self.available(now) / self.quota.burst

    def is_scarce(self, now: float) -> bool:
        """Return whether less than half a burst is available."""
        return self.available(now) < self.quota.burst / 2

    def is_half_available(self, now: float) -> bool:
        """Return whether half a burst was available less than the time ago in which a burst accrues."""
        burst = self.quota.burst
        if not self.synchronized:
            return False
        is_recent = now - self.synchronized_at < burst / max(EPSILON, self.quota.plan.rate)
        return is_recent and self.available(now) >= burst / 2

    def is_grant_ratio_current(self, now: float) -> bool:
        """Return whether the quota was lately half full."""
        return self.is_half_available(now)

    def denial(self, needed_units: float, credits_left: float, spendable: float, now: float) -> Denial:
        """Return the time in which the missing units accrue, contended if no credit is left here."""
        missing = max(0.0, needed_units - spendable)
        is_empty = credits_left < EPSILON
        if is_empty:
            missing = max(missing, 1.0 - self.level(now))
        return Denial(missing / self.quota.plan.rate, is_contended=is_empty)
