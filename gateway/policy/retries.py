"""Decides whether and where a request gets another attempt: retries, and hedged requests within a budget."""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING

from gateway.policy.actions import Cancel
from gateway.policy.context import DEADLINE_MARGIN_SECONDS, TICK_SECONDS, Context
from gateway.policy.settings import DedupScope, Effect

if TYPE_CHECKING:
    from gateway.policy.concurrency_limiter import ConcurrencyLimiter
    from gateway.policy.endpoints import Attempt, Endpoint, EndpointTable
    from gateway.policy.load_balancer import LoadBalancer
    from gateway.policy.pending_request import PendingRequest

# Waits for a response, in multiples of the mean latency of the request's class.
UNRESPONSIVE_LATENCIES = 6.0  # an endpoint is unresponsive if no request of the class gets a response
LOST_ATTEMPT_LATENCIES = 10.0  # an attempt is lost even if other requests of the class get responses
BACKOFF_BASE = 2.0  # multiplies the wait before an attempt is replaced, for each earlier attempt
BUDGET_PER_REQUEST = 0.1  # replacements of stalled attempts that each first attempt adds to the budget
INITIAL_BUDGET = 1.0  # replacements of stalled attempts
MAX_BUDGET = 10.0  # replacements of stalled attempts that may be saved up
DEDUP_DOMAINS = {DedupScope.CELL: attrgetter("cell"), DedupScope.ZONE: attrgetter("zone")}


class Retries:
    """Decides on further attempts of a request; the engine starts them.

    Attributes:
        budget: Stalled attempts that may be replaced, by a hedged request or by a cancellation and a retry.
    """

    def __init__(
        self,
        context: Context,
        endpoints: EndpointTable,
        limiter: ConcurrencyLimiter,
        load_balancer: LoadBalancer,
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.limiter = limiter
        self.load_balancer = load_balancer
        self.limits = context.settings.limits
        self.budget = INITIAL_BUDGET

    def record_first_attempt(self) -> None:
        """Add the share of a request's first attempt to the budget."""
        self.budget = min(MAX_BUDGET, self.budget + BUDGET_PER_REQUEST)

    def may_retry(self, pending: PendingRequest) -> bool:
        """Return whether time, attempts and an allowed endpoint are left for another attempt."""
        # An attempt that times out at the deadline may be reported slightly early, hence the tick of margin.
        latest = pending.deadline - DEADLINE_MARGIN_SECONDS - TICK_SECONDS
        if self.context.now >= latest or not self._has_attempts_left(pending):
            return False
        return bool(self.allowed_endpoints(pending))

    def _has_attempts_left(self, pending: PendingRequest) -> bool:
        return pending.attempts_started < self.limits.max_attempts

    def allowed_endpoints(self, pending: PendingRequest) -> list[Endpoint]:
        """Return the ready endpoints at which the class's effect allows the request's next attempt."""
        ready = self.endpoints.ready
        request_class = pending.request_class
        if request_class.effect is Effect.IDEMPOTENT:
            return ready
        first = pending.first_possibly_executed_attempt()
        if first is None:
            return ready
        if request_class.effect is Effect.NON_IDEMPOTENT or self._is_key_forgotten(pending, first):
            return []
        if request_class.dedup_scope is DedupScope.ALL:
            return ready
        domain_of = DEDUP_DOMAINS[request_class.dedup_scope]
        first_domain = domain_of(first.endpoint.record)
        return [endpoint for endpoint in ready if domain_of(endpoint.record) == first_domain]

    def _is_key_forgotten(self, pending: PendingRequest, first: Attempt) -> bool:
        """Return whether a retry might arrive after the endpoints have forgotten its idempotency key.

        The retry may first have to wait for a connection, for up to the connect timeout.
        """
        latest = first.started_at + pending.request_class.dedup_window - DEADLINE_MARGIN_SECONDS
        latest -= self.limits.connect_timeout
        return self.context.now > latest

    def is_rejection_safe(self, pending: PendingRequest) -> bool:
        """Return whether the client may safely retry; if so, the answer is a rejection, else a failure."""
        if pending.in_flight:
            return False
        effect = pending.request_class.effect
        if not pending.possibly_executed or effect is Effect.IDEMPOTENT:
            return True
        scope = pending.request_class.dedup_scope
        return effect is Effect.IDEMPOTENT_WITH_KEY and scope is DedupScope.ALL

    def replace_stalled_attempt(self, pending: PendingRequest) -> Endpoint | None:
        """Return the endpoint for a hedged request if the only attempt in flight has stalled, else None.

        Where hedged requests are not allowed, the attempt is cancelled instead; its end triggers a retry.
        """
        ((number, attempt),) = pending.in_flight.items()
        if not self._is_stalled(pending, attempt) or self.budget < 1:
            return None
        endpoint = self.load_balancer.choose(pending, self.allowed_endpoints(pending))
        if endpoint is None:
            return None
        self.budget -= 1
        if self.limits.may_hedge:
            return endpoint
        if self.limits.may_cancel:
            self.context.actions.append(Cancel(pending.request.request_id, number))
        return None

    def _is_stalled(self, pending: PendingRequest, attempt: Attempt) -> bool:
        """Return whether an attempt has stalled and another one may still meet the latency objective.

        An attempt has stalled after a wait that is shorter if its endpoint is unresponsive, and grows with
        each earlier attempt of the request.
        """
        now = self.context.now
        class_index = pending.request.class_index
        latency = self.limiter.class_latency[class_index].value
        detector = attempt.endpoint.outlier_detector
        timeout = UNRESPONSIVE_LATENCIES * latency
        unresponsive = detector.detect_unresponsive(class_index, attempt.started_at, timeout, now)
        factor = UNRESPONSIVE_LATENCIES if unresponsive else LOST_ATTEMPT_LATENCIES
        stall_timeout = factor * latency * BACKOFF_BASE ** (pending.attempts_started - 1)
        if now - attempt.started_at < stall_timeout:
            return False
        objective_at = pending.arrived_at + pending.request_class.latency_objective
        return now + latency <= objective_at and self._has_attempts_left(pending)
