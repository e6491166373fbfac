"""The bound on the number of leases, and the order in which leases are evicted."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import pytest

from gateway.policy import lease_table
from gateway.policy.counter_rate_limiter import CounterRateLimiter
from gateway.policy.events import Outcome
from gateway.policy.quota import LeaseKey, QuotaKind
from tests.support.policy import (
    START,
    InMemoryCounter,
    make_finished,
    make_request,
    run_event,
    serve,
    serve_many,
    started_attempts,
)

if TYPE_CHECKING:
    from gateway.policy.engine import Policy

MAX_LEASES = 40
FLOOD_SIZE = 5 * MAX_LEASES
USUAL_CUSTOMER = 5  # the customer of `make_request`
FIRST_FLOOD_CUSTOMER = 1000
RATE_KEY = LeaseKey(USUAL_CUSTOMER, QuotaKind.RATE)


@pytest.fixture(autouse=True)
def few_leases(monkeypatch: pytest.MonkeyPatch) -> None:
    """Allow only a few leases, and any number of counter calls, so that no request waits."""
    monkeypatch.setattr(lease_table, "MAX_LEASES", MAX_LEASES)
    monkeypatch.setattr(CounterRateLimiter, "may_call", lambda _: True)


def send_flood(policy: Policy, counter: InMemoryCounter, now: float, requests_each: int = 1) -> None:
    """Serve requests of many customers, one customer after another."""
    for number in range(FIRST_FLOOD_CUSTOMER, FIRST_FLOOD_CUSTOMER + FLOOD_SIZE):
        for request in range(requests_each):
            serve(policy, counter, now, number + request * FLOOD_SIZE, customer=number)


# Guards against memory that grows with each name that a client makes up.
@pytest.mark.parametrize("requests_each", [1, 2])
def test_the_number_of_leases_is_bounded(
    policy: Policy, counter: InMemoryCounter, requests_each: int
) -> None:
    send_flood(policy, counter, START, requests_each)
    assert len(policy.leases.by_key) == MAX_LEASES
    assert len(policy.leases.eviction.single_use) <= MAX_LEASES
    assert set(policy.leases.reclaimable) <= set(policy.leases.by_key)


def test_the_lease_of_a_customer_that_came_again_is_kept(policy: Policy, counter: InMemoryCounter) -> None:
    serve_many(policy, counter, START, range(2))
    lease = policy.leases.by_key[RATE_KEY]
    send_flood(policy, counter, START + 0.1)
    assert policy.leases.by_key[RATE_KEY] is lease


def test_of_customers_that_came_again_the_least_recent_one_is_evicted(
    policy: Policy, counter: InMemoryCounter
) -> None:
    for customer in range(MAX_LEASES):
        for request in range(2):
            serve(policy, counter, START, customer + request * FLOOD_SIZE, customer=customer)
    serve(policy, counter, START + 0.1, 2 * FLOOD_SIZE, customer=0)
    serve(policy, counter, START + 0.2, 2 * FLOOD_SIZE + 1, customer=FIRST_FLOOD_CUSTOMER)
    assert {key.customer for key in policy.leases.by_key} == {0, *range(2, MAX_LEASES), FIRST_FLOOD_CUSTOMER}


# Guards against a request whose units are released to a lease that is no longer known.
def test_a_lease_in_use_is_kept(policy: Policy, counter: InMemoryCounter) -> None:
    (attempt,) = started_attempts(run_event(policy, counter, START, make_request(1)))
    lease = policy.leases.by_key[RATE_KEY]
    send_flood(policy, counter, START + 0.1)
    assert policy.leases.by_key[RATE_KEY] is lease
    run_event(policy, counter, START + 0.2, make_finished(1, attempt, Outcome.OK, closed=True))
    assert not lease.is_in_use


def test_leases_beyond_the_bound_go_once_they_are_not_in_use(
    policy: Policy, counter: InMemoryCounter
) -> None:
    started = []
    for number in range(2 * MAX_LEASES):
        started += started_attempts(run_event(policy, counter, START, make_request(number, customer=number)))
    assert len(policy.leases.by_key) == 2 * MAX_LEASES
    while started:  # the end of an attempt lets a queued request start
        attempt = started.pop()
        end = make_finished(attempt.request_id, attempt, Outcome.OK, closed=True)
        started += started_attempts(run_event(policy, counter, START, end))
    serve(policy, counter, START, FLOOD_SIZE, customer=FIRST_FLOOD_CUSTOMER)
    assert len(policy.leases.by_key) == MAX_LEASES


# Guards against a quota that is spent twice, before and after an eviction.
def test_a_customer_gets_no_unit_twice_after_its_lease_was_evicted(
    policy: Policy, counter: InMemoryCounter
) -> None:
    burst = policy.context.settings.plans[0].burst
    request_ids = itertools.count()
    admitted = 0
    for _ in range(3 * int(burst)):
        admitted += serve(policy, counter, START, next(request_ids))
        for number in range(2 * MAX_LEASES):
            serve(policy, counter, START, next(request_ids), customer=FIRST_FLOOD_CUSTOMER + number)
        assert RATE_KEY not in policy.leases.by_key
    assert admitted <= burst


def test_a_new_lease_gets_no_local_token_while_leases_are_evicted(
    policy: Policy, counter: InMemoryCounter
) -> None:
    send_flood(policy, counter, START)
    counter.outcome = Outcome.TIMEOUT
    started = [serve(policy, counter, START, number, customer=number) for number in range(20)]
    assert not any(started)
