"""Lease requests: the number of counter calls, and the requests that wait for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gateway.policy.actions import StartAttempt
from tests.support.policy import (
    START,
    InMemoryCounter,
    counter_calls,
    make_policy,
    make_request,
    only_lease,
    run_event,
    serve,
    started_attempts,
)

if TYPE_CHECKING:
    from gateway.policy.engine import Policy


def test_later_requests_wait_for_the_lease_request_in_flight(policy: Policy) -> None:
    (first_call,) = counter_calls(policy.handle(START, make_request(0)))
    actions = run_event(policy, InMemoryCounter(), START, InMemoryCounter().answer(first_call))
    assert first_call.amount == round(8.0 / 3)
    assert {attempt.request_id for attempt in started_attempts(actions)} == {0}
    only_lease(policy).credits = 0.0
    first = policy.handle(START, make_request(1))
    second = policy.handle(START, make_request(2))
    assert len(counter_calls(first)) == 1
    assert not counter_calls(second)
    assert not [action for action in second if isinstance(action, StartAttempt)]
    (call,) = counter_calls(first)
    answered = run_event(policy, InMemoryCounter(), START, InMemoryCounter().answer(call))
    assert {attempt.request_id for attempt in started_attempts(answered)} == {1, 2}


def test_the_first_batch_is_the_gateways_fair_share(policy: Policy, counter: InMemoryCounter) -> None:
    run_event(policy, counter, START, make_request(1))
    assert only_lease(policy).credits + 1 == round(8.0 / 3)


def test_the_first_lease_takes_one_call_if_another_gateway_has_leased(counter: InMemoryCounter) -> None:
    fleet = [make_policy(me=str(index), peers_total="20") for index in range(20)]
    for index, gateway in enumerate(fleet[:8]):
        calls = counter.calls
        assert serve(gateway, counter, START, index, gateway_set_size=20)
        max_calls = 1 if index else 2  # the first gateway also reports the overflow
        assert counter.calls - calls <= max_calls
