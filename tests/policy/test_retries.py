"""Retries and hedged requests: when, where, and for which effects."""

from __future__ import annotations

import pytest

from gateway.policy.actions import Action, Cancel, Fail, Reject, StartAttempt
from gateway.policy.context import TICK_SECONDS
from gateway.policy.events import (
    ClientDisconnected,
    Outcome,
    TimerFired,
)
from tests.support.policy import (
    START,
    FakeCounter,
    make_finished,
    make_policy,
    make_record,
    make_request,
    run_event,
    start_request,
    started_attempts,
)


def test_no_retry_when_an_attempt_times_out_a_little_early() -> None:
    policy = make_policy(caps__second_copies="false")
    sent = start_request(policy, 1)
    found = policy.handle(START + 4.0 - 0.031, make_finished(1, sent, Outcome.TIMEOUT))
    assert not started_attempts(found)
    assert [a for a in found if isinstance(a, Reject)]


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT])
def test_non_idempotent_requests_that_may_have_been_executed_fail(outcome: Outcome) -> None:
    policy = make_policy()
    sent = start_request(policy, 1, cls=2)
    found = policy.handle(START + 0.2, make_finished(1, sent, outcome))
    assert Fail(1) in found
    assert not started_attempts(found)


@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.CONNECT_FAILED])
def test_non_idempotent_requests_that_were_not_executed_are_retried_elsewhere(outcome: Outcome) -> None:
    policy = make_policy()
    sent = start_request(policy, 1, cls=2)
    (again,) = started_attempts(policy.handle(START + 0.2, make_finished(1, sent, outcome)))
    assert again.endpoint_id != sent.endpoint_id


def test_retries_with_a_key_stay_in_their_cell_and_its_dedup_window() -> None:
    policy = make_policy()
    sent = start_request(policy, 1, cls=1)
    (again,) = started_attempts(policy.handle(START + 0.2, make_finished(1, sent, Outcome.ERROR)))
    assert again.endpoint_id % 2 == sent.endpoint_id % 2
    assert again.endpoint_id != sent.endpoint_id
    found = policy.handle(START + 2.1, make_finished(1, again, Outcome.ERROR, attempt=1))
    assert Fail(1) in found
    assert not started_attempts(found)


# A retry may wait for its connection, and must not arrive after the endpoints have forgotten its key.
def test_a_retry_with_a_key_leaves_time_for_a_connection() -> None:
    for after, again in ((1.6, True), (1.8, False)):
        policy, counter = make_policy(), FakeCounter()
        (send,) = started_attempts(run_event(policy, counter, START, make_request(1, cls=1)))
        found = run_event(policy, counter, START + after, make_finished(1, send, Outcome.ERROR))
        assert bool(started_attempts(found)) == again  # a window of 2 s, 0.25 s to connect


# No attempt is started for a disconnected client, whether one is in flight, has just failed and waits for
# capacity, or has a hedged request beside it.
@pytest.mark.parametrize("state", ["in_flight", "between", "hedged"])
def test_no_retry_for_a_disconnected_client(state: str) -> None:
    policy, counter = make_policy(classes__0__goal_time_s="4.0"), FakeCounter()
    if state == "between":  # another request takes all capacity
        assert started_attempts(run_event(policy, counter, START, make_request(9, customer=9)))
    (first,) = started_attempts(run_event(policy, counter, START, make_request(1)))
    in_flight = [first]
    if state == "between":
        policy.concurrency_limiter.concurrency_limit = 1e-9
        assert not started_attempts(
            run_event(policy, counter, START + 0.01, make_finished(1, in_flight.pop(), Outcome.OVERLOADED))
        )
        assert policy.queue.request_ids() == [1]
    if state == "hedged":
        in_flight += [
            s
            for s in started_attempts(run_event(policy, counter, START + 2.5, TimerFired(1)))
            if s.request_id == 1
        ]
        assert len(in_flight) == 2
    now = policy.context.now
    policy.handle(now, ClientDisconnected(1))
    policy.concurrency_limiter.concurrency_limit, found = 10.0, []
    for number, send in enumerate(in_flight):
        found += run_event(policy, counter, now + 0.1, make_finished(1, send, Outcome.OVERLOADED, number))
    for step in range(8):
        found += run_event(policy, counter, now + 0.1 + step * TICK_SECONDS, TimerFired(1))
    assert 1 not in [send.request_id for send in started_attempts(found)]
    assert 1 not in policy.pending


def test_no_hedged_request_where_none_is_allowed() -> None:
    policy = make_policy(caps__second_copies="false", classes__0__goal_time_s="4.0")
    start_request(policy, 1)
    found: list[Action] = []
    for n in range(1, 80):
        found += policy.handle(START + n * TICK_SECONDS, TimerFired(1))
    assert not started_attempts(found)
    assert Cancel(1, 0) in found


def test_a_silent_endpoint_is_avoided_and_its_requests_are_hedged() -> None:
    policy, counter = make_policy(tariffs__0__quota_rate="0", classes__0__goal_time_s="4.0"), FakeCounter()
    hung, later, rescued = 3, 0, 0
    in_flight: list[tuple[float, StartAttempt, int]] = []
    for request_id in range(200):
        now = START + request_id * 0.05
        found = run_event(policy, counter, now, make_request(request_id)) + policy.handle(now, TimerFired(1))
        for sent in started_attempts(found):
            later += sent.endpoint_id == hung and request_id > 60
            rescued += sent.request_id != request_id
            in_flight.append((now + 0.3, sent, int(sent.request_id != request_id)))
        for at, sent, attempt in [o for o in in_flight if o[0] <= now and o[1].endpoint_id != hung]:
            in_flight.remove((at, sent, attempt))
            policy.handle(now, make_finished(sent.request_id, sent, Outcome.OK, attempt, closed=True))
    assert rescued >= 1
    assert later <= 5


def test_a_request_that_no_endpoint_accepted_is_rejected_with_retry_after() -> None:
    policy, counter = make_policy([make_record(1)]), FakeCounter()
    (send,) = started_attempts(run_event(policy, counter, START, make_request(1, cls=2)))
    late = START + 3.99
    (rejection,) = policy.handle(late, make_finished(1, send, Outcome.OVERLOADED))[:1]
    assert isinstance(rejection, Reject)
    assert rejection.retry_after > 0
