"""How many attempts may be in flight: an AIMD limit on late responses, and load shedding by load reports."""

import math
from itertools import takewhile

from gateway.policy.context import LATENCY_WEIGHT, REPORT_WEIGHT, TARGET_FRACTION, Context
from gateway.policy.endpoints import EndpointTable
from gateway.policy.load_report import LoadReport
from gateway.policy.outlier_detector import INITIAL_LATENCY_SECONDS, OUTLIER_FACTOR

INITIAL_LIMIT = 12.0  # attempts in flight at a mean endpoint, of all gateways
MIN_LIMIT = 4.0  # of the same: an idle core serves nobody
DEVIATIONS = 0.7  # standard deviations of headroom above the mean: a gateway's load comes unevenly
BACKOFF_FACTOR = 0.85  # on the limit when responses are late
MAX_LATE_RATIO = 0.3  # of responses: more than one slow endpoint or costly request brings about


class ConcurrencyLimiter:
    """One limit for all endpoints, and the moving averages of latency and load that it rests on."""

    def __init__(self, context: Context, endpoints: EndpointTable) -> None:
        self.context, self.endpoints, classes = context, endpoints, context.settings.classes
        self.concurrency_limit = INITIAL_LIMIT / context.gateway_count  # of this gateway at a mean endpoint
        self.latency_target = TARGET_FRACTION * min((c.latency_objective for c in classes), default=1.0)
        self.late_ratio, self.lowered_at, self.mean_latency = 0.0, 0.0, INITIAL_LATENCY_SECONDS
        self.class_latency = [INITIAL_LATENCY_SECONDS for _ in classes]  # the work differs by class
        self.mean_load = 0.0  # as reported; below, of recent responses: latency, and the endpoint's load
        self.loaded_latency, self.observed_load = INITIAL_LATENCY_SECONDS, 1.0

    def has_capacity(self) -> bool:
        """Whether an attempt may start.  Those that hang do not count."""
        if self.context.random.random() > 2 - self.utilization():
            return False  # each gateway sheds its part by chance: what it sends alone says nothing
        mean = self.concurrency_limit * len(self.endpoints.ready)
        silent_since = self.context.now - OUTLIER_FACTOR * self.mean_latency
        silent = len([*takewhile(silent_since.__gt__, self.endpoints.started_at.values())])
        return self.endpoints.in_flight - silent < mean + DEVIATIONS * math.sqrt(mean)

    def record_outcome(self, *, late: bool, typical: bool) -> None:
        """Adapt the limit; an outlier's outcomes are not typical and say nothing of the others."""
        if typical:
            self.late_ratio += LATENCY_WEIGHT / 2 * (late - self.late_ratio)
        ready_count, gateway_count = len(self.endpoints.ready), self.context.gateway_count
        if self.late_ratio < MAX_LATE_RATIO:
            if not late and self.endpoints.in_flight + 2 >= self.concurrency_limit * ready_count:
                self.concurrency_limit += 1 / (self.concurrency_limit * max(1, ready_count)) / gateway_count
        elif self.context.now - self.lowered_at > self.mean_latency:
            self.lowered_at = self.context.now
            self.concurrency_limit = max(MIN_LIMIT / gateway_count, self.concurrency_limit * BACKOFF_FACTOR)

    def record_load_report(self, load_report: LoadReport, report: tuple[float, ...]) -> None:
        """Keep a load report.  A missing one where others come means busy, not idle."""
        values = dict(zip(self.context.settings.report_columns, report, strict=False))
        load = values.get("inflight", values.get("queue", 0.0) + values.get("util", 0.0))
        if not values:
            load = self.mean_load + 1
        self.mean_load += REPORT_WEIGHT * (load - self.mean_load) if values else 0.0
        load_report.record(load, self.context.now)

    def record_response(self, load_report: LoadReport, class_index: int, latency: float) -> None:
        """Keep the latency of a successful attempt."""
        self.loaded_latency += LATENCY_WEIGHT * (latency - self.loaded_latency)
        self.observed_load += LATENCY_WEIGHT * (self.estimated_load(load_report) - self.observed_load)
        self.mean_latency += LATENCY_WEIGHT / 4 * (latency - self.mean_latency)
        self.class_latency[class_index] += LATENCY_WEIGHT / 4 * (latency - self.class_latency[class_index])

    def estimated_load(self, load_report: LoadReport) -> float:
        """Return 1 plus the load of an endpoint, by its report or, where that is old, the mean load."""
        return 1 + load_report.estimate(self.context.now, self.mean_load)

    def utilization(self) -> float:
        """The latency to expect at the reported load, over the target."""
        if "inflight" not in self.context.settings.report_columns:
            return 0.0  # latency does not follow from a queue length alone
        return self.loaded_latency / self.observed_load * (1 + self.mean_load) / self.latency_target
