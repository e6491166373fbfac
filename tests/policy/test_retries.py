"""Retries and hedged requests: when they start, at which endpoints, and for which effects of a class."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from gateway.policy.actions import Action, Cancel, Fail, Reject, StartAttempt
from gateway.policy.context import TICK_SECONDS
from gateway.policy.events import (
    ClientDisconnected,
    Outcome,
    TimerFired,
)
from tests.support.endpoints import actions_of
from tests.support.policy import (
    START,
    InMemoryCounter,
    make_finished,
    make_policy,
    make_record,
    make_request,
    run_event,
    start_request,
    started_attempts,
)

if TYPE_CHECKING:
    from gateway.policy.engine import Policy

HUNG_ENDPOINT = 3


def test_no_retry_when_an_attempt_times_out_slightly_early() -> None:
    policy = make_policy(caps__second_copies="false")
    attempt = start_request(policy, 1)
    actions = policy.handle(START + 4.0 - 0.031, make_finished(1, attempt, Outcome.TIMEOUT))
    assert not started_attempts(actions)
    assert actions_of(actions, Reject)


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT])
def test_non_idempotent_requests_that_may_have_been_executed_fail(outcome: Outcome) -> None:
    policy = make_policy()
    attempt = start_request(policy, 1, cls=2)
    actions = policy.handle(START + 0.2, make_finished(1, attempt, outcome))
    assert Fail(1) in actions
    assert not started_attempts(actions)


@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.CONNECT_FAILED])
def test_non_idempotent_requests_that_were_not_executed_are_retried_elsewhere(outcome: Outcome) -> None:
    policy = make_policy()
    attempt = start_request(policy, 1, cls=2)
    (retry,) = started_attempts(policy.handle(START + 0.2, make_finished(1, attempt, outcome)))
    assert retry.endpoint_id != attempt.endpoint_id


def test_retries_with_a_key_stay_within_their_cell_and_the_dedup_window() -> None:
    policy = make_policy()
    attempt = start_request(policy, 1, cls=1)
    (retry,) = started_attempts(policy.handle(START + 0.2, make_finished(1, attempt, Outcome.ERROR)))
    assert retry.endpoint_id % 2 == attempt.endpoint_id % 2
    assert retry.endpoint_id != attempt.endpoint_id
    actions = policy.handle(START + 2.1, make_finished(1, retry, Outcome.ERROR, attempt=1))
    assert Fail(1) in actions
    assert not started_attempts(actions)


# Guards against a retry that repeats an effect, as it arrives after the endpoints have forgotten its key.
# A retry may first wait for a connection: the dedup window is 2 s, and a connection takes up to 0.25 s.
@pytest.mark.parametrize(
    ("failed_after", "is_retried"),
    [pytest.param(1.6, True, id="in-time"), pytest.param(1.8, False, id="late")],
)
def test_a_retry_with_a_key_leaves_time_to_connect(*, failed_after: float, is_retried: bool) -> None:
    policy = make_policy()
    counter = InMemoryCounter()
    (attempt,) = started_attempts(run_event(policy, counter, START, make_request(1, cls=1)))
    finished = make_finished(1, attempt, Outcome.ERROR)
    actions = run_event(policy, counter, START + failed_after, finished)
    assert bool(started_attempts(actions)) == is_retried


def assert_not_retried_when_disconnected(policy: Policy, in_flight: list[StartAttempt]) -> None:
    """Check that request 1 gets no further attempt once its client has disconnected.

    Each attempt in flight is rejected by its endpoint, which would cause a retry.
    """
    counter = InMemoryCounter()
    now = policy.context.now
    policy.handle(now, ClientDisconnected(1))
    policy.concurrency_limiter.concurrency_limit = 10.0
    actions: list[Action] = []
    for number, attempt in enumerate(in_flight):
        finished = make_finished(1, attempt, Outcome.OVERLOADED, number)
        actions += run_event(policy, counter, now + 0.1, finished)
    for tick in range(8):
        actions += run_event(policy, counter, now + 0.1 + tick * TICK_SECONDS, TimerFired(1))
    assert 1 not in [attempt.request_id for attempt in started_attempts(actions)]
    assert 1 not in policy.pending


def test_no_retry_for_a_disconnected_client_with_an_attempt_in_flight() -> None:
    policy = make_policy(classes__0__goal_time_s="4.0")
    (attempt,) = started_attempts(run_event(policy, InMemoryCounter(), START, make_request(1)))
    assert_not_retried_when_disconnected(policy, [attempt])


def test_no_retry_for_a_disconnected_client_whose_request_waits_for_capacity() -> None:
    policy = make_policy(classes__0__goal_time_s="4.0")
    counter = InMemoryCounter()
    assert started_attempts(run_event(policy, counter, START, make_request(9, customer=9)))
    (attempt,) = started_attempts(run_event(policy, counter, START, make_request(1)))
    policy.concurrency_limiter.concurrency_limit = 1e-9
    finished = make_finished(1, attempt, Outcome.OVERLOADED)
    assert not started_attempts(run_event(policy, counter, START + 0.01, finished))
    assert [pending.request.request_id for pending in policy.queue.waiting] == [1]
    assert_not_retried_when_disconnected(policy, [])


def test_no_retry_for_a_disconnected_client_with_a_hedged_request() -> None:
    policy = make_policy(classes__0__goal_time_s="4.0")
    counter = InMemoryCounter()
    (attempt,) = started_attempts(run_event(policy, counter, START, make_request(1)))
    (hedged,) = started_attempts(run_event(policy, counter, START + 2.5, TimerFired(1)))
    assert hedged.request_id == 1
    assert_not_retried_when_disconnected(policy, [attempt, hedged])


def test_a_stalled_attempt_is_cancelled_where_hedged_requests_are_not_allowed() -> None:
    policy = make_policy(caps__second_copies="false", classes__0__goal_time_s="4.0")
    start_request(policy, 1)
    actions: list[Action] = []
    for tick in range(1, 80):
        actions += policy.handle(START + tick * TICK_SECONDS, TimerFired(1))
    assert not started_attempts(actions)
    assert Cancel(1, 0) in actions


class GatewayWithHungEndpoint:
    """A policy whose endpoints respond after 0.3 s, except for one that never responds."""

    def __init__(self) -> None:
        self.policy = make_policy(tariffs__0__quota_rate="0", classes__0__goal_time_s="4.0")
        self.counter = InMemoryCounter()
        self.in_flight: list[tuple[float, StartAttempt, int]] = []  # response time, attempt, attempt number

    def send(self, now: float, request_id: int) -> list[StartAttempt]:
        """Send a request and fire the timer; return all attempts that start, also those of other requests."""
        actions = run_event(self.policy, self.counter, now, make_request(request_id))
        attempts = started_attempts(actions + self.policy.handle(now, TimerFired(1)))
        for attempt in attempts:
            number = 0 if attempt.request_id == request_id else 1
            self.in_flight.append((now + 0.3, attempt, number))
        return attempts

    def respond(self, now: float) -> None:
        """Finish the attempts whose response time has been reached."""
        responding = [
            entry for entry in self.in_flight if entry[0] <= now and entry[1].endpoint_id != HUNG_ENDPOINT
        ]
        for entry in responding:
            self.in_flight.remove(entry)
            _, attempt, number = entry
            finished = make_finished(attempt.request_id, attempt, Outcome.OK, number, closed=True)
            self.policy.handle(now, finished)


def test_an_unresponsive_endpoint_is_avoided_and_its_requests_are_hedged() -> None:
    gateway = GatewayWithHungEndpoint()
    attempts_after_detection = 0
    hedged_requests = 0
    for request_id in range(200):
        now = START + request_id * 0.05
        for attempt in gateway.send(now, request_id):
            if attempt.endpoint_id == HUNG_ENDPOINT and request_id > 60:
                attempts_after_detection += 1
            if attempt.request_id != request_id:
                hedged_requests += 1
        gateway.respond(now)
    assert hedged_requests >= 1
    assert attempts_after_detection <= 5


def test_a_request_that_no_endpoint_accepted_is_rejected_with_retry_after() -> None:
    policy = make_policy([make_record(1)])
    (attempt,) = started_attempts(run_event(policy, InMemoryCounter(), START, make_request(1, cls=2)))
    rejection, *_ = policy.handle(START + 3.99, make_finished(1, attempt, Outcome.OVERLOADED))
    assert isinstance(rejection, Reject)
    assert rejection.retry_after > 0
