"""The endpoint table: changes piece by piece against a table that is made anew for each change; draining."""

from __future__ import annotations

import math
import time
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.policy import engine
from gateway.policy.actions import StartAttempt
from gateway.policy.context import DECAY_SECONDS, stable_hash
from gateway.policy.endpoints import Endpoint, EndpointTable
from gateway.policy.engine import Policy
from gateway.policy.events import EndpointState, EndpointUpdate, Event, Outcome, UpdateKind
from gateway.policy.subsetting import choose_subset
from gateway.settings_parser import parse_settings
from tests.support.policy import (
    START,
    FakeCounter,
    make_finished,
    make_policy,
    make_record,
    make_request,
    run_event,
    settings_text,
    start_request,
    started_attempts,
)

SETTINGS = {"peers_total": "40", "tariffs__0__quota_rate": "0"}


class RebuildingTable(EndpointTable):
    """The reference: each change walks, sorts and chooses among all endpoints."""

    def apply_update(self, update: EndpointUpdate, initial_latency: float) -> None:
        now = self.context.now
        if update.kind in (UpdateKind.CACHED, UpdateKind.SNAPSHOT):
            for known in self.by_id.values():
                known.state = EndpointState.GONE
        for told in update.records:
            found = self.by_id.get(told.endpoint_id)
            if found is None:
                found = Endpoint(told, stable_hash(told.endpoint_id))
                self.by_id[told.endpoint_id] = found
            if told.started_at > found.record.started_at or not found.slow_start_budget.has_begun:
                found.outlier_detector.reset(initial_latency, now)
                found.slow_start_budget.begin(self.context.random.random(), now)
            found.record, found.state = told, told.state
        for gone in [e for e in self.by_id.values() if e.state is EndpointState.GONE and not e.in_flight]:
            del self.by_id[gone.record.endpoint_id]
        ready = (e for e in self.by_id.values() if e.state is EndpointState.READY)
        self.ready = sorted(ready, key=lambda e: e.ring_position)
        self.update_subset()
        self.in_flight = sum(len(e.in_flight) for e in self.ready)

    def update_subset(self) -> None:
        warm = [self.slow_start.capacity_fraction(e.record.started_at) >= 1 for e in self.ready]
        index, count = self.context.settings.gateway_index, self.context.gateway_count
        self.subset = [
            self.ready[n] for n in sorted(choose_subset(len(warm), warm.__getitem__, index, count))
        ]
        self.subset_ids = frozenset(e.record.endpoint_id for e in self.subset)
        self.subset_expires_at = math.inf if all(warm) else self.context.now + DECAY_SECONDS / 4


def seen(policy: Policy) -> tuple[object, ...]:
    """What the choice of an endpoint rests on."""
    table = policy.endpoints
    states = {
        number: (e.state, len(e.in_flight), e.slow_start_budget.bucket.tokens)
        for number, e in table.by_id.items()
    }
    return [e.record for e in table.ready], [e.record for e in table.subset], table.in_flight, states


ENTRIES = st.lists(
    st.tuples(st.integers(1, 50), st.sampled_from(EndpointState), st.integers(0, 2)), max_size=12
)
STEPS = st.one_of(
    st.tuples(st.just("change"), ENTRIES),
    st.tuples(st.just("list"), ENTRIES),
    st.tuples(st.just("request"), st.integers(0, 1)),
    st.tuples(st.just("answer"), st.sampled_from([Outcome.OK, Outcome.OVERLOADED, Outcome.RESET])),
)


