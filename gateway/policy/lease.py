"""One customer's lease of a quota: credits that its requests may spend without a counter call."""

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
    """The part of a customer's quota that this gateway has leased; amounts in units, or in slots.

    Attributes:
        quota: The quota.
        ledger: The quota's total at the counter, as this gateway knows it.
        sizer: Learns the batch size: the units to request in one call.
        clock: The refill time that the lease is in.
        request: The last counter call that requested units for this lease.
        grants: The grants and denials of the lease's requests for units.
        usage: The lease's use by client requests.
        local_tokens: Tokens of the local quota, which admits requests without the counter.
        waiters: Client requests that wait for credits, oldest first.
        credits: Units that were leased and not spent yet.
        accruing_credits: Part of `credits` that was leased ahead and becomes spendable as the quota refills.
        accruing_since: Unix time at which `accruing_credits` was set, in seconds.
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

    @property
    def is_in_use(self) -> bool:
        """Whether a request holds or awaits credits of the lease, or a call has requested units for it."""
        return bool(self.usage.active_requests or self.waiters or self.request.in_flight)

    def spendable_credits(self, now: float) -> float:
        """Return the credits that may be spent now, without those that have yet to accrue."""
        accrued = (now - self.accruing_since) * self.quota.plan.rate
        return self.credits - max(0.0, self.accruing_credits - accrued)

    def roll_window(self, now: float) -> None:
        """Expire the credits when a new window begins; adapt the batch size when a refill time ends."""
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
        self.ledger.open_window(window_index, self.credits, self.usage.active_requests)
        self.grants.clear_denial()
        self.credits = 0.0
        self.accruing_credits = 0.0

    def update_batch_size(self, now: float) -> None:
        """Adapt the batch size to the demand of the refill time that ends."""
        quota_utilization = self.ledger.quota_utilization(now)
        self.sizer.update(self.usage.served_units, quota_utilization, self.quota.limit)

    def record_request(self, now: float) -> None:
        """Update window and usage for a client request that needs credits of this lease."""
        self.roll_window(now)
        self.usage.record_request(now, self.quota.refill_time)

    def spend(self, units: float) -> None:
        """Spend credits on a client request."""
        self.credits -= units
        self.usage.record_spend(units)

    def add_local_credits(self, units: float) -> None:
        """Add credits that were not leased; a later call adds them to the counter's total."""
        self.credits += units
        self.ledger.defer_report(units)

    def release(self, refunded_units: float) -> None:
        """Record that a request no longer holds credits, and add the units to refund, if any."""
        self.usage.record_release()
        self.credits += refunded_units

    def add_grant(self, grant: Grant, now: float, *, all_granted: bool) -> None:
        """Record the reply to a request for units, and add the granted units to the credits."""
        if not all_granted:
            self.accruing_credits = grant.accruing_units
            self.accruing_since = now
        self.grants.record(all_granted=all_granted)
        self.credits += grant.units

    def pop_credits(self) -> float:
        """Remove all credits from the lease and return them."""
        units = self.credits
        self.credits = 0.0
        return units

    def handle_failed_call(self, amount: float, outcome: Outcome, *, is_adjustment: bool) -> None:
        """Account for a failed call.

        A call that never ran is undone.  So is a call that subtracts units, so that a later call repeats it.
        Any other call has probably added its units to the total.
        """
        request = self.request
        if amount <= 0 or outcome.never_ran:
            obsolete_units = 0.0 if is_adjustment else request.requested_units + request.overflow_units
            self.ledger.revert_call(amount, obsolete_units)
        elif not is_adjustment:
            self.ledger.record_lost_reply(request)

    def denial(self, now: float) -> Denial:
        """Return how long to reject client requests after a denied lease request."""
        needed = self.quota.units_of(self.waiters[0]) if self.waiters else 1.0
        return self.ledger.denial(needed, self.credits, self.spendable_credits(now), now)

    def awaited_units(self) -> float:
        """Return the units that all waiters need together."""
        return sum(self.quota.units_of(pending) for pending in self.waiters)

    def add_waiter(self, pending: PendingRequest) -> None:
        """Add a request that waits for credits."""
        self.waiters.append(pending)

    def remove_first_waiter(self) -> None:
        """Remove the oldest waiter."""
        self.waiters.popleft()

    def remove_waiter(self, pending: PendingRequest) -> None:
        """Remove a request if it is waiting."""
        if pending in self.waiters:
            self.waiters.remove(pending)

    def pop_waiters(self) -> deque[PendingRequest]:
        """Remove all waiters and return them."""
        waiters = self.waiters
        self.waiters = deque()
        return waiters
