"""Which backends each gateway of a fleet keeps to."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.policy.engine import Endpoint, PendingRequest
from gateway.policy.events import (
    AttemptFinished,
    EndpointRecord,
    EndpointState,
    EndpointUpdate,
    Outcome,
    UpdateKind,
)
from gateway.policy.subsetting import LEAST_BACKENDS, LEAST_SHARERS, arc, place
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
def test_every_backend_has_about_as_many_gateways(peers: int, count: int) -> None:
    sharers = Counter(n for me in range(peers) for n in arc(count, lambda _: True, me, peers))
    assert len(sharers) == count
    assert min(sharers.values()) >= LEAST_SHARERS - 1
    assert max(sharers.values()) - min(sharers.values()) <= 2


@pytest.mark.parametrize(("peers", "count"), [(1, 40), (2, 10), (4, 14), (8, 60)])
def test_a_small_fleet_keeps_to_all_backends(peers: int, count: int) -> None:
    for me in range(peers):
        assert sorted(arc(count, lambda _: True, me, peers)) == list(range(count))


def test_gateways_in_a_row_do_not_keep_to_the_same_backends() -> None:
    places = [place(me, 40) for me in range(40)]
    assert len(set(places)) == 40
    rows = [
        Counter(n for me in range(at, at + 8) for n in arc(60, lambda _: True, me, 40)) for at in range(32)
    ]
    assert all(len(row) >= 45 for row in rows)


def test_cold_backends_come_on_top() -> None:
    warm = [n % 3 > 0 for n in range(60)]
    for me in range(40):
        assert sum(warm[n] for n in arc(len(warm), warm.__getitem__, me, 40)) == LEAST_BACKENDS


def test_no_backends_and_only_cold_ones_are_borne() -> None:
    assert arc(0, lambda _: True, 3, 40) == []
    assert sorted(arc(30, lambda _: False, 3, 40)) == list(range(30))


def test_a_gateway_of_many_keeps_to_few_backends_and_uses_others_when_those_are_gone() -> None:
    fleet = [make_record(n) for n in range(1, 61)]
    made = make_policy(fleet, peers_total="40", me="7")
    counter, used = FakeCounter(), set()
    for rid in range(200):
        (send,) = started_attempts(run_event(made, counter, START + rid, make_request(rid, customer=rid)))
        used.add(send.endpoint_id)
        run_event(
            made,
            counter,
            START + rid + 0.1,
            AttemptFinished(rid, 0, send.endpoint_id, Outcome.OK, True, 0.1, 0, 0, ()),
        )
    assert len(used) <= LEAST_BACKENDS
    gone = tuple(make_record(n, state=EndpointState.GONE) for n in used)
    made.handle(START + 300, EndpointUpdate(UpdateKind.DELTA, 2, gone))
    (send,) = started_attempts(run_event(made, counter, START + 300, make_request(999, customer=999)))
    assert send.endpoint_id not in used


# Guards a request against costing what the whole list does, and the choice against changing with that: each
# list of candidates is the one that a walk through all backends gives.
@given(
    st.lists(st.tuples(st.integers(1, 60), st.sampled_from(EndpointState), st.booleans()), max_size=30),
    st.integers(0, 39),
    st.integers(0, 1 << 16),
)
@settings(max_examples=60, deadline=None)
def test_candidates_are_those_of_a_walk_through_all(
    changes: list[tuple[int, EndpointState, bool]], me: int, seed: int
) -> None:
    listed = [make_record(n, cell=n % 3) for n in range(1, 41)]
    made = make_policy(listed, seed, me=str(me), peers_total="40", tariffs__0__quota_rate="0")
    for version, (number, state, cold) in enumerate(changes, 2):
        told = make_record(number, cell=number % 3, state=state, started=START if cold else 0.0)
        made.handle(START, EndpointUpdate(UpdateKind.DELTA, version, (told,)))
    looked: list[list[int]] = []
    best = made.best

    def recorded(job: PendingRequest, fits: list[Endpoint]) -> Endpoint | None:
        near = {b.entry.endpoint_id for b in made.near}
        if len(made.near) < len(made.live):
            allowed = made.allowed(job)
            others = [b for b in allowed if b.entry.endpoint_id not in near and made.warmth(b) >= 1]
            walk = others if looked else [b for b in allowed if b.entry.endpoint_id in near]
            assert [b.entry.endpoint_id for b in fits] == [b.entry.endpoint_id for b in walk]
        looked.append([b.entry.endpoint_id for b in fits])
        return best(job, fits)

    made.best = recorded  # type: ignore[method-assign]
    for rid in range(10):
        looked.clear()
        found = made.handle(START + rid, make_request(rid, cls=rid % 2))
        assert bool(started_attempts(found)) <= bool(looked)
        for send in started_attempts(found):
            looked.clear()
            made.handle(START + rid, make_finished(rid, send, Outcome.RESET))


def test_a_request_does_not_look_at_backends_that_are_not_near() -> None:
    looked = 0

    class Watched(EndpointRecord):
        """An entry that tells when a choice looks at it."""

        def __getattribute__(self, name: str) -> Any:
            nonlocal looked
            looked += name == "endpoint_id"
            return super().__getattribute__(name)

    listed = [Watched(n, 0, 0.0, EndpointState.READY, 0, 0, 1.0) for n in range(1, 2001)]
    made = make_policy(listed, 1, peers_total="2000", tariffs__0__quota_rate="0")
    looked = 0
    assert started_attempts(made.handle(START, make_request(1)))
    assert 0 < looked < 100
