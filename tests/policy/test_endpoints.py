"""The endpoint table: its updates, compared with a table that is rebuilt each time, and draining."""

from __future__ import annotations

import math
import time
from collections import deque
from collections.abc import Callable
from operator import methodcaller
from typing import TYPE_CHECKING
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.policy import engine
from gateway.policy.context import stable_hash
from gateway.policy.endpoints import RING_ORDER, SUBSET_LIFETIME_SECONDS, Endpoint, EndpointTable
from gateway.policy.engine import Policy
from gateway.policy.events import EndpointRecord, EndpointState, EndpointUpdate, Event, Outcome, UpdateKind
from gateway.policy.subsetting import choose_subset
from gateway.settings_parser import parse_settings
from tests.support.endpoints import endpoint_ids
from tests.support.policy import (
    START,
    InMemoryCounter,
    make_finished,
    make_policy,
    make_record,
    make_request,
    run_event,
    settings_text,
    start_request,
    started_attempts,
)

if TYPE_CHECKING:
    from gateway.policy.actions import StartAttempt

SETTINGS = {"peers_total": "40", "tariffs__0__quota_rate": "0"}
STEP_SECONDS = 0.4

Entry = tuple[int, EndpointState, int]  # endpoint id, state, number of recent starts


class RebuildingTable(EndpointTable):
    """The reference: each update sorts all endpoints again and chooses the subset among them."""

    def apply_update(self, update: EndpointUpdate, initial_latency: float) -> None:
        if update.kind in (UpdateKind.CACHED, UpdateKind.SNAPSHOT):
            for endpoint in self.by_id.values():
                endpoint.update_state(EndpointState.GONE)
        for record in update.records:
            self._apply(record, initial_latency)
        gone = [endpoint for endpoint in self.by_id.values() if endpoint.is_removable]
        for endpoint in gone:
            del self.by_id[endpoint.record.endpoint_id]
        ready = [endpoint for endpoint in self.by_id.values() if endpoint.is_ready]
        self.ready = sorted(ready, key=RING_ORDER)
        self.attempts_in_flight = sum(len(endpoint.in_flight) for endpoint in ready)
        self.update_subset()

    def _apply(self, record: EndpointRecord, initial_latency: float) -> None:
        now = self.context.now
        endpoint = self.by_id.get(record.endpoint_id)
        if endpoint is None:
            endpoint = Endpoint(record, stable_hash(record.endpoint_id))
            self.by_id[record.endpoint_id] = endpoint
        budget = endpoint.slow_start_budget
        if record.started_at > endpoint.record.started_at or not budget.is_initialized:
            endpoint.outlier_detector.reset(initial_latency, now)
            budget.reset(self.context.random.random(), now)
        endpoint.update_record(record)
        endpoint.update_state(record.state)

    def update_subset(self) -> None:
        fractions = [self.slow_start.capacity_fraction(endpoint.record.started_at) for endpoint in self.ready]
        warm = [fraction >= 1 for fraction in fractions]
        index = self.context.settings.gateway_index
        positions = choose_subset(len(warm), warm.__getitem__, index, self.context.gateway_count)
        self.subset = [self.ready[position] for position in sorted(positions)]
        self.subset_ids = frozenset(endpoint_ids(self.subset))
        self.subset_expires_at = math.inf if all(warm) else self.context.now + SUBSET_LIFETIME_SECONDS


def choice_state(policy: Policy) -> tuple[object, ...]:
    """Return the state that the choice of an endpoint depends on."""
    table = policy.endpoints
    states = {
        endpoint_id: (endpoint.state, len(endpoint.in_flight), endpoint.slow_start_budget.bucket.tokens)
        for endpoint_id, endpoint in table.by_id.items()
    }
    ready = [endpoint.record for endpoint in table.ready]
    subset = [endpoint.record for endpoint in table.subset]
    return ready, subset, table.attempts_in_flight, states


class TwinPolicies:
    """Two policies that get the same events, one with the reference table.

    Their actions and their endpoint tables must be equal after each event.
    """

    def __init__(self, gateway_index: int, seed: int) -> None:
        parsed = parse_settings(settings_text(me=str(gateway_index), **SETTINGS))
        self.updated = Policy(parsed, seed)
        with mock.patch.object(engine, "EndpointTable", RebuildingTable):
            self.rebuilt = Policy(parsed, seed)
        self.now = START
        self.version = 0
        self.request_id = 0
        self.in_flight: deque[tuple[StartAttempt, int]] = deque()

    def handle(self, event: Event) -> None:
        actions = self.updated.handle(self.now, event)
        assert actions == self.rebuilt.handle(self.now, event)
        assert choice_state(self.updated) == choice_state(self.rebuilt)
        for attempt in started_attempts(actions):
            number = self.updated.pending[attempt.request_id].attempts_started - 1
            self.in_flight.append((attempt, number))

    def update(self, kind: UpdateKind, entries: list[Entry]) -> None:
        """Send an update of the endpoint list with a record for each entry."""
        self.version += 1
        records = tuple(
            make_record(
                endpoint_id,
                cell=endpoint_id % 3,
                state=state,
                started=self.now - 9 * starts if starts else 0.0,
            )
            for endpoint_id, state, starts in entries
        )
        self.handle(EndpointUpdate(kind, self.version, records))

    def request(self, class_index: int) -> None:
        self.request_id += 1
        self.handle(make_request(self.request_id, cls=class_index))

    def finish_oldest(self, outcome: Outcome) -> None:
        if self.in_flight:
            attempt, number = self.in_flight.popleft()
            closed = outcome is Outcome.OK
            self.handle(make_finished(attempt.request_id, attempt, outcome, number, closed=closed))


