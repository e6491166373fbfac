"""The calls that request a lease: how many there are, and who waits for them."""

from __future__ import annotations

from gateway.policy.actions import AddToCounter, StartAttempt
from gateway.policy.events import CounterReply, Outcome
from tests.support.policy import (
    START,
    FakeCounter,
    make_policy,
    make_request,
    only_lease,
    run_event,
    serve,
    started_attempts,
)


def test_further_requests_wait_for_the_lease_in_flight() -> None:
    policy = make_policy()
    (met,) = (a for a in policy.handle(START, make_request(0)) if isinstance(a, AddToCounter))
    found = run_event(policy, FakeCounter(), START, CounterReply(met.name, Outcome.OK, met.amount, 0.001))
    assert met.amount == round(8.0 / 3)
    assert {s.request_id for s in started_attempts(found)} == {0}
    lease = only_lease(policy)
    lease.credits = 0.0
    first = policy.handle(START, make_request(1))
    second = policy.handle(START, make_request(2))
    assert len([a for a in first if isinstance(a, AddToCounter)]) == 1
    assert not [a for a in second if isinstance(a, AddToCounter | StartAttempt)]
    (call,) = (a for a in first if isinstance(a, AddToCounter))
    answered = run_event(
        policy, FakeCounter(), START, CounterReply(call.name, Outcome.OK, call.amount, 0.001)
    )
    assert {s.request_id for s in started_attempts(answered)} == {1, 2}


def test_the_first_lease_is_the_gateways_part_of_the_window() -> None:
    policy = make_policy()
    run_event(policy, FakeCounter(), START, make_request(1))
    assert only_lease(policy).credits + 1 == round(8.0 / 3)


def test_the_first_lease_of_a_known_customer_takes_one_call() -> None:
    counter = FakeCounter()
    fleet = [make_policy(me=str(n), peers_total="20") for n in range(20)]
    for n, policy in enumerate(fleet[:8]):
        calls = counter.calls
        assert serve(policy, counter, START, n, gateway_set_size=20)
        assert counter.calls - calls <= (1 if n else 2)  # the first one adds the overflow too