# Over any updates, snapshots, duplicates, removals of unknown endpoints, requests and responses, the updated
# table and the rebuilt one have the same endpoints, subsets and actions.
@given(st.lists(STEPS, max_size=30), st.integers(0, 39), st.integers(0, 1 << 16))
@settings(max_examples=150, deadline=None)
def test_an_updated_table_is_the_one_made_anew(steps: list[tuple[str, object]], me: int, seed: int) -> None:
    told = parse_settings(settings_text(me=str(me), **SETTINGS))
    with mock.patch.object(engine, "EndpointTable", RebuildingTable):
        rebuilding = Policy(told, seed)
    both = (Policy(told, seed), rebuilding)
    first = EndpointUpdate(UpdateKind.CACHED, 1, tuple(make_record(n, cell=n % 3) for n in range(1, 41)))
    now, request_id = START, 0
    out: list[tuple[StartAttempt, int]] = []
    for version, (kind, what) in enumerate([("list", None), *steps], 1):
        now += 0.4
        event: Event = first
        if kind in ("change", "list") and what is not None:
            assert isinstance(what, list)
            listed = tuple(
                make_record(n, cell=n % 3, state=state, started=now - 9 * age if age else 0.0)
                for n, state, age in what
            )
            event = EndpointUpdate(
                UpdateKind.SNAPSHOT if kind == "list" else UpdateKind.DELTA, version, listed
            )
        elif kind == "request":
            assert isinstance(what, int)
            request_id += 1
            event = make_request(request_id, cls=what)
        elif kind == "answer":
            if not out:
                continue
            assert isinstance(what, Outcome)
            sent, attempt = out.pop(0)
            event = make_finished(sent.request_id, sent, what, attempt, closed=what is Outcome.OK)
        actions, reference = (policy.handle(now, event) for policy in both)
        assert actions == reference
        assert seen(both[0]) == seen(both[1])
        out += [
            (send, both[0].pending[send.request_id].attempts_started - 1)
            for send in started_attempts(actions)
        ]


# An update costs what it changes, not what the table holds.  Checked as a ratio, as machines differ.
@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_an_update_costs_no_more_in_a_long_list(state: EndpointState) -> None:
    def cost(count: int) -> float:
        listed = [make_record(n, cell=n % 490) for n in range(1, count + 1)]
        policy = Policy(
            parse_settings(settings_text(me="7", **{**SETTINGS, "peers_total": str(count // 15)})), 1
        )
        policy.handle(START, EndpointUpdate(UpdateKind.SNAPSHOT, 1, tuple(listed)))
        took = []
        for n in range(1, 61):
            for told in (make_record(n, cell=n % 490, state=state), listed[n - 1]):
                event = EndpointUpdate(UpdateKind.DELTA, 1 + n, (told,))
                began = time.process_time()
                policy.handle(START, event)
                took.append(time.process_time() - began)
        return sorted(took)[len(took) // 2]

    assert cost(12_000) < 8 * cost(600)


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_draining_endpoints_get_nothing_new(state: EndpointState) -> None:
    policy = make_policy([make_record(1), make_record(2)])
    policy.handle(START, EndpointUpdate(UpdateKind.DELTA, 2, (make_record(1, state=state),)))
    assert {start_request(policy, request_id).endpoint_id for request_id in range(4)} == {2}


def test_endpoints_missing_from_a_snapshot_are_gone() -> None:
    policy = make_policy([make_record(1), make_record(2)])
    policy.handle(START, EndpointUpdate(UpdateKind.SNAPSHOT, 2, (make_record(2),)))
    assert {start_request(policy, request_id).endpoint_id for request_id in range(4)} == {2}


# The table must not grow: endpoints are replaced all day, under new ids.
def test_gone_endpoints_are_forgotten_once_nothing_is_in_flight() -> None:
    policy, counter = make_policy([make_record(1)]), FakeCounter()
    (send,) = started_attempts(run_event(policy, counter, START, make_request(1)))
    gone = make_record(1, state=EndpointState.GONE)
    policy.handle(START + 1, EndpointUpdate(UpdateKind.DELTA, 2, (gone, make_record(2))))
    assert set(policy.endpoints.by_id) == {1, 2}
    assert [b.record.endpoint_id for b in policy.endpoints.ready] == [2]
    policy.handle(START + 1.1, make_finished(1, send, Outcome.OK, closed=True))
    assert set(policy.endpoints.by_id) == {2}
    policy.handle(START + 2, EndpointUpdate(UpdateKind.DELTA, 3, (make_record(2, state=EndpointState.GONE),)))
    assert not policy.endpoints.by_id
