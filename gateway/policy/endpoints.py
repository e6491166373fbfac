"""The table of all endpoints, the ready endpoints in ring order, and the gateway's subset of these."""

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

SUBSET_LIFETIME_SECONDS = DECAY_SECONDS / 4  # of a subset with endpoints that are warming up
RING_ORDER = attrgetter("ring_hash")

AttemptKey = tuple[int, int]  # request id, attempt number


@dataclass(slots=True, eq=False)
class Endpoint:
    """An endpoint of the endpoint list, and this gateway's attempts at it and measurements of it.

    Attributes:
        record: The endpoint's newest record in the endpoint list.
        ring_hash: Hash of the endpoint's id; it orders the endpoints alike at every gateway.
        state: The state in the newest record, or GONE if a later snapshot does not list the endpoint.
        in_flight: Unix times in seconds at which the attempts in flight started, by key; oldest first.
        outlier_detector: Tracks whether the endpoint is slow, failing or unresponsive.
        load_report: The load that the endpoint reported last.
        slow_start_budget: The attempts that this gateway may start at the endpoint while it warms up.
    """

    record: EndpointRecord
    ring_hash: int
    state: EndpointState = EndpointState.GONE
    in_flight: dict[AttemptKey, float] = field(default_factory=dict)
    outlier_detector: OutlierDetector = field(default_factory=OutlierDetector)
    load_report: LoadReport = field(default_factory=LoadReport)
    slow_start_budget: SlowStartBudget = field(default_factory=SlowStartBudget)

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint list allows new attempts at the endpoint."""
        return self.state is EndpointState.READY

    @property
    def is_removable(self) -> bool:
        """Whether the endpoint is gone from the endpoint list and has no attempt in flight."""
        return self.state is EndpointState.GONE and not self.in_flight

    def update_record(self, record: EndpointRecord) -> None:
        """Replace the record, but not the state."""
        self.record = record

    def update_state(self, state: EndpointState) -> None:
        """Replace the state."""
        self.state = state

    def start_attempt(self, key: AttemptKey, now: float) -> None:
        """Add an attempt in flight."""
        self.in_flight[key] = now

    def finish_attempt(self, key: AttemptKey) -> float | None:
        """Remove an attempt; return the Unix time of its start, or None if it is not in flight here."""
        return self.in_flight.pop(key, None)


@dataclass(slots=True)
class Attempt:
    """An attempt at an endpoint.

    Attributes:
        endpoint: The endpoint that the attempt was sent to.
        started_at: Unix time at which the attempt started, in seconds.
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
        self.subset: list[Endpoint] = []  # the ready endpoints that this gateway prefers, in ring order
        self.subset_ids: frozenset[int] = frozenset()
        self.subset_expires_at = math.inf
        self.attempts_in_flight = 0  # at ready endpoints
        self.attempts: dict[AttemptKey, Attempt] = {}  # all attempts in flight, oldest first

    def apply_update(self, update: EndpointUpdate, initial_latency: float) -> None:
        """Apply an update of the endpoint list.

        Args:
            update: The update.
            initial_latency: Latency in seconds to assume for endpoints that have started or restarted.
        """
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
        self.ready = sorted(ready, key=RING_ORDER)  # one sort costs less than an insertion per endpoint
        for endpoint in list(self.by_id.values()):
            self._remove_if_gone(endpoint)

    def _apply_delta(self, records: tuple[EndpointRecord, ...], initial_latency: float) -> None:
        """Apply the records of endpoints that have changed, without a walk over the whole table."""
        for record in records:
            existing = self.by_id.get(record.endpoint_id)
            was_ready = existing is not None and existing.is_ready
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
            self.attempts_in_flight += len(endpoint.in_flight)
        elif was_ready and not endpoint.is_ready:
            self.attempts_in_flight -= len(endpoint.in_flight)

    def _remove_from_ready(self, endpoint: Endpoint) -> None:
        index = bisect.bisect_left(self.ready, endpoint.ring_hash, key=RING_ORDER)
        if index < len(self.ready) and self.ready[index] is endpoint:
            del self.ready[index]

    def _remove_if_gone(self, endpoint: Endpoint) -> None:
        if endpoint.is_removable:
            del self.by_id[endpoint.record.endpoint_id]  # endpoint ids are never reused

    def update_subset(self) -> None:
        """Choose the subset.

        A subset with warming endpoints expires: as they become warm, they count towards its size.
        """
        index = self.context.settings.gateway_index
        positions = choose_subset(len(self.ready), self._is_warm, index, self.context.gateway_count)
        all_warm = all(self._is_warm(position) for position in positions)
        self.subset = [self.ready[position] for position in sorted(positions)]
        self.subset_ids = frozenset(endpoint.record.endpoint_id for endpoint in self.subset)
        self.subset_expires_at = math.inf if all_warm else self.context.now + SUBSET_LIFETIME_SECONDS

    def _is_warm(self, position: int) -> bool:
        return self.slow_start.capacity_fraction(self.ready[position].record.started_at) >= 1

    def start_attempt(self, endpoint: Endpoint, key: AttemptKey) -> Attempt:
        """Record the start of an attempt at a ready endpoint."""
        now = self.context.now
        attempt = Attempt(endpoint, now)
        endpoint.start_attempt(key, now)
        self.attempts[key] = attempt
        self.attempts_in_flight += 1
        return attempt

    def count_hung_attempts(self, started_before: float) -> int:
        """Return how many of `attempts_in_flight` started before a Unix time in seconds."""
        count = 0
        for attempt in self.attempts.values():
            if attempt.started_at >= started_before:
                break
            count += attempt.endpoint.is_ready
        return count

    def finish_attempt(self, endpoint_id: int, key: AttemptKey) -> Attempt | None:
        """Record the end of an attempt and return it, or None if it is not in flight at this endpoint."""
        self.attempts.pop(key, None)
        endpoint = self.by_id.get(endpoint_id)
        if endpoint is None:
            return None
        started_at = endpoint.finish_attempt(key)
        if started_at is None:
            return None
        if endpoint.is_ready:
            self.attempts_in_flight -= 1
        self._remove_if_gone(endpoint)
        return Attempt(endpoint, started_at)
