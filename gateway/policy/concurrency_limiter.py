"""Limits the attempts in flight: by AIMD on late responses, and by load shedding on load reports."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gateway.policy.context import LATENCY_TARGET_FRACTION, LATENCY_WEIGHT, REPORT_WEIGHT, Context
from gateway.policy.moving_average import MovingAverage
from gateway.policy.outlier_detector import INITIAL_LATENCY_SECONDS, OUTLIER_FACTOR

if TYPE_CHECKING:
    from gateway.policy.endpoints import EndpointTable
    from gateway.policy.load_report import LoadReport

INITIAL_LIMIT = 12.0  # attempts in flight from all gateways at an average endpoint
MIN_LIMIT = 4.0  # attempts, as above; a lower limit would leave cores of the endpoints idle
HEADROOM_DEVIATIONS = 0.7  # standard deviations above the total limit, as a gateway's load varies
BACKOFF_FACTOR = 0.85  # multiplies the limit when too many responses are late
BINDING_MARGIN_ATTEMPTS = 2  # the limit counts as binding, and may rise, this many attempts below it
MAX_LATE_RATIO = 0.3  # lowers the limit if reached; one slow endpoint or costly request does not reach it
MEAN_LATENCY_WEIGHT = LATENCY_WEIGHT / 4  # of the newest response in an average over all endpoints
LATE_WEIGHT = LATENCY_WEIGHT / 2  # of the newest outcome in the late ratio
INITIAL_LOAD = 1.0  # the `estimated_load` of an endpoint that has responded, until load reports arrive


class ConcurrencyLimiter:
    """Adapts one concurrency limit for all endpoints, and computes the moving averages of latency and load.

    Attributes:
        concurrency_limit: Attempts that this gateway may have in flight at an average endpoint.
        latency_target: Expected latency in seconds above which attempts are shed.
        lateness: Moving average with the sample 1 for an outcome that was late or a failure, else 0.
        lowered_at: Unix time at which the limit was last lowered, in seconds.
        latency: Moving average of the latency of responses, in seconds.
        class_latency: The latency average of each class, by class index, as the work differs by class.
        reported_load: Moving average of the load in load reports.
        recent_latency: Like `latency`, in seconds, but with a higher weight of the newest response.
        recent_load: Moving average of the responding endpoints' `estimated_load`, with the same weight.
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
        """Recent fraction of the outcomes that were late or failures."""
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
        """Return whether an attempt may start; hung attempts do not count towards the limit.

        Under a high reported load, each gateway sheds attempts at random, as gateways do not coordinate this.
        """
        if self.context.random.random() > 2 - self.utilization():
            return False
        total_limit = self.concurrency_limit * len(self.endpoints.ready)
        limit = total_limit + HEADROOM_DEVIATIONS * math.sqrt(total_limit)
        hung_before = self.context.now - OUTLIER_FACTOR * self.mean_latency
        hung_attempts = self.endpoints.count_hung_attempts(hung_before)
        return self.endpoints.attempts_in_flight - hung_attempts < limit

    def record_outcome(self, *, late: bool, typical: bool) -> None:
        """Adapt the limit to an outcome; one that is not typical is left out of the late ratio.

        The outcomes of an outlier, for example, are not typical of the other endpoints.
        """
        if typical:
            self.lateness.record(1.0 if late else 0.0)
        if self.late_ratio >= MAX_LATE_RATIO:
            self._lower_limit()
        elif not late:
            self._raise_limit()

    def _raise_limit(self) -> None:
        """Raise the limit if it binds.

        Once each gateway has recorded as many responses as it may have attempts in flight, the
        limits of all gateways together have risen by one attempt per endpoint.
        """
        ready_count = len(self.endpoints.ready)
        total_limit = self.concurrency_limit * ready_count
        if self.endpoints.attempts_in_flight + BINDING_MARGIN_ATTEMPTS >= total_limit:
            step = 1 / (self.concurrency_limit * max(1, ready_count))
            self.concurrency_limit += step / self.context.gateway_count

    def _lower_limit(self) -> None:
        """Lower the limit, at most once per mean latency."""
        now = self.context.now
        if now - self.lowered_at > self.mean_latency:
            self.lowered_at = now
            min_limit = MIN_LIMIT / self.context.gateway_count
            self.concurrency_limit = max(min_limit, self.concurrency_limit * BACKOFF_FACTOR)

    def record_load_report(self, load_report: LoadReport, values: tuple[float, ...]) -> None:
        """Record the values of a load report; without any, the endpoint counts as busier than the mean."""
        by_column = dict(zip(self.context.settings.report_columns, values, strict=False))
        if by_column:
            load = by_column.get("inflight", by_column.get("queue", 0.0) + by_column.get("util", 0.0))
            self.reported_load.record(load)
        else:
            load = self.mean_load + 1
        load_report.record(load, self.context.now)

    def record_response(self, load_report: LoadReport, class_index: int, latency: float) -> None:
        """Record the latency in seconds of a successful response, and the load of its endpoint."""
        self.recent_latency.record(latency)
        self.recent_load.record(self.estimated_load(load_report))
        self.latency.record(latency)
        self.class_latency[class_index].record(latency)

    def estimated_load(self, load_report: LoadReport) -> float:
        """Return 1 plus an endpoint's load: the reported load, or the mean load if the report is too old."""
        return 1 + load_report.estimate(self.context.now, self.mean_load)

    def utilization(self) -> float:
        """Return the expected latency at the mean reported load, as a fraction of the latency target.

        Returns 0 if load reports do not count requests in flight: a queue length does not predict latency.
        """
        if "inflight" not in self.context.settings.report_columns:
            return 0.0
        return self.recent_latency.value / self.recent_load.value * (1 + self.mean_load) / self.latency_target
