"""The table of endpoints, those that are ready in ring order, and the gateway's subset of them."""

from __future__ import annotations

import bisect
import math
from dataclasses import dataclass, field
from operator import attrgetter

from gateway.policy.context import DECAY_SECONDS, Context, stable_hash
from gateway.policy.events import EndpointRecord, EndpointState, EndpointUpdate, UpdateKind
from gateway.policy.load_report import LoadReport
from gateway.policy.outlier_detector import OutlierDetector
from gateway.policy.slow_start import SlowStart, SlowStartBudget
from gateway.policy.subsetting import choose_subset

SUBSET_LIFETIME_SECONDS = DECAY_SECONDS / 4  # of a subset with warming endpoints, which come on top
RING_ORDER = attrgetter("ring_position")

AttemptKey = tuple[int, int]  # request id, attempt number


@dataclass(slots=True, eq=False)
class Endpoint:
    """An endpoint as it is listed, and this gateway's attempts at it.

    Attributes:
        record: Its newest record in the endpoint list.
        ring_position: Its place among the endpoints, the same at every gateway.
        state: Its state in the endpoint list.
        in_flight: Unix time at which each attempt in flight started, in seconds; oldest first.
        outlier_detector: What the outcomes of its attempts say of it.
        load_report: The load that it has reported.
        slow_start_budget: The attempts that it may get while it warms up.
    """

    record: EndpointRecord
    ring_position: int
    state: EndpointState = EndpointState.GONE
    in_flight: dict[AttemptKey, float] = field(default_factory=dict)
    outlier_detector: OutlierDetector = field(default_factory=OutlierDetector)
    load_report: LoadReport = field(default_factory=LoadReport)
    slow_start_budget: SlowStartBudget = field(default_factory=SlowStartBudget)

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint list offers it for new attempts."""
        return self.state is EndpointState.READY

    @property
    def is_removable(self) -> bool:
        """Whether it is gone from the list and has no attempt in flight."""
        return self.state is EndpointState.GONE and not self.in_flight

    def update_record(self, record: EndpointRecord) -> None:
        """Replace its record, though not its state."""
        self.record = record

    def update_state(self, state: EndpointState) -> None:
        """Replace its state."""
        self.state = state

    def start_attempt(self, key: AttemptKey, now: float) -> None:
        """Add an attempt in flight."""
        self.in_flight[key] = now

    def finish_attempt(self, key: AttemptKey) -> float | None:
        """Remove an attempt and return when it started; None where it is not in flight here."""
        return self.in_flight.pop(key, None)


@dataclass(slots=True)
class Attempt:
    """An attempt at an endpoint.

    Attributes:
        endpoint: Where it went.
        started_at: Unix time of its start, in seconds.
    """

    endpoint: Endpoint
    started_at: float


class EndpointTable:
    """All endpoints that are listed or still have attempts in flight."""

    def __init__(self, context: Context, slow_start: SlowStart) -> None:
        self.context = context
        self.slow_start = slow_start
        self.by_id: dict[int, Endpoint] = {}
        self.ready: list[Endpoint] = []  # in ring order
        self.subset: list[Endpoint] = []  # of the ready ones, those that this gateway sends to
        self.subset_ids: frozenset[int] = frozenset()
        self.subset_expires_at = math.inf
        self.in_flight = 0  # attempts in flight at ready endpoints
        self.started_at: dict[AttemptKey, float] = {}  # of all attempts in flight, oldest first

    def apply_update(self, update: EndpointUpdate, initial_latency: float) -> None:
        """Apply an update of the endpoint list; endpoints that have started get the initial latency."""
        if update.kind in (UpdateKind.CACHED, UpdateKind.SNAPSHOT):
            self._apply_snapshot(update.records, initial_latency)
        else:
            self._apply_delta(update.records, initial_latency)
        self.update_subset()

    def _apply_snapshot(self, records: tuple[EndpointRecord, ...], initial_latency: float) -> None:
        listed_ids = {record.endpoint_id for record in records}
        for endpoint_id, endpoint in self.by_id.items():
            if endpoint_id not in listed_ids:
                self._update_state(endpoint, EndpointState.GONE)
        for record in records:
            self._apply_record(record, initial_latency)
        ready = [endpoint for endpoint in self.by_id.values() if endpoint.is_ready]
        self.ready = sorted(ready, key=RING_ORDER)  # cheaper than one insertion for each endpoint
        for endpoint in list(self.by_id.values()):
            self._remove_if_gone(endpoint)

    def _apply_delta(self, records: tuple[EndpointRecord, ...], initial_latency: float) -> None:
        """Apply the records of the endpoints that have changed, at a cost that follows from their number."""
        for record in records:
            known = self.by_id.get(record.endpoint_id)
            was_ready = known is not None and known.is_ready
            endpoint = self._apply_record(record, initial_latency)
            if endpoint.is_ready and not was_ready:
                bisect.insort(self.ready, endpoint, key=RING_ORDER)
            elif was_ready and not endpoint.is_ready:
                self._remove_from_ready(endpoint)
        for endpoint_id in {record.endpoint_id for record in records}:
            self._remove_if_gone(self.by_id[endpoint_id])

    def _apply_record(self, record: EndpointRecord, initial_latency: float) -> Endpoint:
        endpoint = self.by_id.get(record.endpoint_id)
        if endpoint is None:
            endpoint = Endpoint(record, stable_hash(record.endpoint_id))
            self.by_id[record.endpoint_id] = endpoint
        has_restarted = record.started_at > endpoint.record.started_at
        if has_restarted or not endpoint.slow_start_budget.is_initialized:
            endpoint.outlier_detector.reset(initial_latency, self.context.now)
            self.slow_start.reset_budget(endpoint.slow_start_budget)
        endpoint.update_record(record)
        self._update_state(endpoint, record.state)
        return endpoint

    def _update_state(self, endpoint: Endpoint, state: EndpointState) -> None:
        was_ready = endpoint.is_ready
        endpoint.update_state(state)
        if endpoint.is_ready and not was_ready:
            self.in_flight += len(endpoint.in_flight)
        elif was_ready and not endpoint.is_ready:
            self.in_flight -= len(endpoint.in_flight)

    def _remove_from_ready(self, endpoint: Endpoint) -> None:
        index = bisect.bisect_left(self.ready, endpoint.ring_position, key=RING_ORDER)
        if index < len(self.ready) and self.ready[index] is endpoint:
            del self.ready[index]

    def _remove_if_gone(self, endpoint: Endpoint) -> None:
        if endpoint.is_removable:
            del self.by_id[endpoint.record.endpoint_id]  # ids are never used again

    def update_subset(self) -> None:
        """Choose the subset; it expires where some of its endpoints are warming up."""
        index = self.context.settings.gateway_index
        positions = choose_subset(len(self.ready), self._is_warm, index, self.context.gateway_count)
        all_warm = all(self._is_warm(position) for position in positions)
        self.subset = [self.ready[position] for position in sorted(positions)]
        self.subset_ids = frozenset(endpoint.record.endpoint_id for endpoint in self.subset)
        self.subset_expires_at = math.inf if all_warm else self.context.now + SUBSET_LIFETIME_SECONDS

    def _is_warm(self, position: int) -> bool:
        return self.slow_start.capacity_fraction(self.ready[position].record.started_at) >= 1

    def start_attempt(self, endpoint: Endpoint, key: AttemptKey) -> Attempt:
        """Count an attempt at a ready endpoint."""
        now = self.context.now
        endpoint.start_attempt(key, now)
        self.started_at[key] = now
        self.in_flight += 1
        return Attempt(endpoint, now)

    def finish_attempt(self, endpoint_id: int, key: AttemptKey) -> Attempt | None:
        """Stop counting an attempt and return it; None where it is not in flight at this endpoint."""
        self.started_at.pop(key, None)
        endpoint = self.by_id.get(endpoint_id)
        if endpoint is None:
            return None
        started_at = endpoint.finish_attempt(key)
        if started_at is None:
            return None
        if endpoint.is_ready:
            self.in_flight -= 1
        self._remove_if_gone(endpoint)
        return Attempt(endpoint, started_at)
