"""How many attempts may be in flight: an AIMD limit on late responses, and load shedding by load reports."""

from __future__ import annotations

import math
from itertools import takewhile
from typing import TYPE_CHECKING

from gateway.policy.context import LATENCY_TARGET_FRACTION, LATENCY_WEIGHT, REPORT_WEIGHT, Context
from gateway.policy.moving_average import MovingAverage
from gateway.policy.outlier_detector import INITIAL_LATENCY_SECONDS, OUTLIER_FACTOR

if TYPE_CHECKING:
    from gateway.policy.endpoints import EndpointTable
    from gateway.policy.load_report import LoadReport

INITIAL_LIMIT = 12.0  # attempts in flight at a mean endpoint, of all gateways
MIN_LIMIT = 4.0  # of the same: an idle core serves nobody
HEADROOM_DEVIATIONS = 0.7  # standard deviations of headroom above the mean: a gateway's load comes unevenly
BACKOFF_FACTOR = 0.85  # on the limit when responses are late
BINDING_MARGIN_ATTEMPTS = 2  # below the limit within which it binds, and may rise
MAX_LATE_RATIO = 0.3  # of responses: more than one slow endpoint or costly request brings about
MEAN_LATENCY_WEIGHT = LATENCY_WEIGHT / 4  # of the newest response in a mean of all endpoints
LATE_WEIGHT = LATENCY_WEIGHT / 2  # of the newest outcome in the ratio of late responses
INITIAL_LOAD = 1.0  # of an endpoint that has responded, until load reports come


class ConcurrencyLimiter:
    """One limit for all endpoints, and the moving averages of latency and load that it rests on.

    Attributes:
        concurrency_limit: Attempts that this gateway may have in flight at a mean endpoint.
        latency_target: Latency in seconds that load shedding aims at.
        lateness: 1 for each outcome that was late or a failure, 0 for the others.
        lowered_at: Unix time at which the limit was last lowered, in seconds.
        latency: Mean latency of responses, in seconds.
        class_latency: The same by class index, as the work differs by class.
        reported_load: Mean load of the endpoints that report.
        recent_latency: Latency of recent responses, in seconds.
        recent_load: Load of the endpoints that recent responses came from.
    """

    def __init__(self, context: Context, endpoints: EndpointTable) -> None:
        classes = context.settings.classes
        objectives = (request_class.latency_objective for request_class in classes)
        self.context = context
        self.endpoints = endpoints
        self.concurrency_limit = INITIAL_LIMIT / context.gateway_count
        self.latency_target = LATENCY_TARGET_FRACTION * min(objectives, default=1.0)
        self.lateness = MovingAverage(0.0, LATE_WEIGHT)
        self.lowered_at = 0.0
        self.latency = MovingAverage(INITIAL_LATENCY_SECONDS, MEAN_LATENCY_WEIGHT)
        self.class_latency = [MovingAverage(INITIAL_LATENCY_SECONDS, MEAN_LATENCY_WEIGHT) for _ in classes]
        self.reported_load = MovingAverage(0.0, REPORT_WEIGHT)
        self.recent_latency = MovingAverage(INITIAL_LATENCY_SECONDS, LATENCY_WEIGHT)
        self.recent_load = MovingAverage(INITIAL_LOAD, LATENCY_WEIGHT)

    @property
    def late_ratio(self) -> float:
        """Fraction of the outcomes that were late or failures."""
        return self.lateness.value

    @property
    def mean_latency(self) -> float:
        """Mean latency of responses, in seconds."""
        return self.latency.value

    @property
    def mean_load(self) -> float:
        """Mean load of the endpoints that report."""
        return self.reported_load.value

    def has_capacity(self) -> bool:
        """Return whether an attempt may start; those that hang do not count.

        Under a high reported load each gateway sheds its part by chance, as it does not know of the others.
        """
        if self.context.random.random() > 2 - self.utilization():
            return False
        mean_limit = self.concurrency_limit * len(self.endpoints.ready)
        limit = mean_limit + HEADROOM_DEVIATIONS * math.sqrt(mean_limit)
        return self.endpoints.in_flight - self._count_hung_attempts() < limit

    def _count_hung_attempts(self) -> int:
        started_before = self.context.now - OUTLIER_FACTOR * self.mean_latency
        hanging = takewhile(started_before.__gt__, self.endpoints.started_at.values())  # oldest first
        return len(list(hanging))

    def record_outcome(self, *, late: bool, typical: bool) -> None:
        """Adapt the limit to an outcome; that of an outlier is not typical of the other endpoints."""
        if typical:
            self.lateness.record(1.0 if late else 0.0)
        if self.late_ratio >= MAX_LATE_RATIO:
            self._lower_limit()
        elif not late:
            self._raise_limit()

    def _raise_limit(self) -> None:
        """Raise the limit if it binds: by one attempt of all gateways when as many responses have come."""
        ready_count = len(self.endpoints.ready)
        if self.endpoints.in_flight + BINDING_MARGIN_ATTEMPTS >= self.concurrency_limit * ready_count:
            step = 1 / (self.concurrency_limit * max(1, ready_count))
            self.concurrency_limit += step / self.context.gateway_count

    def _lower_limit(self) -> None:
        """Lower the limit, once in a mean latency."""
        now = self.context.now
        if now - self.lowered_at > self.mean_latency:
            self.lowered_at = now
            lowest = MIN_LIMIT / self.context.gateway_count
            self.concurrency_limit = max(lowest, self.concurrency_limit * BACKOFF_FACTOR)

    def record_load_report(self, load_report: LoadReport, columns: tuple[float, ...]) -> None:
        """Record a load report; an empty one, where others come, means that the endpoint is busy."""
        values = dict(zip(self.context.settings.report_columns, columns, strict=False))
        if values:
            load = values.get("inflight", values.get("queue", 0.0) + values.get("util", 0.0))
            self.reported_load.record(load)
        else:
            load = self.mean_load + 1
        load_report.record(load, self.context.now)

    def record_response(self, load_report: LoadReport, class_index: int, latency: float) -> None:
        """Record a successful response, its latency in seconds, and the load of its endpoint."""
        self.recent_latency.record(latency)
        self.recent_load.record(self.estimated_load(load_report))
        self.latency.record(latency)
        self.class_latency[class_index].record(latency)

    def estimated_load(self, load_report: LoadReport) -> float:
        """Return 1 plus the load of an endpoint, by its report or, where that is old, the mean load."""
        return 1 + load_report.estimate(self.context.now, self.mean_load)

    def utilization(self) -> float:
        """Return the latency to expect at the reported load, as a fraction of the target."""
        if "inflight" not in self.context.settings.report_columns:
            return 0.0  # latency does not follow from a queue length alone
        return self.recent_latency.value / self.recent_load.value * (1 + self.mean_load) / self.latency_target
