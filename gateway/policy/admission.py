"""Whether a request is admitted, waits for a lease, or is rejected: by a denied lease or the local quota."""

from collections import deque
from collections.abc import Callable, Iterable

from gateway.policy.admission_ticket import AdmissionTicket
from gateway.policy.concurrency_limiter import ConcurrencyLimiter
from gateway.policy.context import EPSILON, TICK_SECONDS, Context
from gateway.policy.counter_rate_limiter import CounterRateLimiter
from gateway.policy.events import CounterReply, Outcome, Request
from gateway.policy.lease import Lease
from gateway.policy.lease_table import LeaseTable
from gateway.policy.pending_request import PendingRequest
from gateway.policy.quota import LeaseKey, QuotaKind
from gateway.policy.quota_factory import limited_kinds

MAX_WAIT_FRACTION = 0.25  # of its latency objective that a request waits until a call may be made
MAX_LOCAL_UTILIZATION = 0.8  # from which only what the counter granted is admitted


class Admission:
    """Takes a credit of each of a request's leases before it is dispatched."""

    def __init__(
        self, context: Context, leases: LeaseTable, rate_limiter: CounterRateLimiter,
        limiter: ConcurrencyLimiter,
        dispatch: Callable[[PendingRequest], None], reject: Callable[[PendingRequest, float], None],
    ) -> None:  # fmt: skip
        self.context, self.leases, self.rate_limiter, self.limiter = context, leases, rate_limiter, limiter
        self.dispatch, self.reject = dispatch, reject
        self.tickets: dict[int, AdmissionTicket] = {}  # of pending requests, by request id
        self.deferred: dict[LeaseKey, Lease] = {}  # have waiters, but no call may be made yet

    def lease_for(self, request: Request, kind: QuotaKind) -> Lease:
        """The lease that a request needs a credit of; a new one with a local token or none."""
        lease = self.leases.use(request, kind)
        if not lease.local_tokens_at:
            # Not more, as this may follow a restart.  Where gateways share less than a unit each, some admit
            # one request: the more, the more often the plan's leases are granted.  A retry was just rejected.
            fraction = self.local_quota_fraction(
                lease, self.leases.grant_ratio_by_plan[lease.quota.plan.name]
            )
            admits = self.context.random.random() < fraction * lease.quota.limit and not request.is_retry
            lease.local_tokens, lease.local_tokens_at = 1.0 if admits else 0.0, self.context.now
        return lease

    def open(self, pending: PendingRequest) -> None:
        """Find the leases that a new request needs a credit of."""
        leases = [self.lease_for(pending.request, kind) for kind in limited_kinds(pending.plan)]
        self.tickets[pending.request.request_id] = AdmissionTicket(pending, leases)

    def admit(self, pending: PendingRequest) -> None:
        """Dispatch a request that gets its credits; else it waits or is rejected."""
        self._admit(self.tickets[pending.request.request_id])

    def release(self, pending: PendingRequest) -> None:
        """Take back what a request holds that is closed and has no attempt in flight."""
        self.leases.release(self.tickets.pop(pending.request.request_id))

    def drop_expired_credit(self, pending: PendingRequest) -> bool:
        """Drop a request's rate credit if it has expired; return whether it had."""
        return self.leases.drop_expired_credit(self.tickets[pending.request.request_id])

    def _admit(self, ticket: AdmissionTicket) -> None:
        for lease in ticket.leases:
            if lease not in ticket.credits_held and not self._take_credit(lease, ticket):
                return
        self.dispatch(ticket.pending)

    def _take_credit(self, lease: Lease, ticket: AdmissionTicket) -> bool:
        pending = ticket.pending
        now, units = self.context.now, lease.quota.units_of(pending)
        if lease.spendable_credits(now) + EPSILON >= units and not lease.waiters:
            self._spend(lease, ticket, units)
            return True
        if now < lease.denied_until:
            self.reject(pending, lease.denied_until - now)
            return False
        may_request = self.may_wait_for_lease(pending) or self.rate_limiter.may_call()
        if not may_request or self.may_spend_locally(lease, units):
            return self._spend_locally(lease, ticket, units)
        lease.waiters.append(pending)
        if not lease.in_flight:
            self._request_or_defer(lease)
        return False

    def _spend(self, lease: Lease, ticket: AdmissionTicket, units: float) -> None:
        lease.local_tokens = max(self._refill(lease) - units, -lease.quota.limit)
        self.leases.spend(lease, ticket, units)

    def _spend_locally(self, lease: Lease, ticket: AdmissionTicket, units: float) -> bool:
        """Spend of the local quota, to be added when the counter is available, or reject."""
        if not self.within_local_quota(lease, units):
            self.reject(ticket.pending, self.context.settings.limits.max_retry_after / 2)
            return False
        lease.credits += units
        lease.unreported_units += units
        self._spend(lease, ticket, units)
        return True

    def local_quota_fraction(self, lease: Lease, grant_ratio: float = 0.0) -> float:
        """The part of a quota to spend without the counter, from 1/gateways (as under a ceiling) to all."""
        # By the critical ratio of over_quota_cost, and the grant ratio: as given if the quota is unknown.
        plan, ratio = lease.quota.plan, 1.0
        if not plan.ceiling_rate:
            known = lease.is_half_full(self.context.now) or lease.quota.key.kind is QuotaKind.CONCURRENCY
            ratio = plan.over_quota_cost / (1 + plan.over_quota_cost)
            ratio *= 1 - (lease.grant_ratio if known else grant_ratio)
        return 1 / (1 + (lease.quota.gateway_set_size - 1) * ratio)

    def _refill(self, lease: Lease) -> float:
        now, fraction = self.context.now, self.local_quota_fraction(lease)
        rate, burst = lease.quota.accrual_rate(self.limiter.mean_latency), lease.quota.burst
        accrued = lease.local_tokens + (now - lease.local_tokens_at) * fraction * rate
        lease.local_tokens, lease.local_tokens_at = min(max(1.0, fraction * burst), accrued), now
        return lease.local_tokens

    def within_local_quota(self, lease: Lease, units: float) -> bool:
        """Whether local tokens cover this; at high utilization only if the counter is unavailable."""
        if not self.rate_limiter.is_unavailable and self.limiter.utilization() > MAX_LOCAL_UTILIZATION:
            return False
        return self._refill(lease) + EPSILON >= units

    def may_spend_locally(self, lease: Lease, units: float) -> bool:
        """Whether to leave scarce calls to others.  May hurt a customer that is busy at other gateways."""
        scarce = lease.is_half_full(self.context.now) and not self.rate_limiter.has_headroom()
        return scarce and self.within_local_quota(lease, units)

    def _admit_locally(self, lease: Lease, waiters: Iterable[PendingRequest]) -> None:
        for pending in waiters:
            if pending.closed:
                continue
            ticket = self.tickets[pending.request.request_id]
            if self._spend_locally(lease, ticket, lease.quota.units_of(pending)):
                self._admit(ticket)

    def may_wait_for_lease(self, pending: PendingRequest) -> bool:
        """Whether a request may still wait for a call, as local admission may go beyond the quota."""
        longest = MAX_WAIT_FRACTION * pending.request_class.latency_objective
        waiting_helps = self.rate_limiter.enabled and not self.rate_limiter.is_unavailable
        return waiting_helps and self.context.now - pending.arrived_at < longest

    def _request_or_defer(self, lease: Lease) -> None:
        if self.rate_limiter.may_call() and self.context.now >= lease.retry_at:
            self.deferred.pop(lease.quota.key, None)
            self.leases.request_lease(lease)
        else:
            self.deferred[lease.quota.key] = lease

    def retry_deferred_leases(self) -> None:
        """Request deferred leases, least denied first; what waited too long goes by the local quota."""
        for key, lease in sorted(self.deferred.items(), key=lambda item: item[1].consecutive_denials):
            waiters = lease.waiters
            lease.waiters = deque(pending for pending in waiters if self.may_wait_for_lease(pending))
            overdue = (pending for pending in waiters if not self.may_wait_for_lease(pending))
            self._admit_locally(lease, overdue)
            if not lease.waiters or lease.in_flight:
                self.deferred.pop(key, None)
            else:
                self._request_or_defer(lease)

    def handle_counter_reply(self, event: CounterReply) -> None:
        """Serve, defer or admit locally those who wait for the lease that a reply is about."""
        call = self.leases.handle_reply(event)
        if call is None:
            return
        lease = call.lease
        if call.window_index != lease.window_index:  # the units have expired
            if lease.waiters:
                self.leases.request_lease(lease)
        elif event.outcome is Outcome.OK:
            if lease.requested_units:
                self._serve_waiters(lease, denied=not self.leases.apply_grant(lease))
            if call.is_first and not lease.in_flight:
                self.leases.report_carry_over(lease)
            elif lease.waiters:
                self.leases.request_lease(lease)
        elif event.outcome.never_ran:  # the counter is overloaded
            delay = self.context.settings.counter_timeout * (0.5 + self.context.random.random())
            lease.retry_at = self.context.now + delay
            self.deferred[lease.quota.key] = lease
        else:
            waiters, lease.waiters = lease.waiters, deque()
            self._admit_locally(lease, waiters)

    def _serve_waiters(self, lease: Lease, *, denied: bool) -> None:
        served = []
        while lease.waiters:
            pending = lease.waiters[0]
            units = lease.quota.units_of(pending)
            if not pending.closed:
                ticket = self.tickets[pending.request.request_id]
                if lease.spendable_credits(self.context.now) + EPSILON < units:
                    break
                self._spend(lease, ticket, units)
                served.append(ticket)
            lease.waiters.popleft()
        if denied:
            self._reject_waiters(lease)
        elif lease.waiters:
            self.leases.request_lease(lease)
        for ticket in served:
            self._admit(ticket)

    def _reject_waiters(self, lease: Lease) -> None:
        """Reject until the quota holds what the next one takes; slots may become free at any time."""
        now, delay = self.context.now, 2 * TICK_SECONDS
        if lease.quota.key.kind is QuotaKind.RATE:
            needed = lease.quota.units_of(lease.waiters[0]) if lease.waiters else 1.0
            empty, missing = lease.credits < EPSILON, max(0.0, needed - lease.spendable_credits(now))
            if empty:
                missing = max(missing, 1.0 - lease.quota_level(now))
            delay = missing / lease.quota.plan.rate * (self._denial_backoff(lease) if empty else 1.0)
        lease.denied_until = now + delay
        rejected, lease.waiters = lease.waiters, deque()
        for pending in [waiter for waiter in rejected if not waiter.closed]:
            self.reject(pending, lease.denied_until - now)

    def _denial_backoff(self, lease: Lease) -> float:
        """A random factor that grows until about one of a customer's gateways asks for a unit that comes."""
        lease.consecutive_denials = min(
            lease.consecutive_denials + 1, lease.quota.gateway_set_size.bit_length()
        )
        factor = float(2 ** (lease.consecutive_denials - 1))
        return factor * (0.5 + self.context.random.random()) if factor > 1 else 1.0

    def stop_waiting(self, pending: PendingRequest) -> None:
        """Request nothing more for a request whose client is gone."""
        ticket = self.tickets[pending.request.request_id]
        for lease in ticket.leases:
            if pending in lease.waiters:
                lease.waiters.remove(pending)
