"""Chooses an endpoint for each attempt, records the outcomes of attempts, and probes for load reports."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gateway.policy.actions import Probe
from gateway.policy.context import LATENCY_TARGET_FRACTION, Context
from gateway.policy.endpoint_scorer import EndpointScorer
from gateway.policy.events import AttemptFinished, Outcome
from gateway.policy.load_report import REPORT_LIFETIME_SECONDS

if TYPE_CHECKING:
    from gateway.policy.concurrency_limiter import ConcurrencyLimiter
    from gateway.policy.endpoints import Attempt, Endpoint, EndpointTable
    from gateway.policy.pending_request import PendingRequest
    from gateway.policy.slow_start import SlowStart

MAX_CANDIDATES = 12  # endpoints compared for an attempt
SUBSET_LIMIT_FACTOR = 2  # one endpoint may have this multiple of its even share of the attempts in flight
FAST_LATENCY_FACTOR = 1.5  # up to this multiple of the mean latency, an endpoint gets its full limit
EXCLUDED_ATTEMPTS = 2  # a request's next attempt avoids the endpoints of this many attempts before it
FAILED_LATENCY_FACTOR = 2  # a failed attempt counts with at least this multiple of the mean latency
PROBE_POOL_SIZE = 8  # recent load reports that probes maintain, where responses carry none
PROBE_PERIOD_SECONDS = REPORT_LIFETIME_SECONDS / PROBE_POOL_SIZE
LOAD_COLUMNS = frozenset({"inflight", "queue", "util"})  # a report without any of them states no load


class LoadBalancer:
    """Chooses the endpoint with the best score, and records the outcomes of attempts."""

    def __init__(
        self, context: Context, endpoints: EndpointTable, slow_start: SlowStart, limiter: ConcurrencyLimiter
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.slow_start = slow_start
        self.limiter = limiter
        settings = context.settings
        reports_load = not LOAD_COLUMNS.isdisjoint(settings.report_columns)
        probes_are_useful = settings.report_mode == "pull" and reports_load
        self.next_probe_at = 0.0 if probes_are_useful and settings.limits.may_probe else math.inf

    def choose(self, pending: PendingRequest, allowed: list[Endpoint]) -> Endpoint | None:
        """Return the best allowed endpoint, from the subset if possible.

        Returns None if the limiter allows no attempt, or if no allowed endpoint is eligible.
        """
        if not self.limiter.has_capacity():
            return None
        endpoints = self.endpoints
        if len(endpoints.subset) >= len(endpoints.ready):
            return self.best_of(pending, allowed)
        if self.context.now >= endpoints.subset_expires_at:
            endpoints.update_subset()
        best = self.best_of(pending, self._in_subset(allowed))
        if best is None:  # a walk through all endpoints is slow in a large table, so it is the last resort
            best = self.best_of(pending, self._warm_outside_subset(allowed))
        return best

    def _in_subset(self, allowed: list[Endpoint]) -> list[Endpoint]:
        if allowed is self.endpoints.ready:
            return self.endpoints.subset
        subset_ids = self.endpoints.subset_ids
        return [endpoint for endpoint in allowed if endpoint.record.endpoint_id in subset_ids]

    def _warm_outside_subset(self, allowed: list[Endpoint]) -> list[Endpoint]:
        """Return the allowed endpoints outside the subset, without those that are warming up.

        Endpoints that are warming up are in the subsets of enough other gateways.
        """
        subset_ids = self.endpoints.subset_ids
        capacity_fraction = self.slow_start.capacity_fraction
        return [
            endpoint
            for endpoint in allowed
            if endpoint.record.endpoint_id not in subset_ids
            and capacity_fraction(endpoint.record.started_at) >= 1
        ]

    def best_of(self, pending: PendingRequest, candidates: list[Endpoint]) -> Endpoint | None:
        """Return the candidate with the lowest score, from a random sample if there are many.

        Returns None if no candidate is eligible.
        """
        if len(candidates) > MAX_CANDIDATES:
            candidates = self.context.random.sample(candidates, MAX_CANDIDATES)
        scorer = self._scorer_for(pending)
        best = None
        best_score = math.inf
        for endpoint in candidates:
            score = scorer.score(endpoint)
            if score < best_score:
                best = endpoint
                best_score = score
        return best

    def _scorer_for(self, pending: PendingRequest) -> EndpointScorer:
        subset_size = len(self.endpoints.subset)
        ready_count = len(self.endpoints.ready)
        mean_latency = self.limiter.mean_latency
        endpoint_limit = SUBSET_LIMIT_FACTOR * self.limiter.concurrency_limit
        return EndpointScorer(
            now=self.context.now,
            random=self.context.random.random,
            slow_start=self.slow_start,
            class_index=pending.request.class_index,
            excluded_ids=pending.tried_endpoints[-EXCLUDED_ATTEMPTS:],
            max_in_flight=endpoint_limit * ready_count / max(1, subset_size),
            mean_latency=mean_latency,
            fast_latency=FAST_LATENCY_FACTOR * mean_latency,
            mean_load=self.limiter.mean_load,
            subset_size=subset_size,
            ready_count=ready_count,
        )

    def record_result(self, attempt: Attempt, event: AttemptFinished, pending: PendingRequest | None) -> None:
        """Update the endpoint's load report and outlier detector, and the limiter, from an outcome."""
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
        """Record a successful response; return whether it was late.

        A response to a request that is no longer pending counts as in time, as its class is unknown.
        """
        now = self.context.now
        latency = now - attempt.started_at
        detector = attempt.endpoint.outlier_detector
        late = False
        if pending:
            class_index = pending.request.class_index
            detector.record_response(class_index, now)
            self.limiter.record_response(attempt.endpoint.load_report, class_index, latency)
            late = latency > LATENCY_TARGET_FRACTION * pending.request_class.latency_objective
        detector.record_outcome(latency, now)
        return late

    def _record_failure(self, attempt: Attempt, outcome: Outcome) -> None:
        now = self.context.now
        mean_latency = self.limiter.mean_latency
        latency = max(now - attempt.started_at, FAILED_LATENCY_FACTOR * mean_latency)
        detector = attempt.endpoint.outlier_detector
        detector.record_outcome(latency, now)
        if outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            detector.eject(mean_latency)  # the endpoint is down, even if the endpoint list says it is ready

    def probe_if_due(self) -> None:
        """Probe a random endpoint for its load report, if a probe period has passed since the last probe."""
        now = self.context.now
        ready = self.endpoints.ready
        if not ready or now < self.next_probe_at:
            return
        self.next_probe_at = now + PROBE_PERIOD_SECONDS
        endpoint = self.context.random.choice(ready)
        self.context.actions.append(Probe(endpoint.record.endpoint_id))
