"""Admission of requests: a request is admitted, waits for a lease, or is rejected."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from gateway.policy.admission_ticket import AdmissionTicket
from gateway.policy.context import EPSILON, Context
from gateway.policy.counter_calls import CounterCalls, LeaseResult
from gateway.policy.quota_factory import quota_kinds

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from gateway.policy.events import CounterReply, Request
    from gateway.policy.lease import Lease
    from gateway.policy.lease_table import LeaseTable
    from gateway.policy.local_admission import LocalAdmission
    from gateway.policy.pending_request import PendingRequest
    from gateway.policy.quota import LeaseKey, QuotaKind

MAX_WAIT_FRACTION = 0.25  # longest wait for a counter call, as a fraction of the latency objective


@dataclass(slots=True, frozen=True)
class AdmissionCallbacks:
    """What the engine does with a request once admission has decided.

    Attributes:
        dispatch: Sends an admitted request to an endpoint, or queues it.
        reject: Answers a request with a rejection; its argument is the Retry-After in seconds.
    """

    dispatch: Callable[[PendingRequest], None]
    reject: Callable[[PendingRequest, float], None]


class Admission:
    """Admits a request once it has acquired credits from the lease of each quota of its plan.

    The engine calls `register` and `admit` for a new request, `release` when it has ended,
    `handle_counter_reply` for each reply of the counter and `retry_deferred_leases` at each tick.  Under a
    ceiling it calls `drop_expired_credit` before the first attempt, and `admit` again if any were dropped.

    Attributes:
        quota_kinds_by_plan: The kinds of quota that each plan has, by plan index.
        tickets: The admission state of pending requests, by request id.
        deferred_leases: Leases that have waiters, and for which no counter call may be made yet.
    """

    def __init__(
        self,
        context: Context,
        leases: LeaseTable,
        calls: CounterCalls,
        local_admission: LocalAdmission,
        callbacks: AdmissionCallbacks,
    ) -> None:
        self.context = context
        self.leases = leases
        self.calls = calls
        self.rate_limiter = calls.rate_limiter
        self.local_admission = local_admission
        self.dispatch = callbacks.dispatch
        self.reject = callbacks.reject
        self.quota_kinds_by_plan = [quota_kinds(plan) for plan in context.settings.plans]
        self.tickets: dict[int, AdmissionTicket] = {}
        self.deferred_leases: dict[LeaseKey, Lease] = {}

    def lease_for(self, request: Request, kind: QuotaKind) -> Lease:
        """Return a request's lease of one kind of quota; give a new lease its first local tokens."""
        lease = self.leases.get_or_create(request, kind)
        if not lease.local_tokens.updated_at:
            grant_ratio = self.calls.grant_ratio(lease.quota.plan)
            # While leases are evicted, the customer may have spent its first token before.
            may_have_spent = request.is_retry or self.leases.is_full
            self.local_admission.initialize_tokens(lease, grant_ratio, is_retry=may_have_spent)
        return lease

    def register(self, pending: PendingRequest) -> None:
        """Record a new request and the leases that it needs credits of."""
        request = pending.request
        leases = [self.lease_for(request, kind) for kind in self.quota_kinds_by_plan[request.plan_index]]
        self.tickets[request.request_id] = AdmissionTicket(pending, leases)

    def admit(self, pending: PendingRequest) -> None:
        """Dispatch a request if its credits are available; otherwise let it wait, or reject it."""
        self._admit(self.tickets[pending.request.request_id])

    def release(self, pending: PendingRequest) -> None:
        """Release the credits of a request that is closed and has no attempt in flight; end its waits."""
        ticket = self.tickets.pop(pending.request.request_id)
        for lease in ticket.leases:
            lease.remove_waiter(pending)
        self.leases.release(ticket)

    def drop_expired_credit(self, pending: PendingRequest) -> bool:
        """Drop a request's rate credits if they have expired; return whether any were dropped."""
        return self.leases.drop_expired_credit(self.tickets[pending.request.request_id])

    def _admit(self, ticket: AdmissionTicket) -> None:
        for lease in ticket.leases:
            if lease not in ticket.acquired_credits and not self._acquire_credits(lease, ticket):
                return
        self.dispatch(ticket.pending)

    def _acquire_credits(self, lease: Lease, ticket: AdmissionTicket) -> bool:
        """Acquire credits of one lease; return False if the request waits or was rejected."""
        pending = ticket.pending
        now = self.context.now
        units = lease.quota.units_of(pending)
        if lease.spendable_credits(now) + EPSILON >= units and not lease.waiters:
            self._spend(lease, ticket, units)
            return True
        if now < lease.grants.denied_until:
            self.reject(pending, lease.grants.denied_until - now)
            return False
        may_request = self.may_wait_for_lease(pending) or self.rate_limiter.may_call()
        if not may_request or self.local_admission.should_skip_counter_call(lease, units):
            return self._acquire_local_credits(lease, ticket, units)
        lease.add_waiter(pending)
        if not lease.request.in_flight:
            self._request_or_defer(lease)
        return False

    def _spend(self, lease: Lease, ticket: AdmissionTicket, units: float) -> None:
        self.local_admission.spend(lease, units)
        self.leases.spend(lease, ticket, units)

    def _acquire_local_credits(self, lease: Lease, ticket: AdmissionTicket, units: float) -> bool:
        """Acquire credits of the local quota, which a later call adds to the total, or reject the request."""
        if not self.local_admission.has_tokens(lease, units):
            self.reject(ticket.pending, self.context.settings.limits.max_retry_after / 2)
            return False
        lease.add_local_credits(units)
        self._spend(lease, ticket, units)
        return True

    def _admit_locally(self, lease: Lease, waiters: Iterable[PendingRequest]) -> None:
        for pending in waiters:
            if pending.closed:
                continue
            ticket = self.tickets[pending.request.request_id]
            if self._acquire_local_credits(lease, ticket, lease.quota.units_of(pending)):
                self._admit(ticket)

    def may_wait_for_lease(self, pending: PendingRequest) -> bool:
        """Return whether a request may wait longer for a counter call.

        It waits as long as it may, because admission by the local quota can exceed the customer's quota.
        """
        max_wait = MAX_WAIT_FRACTION * pending.request_class.latency_objective
        waiting_helps = self.rate_limiter.enabled and not self.rate_limiter.is_unavailable
        return waiting_helps and self.context.now - pending.arrived_at < max_wait

    def _request_or_defer(self, lease: Lease) -> None:
        if self.rate_limiter.may_call() and self.context.now >= lease.grants.retry_at:
            self.deferred_leases.pop(lease.quota.key, None)
            self.calls.request_lease(lease)
        else:
            self.deferred_leases[lease.quota.key] = lease

    def retry_deferred_leases(self) -> None:
        """Request deferred leases, fewest denials first; apply the local quota to overdue waiters."""
        by_denials = sorted(self.deferred_leases.items(), key=lambda item: item[1].grants.consecutive_denials)
        for key, lease in by_denials:
            overdue = [pending for pending in lease.waiters if not self.may_wait_for_lease(pending)]
            for pending in overdue:
                lease.remove_waiter(pending)
            self._admit_locally(lease, overdue)
            if not lease.waiters or lease.request.in_flight:
                self.deferred_leases.pop(key, None)
            else:
                self._request_or_defer(lease)

    def handle_counter_reply(self, event: CounterReply) -> None:
        """Apply a reply of the counter to its lease and the waiters; make the calls that follow from it."""
        reply = self.calls.handle_reply(event)
        if reply is None:
            return
        lease = reply.lease
        match reply.result:
            case LeaseResult.REJECTED:
                self._defer_after_rejection(lease)
                return
            case LeaseResult.NO_REPLY:
                self._admit_locally(lease, lease.pop_waiters())
                return
            case LeaseResult.GRANTED:
                self._serve_waiters(lease, denied=False)
            case LeaseResult.DENIED:
                self._serve_waiters(lease, denied=True)
        is_current = reply.result is not LeaseResult.EXPIRED
        if is_current and reply.is_first_in_window and not lease.request.in_flight:
            self.calls.report_carry_over(lease)
        elif lease.waiters:
            self.calls.request_lease(lease)

    def _defer_after_rejection(self, lease: Lease) -> None:
        """Retry a rejected lease request after a random delay, when the counter may be less loaded."""
        delay = self.context.settings.counter_timeout * (0.5 + self.context.random.random())
        lease.grants.postpone_call(self.context.now + delay)
        self.deferred_leases[lease.quota.key] = lease

    def _serve_waiters(self, lease: Lease, *, denied: bool) -> None:
        """Spend the credits on waiters, oldest first; reject the others if denied, else request more."""
        served = []
        while lease.waiters:
            pending = lease.waiters[0]
            if not pending.closed:
                units = lease.quota.units_of(pending)
                if lease.spendable_credits(self.context.now) + EPSILON < units:
                    break
                ticket = self.tickets[pending.request.request_id]
                self._spend(lease, ticket, units)
                served.append(ticket)
            lease.remove_first_waiter()
        if denied:
            self._reject_waiters(lease)
        elif lease.waiters:
            self.calls.request_lease(lease)
        for ticket in served:
            self._admit(ticket)

    def _reject_waiters(self, lease: Lease) -> None:
        """Reject all waiters, and further requests until the oldest waiter's units should be available."""
        now = self.context.now
        denial = lease.denial(now)
        delay = denial.delay
        if denial.is_contended:
            delay *= self._denial_backoff(lease)
        lease.grants.deny_until(now + delay)
        rejected = [pending for pending in lease.pop_waiters() if not pending.closed]
        for pending in rejected:
            self.reject(pending, lease.grants.denied_until - now)

    def _denial_backoff(self, lease: Lease) -> float:
        """Count a denial; return the factor on its delay, which is random and grows with consecutive denials.

        It grows until about one gateway requests each unit that accrues.
        """
        grants = lease.grants
        grants.record_denial(limit=lease.quota.gateway_set_size.bit_length())
        factor = float(2 ** (grants.consecutive_denials - 1))
        return factor * (0.5 + self.context.random.random()) if factor > 1 else 1.0
