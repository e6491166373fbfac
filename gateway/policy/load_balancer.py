"""Which endpoint an attempt goes to: least expected latency, avoiding outliers; probes for load reports."""

import math

from gateway.policy.actions import Probe
from gateway.policy.concurrency_limiter import ConcurrencyLimiter
from gateway.policy.context import REPORT_WEIGHT, TARGET_FRACTION, Context
from gateway.policy.endpoints import Attempt, Endpoint, EndpointTable
from gateway.policy.events import AttemptFinished, Outcome
from gateway.policy.load_report import REPORT_LIFETIME_SECONDS
from gateway.policy.outlier_detector import EJECTION_FACTOR
from gateway.policy.pending_request import PendingRequest
from gateway.policy.slow_start import SlowStart

MAX_CANDIDATES = 12  # endpoints compared for an attempt
PROBE_POOL_SIZE = 8  # load reports kept recent where they must be asked for
LOAD_COLUMNS = frozenset({"inflight", "queue", "util"})  # of a report; without one probes are of no use


class LoadBalancer:
    """Chooses endpoints, and keeps what their outcomes say of each."""

    def __init__(
        self, context: Context, endpoints: EndpointTable, slow_start: SlowStart, limiter: ConcurrencyLimiter
    ) -> None:
        self.context, self.endpoints, self.slow_start, self.limiter = context, endpoints, slow_start, limiter
        settings, has_load = context.settings, not LOAD_COLUMNS.isdisjoint(context.settings.report_columns)
        may_probe = settings.limits.may_probe and settings.report_mode == "pull" and has_load
        self.next_probe_at = 0.0 if may_probe else math.inf

    def choose(self, pending: PendingRequest, allowed: list[Endpoint]) -> Endpoint | None:
        """The best allowed endpoint of the subset, else of a few warm others; None without capacity."""
        if not self.limiter.has_capacity():
            return None
        if len(self.endpoints.subset) >= len(self.endpoints.ready):
            return self.best_of(pending, allowed)
        if self.context.now >= self.endpoints.subset_expires_at:
            self.endpoints.update_subset()
        # All are looked at only where none of the subset will do: a request must not cost what a list does.
        near, candidates = self.endpoints.subset_ids, self.endpoints.subset
        if allowed is not self.endpoints.ready:
            candidates = [e for e in allowed if e.record.endpoint_id in near]
        if best := self.best_of(pending, candidates):
            return best
        fraction = self.slow_start.capacity_fraction  # one in slow start is in enough gateways' subsets
        others = [
            e for e in allowed if e.record.endpoint_id not in near and fraction(e.record.started_at) >= 1
        ]
        return self.best_of(pending, others)

    def best_of(self, pending: PendingRequest, candidates: list[Endpoint]) -> Endpoint | None:
        """The candidate with the least expected latency under its load, of those that have capacity."""
        random, now = self.context.random, self.context.now
        if len(candidates) > MAX_CANDIDATES:
            candidates = random.sample(candidates, MAX_CANDIDATES)
        subset_size, ready_count = len(self.endpoints.subset), len(self.endpoints.ready)
        limit = 2 * self.limiter.concurrency_limit * ready_count / max(1, subset_size)
        fast_latency = 1.5 * self.limiter.mean_latency
        class_index, recently_tried = pending.request.class_index, pending.tried_endpoints[-2:]
        has_budget, best, best_score = self.slow_start.allows_attempt, None, math.inf
        for endpoint in candidates:
            fraction = self.slow_start.capacity_fraction(endpoint.record.started_at)
            expected, in_flight = self.expected_latency(endpoint, fraction), len(endpoint.in_flight)
            full = in_flight >= max(1.0, limit * min(1.0, fast_latency / expected))
            if full or endpoint.record.endpoint_id in recently_tried:
                continue
            budget = endpoint.slow_start_budget
            if fraction < 1 and not has_budget(budget, fraction, subset_size, ready_count):
                continue
            queued = in_flight + 1 + REPORT_WEIGHT * self.limiter.estimated_load(endpoint.load_report)
            if endpoint.outlier_detector.is_silent(class_index, now):
                queued *= EJECTION_FACTOR
            score = expected * queued * (1 + random.random() / 20)
            if score < best_score:
                best, best_score = endpoint, score
        return best

    def expected_latency(self, endpoint: Endpoint, capacity_fraction: float) -> float:
        """At least as long as an endpoint has been silent; an outlier's latency fades to the mean."""
        now = self.context.now
        oldest = next(iter(endpoint.in_flight.values()), now)
        latency = endpoint.outlier_detector.expected_latency(now, self.limiter.mean_latency, oldest)
        return latency / capacity_fraction

    def record_result(self, attempt: Attempt, event: AttemptFinished, pending: PendingRequest | None) -> None:
        """Record what an attempt's outcome says of its endpoint, and of the load of all."""
        outcome = event.outcome
        if outcome in (Outcome.CANCELLED, Outcome.NOT_STARTED):
            return
        if event.load_report:
            self.limiter.record_load_report(attempt.endpoint.load_report, event.load_report)
        if outcome is Outcome.OK:
            late = self._record_success(attempt, pending)
        else:
            late = True
            self._record_failure(attempt, outcome)
        is_outlier = attempt.endpoint.outlier_detector.is_outlier(self.limiter.mean_latency)
        typical = not is_outlier and outcome is not Outcome.CONNECT_FAILED
        self.limiter.record_outcome(late=late, typical=typical)

    def _record_success(self, attempt: Attempt, pending: PendingRequest | None) -> bool:
        """Record a response, of a request that is not closed if `pending`; return whether it was late."""
        now = self.context.now
        latency = now - attempt.started_at
        detector = attempt.endpoint.outlier_detector
        late = False
        if pending:
            class_index = pending.request.class_index
            detector.record_response(class_index, now)
            self.limiter.record_response(attempt.endpoint.load_report, class_index, latency)
            late = latency > TARGET_FRACTION * pending.request_class.latency_objective
        detector.record_outcome(latency, now)
        return late

    def _record_failure(self, attempt: Attempt, outcome: Outcome) -> None:
        now = self.context.now
        mean_latency = self.limiter.mean_latency
        detector = attempt.endpoint.outlier_detector
        detector.record_outcome(max(now - attempt.started_at, 2 * mean_latency), now)
        if outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            detector.eject(mean_latency)  # it is down, whatever the endpoint list says

    def probe(self) -> None:
        """Ask a random endpoint for its load, as often as keeps a pool of reports recent."""
        if self.endpoints.ready and self.context.now >= self.next_probe_at:
            self.next_probe_at = self.context.now + REPORT_LIFETIME_SECONDS / PROBE_POOL_SIZE
            endpoint = self.context.random.choice(self.endpoints.ready)
            self.context.actions.append(Probe(endpoint.record.endpoint_id))
