"""Scores the endpoints for an attempt, by their expected latency and load; the lowest score is the best."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gateway.policy.context import REPORT_WEIGHT
from gateway.policy.outlier_detector import EJECTION_FACTOR

if TYPE_CHECKING:
    from collections.abc import Callable

    from gateway.policy.endpoints import Endpoint
    from gateway.policy.slow_start import SlowStart

JITTER_DIVISOR = 20  # random jitter of up to 1 / 20 of a score keeps gateways from all choosing alike


@dataclass(slots=True, eq=False)
class EndpointScorer:
    """Scores the candidate endpoints for one attempt, with the inputs that all candidates share.

    Attributes:
        now: Unix time in seconds.
        random: Returns a random number from 0 to 1.
        slow_start: Tells which candidates are warming up, and whether their budgets allow an attempt.
        class_index: Index of the request's class.
        excluded_ids: Ids of the endpoints that the request's latest attempts were sent to.
        max_in_flight: Attempts that this gateway may have in flight at a fast endpoint.
        mean_latency: Mean latency of all endpoints, in seconds.
        fast_latency: Latency up to which an endpoint counts as fast, in seconds.
        mean_load: Mean load of the endpoints that report.
        subset_size: Number of endpoints in the gateway's subset.
        ready_count: Number of ready endpoints.
    """

    now: float
    random: Callable[[], float]
    slow_start: SlowStart
    class_index: int
    excluded_ids: list[int]
    max_in_flight: float
    mean_latency: float
    fast_latency: float
    mean_load: float
    subset_size: int
    ready_count: int

    def score(self, endpoint: Endpoint) -> float:
        """Return the expected latency in seconds times the expected load, or infinity if not eligible."""
        capacity_fraction = self.slow_start.capacity_fraction(endpoint.record.started_at)
        started_at = endpoint.in_flight.values()
        latency = endpoint.outlier_detector.expected_latency(self.now, self.mean_latency, started_at)
        latency /= capacity_fraction
        if not self._is_eligible(endpoint, latency, capacity_fraction):
            return math.inf
        return latency * self._expected_load(endpoint) * (1 + self.random() / JITTER_DIVISOR)

    def _is_eligible(self, endpoint: Endpoint, latency: float, capacity_fraction: float) -> bool:
        """Return whether an endpoint has capacity and is not excluded for this request."""
        in_flight = len(endpoint.in_flight)
        if in_flight and in_flight >= self._in_flight_limit(latency):
            return False
        if endpoint.record.endpoint_id in self.excluded_ids:
            return False
        if capacity_fraction >= 1:
            return True
        budget = endpoint.slow_start_budget
        return self.slow_start.allows_attempt(budget, capacity_fraction, self.subset_size, self.ready_count)

    def _in_flight_limit(self, latency: float) -> float:
        """Return the attempts that this gateway may have in flight at an endpoint with the given latency."""
        if latency <= self.fast_latency:
            return self.max_in_flight
        return self.max_in_flight * (self.fast_latency / latency)

    def _expected_load(self, endpoint: Endpoint) -> float:
        """Return an endpoint's load: this gateway's attempts with the new one, and the weighted load report.

        The load of an endpoint that is unresponsive to the request's class is multiplied.
        """
        reported = 1 + endpoint.load_report.estimate(self.now, self.mean_load)
        load = len(endpoint.in_flight) + 1 + REPORT_WEIGHT * reported
        detector = endpoint.outlier_detector
        if detector.unresponsive_classes and detector.is_unresponsive(self.class_index, self.now):
            load *= EJECTION_FACTOR
        return load
