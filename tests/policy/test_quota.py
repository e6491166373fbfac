"""What of its quota a customer gets, at one gateway and over several."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.policy.context import stable_hash
from gateway.policy.events import Outcome, TimerFired
from tests.support.policy import (
    START,
    FakeCounter,
    make_finished,
    make_policy,
    make_request,
    run_event,
    serve,
    started_attempts,
)

Step = tuple[float, int]


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0.0, 0.6), st.integers(0, 2)), min_size=20, max_size=120),
    st.lists(st.floats(0.0, 2.0), min_size=3, max_size=3),
)
def test_admitted_requests_fit_rate_and_burst(steps: list[Step], sizes: list[float]) -> None:
    """For any arrivals and batch sizes, admitted requests fit rate and burst, but for what was leased ahead.

    That is a burst at most, and a burst more with several gateways: what the others leased before a gateway
    first saw a customer may be old or new.
    """
    for count, least in ((1, -8.0), (3, -16.0)):
        counter = FakeCounter()
        gateways = [make_policy(me=str(n)) for n in range(count)]
        now, quota, at = START, 8.0, START
        for request_id, (gap, who) in enumerate(steps):
            now += gap
            policy = gateways[who % count]
            for lease in policy.leases.by_customer.values():
                lease.sizer.log_batch_size = sizes[who]
            if serve(policy, counter, now, request_id):
                quota = min(8.0, quota + 4.0 * (now - at)) - 1.0
                at = now
                assert quota >= least - 1e-3


def test_a_whole_burst_is_usable_after_an_idle_window() -> None:
    counter, policy = FakeCounter(), make_policy()
    assert sum(serve(policy, counter, START + 9.0, request_id) for request_id in range(20)) >= 7


def test_fractions_of_a_window_are_not_lost() -> None:
    """A window of 1.5 units still admits the whole rate: 1 unit a second for 60 s."""
    changes = {"tariffs__0__quota_rate": "1.0", "tariffs__0__peak_units": "3.0"}
    counter, policy = FakeCounter(), make_policy(**changes)
    admitted = sum(serve(policy, counter, START + request_id / 10, request_id) for request_id in range(600))
    assert 57 <= admitted <= 64


@pytest.mark.parametrize("width", [2, 20, 100])
def test_a_customer_of_many_gateways_gets_about_its_quota(width: int) -> None:
    """Four times the quota: nearly all of it and hardly more, however long ago each saw the customer."""
    counter, gateways = FakeCounter(), [make_policy(me=str(n), peers_total=str(width)) for n in range(width)]
    rnd, now, admitted = random.Random(3), START, 0
    for request_id in range(960):
        now += rnd.expovariate(16.0)
        admitted += serve(rnd.choice(gateways), counter, now, request_id)
        for policy in gateways if request_id % 4 == 0 else ():  # idle credits are returned
            run_event(policy, counter, now, TimerFired(1))
    quota = 4 * (now - START) + 8
    assert (0.9 if width == 100 else 0.95) * quota <= admitted <= 1.1 * quota


def test_slots_limit_concurrency_and_are_returned() -> None:
    counter, policy = FakeCounter(), make_policy()
    sent = [
        started_attempts(run_event(policy, counter, START, make_request(request_id, plan=2)))
        for request_id in range(3)
    ]
    assert [len(s) for s in sent] == [1, 1, 0]
    run_event(policy, counter, START + 0.1, make_finished(0, sent[0][0], Outcome.OK, closed=True))
    assert sum(counter.totals.values()) == pytest.approx(1.0)
    assert started_attempts(run_event(policy, counter, START + 1.0, make_request(9, plan=2)))


def test_hashes_are_stable_and_distinct() -> None:
    assert stable_hash(1, 2, 3) == stable_hash(1, 2, 3)
    assert len({stable_hash(c, w, k) for c in range(50) for w in range(50) for k in range(3)}) == 7500


@settings(derandomize=True, max_examples=40, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0.0, 0.3), st.integers(0, 2)), min_size=60, max_size=200), st.integers(0, 99)
)
def test_the_ceiling_holds_while_the_counter_fails_and_loses_its_totals(steps: list[Step], lost: int) -> None:
    counter = FakeCounter()
    gateways = [make_policy(me=str(n)) for n in range(3)]
    now, quota, at = START, 16.0, START
    for request_id, (gap, who) in enumerate(steps):
        if request_id == lost:
            counter.lose()
        counter.outcome = Outcome.TIMEOUT if lost / 2 <= request_id < lost else Outcome.OK
        now += gap
        if serve(gateways[who], counter, now, request_id, plan=1):
            quota, at = min(16.0, quota + 8.0 * (now - at)) - 1.0, now
            assert quota >= -1.6
