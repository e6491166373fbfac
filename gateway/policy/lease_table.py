"""The leases of one gateway: creating them, returning unused credits, and evicting them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gateway.policy.context import EPSILON, Context
from gateway.policy.lease import Lease
from gateway.policy.lease_eviction import MAX_LEASES, LeaseEviction
from gateway.policy.lease_sizing import BatchSizer
from gateway.policy.quota import LeaseKey, QuotaKind
from gateway.policy.quota_factory import make_ledger, make_quota

if TYPE_CHECKING:
    from gateway.policy.admission_ticket import AdmissionTicket
    from gateway.policy.counter_calls import CounterCalls
    from gateway.policy.events import Request

MAX_IDLE_SECONDS = 30.0  # an unused lease is evicted after this time


class LeaseTable:
    """Holds one lease for each customer and kind of quota.

    Attributes:
        by_key: All leases, the least recently used first.
        reclaimable: The leases that may have credits or slots to return to the counter.
        eviction: Chooses the lease to evict when there are too many.
    """

    def __init__(self, context: Context, calls: CounterCalls) -> None:
        self.context = context
        self.calls = calls
        self.by_key: dict[LeaseKey, Lease] = {}
        self.reclaimable: dict[LeaseKey, Lease] = {}
        self.eviction = LeaseEviction()

    @property
    def is_full(self) -> bool:
        """Whether a lease has to be evicted for each that is created."""
        return len(self.by_key) >= MAX_LEASES

    def get_or_create(self, request: Request, kind: QuotaKind) -> Lease:
        """Return the lease for a request, created if needed and moved to the current window."""
        key = LeaseKey(request.customer, kind)
        lease = self.by_key.pop(key, None)
        if lease is None:
            self._evict_surplus_leases()
            lease = self._create(request, kind)
            self.eviction.record_created(key)
        else:
            self.eviction.record_reused(key)
        self.by_key[key] = lease
        lease.record_request(self.context.now)
        return lease

    def _create(self, request: Request, kind: QuotaKind) -> Lease:
        settings = self.context.settings
        quota = make_quota(request, kind, settings)
        fair_share = max(1.0, quota.limit / quota.gateway_set_size)
        return Lease(quota, make_ledger(quota), BatchSizer(math.log(fair_share), settings.counter_price))

    def spend(self, lease: Lease, ticket: AdmissionTicket, units: float) -> None:
        """Spend the credits that a request needs."""
        lease.spend(units)
        ticket.add_credits(lease)
        if lease.quota.is_reclaimable(lease.credits):
            self.reclaimable[lease.quota.key] = lease

    def release(self, ticket: AdmissionTicket) -> None:
        """Release a closed request's slots, and refund its rate credits if no attempt was started."""
        for lease in ticket.acquired_credits:
            lease.roll_window(self.context.now)
            lease.release(lease.quota.refundable_units(ticket.pending))
            if lease.quota.slots_per_request:
                self.calls.return_slots(lease, lease.quota.slots_per_request)

    def drop_expired_credit(self, ticket: AdmissionTicket) -> bool:
        """Drop a request's credits of one lease if their refill time has ended; return whether it has."""
        for lease in ticket.leases:
            lease.roll_window(self.context.now)
            if lease.quota.has_credit_expired(ticket.acquired_credits[lease], lease.clock.refill_index):
                lease.release(0.0)
                ticket.remove_credits(lease)
                return True
        return False

    def reclaim_idle_credits(self) -> None:
        """Report overdue units, return idle credits of scarce quotas, and evict unused leases."""
        for key, lease in list(self.reclaimable.items()):
            lease.roll_window(self.context.now)
            if lease.request.in_flight or not self.calls.rate_limiter.may_call():
                continue
            if lease.ledger.overdue_units():
                self.calls.report_overdue_units(lease)
            if self._reclaim(lease) and not lease.usage.active_requests:
                del self.reclaimable[key]
        self._evict_unused_leases()

    def _reclaim(self, lease: Lease) -> bool:
        """Subtract idle credits from the total if other gateways may need them.

        Returns:
            Whether the lease has no more credits that must be subtracted.
        """
        now = self.context.now
        if not lease.quota.are_credits_idle(now - lease.usage.last_used_at):
            return lease.credits <= EPSILON
        if not lease.ledger.is_scarce(now):
            return True  # other gateways do not need the credits
        if self.calls.rate_limiter.has_headroom():
            self.calls.return_units(lease, lease.pop_credits())
        return lease.credits <= EPSILON

    def _evict_unused_leases(self) -> None:
        now = self.context.now
        while self.by_key:
            key, lease = next(iter(self.by_key.items()))
            if now - lease.usage.last_used_at <= MAX_IDLE_SECONDS:
                break
            del self.by_key[key]
            if lease.usage.active_requests:  # keep it, as the most recently used
                lease.usage.postpone_eviction(now)
                self.by_key[key] = lease
            else:
                self.eviction.forget(key)

    def _evict_surplus_leases(self) -> None:
        """Evict leases until another one may be created; there may be more only while they are in use."""
        while self.is_full:
            key = self.eviction.choose(self.by_key)
            if key is None:
                return
            self._evict(key)

    def _evict(self, key: LeaseKey) -> None:
        """Evict a lease that is not in use, and settle with the counter what other gateways may need."""
        lease = self.by_key.pop(key)
        self.reclaimable.pop(key, None)
        self.eviction.forget(key)
        lease.roll_window(self.context.now)
        owes_units = lease.ledger.unreported_units > EPSILON
        is_relevant = owes_units or lease.ledger.is_scarce(self.context.now)
        if is_relevant and self.calls.rate_limiter.has_headroom():
            self.calls.settle(lease)
