"""All leases, and the counter calls that request, reconcile and return their units."""

import math
from collections import deque
from dataclasses import dataclass

from gateway.policy.actions import AddToCounter, Log
from gateway.policy.admission_ticket import AdmissionTicket
from gateway.policy.context import EPSILON, LATENCY_WEIGHT, REPORT_WEIGHT, Context
from gateway.policy.counter_rate_limiter import CounterRateLimiter
from gateway.policy.events import CounterReply, Outcome, Request
from gateway.policy.lease import Lease
from gateway.policy.lease_sizing import BatchSizer
from gateway.policy.quota import LeaseKey, QuotaKind, Shortfall
from gateway.policy.quota_factory import make_quota

MAX_IDLE_SECONDS = 30.0  # after which a lease is forgotten
MIN_CORRECTION = 0.02  # units; a total wrong by less is put right by the next lease
EXPIRY_SECONDS = 60.0  # after which the counter forgets a window's total


@dataclass(slots=True)
class PendingAdd:
    """A call in flight that adds to the total of a lease's window."""

    lease: Lease
    window_index: int
    amount: float
    is_return: bool  # of units, not a request for a lease
    is_first: bool = False  # known with the reply: whether it is the first in the lease's window


class LeaseTable:
    """One lease for each customer and kind of quota."""

    def __init__(self, context: Context, rate_limiter: CounterRateLimiter) -> None:
        self.context, self.rate_limiter = context, rate_limiter
        self.by_customer: dict[LeaseKey, Lease] = {}  # the last used at the end
        self.reclaimable: dict[LeaseKey, Lease] = {}  # with credits or slots to return
        self.pending_adds: dict[int, deque[PendingAdd]] = {}  # by the counter's name, oldest first
        self.grant_ratio_by_plan = {plan.name: 0.5 for plan in context.settings.plans}

    def use(self, request: Request, kind: QuotaKind) -> Lease:
        """The lease for a request, in its current window."""
        key, now = LeaseKey(request.customer, kind), self.context.now
        lease = self.by_customer.pop(key, None) or self._create(request, kind)
        self.by_customer[key] = lease
        lease.roll_window(self.context.now)
        lease.is_frequent, lease.last_used_at = now - lease.last_used_at < lease.quota.refill_time, now
        return lease

    def _create(self, request: Request, kind: QuotaKind) -> Lease:
        settings = self.context.settings
        quota = make_quota(request, kind, settings)
        fair_share = max(1.0, quota.limit / quota.gateway_set_size)
        return Lease(quota, BatchSizer(math.log(fair_share), settings.counter_price))

    def spend(self, lease: Lease, ticket: AdmissionTicket, units: float) -> None:
        """Hand a request the credits that it needs."""
        lease.credits -= units
        lease.served_units += units
        lease.slots_in_use += 1
        ticket.hold_credit(lease)
        if lease.quota.is_reclaimable(lease.credits):
            self.reclaimable[lease.quota.key] = lease

    def release(self, ticket: AdmissionTicket) -> None:
        """Take back what a closed request holds: its slots, and rate credits if it was never sent."""
        for lease in ticket.credits_held:
            quota = lease.quota
            lease.roll_window(self.context.now)
            lease.slots_in_use -= 1
            lease.credits += quota.refundable_units(ticket.pending)
            if quota.slots_per_request:
                self._return_slots(lease, quota.slots_per_request)

    def _return_slots(self, lease: Lease, slots: float) -> None:
        if not self.rate_limiter.may_call() or lease.unreported_units > 0:
            lease.unreported_units -= slots
        else:
            self._return_units(lease, slots)

    def drop_expired_credit(self, ticket: AdmissionTicket) -> bool:
        """Drop a request's credit if it has expired with its refill time; return whether it had."""
        for lease in ticket.leases:
            lease.roll_window(self.context.now)
            if lease.quota.has_credit_expired(ticket.credits_held[lease], lease.refill_index):
                lease.slots_in_use -= 1
                ticket.drop_credit(lease)
                return True
        return False

    def request_lease(self, lease: Lease) -> None:
        """Request a batch, unless one is in flight: further requests wait for that one."""
        if lease.in_flight:
            return
        needed, batch = sum(lease.quota.units_of(pending) for pending in lease.waiters) - lease.credits, 1.0
        lease.in_flight, lease.overflow_units, lease.units_before_sync = True, 0.0, 0.0
        if lease.quota.key.kind is QuotaKind.RATE:
            # Whole units: a fraction would serve nobody and expire.  No more than the quota holds.
            available = lease.available_quota(self.context.now)
            batch = float(round(min(math.exp(lease.sizer.log_batch_size), available)))
            if lease.synchronized:
                lease.overflow_units = max(0.0, lease.quota_level(self.context.now) - lease.quota.plan.burst)
        amount = lease.requested_units = max(needed, 1.0, batch)
        # What others have added in this window is known with the first reply: see `report_carry_over`.
        if lease.synchronized or lease.quota.key.kind is QuotaKind.CONCURRENCY:
            amount = lease.requested_units + lease.unreported_units + lease.overflow_units
            lease.unreported_units = 0.0
        self._add(lease, amount, is_return=False)

    def report_carry_over(self, lease: Lease) -> None:
        """Add what the quota lacked at the window's edge and its overflow since, if nobody has."""
        missing = lease.unreported_units + lease.overflow_units
        # A unit or more cannot wait for calls to be spare: every gateway that asks would be granted it.
        if abs(missing) >= 1 or (abs(missing) >= MIN_CORRECTION and self.rate_limiter.may_call()):
            lease.in_flight, lease.units_before_sync = True, lease.requested_units
            lease.requested_units = lease.unreported_units = 0.0
            self._add(lease, missing, is_return=False)

    def _return_units(self, lease: Lease, units: float) -> None:
        if units > EPSILON:
            self._add(lease, -units, is_return=True)

    def _add(self, lease: Lease, amount: float, *, is_return: bool) -> None:
        name = lease.quota.counter_name(lease.window_index)
        pending_adds = self.pending_adds.setdefault(name, deque())
        pending_adds.append(PendingAdd(lease, lease.window_index, amount, is_return))
        lease.counter_total += amount
        self.context.actions.append(
            AddToCounter(name, amount, min(EXPIRY_SECONDS, 4 * lease.quota.window_length))
        )
        self.rate_limiter.record_call()

    def handle_reply(self, reply: CounterReply) -> PendingAdd | None:
        """Account for the oldest call of that name, and return it where it requested a lease."""
        pending_adds = self.pending_adds.get(reply.name)
        if not pending_adds:
            return None
        call = pending_adds.popleft()
        if not pending_adds:
            del self.pending_adds[reply.name]
        lease = call.lease
        self.rate_limiter.record_reply(reply)
        lease.roll_window(self.context.now)
        call.is_first = not lease.synchronized and lease.quota.key.kind is QuotaKind.RATE
        if call.window_index == lease.window_index:
            if reply.outcome is Outcome.OK:
                self.reconcile(call, reply.total, sum(later.amount for later in pending_adds))
            else:
                lease.handle_failed_add(call.amount, reply.outcome, is_return=call.is_return)
        lease.in_flight = lease.in_flight and call.is_return
        return None if call.is_return else call

    def reconcile(self, call: PendingAdd, total: float, later_units: float) -> None:
        """Take over a total of the current window; `later_units` are in flight behind the call."""
        lease, now = call.lease, self.context.now
        if lease.confirm_total(total, call.amount, later_units, now):
            self.context.actions.append(Log(f"counter-lost customer={lease.quota.key.customer}"))
        if lease.quota.key.kind is QuotaKind.CONCURRENCY or call.is_return:
            return
        # What is missing beyond a burst was added in error by a dead gateway, or admitted locally for long.
        requested = lease.requested_units
        level = lease.quota_level(now) + requested + lease.units_before_sync + lease.overflow_units
        if level < -lease.quota.plan.burst - 2 * lease.quota.gateway_set_size:
            lease.unreported_units += level
        if call.is_first:  # `report_carry_over` adds the overflow, now that it is known
            lease.overflow_units = max(0.0, lease.quota_level(now) + requested - lease.quota.plan.burst)
            return
        mistaken = lease.overflow_units - max(
            0.0, level - lease.quota.plan.burst
        )  # or added by others before
        if not requested and mistaken < lease.overflow_units / 2:
            return  # nobody else added it at the same time: what differs was leased
        missing = lease.unreported_units = lease.unreported_units - mistaken
        if missing <= -1 or (abs(missing) >= MIN_CORRECTION and self.rate_limiter.may_call()):
            lease.unreported_units = 0.0
            self._add(lease, missing, is_return=True)

    def apply_grant(self, lease: Lease) -> bool:
        """Keep what the quota grants of the requested units, return the rest; whether all was granted."""
        now, rate = self.context.now, lease.quota.key.kind is QuotaKind.RATE
        excess = max(0.0, -lease.quota_level(now) if rate else lease.counter_total - lease.quota.limit)
        granted, all_granted = max(0.0, lease.requested_units - excess), excess <= EPSILON
        if not all_granted:
            shortfall = Shortfall(lease.requested_units, excess, lease.credits, lease.is_frequent)
            grant = lease.quota.partial_grant(shortfall)
            granted = grant.units
            lease.accruing_credits, lease.accruing_since = grant.accruing_units, now
        self._return_units(lease, lease.requested_units - granted)
        lease.grant_ratio += REPORT_WEIGHT * (all_granted - lease.grant_ratio)
        ratios, plan = self.grant_ratio_by_plan, lease.quota.plan.name
        ratios[plan] += LATENCY_WEIGHT * (all_granted - ratios[plan])
        lease.consecutive_denials = 0 if all_granted else lease.consecutive_denials
        lease.credits += granted
        return all_granted

    def reclaim_idle_credits(self) -> None:
        """Return idle credits of customers near their limit, and slots; forget leases long unused."""
        now = self.context.now
        for key, lease in list(self.reclaimable.items()):
            lease.roll_window(now)
            if lease.in_flight or not self.rate_limiter.may_call():
                continue
            rate = lease.quota.key.kind is QuotaKind.RATE
            if not rate and lease.unreported_units > 0:
                units, lease.unreported_units = lease.unreported_units, 0.0
                self._add(lease, units, is_return=True)
            idle = lease.quota.are_credits_idle(now - lease.last_used_at)
            scarce = lease.available_quota(now) < lease.quota.plan.burst / 2  # else nobody misses it
            if idle and scarce and self.rate_limiter.has_headroom():
                units, lease.credits = lease.credits, 0.0
                self._return_units(lease, units)
            if (lease.credits <= EPSILON or (idle and not scarce)) and not lease.slots_in_use:
                del self.reclaimable[key]
        while self.by_customer:
            key, lease = next(iter(self.by_customer.items()))
            if now - lease.last_used_at <= MAX_IDLE_SECONDS:
                break
            del self.by_customer[key]
            if lease.slots_in_use:  # looked at again after the others
                lease.last_used_at, self.by_customer[key] = now, lease
