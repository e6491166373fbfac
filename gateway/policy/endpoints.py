"""The table of endpoints, those that are ready in ring order, and the gateway's subset of them."""

import bisect
import math
from dataclasses import dataclass, field
from operator import attrgetter

from gateway.policy.context import DECAY_SECONDS, Context, stable_hash
from gateway.policy.events import EndpointRecord, EndpointState, EndpointUpdate, UpdateKind
from gateway.policy.slow_start import SlowStart
from gateway.policy.subsetting import choose_subset

INITIAL_LATENCY_SECONDS = 0.3  # assumed before the first response
RING_ORDER = attrgetter("ring_position")

AttemptKey = tuple[int, int]  # request id, attempt number


@dataclass(slots=True)
class Endpoint:
    """An endpoint: the table writes its listing, `SlowStart` its tokens, `LoadBalancer` the rest."""

    record: EndpointRecord
    in_flight: dict[AttemptKey, float]  # start of attempts, oldest first
    ring_position: int  # the same at every gateway
    state: EndpointState
    latency: float = INITIAL_LATENCY_SECONDS
    last_response_at: float = 0.0
    last_response_by_class: dict[int, float] = field(default_factory=dict)
    last_outcome_at: float = 0.0
    load: float = 0.0  # queued requests and utilization, as last reported
    load_reported_at: float = -math.inf
    silent_classes: dict[int, float] = field(default_factory=dict)  # classes left unanswered, and when
    slow_start_tokens: float = 0.0
    slow_start_tokens_at: float = 0.0


@dataclass(slots=True)
class Attempt:
    """An attempt at an endpoint."""

    endpoint: Endpoint
    started_at: float


class EndpointTable:
    """All endpoints that are listed or still have attempts in flight."""

    def __init__(self, context: Context, slow_start: SlowStart) -> None:
        self.context, self.slow_start = context, slow_start
        self.by_id: dict[int, Endpoint] = {}
        self.ready: list[Endpoint] = []  # in ring order
        self.subset: list[Endpoint] = []  # of the ready ones, those that this gateway sends to
        self.subset_expires_at, self.in_flight = math.inf, 0  # attempts in flight at ready endpoints
        self.started_at: dict[AttemptKey, float] = {}  # of all attempts in flight, oldest first

    def apply_update(self, update: EndpointUpdate, initial_latency: float) -> None:
        """Apply a change, at the cost of what it changes, or a whole list as a change of all."""
        whole = update.kind in (UpdateKind.CACHED, UpdateKind.SNAPSHOT)
        named = {record.endpoint_id for record in update.records}
        if whole:
            for unnamed in (e for endpoint_id, e in self.by_id.items() if endpoint_id not in named):
                self._withdraw(unnamed, EndpointState.GONE)
            self.ready, named = [], set(self.by_id) | named  # sorted anew below: cheaper than one by one
        for record in update.records:
            self._apply_record(record, initial_latency, insert=not whole)
        if whole:
            ready = (e for e in self.by_id.values() if e.state is EndpointState.READY)
            self.ready = sorted(ready, key=RING_ORDER)
        for endpoint_id in named:
            self._forget_if_gone(self.by_id[endpoint_id])
        self.update_subset()

    def _apply_record(self, record: EndpointRecord, initial_latency: float, *, insert: bool) -> None:
        now, endpoint = self.context.now, self.by_id.get(record.endpoint_id)
        if endpoint is None:
            endpoint = Endpoint(record, {}, stable_hash(record.endpoint_id), EndpointState.GONE)
            self.by_id[record.endpoint_id] = endpoint
        if record.started_at > endpoint.record.started_at or not endpoint.slow_start_tokens_at:
            endpoint.latency, endpoint.last_response_at = initial_latency, now
            self.slow_start.reset(endpoint)
        endpoint.record = record
        if record.state is not EndpointState.READY:
            self._withdraw(endpoint, record.state)
        elif endpoint.state is not EndpointState.READY:
            endpoint.state = EndpointState.READY
            self.in_flight += len(endpoint.in_flight)
            if insert:
                bisect.insort(self.ready, endpoint, key=RING_ORDER)

    def _withdraw(self, endpoint: Endpoint, state: EndpointState) -> None:
        if endpoint.state is EndpointState.READY:
            self.in_flight -= len(endpoint.in_flight)
            at = bisect.bisect_left(self.ready, endpoint.ring_position, key=RING_ORDER)
            if at < len(self.ready) and self.ready[at] is endpoint:
                del self.ready[at]
        endpoint.state = state

    def _forget_if_gone(self, endpoint: Endpoint) -> None:
        if endpoint.state is EndpointState.GONE and not endpoint.in_flight:
            del self.by_id[endpoint.record.endpoint_id]  # ids are never used again

    def update_subset(self) -> None:
        """Choose the subset; again after a while where some are in slow start, as those come on top."""
        self.subset_expires_at = math.inf

        def is_warm(at: int) -> bool:
            warm = self.slow_start.slow_start_fraction(self.ready[at]) >= 1
            if not warm:
                self.subset_expires_at = self.context.now + DECAY_SECONDS / 4
            return warm

        index, count = self.context.settings.gateway_index, self.context.gateway_count
        self.subset = [self.ready[at] for at in sorted(choose_subset(len(self.ready), is_warm, index, count))]

    def start_attempt(self, endpoint: Endpoint, key: AttemptKey) -> Attempt:
        """Count an attempt at a ready endpoint."""
        endpoint.in_flight[key] = self.started_at[key] = self.context.now
        self.in_flight += 1
        return Attempt(endpoint, self.context.now)

    def finish_attempt(self, endpoint_id: int, key: AttemptKey) -> Attempt | None:
        """Count an attempt no more; None where it was not in flight at this endpoint."""
        self.started_at.pop(key, None)
        endpoint = self.by_id.get(endpoint_id)
        if endpoint is None or (started_at := endpoint.in_flight.pop(key, None)) is None:
            return None
        self.in_flight -= endpoint.state is EndpointState.READY
        self._forget_if_gone(endpoint)
        return Attempt(endpoint, started_at)
