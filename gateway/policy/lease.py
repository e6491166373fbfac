"""One customer's lease of a quota: credits that its requests may spend without asking the counter."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from gateway.policy.grant_history import GrantHistory
from gateway.policy.lease_clock import LeaseClock
from gateway.policy.lease_request import LeaseRequest
from gateway.policy.lease_usage import LeaseUsage
from gateway.policy.token_bucket import TokenBucket

if TYPE_CHECKING:
    from gateway.policy.counter_ledger import CounterLedger, Denial
    from gateway.policy.events import Outcome
    from gateway.policy.lease_sizing import BatchSizer
    from gateway.policy.pending_request import PendingRequest
    from gateway.policy.quota import Grant, Quota


@dataclass(slots=True, eq=False)
class Lease:
    """A customer's leased part of a quota at this gateway; amounts in units, or in slots.

    Attributes:
        quota: The quota.
        ledger: What the counter has of it.
        sizer: How many units to request at once.
        clock: Which refill time the lease is in.
        request: The last request for units.
        grants: How the requests have fared.
        usage: How much the lease is used.
        local_tokens: What requests may spend if the counter is not to be asked.
        waiters: Requests that wait for credits, oldest first.
        credits: Units that were leased and not spent.
        accruing_credits: Those of them that were leased ahead, and become spendable as the quota refills.
        accruing_since: Unix time since when they do, in seconds.
    """

    quota: Quota
    ledger: CounterLedger
    sizer: BatchSizer
    clock: LeaseClock = field(default_factory=LeaseClock)
    request: LeaseRequest = field(default_factory=LeaseRequest)
    grants: GrantHistory = field(default_factory=GrantHistory)
    usage: LeaseUsage = field(default_factory=LeaseUsage)
    local_tokens: TokenBucket = field(default_factory=TokenBucket)
    waiters: deque[PendingRequest] = field(default_factory=deque)
    credits: float = 0.0
    accruing_credits: float = 0.0
    accruing_since: float = 0.0

    def spendable_credits(self, now: float) -> float:
        """Return the credits that may be spent now."""
        accrued = (now - self.accruing_since) * self.quota.plan.rate
        return self.credits - max(0.0, self.accruing_credits - accrued)

    def roll_window(self, now: float) -> None:
        """Expire credits at the window's edge; adapt the batch size after each refill time."""
        clock = self.clock
        if clock.checked_at <= now < clock.unchanged_until:
            return
        quota = self.quota
        refill_index = quota.refill_index(now)
        if refill_index != clock.refill_index:
            if clock.refill_index >= 0:
                self.update_batch_size(now)
            self.usage.reset_served_units()
        window_index = quota.window_index(now)
        if window_index != self.ledger.window_index:
            self._open_window(window_index)
        clock.advance(now, refill_index, quota.next_boundary(window_index, refill_index))

    def _open_window(self, window_index: int) -> None:
        self.ledger.open_window(window_index, self.credits, self.usage.slots_in_use)
        self.grants.clear_denial()
        self.credits = 0.0
        self.accruing_credits = 0.0

    def update_batch_size(self, now: float) -> None:
        """Learn the batch size from the demand of the refill time that ends."""
        quota_utilization = self.ledger.quota_utilization(now)
        self.sizer.update(self.usage.served_units, quota_utilization, self.quota.limit)

    def record_request(self, now: float) -> None:
        """Bring the lease up to date for a request that needs a credit of it."""
        self.roll_window(now)
        self.usage.record_request(now, self.quota.refill_time)

    def spend(self, units: float) -> None:
        """Spend credits on a request."""
        self.credits -= units
        self.usage.record_spend(units)

    def add_local_credits(self, units: float) -> None:
        """Add credits that the counter has still to be told of."""
        self.credits += units
        self.ledger.defer_report(units)

    def release(self, refunded_units: float) -> None:
        """Take back what an ended request held of this lease."""
        self.usage.record_release()
        self.credits += refunded_units

    def add_grant(self, grant: Grant, now: float, *, all_granted: bool) -> None:
        """Keep what the quota granted of the requested units."""
        if not all_granted:
            self.accruing_credits = grant.accruing_units
            self.accruing_since = now
        self.grants.record(all_granted=all_granted)
        self.credits += grant.units

    def pop_credits(self) -> float:
        """Return all credits, which the lease then no longer has."""
        units = self.credits
        self.credits = 0.0
        return units

    def handle_failed_call(self, amount: float, outcome: Outcome, *, is_adjustment: bool) -> None:
        """Account for a failed call.  Without a reply a request was likely added; returns are repeated."""
        request = self.request
        if amount <= 0 or outcome.never_ran:
            obsolete_units = 0.0 if is_adjustment else request.requested_units + request.overflow_units
            self.ledger.revert_call(amount, obsolete_units)
        elif not is_adjustment:
            self.ledger.record_lost_reply(request)

    def denial(self, now: float) -> Denial:
        """Return how long to reject requests after a denied request for units."""
        needed = self.quota.units_of(self.waiters[0]) if self.waiters else 1.0
        return self.ledger.denial(needed, self.credits, self.spendable_credits(now), now)

    def awaited_units(self) -> float:
        """Return the units that the waiters need."""
        return sum(self.quota.units_of(pending) for pending in self.waiters)

    def add_waiter(self, pending: PendingRequest) -> None:
        """Let a request wait for credits."""
        self.waiters.append(pending)

    def remove_first_waiter(self) -> None:
        """Remove the request that waits longest."""
        self.waiters.popleft()

    def remove_waiter(self, pending: PendingRequest) -> None:
        """Remove a request, if it waits."""
        if pending in self.waiters:
            self.waiters.remove(pending)

    def pop_waiters(self) -> deque[PendingRequest]:
        """Return all waiters, which then wait no more."""
        waiters = self.waiters
        self.waiters = deque()
        return waiters
