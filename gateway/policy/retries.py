"""Whether and where a request gets another attempt: retries, hedged requests, the budget for both."""

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

SILENT_LATENCIES = 6.0  # mean latencies of a class, after which an endpoint without a response is silent
LOST_LATENCIES = 10.0  # the same, after which an attempt is lost at an endpoint that responds to others
BACKOFF_BASE = 2.0  # on both, for each attempt that the request has had before
BUDGET_PER_REQUEST = 0.1  # attempts in place of stalled ones, for each first attempt
INITIAL_BUDGET = 1.0  # attempts in place of stalled ones
MAX_BUDGET = 10.0  # the same, that may be saved up
DEDUP_DOMAINS = {DedupScope.CELL: attrgetter("cell"), DedupScope.ZONE: attrgetter("zone")}


class Retries:
    """Decides on further attempts; the engine starts them.

    Attributes:
        budget: Attempts that may be started in place of stalled ones.
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
        """Add a part of an attempt to the budget."""
        self.budget = min(MAX_BUDGET, self.budget + BUDGET_PER_REQUEST)

    def may_retry(self, pending: PendingRequest) -> bool:
        """Return whether a request may get another attempt, in time before its deadline."""
        # The margin of a tick is for an attempt that timed out at the deadline, perhaps a little early.
        latest = pending.deadline - DEADLINE_MARGIN_SECONDS - TICK_SECONDS
        if self.context.now >= latest or not self._has_attempts_left(pending):
            return False
        return bool(self.allowed_endpoints(pending))

    def _has_attempts_left(self, pending: PendingRequest) -> bool:
        return pending.attempts_started < self.limits.max_attempts

    def allowed_endpoints(self, pending: PendingRequest) -> list[Endpoint]:
        """Return the endpoints that the rules allow for a request's next attempt."""
        ready = self.endpoints.ready
        request_class = pending.request_class
        if request_class.effect is Effect.IDEMPOTENT:
            return ready
        first = pending.first_effective_attempt()
        if first is None:
            return ready
        if request_class.effect is Effect.NON_IDEMPOTENT or self._is_key_forgotten(pending, first):
            return []
        if request_class.dedup_scope is DedupScope.ALL:
            return ready
        domain = DEDUP_DOMAINS[request_class.dedup_scope]
        first_domain = domain(first.endpoint.record)
        return [endpoint for endpoint in ready if domain(endpoint.record) == first_domain]

    def _is_key_forgotten(self, pending: PendingRequest, first: Attempt) -> bool:
        """Return whether a retry might arrive, after a wait for a connection, when its key is forgotten."""
        latest = first.started_at + pending.request_class.dedup_window - DEADLINE_MARGIN_SECONDS
        latest -= self.limits.connect_timeout
        return self.context.now > latest

    def is_rejection_safe(self, pending: PendingRequest) -> bool:
        """Return whether a client that is told to retry can do no harm."""
        if pending.in_flight:
            return False
        effect = pending.request_class.effect
        if not pending.executed or effect is Effect.IDEMPOTENT:
            return True
        scope = pending.request_class.dedup_scope
        return effect is Effect.IDEMPOTENT_WITH_KEY and scope is DedupScope.ALL

    def replace_stalled_attempt(self, pending: PendingRequest) -> Endpoint | None:
        """Return the endpoint for a hedged request if a request's only attempt has stalled, else None.

        Where hedged requests are not allowed, the attempt is cancelled; a retry follows when it has ended.
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
        """Return whether an attempt is lost or its endpoint silent, and another one may still be in time."""
        now = self.context.now
        class_index = pending.request.class_index
        latency = self.limiter.class_latency[class_index].value
        detector = attempt.endpoint.outlier_detector
        silent = detector.detect_silence(class_index, attempt.started_at, SILENT_LATENCIES * latency, now)
        factor = SILENT_LATENCIES if silent else LOST_LATENCIES
        wait = factor * latency * BACKOFF_BASE ** (pending.attempts_started - 1)
        if now - attempt.started_at < wait:
            return False
        objective_at = pending.arrived_at + pending.request_class.latency_objective
        return now + latency <= objective_at and self._has_attempts_left(pending)
