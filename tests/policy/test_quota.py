"""How much of its quota a customer gets, with one gateway and with several."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.policy.context import stable_hash
from gateway.policy.events import Outcome, TimerFired
from tests.support.policy import (
    START,
    InMemoryCounter,
    ReferenceQuota,
    make_finished,
    make_fleet,
    make_policy,
    make_request,
    run_event,
    serve,
    serve_many,
    started_attempts,
)

if TYPE_CHECKING:
    from gateway.policy.engine import Policy

Arrival = tuple[float, int]  # seconds since the arrival before, and the index of the gateway


def arrival_lists(max_gap: float, *, min_size: int, max_size: int) -> st.SearchStrategy[list[Arrival]]:
    """Generate arrivals at three gateways."""
    arrival = st.tuples(st.floats(0.0, max_gap), st.integers(0, 2))
    return st.lists(arrival, min_size=min_size, max_size=max_size)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(arrival_lists(0.6, min_size=20, max_size=120), st.lists(st.floats(0.0, 2.0), min_size=3, max_size=3))
def test_admitted_requests_fit_rate_and_burst(arrivals: list[Arrival], log_sizes: list[float]) -> None:
    """For any arrivals and batch sizes, admitted requests exceed rate and burst only by units leased ahead.

    At one gateway, at most a burst is leased ahead.  At several gateways, it is at most two bursts: a gateway
    that first sees a customer cannot tell when the units in the total were leased.
    """
    for count, min_level in ((1, -8.0), (3, -16.0)):
        counter = InMemoryCounter()
        gateways = make_fleet(count)
        now = START
        reference = ReferenceQuota(rate=4.0, burst=8.0)
        for request_id, (gap, index) in enumerate(arrivals):
            now += gap
            gateway = gateways[index % count]
            for lease in gateway.leases.by_key.values():
                lease.sizer.log_batch_size = log_sizes[index]
            if serve(gateway, counter, now, request_id):
                reference.consume(now)
                assert reference.level >= min_level - 1e-3


def test_a_whole_burst_is_usable_after_an_idle_window(policy: Policy, counter: InMemoryCounter) -> None:
    assert serve_many(policy, counter, START + 9.0, range(20)) >= 7


def test_fractions_of_a_unit_are_not_lost(counter: InMemoryCounter) -> None:
    """A quota of 1 unit per second with a burst of 3 units admits its whole rate for 60 s."""
    changes = {"tariffs__0__quota_rate": "1.0", "tariffs__0__peak_units": "3.0"}
    policy = make_policy(**changes)
    admitted = sum(serve(policy, counter, START + request_id / 10, request_id) for request_id in range(600))
    assert 57 <= admitted <= 64


@pytest.mark.parametrize(
    ("gateway_count", "least_fraction"),
    [pytest.param(2, 0.95, id="2"), pytest.param(20, 0.95, id="20"), pytest.param(100, 0.9, id="100")],
)
def test_a_customer_of_many_gateways_gets_about_its_quota(
    gateway_count: int, least_fraction: float, counter: InMemoryCounter
) -> None:
    """A customer that sends four times its quota gets nearly all of the quota and hardly more.

    Neither the number of gateways nor the time since each of them last saw the customer makes a difference.
    """
    gateways = make_fleet(gateway_count, peers_total=str(gateway_count))
    generator = random.Random(3)
    now = START
    admitted = 0
    for request_id in range(960):
        now += generator.expovariate(16.0)
        admitted += serve(generator.choice(gateways), counter, now, request_id)
        if request_id % 4 == 0:  # idle credits are returned
            for gateway in gateways:
                run_event(gateway, counter, now, TimerFired(1))
    quota = 4 * (now - START) + 8
    assert least_fraction * quota <= admitted <= 1.1 * quota


def test_slots_limit_concurrency_and_are_returned(policy: Policy, counter: InMemoryCounter) -> None:
    attempts = [
        started_attempts(run_event(policy, counter, START, make_request(request_id, plan=2)))
        for request_id in range(3)
    ]
    assert [len(started) for started in attempts] == [1, 1, 0]
    run_event(policy, counter, START + 0.1, make_finished(0, attempts[0][0], Outcome.OK, closed=True))
    assert sum(counter.totals.values()) == pytest.approx(1.0)
    assert started_attempts(run_event(policy, counter, START + 1.0, make_request(9, plan=2)))


def test_hashes_are_stable_and_distinct() -> None:
    assert stable_hash(1, 2, 3) == stable_hash(1, 2, 3)
    hashes = {
        stable_hash(customer, window, kind)
        for customer in range(50)
        for window in range(50)
        for kind in range(3)
    }
    assert len(hashes) == 7500


@settings(derandomize=True, max_examples=40, deadline=None)
@given(arrival_lists(0.3, min_size=60, max_size=200), st.integers(0, 99))
def test_the_ceiling_holds_while_the_counter_fails_and_loses_its_totals(
    arrivals: list[Arrival], lost_at: int
) -> None:
    counter = InMemoryCounter()
    gateways = make_fleet(3)
    now = START
    ceiling = ReferenceQuota(rate=8.0, burst=16.0)
    for request_id, (gap, index) in enumerate(arrivals):
        if request_id == lost_at:
            counter.lose_totals()
        counter.outcome = Outcome.TIMEOUT if lost_at / 2 <= request_id < lost_at else Outcome.OK
        now += gap
        if serve(gateways[index], counter, now, request_id, plan=1):
            ceiling.consume(now)
            assert ceiling.level >= -1.6