Step = Callable[[TwinPolicies], None]
ENTRIES = st.lists(
    st.tuples(st.integers(1, 50), st.sampled_from(EndpointState), st.integers(0, 2)), max_size=12
)
OUTCOMES = st.sampled_from([Outcome.OK, Outcome.OVERLOADED, Outcome.RESET])
STEPS: st.SearchStrategy[Step] = st.one_of(
    st.builds(lambda entries: methodcaller("update", UpdateKind.DELTA, entries), ENTRIES),
    st.builds(lambda entries: methodcaller("update", UpdateKind.SNAPSHOT, entries), ENTRIES),
    st.builds(lambda class_index: methodcaller("request", class_index), st.integers(0, 1)),
    st.builds(lambda outcome: methodcaller("finish_oldest", outcome), OUTCOMES),
)


# Guards against updates that leave the table in another state than a rebuild would.  Endpoints, subsets and
# actions must be equal for any deltas, snapshots, duplicates, removals of unknown endpoints, requests and
# responses.
@given(st.lists(STEPS, max_size=30), st.integers(0, 39), st.integers(0, 1 << 16))
@settings(max_examples=150, deadline=None)
def test_an_updated_table_equals_a_rebuilt_one(steps: list[Step], gateway_index: int, seed: int) -> None:
    twins = TwinPolicies(gateway_index, seed)
    all_ready = [(endpoint_id, EndpointState.READY, 0) for endpoint_id in range(1, 41)]
    twins.now += STEP_SECONDS
    twins.update(UpdateKind.CACHED, all_ready)
    for step in steps:
        twins.now += STEP_SECONDS
        step(twins)


def median_update_time(count: int, state: EndpointState) -> float:
    """Return the processor time in seconds of a delta of one endpoint, in a table of `count` endpoints."""
    records = [make_record(endpoint_id, cell=endpoint_id % 490) for endpoint_id in range(1, count + 1)]
    changes = {**SETTINGS, "peers_total": str(count // 15)}
    policy = Policy(parse_settings(settings_text(me="7", **changes)), 1)
    policy.handle(START, EndpointUpdate(UpdateKind.SNAPSHOT, 1, tuple(records)))
    times = []
    for ready in records[:60]:
        endpoint_id = ready.endpoint_id
        removed = make_record(endpoint_id, cell=endpoint_id % 490, state=state)
        for record in (removed, ready):
            event = EndpointUpdate(UpdateKind.DELTA, 1 + endpoint_id, (record,))
            started_at = time.process_time()
            policy.handle(START, event)
            times.append(time.process_time() - started_at)
    return sorted(times)[len(times) // 2]


# The cost of a delta must depend on the number of its records, not on the size of the table.  Two table sizes
# are compared, as the speed of machines differs.
@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_the_cost_of_a_delta_does_not_grow_with_the_table(state: EndpointState) -> None:
    assert median_update_time(12_000, state) < 8 * median_update_time(600, state)


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_draining_and_gone_endpoints_get_no_new_attempts(state: EndpointState) -> None:
    policy = make_policy([make_record(1), make_record(2)])
    policy.handle(START, EndpointUpdate(UpdateKind.DELTA, 2, (make_record(1, state=state),)))
    assert {start_request(policy, request_id).endpoint_id for request_id in range(4)} == {2}


def test_endpoints_missing_from_a_snapshot_are_gone() -> None:
    policy = make_policy([make_record(1), make_record(2)])
    policy.handle(START, EndpointUpdate(UpdateKind.SNAPSHOT, 2, (make_record(2),)))
    assert {start_request(policy, request_id).endpoint_id for request_id in range(4)} == {2}


# Guards against a table that grows without end, as each replacement of an endpoint has a new id.
def test_gone_endpoints_are_removed_once_no_attempt_is_in_flight() -> None:
    policy = make_policy([make_record(1)])
    (attempt,) = started_attempts(run_event(policy, InMemoryCounter(), START, make_request(1)))
    gone = make_record(1, state=EndpointState.GONE)
    policy.handle(START + 1, EndpointUpdate(UpdateKind.DELTA, 2, (gone, make_record(2))))
    assert set(policy.endpoints.by_id) == {1, 2}
    assert endpoint_ids(policy.endpoints.ready) == [2]
    policy.handle(START + 1.1, make_finished(1, attempt, Outcome.OK, closed=True))
    assert set(policy.endpoints.by_id) == {2}
    policy.handle(START + 2, EndpointUpdate(UpdateKind.DELTA, 3, (make_record(2, state=EndpointState.GONE),)))
    assert not policy.endpoints.by_id
