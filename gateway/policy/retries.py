"""Whether and where a request is sent again: retries, hedged requests, the retry budget."""

from collections.abc import Callable, Iterable
from operator import attrgetter

from gateway.policy.actions import Cancel
from gateway.policy.concurrency_limiter import ConcurrencyLimiter
from gateway.policy.context import DEADLINE_MARGIN_SECONDS, TICK_SECONDS, Context
from gateway.policy.endpoints import Attempt, Endpoint, EndpointTable
from gateway.policy.load_balancer import LoadBalancer
from gateway.policy.pending_request import PendingRequest
from gateway.policy.settings import DedupScope, Effect

SILENT_LATENCIES = 6.0  # of its class without a response, after which an attempt's endpoint counts as silent
LOST_LATENCIES = 10.0  # after which an attempt counts as lost at an endpoint that answers others
BUDGET_PER_REQUEST = 0.1  # attempts in place of stalled ones, per first attempt
DEDUP_DOMAINS = {DedupScope.CELL: attrgetter("cell"), DedupScope.ZONE: attrgetter("zone")}
MAX_BUDGET = 10.0  # attempts that may be saved up


class Retries:
    """Decides on further attempts; the engine starts them."""

    def __init__(
        self, context: Context, endpoints: EndpointTable, limiter: ConcurrencyLimiter,
        load_balancer: LoadBalancer, start_attempt: Callable[[PendingRequest, Endpoint], None],
    ) -> None:  # fmt: skip
        self.context, self.endpoints, self.limiter = context, endpoints, limiter
        self.load_balancer, self.start_attempt = load_balancer, start_attempt
        self.limits, self.budget = context.settings.limits, 1.0

    def record_first_attempt(self) -> None:
        """Earn a part of an attempt in place of a stalled one."""
        self.budget = min(MAX_BUDGET, self.budget + BUDGET_PER_REQUEST)

    def may_retry(self, pending: PendingRequest) -> bool:
        """Whether to send a request again; not after a timeout at its deadline, maybe a little early."""
        in_time = self.context.now < pending.deadline - DEADLINE_MARGIN_SECONDS - TICK_SECONDS
        allowed = in_time and pending.attempts_started < self.limits.max_attempts
        return allowed and bool(self.allowed_endpoints(pending))

    def allowed_endpoints(self, pending: PendingRequest) -> list[Endpoint]:
        """The endpoints that the rules leave open to a request's next attempt."""
        ready, request_class = self.endpoints.ready, pending.request_class
        earlier = [*pending.in_flight.values(), *pending.executed]
        if not earlier or request_class.effect is Effect.IDEMPOTENT:
            return ready
        first = min(earlier, key=lambda attempt: attempt.started_at)
        # A repeat may have to wait for a connection, and must not arrive when its key is forgotten.
        latest = first.started_at + request_class.dedup_window - DEADLINE_MARGIN_SECONDS
        latest -= self.limits.connect_timeout
        if request_class.effect is Effect.NON_IDEMPOTENT or self.context.now > latest:
            return []
        if request_class.dedup_scope is DedupScope.ALL:
            return ready
        domain = DEDUP_DOMAINS[request_class.dedup_scope]
        return [e for e in ready if domain(e.record) == domain(first.endpoint.record)]

    def is_rejection_safe(self, pending: PendingRequest) -> bool:
        """Whether a client that is told to try again later can do no harm."""
        effect, scope = pending.request_class.effect, pending.request_class.dedup_scope
        deduplicated = effect is Effect.IDEMPOTENT_WITH_KEY and scope is DedupScope.ALL
        return not pending.in_flight and (not pending.executed or effect is Effect.IDEMPOTENT or deduplicated)

    def replace_stalled_attempts(self, pending_requests: Iterable[PendingRequest]) -> None:
        """Start another attempt for one that is lost, or whose endpoint has stopped responding."""
        # One attempt in 15 takes 2.5 times its class's latency; begun again it costs as much.  An endpoint is
        # judged by how long it has answered nothing of the class, an attempt by a longer wait; both double
        # with each attempt.  Does harm where all endpoints slow down at once by more than that.
        for pending in [p for p in pending_requests if not p.closed and len(p.in_flight) == 1]:
            ((number, attempt),) = pending.in_flight.items()
            stalled = self._is_stalled(pending, attempt) and self.budget >= 1
            if stalled and (endpoint := self.load_balancer.choose(pending, self.allowed_endpoints(pending))):
                self.budget -= 1
                if self.limits.may_hedge:
                    self.start_attempt(pending, endpoint)
                elif self.limits.may_cancel:  # it is sent again when the attempt has ended
                    self.context.actions.append(Cancel(pending.request.request_id, number))

    def _is_stalled(self, pending: PendingRequest, attempt: Attempt) -> bool:
        now, class_index, endpoint = self.context.now, pending.request.class_index, attempt.endpoint
        latency = self.limiter.class_latency[class_index]
        # Any class's response hides that another gets none: silence is judged by endpoint and class.
        gap = endpoint.outlier_detector.response_gap(class_index, attempt.started_at, now)
        silent = gap >= SILENT_LATENCIES * latency
        if silent:
            endpoint.outlier_detector.mark_silent(class_index, now)
        in_time = now + latency <= pending.arrived_at + pending.request_class.latency_objective
        allowed = in_time and pending.attempts_started < self.limits.max_attempts
        factor = SILENT_LATENCIES if silent else LOST_LATENCIES
        wait = factor * latency * 2.0 ** (pending.attempts_started - 1)
        return allowed and now - attempt.started_at >= wait
