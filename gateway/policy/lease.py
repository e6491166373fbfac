"""One customer's lease: its window, credits and quota by the counter's total."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from gateway.policy.context import EPSILON
from gateway.policy.events import Outcome
from gateway.policy.lease_sizing import BatchSizer
from gateway.policy.pending_request import PendingRequest
from gateway.policy.quota import Quota, QuotaKind

MIN_LOST_UNITS = 0.01  # by which a total must be too low to count as lost


@dataclass(slots=True, eq=False)
class Lease:
    """A customer's leased part of a quota at this gateway; amounts in units, or in slots."""

    quota: Quota
    sizer: BatchSizer
    window_index: int = -1
    refill_index: int = -1  # refill times passed
    credits: float = 0.0
    accruing_credits: float = 0.0  # of the credits, leased ahead: they become usable at the plan's rate
    accruing_since: float = 0.0
    in_flight: bool = False  # whether a lease is being requested
    requested_units: float = 0.0  # by that call
    overflow_units: float = 0.0  # that the quota was over a burst, added by that call
    units_before_sync: float = 0.0  # leased before the overflow was known
    counter_total: float = 0.0  # of this window as last seen, with own calls in flight
    confirmed_units: float = 0.0  # of own additions to this window
    unreported_units: float = 0.0  # to be added: spent locally, overflow, carried deficit
    carried_deficit: float = 0.0  # what the quota lacked at the window's edge, until the counter has it
    expired_credits: float = 0.0  # that expired there, until the counter has the deficit
    synchronized: bool = False  # whether the counter has replied in this window
    synchronized_at: float = -math.inf  # when it last replied
    consecutive_denials: int = 0
    grant_ratio: float = 1.0  # of this customer's leases, smoothed
    denied_until: float = 0.0
    retry_at: float = 0.0  # earliest time of the next call after one was rejected
    served_units: float = 0.0  # in this refill time
    slots_in_use: int = 0  # by requests in progress
    local_tokens: float = 0.0  # of the local quota
    local_tokens_at: float = 0.0
    last_used_at: float = 0.0
    is_frequent: bool = False  # whether the last two requests came within a refill time
    waiters: deque[PendingRequest] = field(default_factory=deque)

    def spendable_credits(self, now: float) -> float:
        """Credits that may be spent now."""
        accrued = (now - self.accruing_since) * self.quota.plan.rate
        return self.credits - max(0.0, self.accruing_credits - accrued)

    def quota_level(self, now: float) -> float:
        """What the customer's quota holds, the same for all gateways that have seen the same total."""
        # It was full when the window began and fills at the rate; the total has all that was taken, and the
        # overflow, or levels would drift apart.  Does harm where a gateway dies before it corrects a total.
        elapsed = now + self.quota.phase - self.window_index * self.quota.window_length
        filled = elapsed * self.quota.plan.rate
        return self.quota.plan.burst + filled - self.counter_total - self.unreported_units

    def available_quota(self, now: float) -> float:
        """What of the quota can be leased now."""
        return min(self.quota.plan.burst, self.quota_level(now))

    def is_half_full(self, now: float) -> bool:
        """Whether the quota was half full so recently that it can hardly have run dry since."""
        recent = now - self.synchronized_at < self.quota.plan.burst / max(EPSILON, self.quota.plan.rate)
        known = self.quota.key.kind is QuotaKind.RATE and self.synchronized and recent
        return known and self.available_quota(now) >= self.quota.plan.burst / 2

    def roll_window(self, now: float) -> None:
        """Expire credits at the window's edge; adapt the batch size after each refill time."""
        refill_index = self.quota.refill_index(now)
        if refill_index != self.refill_index:
            if self.refill_index >= 0:
                self.update_batch_size(now)
            self.refill_index, self.served_units = refill_index, 0.0
        window_index = self.quota.window_index(now)
        if window_index == self.window_index:
            return
        if self.quota.key.kind is QuotaKind.CONCURRENCY:
            self.unreported_units = float(self.slots_in_use)
        else:
            # The next total begins with what the quota lacks: a burst, and one that is leased ahead at most.
            filled = (window_index - self.window_index) * self.quota.window_length * self.quota.plan.rate
            lacking = self.counter_total + self.unreported_units - self.credits - filled
            self.unreported_units = self.carried_deficit = min(max(0.0, lacking), 2 * self.quota.plan.burst)
            self.expired_credits = self.credits
        self.window_index, self.synchronized, self.denied_until = window_index, False, 0.0
        self.credits = self.accruing_credits = self.confirmed_units = self.counter_total = 0.0

    def update_batch_size(self, now: float) -> None:
        """Learn the batch size from the demand of the refill time that ends."""
        used = self.counter_total / self.quota.limit
        if self.quota.key.kind is QuotaKind.RATE:
            used = 1 - self.available_quota(now) / self.quota.plan.burst
        self.sizer.update(self.served_units, used, self.quota.limit)

    def confirm_total(self, total: float, amount: float, later_units: float, now: float) -> bool:
        """Take over a total after `amount`, before `later_units`; whether the counter had lost it."""
        self.confirmed_units += amount
        lost_units = self.confirmed_units - total
        if lost_units > MIN_LOST_UNITS:
            rate = self.quota.key.kind is QuotaKind.RATE
            self.unreported_units += self.counter_total - later_units - total if rate else lost_units
            self.confirmed_units = total
        elif total > EPSILON:
            if total > amount + EPSILON:  # another gateway added the deficit, and what expired here unspent
                self.unreported_units -= self.carried_deficit + self.expired_credits
            else:
                self.confirmed_units -= self.carried_deficit  # others may take their part of it off again
            self.carried_deficit = self.expired_credits = 0.0
        self.synchronized, self.synchronized_at, self.counter_total = True, now, total + later_units
        return lost_units > MIN_LOST_UNITS

    def handle_failed_add(self, amount: float, outcome: Outcome, *, is_return: bool) -> None:
        """Account for a failed call.  Without a reply a request was likely added; returns are repeated."""
        if amount <= 0 or outcome.never_ran:
            self.counter_total -= amount
            own_units = 0.0 if is_return else self.requested_units + self.overflow_units
            self.unreported_units += amount - own_units
        elif not is_return and self.quota.key.kind is QuotaKind.RATE:
            self.unreported_units -= self.requested_units  # of no use here any more
            if self.synchronized:  # else the carried deficit was not part of it
                self.carried_deficit = self.expired_credits = 0.0
