"""Which endpoint an attempt goes to: least expected latency, avoiding outliers; probes for load reports."""

import math

from gateway.policy.actions import Probe
from gateway.policy.concurrency_limiter import OUTLIER_FACTOR, REPORT_LIFETIME_SECONDS, ConcurrencyLimiter
from gateway.policy.context import DECAY_SECONDS, LATENCY_WEIGHT, REPORT_WEIGHT, TARGET_FRACTION, Context
from gateway.policy.endpoints import Attempt, Endpoint, EndpointTable
from gateway.policy.events import AttemptFinished, Outcome
from gateway.policy.pending_request import PendingRequest
from gateway.policy.slow_start import SlowStart

MAX_CANDIDATES = 12  # endpoints compared for an attempt
EJECTION_FACTOR = 8.0  # on the mean latency, for a failed connection; on the load, for a silent class
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
            queued = in_flight + 1 + REPORT_WEIGHT * self.limiter.estimated_load(endpoint)
            if now - endpoint.silent_classes.get(class_index, -math.inf) < 2 * DECAY_SECONDS:
                queued *= EJECTION_FACTOR
            score = expected * queued * (1 + random.random() / 20)
            if score < best_score:
                best, best_score = endpoint, score
        return best

    def expected_latency(self, endpoint: Endpoint, capacity_fraction: float) -> float:
        """At least as long as an endpoint has been silent; an outlier's latency fades to the mean."""
        now, mean = self.context.now, self.limiter.mean_latency
        oldest = next(iter(endpoint.in_flight.values()), now)
        fade = math.exp((endpoint.last_outcome_at - now) / DECAY_SECONDS)
        latency = min(endpoint.latency, mean + max(0.0, endpoint.latency - mean) * fade)
        return max(latency, now - max(oldest, endpoint.last_response_at)) / capacity_fraction

    def record_result(self, attempt: Attempt, event: AttemptFinished, pending: PendingRequest | None) -> None:
        """Keep what an attempt's outcome says of its endpoint, and of the load of all."""
        if event.outcome in (Outcome.CANCELLED, Outcome.NOT_STARTED):
            return
        endpoint, now, limiter = attempt.endpoint, self.context.now, self.limiter
        latency, late, endpoint.last_outcome_at = now - attempt.started_at, False, now
        if event.load_report:
            limiter.record_load_report(endpoint, event.load_report)
        if event.outcome is not Outcome.OK:
            latency, late = max(latency, 2 * limiter.mean_latency), True
        elif pending:
            class_index = pending.request.class_index
            endpoint.silent_classes.pop(class_index, None)
            endpoint.last_response_at = endpoint.last_response_by_class[class_index] = now
            limiter.record_response(endpoint, class_index, latency)
            late = latency > TARGET_FRACTION * pending.request_class.latency_objective
        endpoint.latency += LATENCY_WEIGHT * (latency - endpoint.latency)
        if event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            # It is down, whatever the list says: avoided at once, tried again as this fades.
            endpoint.latency = max(endpoint.latency, EJECTION_FACTOR * limiter.mean_latency)
        healthy = endpoint.latency < OUTLIER_FACTOR * limiter.mean_latency
        limiter.record_outcome(late=late, typical=healthy and event.outcome is not Outcome.CONNECT_FAILED)

    def probe(self) -> None:
        """Ask a random endpoint for its load, as often as keeps a pool of reports recent."""
        if self.endpoints.ready and self.context.now >= self.next_probe_at:
            self.next_probe_at = self.context.now + REPORT_LIFETIME_SECONDS / PROBE_POOL_SIZE
            endpoint = self.context.random.choice(self.endpoints.ready)
            self.context.actions.append(Probe(endpoint.record.endpoint_id))
