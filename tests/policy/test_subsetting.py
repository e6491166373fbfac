"""The subset of endpoints that each gateway of a fleet sends to."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.policy.endpoints import Endpoint
from gateway.policy.events import (
    AttemptFinished,
    EndpointRecord,
    EndpointState,
    EndpointUpdate,
    Outcome,
    UpdateKind,
)
from gateway.policy.pending_request import PendingRequest
from gateway.policy.subsetting import MIN_GATEWAYS_PER_ENDPOINT, MIN_SUBSET_SIZE, choose_subset, ring_offset
from tests.support.policy import (
    START,
    FakeCounter,
    make_finished,
    make_policy,
    make_record,
    make_request,
    run_event,
    started_attempts,
)


@pytest.mark.parametrize(("peers", "count"), [(40, 60), (40, 96), (17, 60), (100, 31)])
def test_every_endpoint_has_about_as_many_gateways(peers: int, count: int) -> None:
    sharers = Counter(n for me in range(peers) for n in choose_subset(count, lambda _: True, me, peers))
    assert len(sharers) == count
    assert min(sharers.values()) >= MIN_GATEWAYS_PER_ENDPOINT - 1
    assert max(sharers.values()) - min(sharers.values()) <= 2


@pytest.mark.parametrize(("peers", "count"), [(1, 40), (2, 10), (4, 14), (8, 60)])
def test_a_small_fleets_subset_is_all_endpoints(peers: int, count: int) -> None:
    for me in range(peers):
        assert sorted(choose_subset(count, lambda _: True, me, peers)) == list(range(count))


def test_gateways_in_a_row_have_different_subsets() -> None:
    places = [ring_offset(me, 40) for me in range(40)]
    assert len(set(places)) == 40
    rows = [
        Counter(n for me in range(at, at + 8) for n in choose_subset(60, lambda _: True, me, 40))
        for at in range(32)
    ]
    assert all(len(row) >= 45 for row in rows)


def test_endpoints_in_slow_start_come_on_top() -> None:
    warm = [n % 3 > 0 for n in range(60)]
    for me in range(40):
        assert sum(warm[n] for n in choose_subset(len(warm), warm.__getitem__, me, 40)) == MIN_SUBSET_SIZE


def test_no_endpoints_or_only_cold_ones() -> None:
    assert choose_subset(0, lambda _: True, 3, 40) == []
    assert sorted(choose_subset(30, lambda _: False, 3, 40)) == list(range(30))


def test_a_gateway_of_many_uses_few_endpoints_and_others_when_those_are_gone() -> None:
    fleet = [make_record(n) for n in range(1, 61)]
    policy = make_policy(fleet, peers_total="40", me="7")
    counter, used = FakeCounter(), set()
    for request_id in range(200):
        (send,) = started_attempts(
            run_event(policy, counter, START + request_id, make_request(request_id, customer=request_id))
        )
        used.add(send.endpoint_id)
        run_event(
            policy,
            counter,
            START + request_id + 0.1,
            AttemptFinished(request_id, 0, send.endpoint_id, Outcome.OK, True, 0.1, 0, 0, ()),
        )
    assert len(used) <= MIN_SUBSET_SIZE
    gone = tuple(make_record(n, state=EndpointState.GONE) for n in used)
    policy.handle(START + 300, EndpointUpdate(UpdateKind.DELTA, 2, gone))
    (send,) = started_attempts(run_event(policy, counter, START + 300, make_request(999, customer=999)))
    assert send.endpoint_id not in used


# A request must not cost what the whole list does, and the choice must not change by that: each list of
# candidates is the one that a walk through all endpoints gives.
@given(
    st.lists(st.tuples(st.integers(1, 60), st.sampled_from(EndpointState), st.booleans()), max_size=30),
    st.integers(0, 39),
    st.integers(0, 1 << 16),
)
@settings(max_examples=60, deadline=None)
def test_candidates_are_those_of_a_walk_through_all_endpoints(
    changes: list[tuple[int, EndpointState, bool]], me: int, seed: int
) -> None:
    listed = [make_record(n, cell=n % 3) for n in range(1, 41)]
    policy = make_policy(listed, seed, me=str(me), peers_total="40", tariffs__0__quota_rate="0")
    for version, (number, state, cold) in enumerate(changes, 2):
        told = make_record(number, cell=number % 3, state=state, started=START if cold else 0.0)
        policy.handle(START, EndpointUpdate(UpdateKind.DELTA, version, (told,)))
    looked: list[list[int]] = []
    best = policy.load_balancer.best_of

    def recorded(pending: PendingRequest, candidates: list[Endpoint]) -> Endpoint | None:
        near = {b.record.endpoint_id for b in policy.endpoints.subset}
        if len(policy.endpoints.subset) < len(policy.endpoints.ready):
            allowed = policy.retries.allowed_endpoints(pending)
            fraction = policy.slow_start.capacity_fraction
            others = [
                b for b in allowed if b.record.endpoint_id not in near and fraction(b.record.started_at) >= 1
            ]
            walk = others if looked else [b for b in allowed if b.record.endpoint_id in near]
            assert [b.record.endpoint_id for b in candidates] == [b.record.endpoint_id for b in walk]
        looked.append([b.record.endpoint_id for b in candidates])
        return best(pending, candidates)

    policy.load_balancer.best_of = recorded  # type: ignore[method-assign]
    for request_id in range(10):
        looked.clear()
        found = policy.handle(START + request_id, make_request(request_id, cls=request_id % 2))
        assert bool(started_attempts(found)) <= bool(looked)
        for send in started_attempts(found):
            looked.clear()
            policy.handle(START + request_id, make_finished(request_id, send, Outcome.RESET))


def test_a_request_does_not_look_at_endpoints_outside_the_subset() -> None:
    looked = 0

    class Watched(EndpointRecord):
        """A record that counts the looks at it."""

        def __getattribute__(self, name: str) -> Any:
            nonlocal looked
            looked += name == "endpoint_id"
            return super().__getattribute__(name)

    listed = [Watched(n, 0, 0.0, EndpointState.READY, 0, 0, 1.0) for n in range(1, 2001)]
    policy = make_policy(listed, 1, peers_total="2000", tariffs__0__quota_rate="0")
    looked = 0
    assert started_attempts(policy.handle(START, make_request(1)))
    assert 0 < looked < 100
