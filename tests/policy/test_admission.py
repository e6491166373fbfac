"""Admission of requests: by leases, after waiting for one, or by the local quota; and rejection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from gateway.policy.actions import Action, Reject, StartAttempt
from gateway.policy.admission import MAX_WAIT_FRACTION
from gateway.policy.context import TICK_SECONDS
from gateway.policy.events import ClientDisconnected, Outcome, TimerFired
from gateway.policy.quota import LeaseKey, QuotaKind
from tests.support.policy import (
    START,
    InMemoryCounter,
    counter_calls,
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


def test_after_a_denied_lease_requests_are_rejected_without_counter_calls(
    policy: Policy, counter: InMemoryCounter
) -> None:
    serve_many(policy, counter, START, range(30))
    calls = counter.calls
    actions = run_event(policy, counter, START + 0.001, make_request(99))
    assert counter.calls == calls
    (rejection,) = (action for action in actions if isinstance(action, Reject))
    assert 0 < rejection.retry_after <= 1.0


# Guards against each of many gateways requesting each unit that accrues, which the backoff after consecutive
# denials prevents.
def test_many_gateways_of_a_denied_customer_make_few_counter_calls(counter: InMemoryCounter) -> None:
    fleet = make_fleet(40, peers_total="40")
    admitted = 0
    now = START
    calls = 0
    for request_id in range(4000):  # 100 requests per second, of a quota of 4 units per second
        now += 0.01
        admitted += serve(fleet[request_id * 7 % 40], counter, now, request_id, gateway_set_size=40)
        if request_id == 1999:
            calls = counter.calls
    assert 4 * 40 * 0.8 <= admitted <= 1.2 * (4 * 40 + 8)
    assert counter.calls - calls < 3 * 4 * 20  # in 20 s: about 1.5 calls per unit, at most 3


# Requests wait while the rate limiter allows no counter call.  Request 1 is admitted once a call is allowed.
# For request 2 none is allowed, so the local quota decides on it after the longest wait.
def test_a_request_waits_for_a_counter_call_no_longer_than_the_longest_wait(
    policy: Policy, counter: InMemoryCounter
) -> None:
    limiter = policy.counter_rate_limiter
    limiter.call_tokens.reset(0.0, START)
    limiter.rate = 1.0
    assert not started_attempts(run_event(policy, counter, START, make_request(1)))
    assert not counter.calls
    assert not started_attempts(run_event(policy, counter, START, TimerFired(1)))
    limiter.call_tokens.tokens = 5.0
    now = START + TICK_SECONDS
    assert started_attempts(run_event(policy, counter, now, TimerFired(1)))
    assert counter.calls
    limiter.call_tokens.reset(0.0, now)
    limiter.rate = 0.1
    later = [*run_event(policy, counter, now, make_request(2, customer=6))]
    max_wait = MAX_WAIT_FRACTION * policy.settings.classes[0].latency_objective
    later += run_event(policy, counter, START + 2 * TICK_SECONDS + max_wait, TimerFired(1))
    answers = [action for action in later if isinstance(action, StartAttempt | Reject)]
    assert [answer.request_id for answer in answers] == [2]


def test_a_rejected_counter_call_is_retried(policy: Policy, counter: InMemoryCounter) -> None:
    counter.outcome = Outcome.OVERLOADED
    actions = run_event(policy, counter, START, make_request(1))
    assert not [action for action in actions if isinstance(action, StartAttempt | Reject)]
    counter.outcome = Outcome.OK
    timeout = policy.settings.counter_timeout
    assert started_attempts(run_event(policy, counter, START + 2 * timeout, TimerFired(1)))


def start_waiting(policy: Policy, counter: InMemoryCounter, waits_for: str) -> list[Action]:
    """Start request 2, which has to wait; return the actions.

    If it waits for a lease, its counter call is among them and unanswered.
    """
    now = START + 0.1
    if waits_for == "capacity":
        policy.concurrency_limiter.concurrency_limit = 1e-9
        return run_event(policy, counter, now, make_request(2))
    if waits_for == "call":
        policy.counter_rate_limiter.call_tokens.tokens = -1e6
    return policy.handle(now, make_request(2))


# Guards against leasing units or starting attempts for a client that disconnected while its request waited
# for a counter call, for a lease or for capacity: no later event may lead to either.
@pytest.mark.parametrize("waits_for", ["call", "lease", "capacity"])
def test_no_lease_or_attempt_follows_for_a_disconnected_client(
    waits_for: str, policy: Policy, counter: InMemoryCounter
) -> None:
    (first,) = started_attempts(run_event(policy, counter, START, make_request(1, customer=9)))
    actions = start_waiting(policy, counter, waits_for)
    unanswered_calls = counter_calls(actions) if waits_for == "lease" else []
    assert not started_attempts(actions)
    assert 2 in policy.pending
    assert bool(unanswered_calls) == (waits_for == "lease")
    policy.handle(START + 0.15, ClientDisconnected(2))
    assert 2 not in policy.pending
    assert not policy.leases.by_key[LeaseKey(5, QuotaKind.RATE)].waiters
    policy.counter_rate_limiter.call_tokens.tokens = 100.0
    policy.concurrency_limiter.concurrency_limit = 10.0
    now = START + 0.2
    later = [action for call in unanswered_calls for action in policy.handle(now, counter.answer(call))]
    later += run_event(policy, counter, now, make_finished(1, first, Outcome.OK))
    calls = counter.calls
    for step in range(8):
        later += run_event(policy, counter, now + step * TICK_SECONDS, TimerFired(1))
    assert not started_attempts(later)
    assert counter.calls == calls


# Guards against requests that are kept, and leased for, after they were rejected near their deadline while
# the counter call that they waited for was unanswered.
def test_a_request_that_is_given_up_no_longer_waits_for_a_lease(policy: Policy) -> None:
    assert counter_calls(policy.handle(START, make_request(1)))
    lease = policy.leases.by_key[LeaseKey(5, QuotaKind.RATE)]
    assert lease.awaited_units() == 1.0
    later = policy.handle(START + 4.0, TimerFired(1))
    assert [action.request_id for action in later if isinstance(action, Reject)] == [1]
    assert not lease.waiters
    assert lease.awaited_units() == 0.0


def test_rejections_have_a_retry_after_even_if_most_clients_ignore_it(counter: InMemoryCounter) -> None:
    """The setting `caps.retry_after`, whether clients usually obey a Retry-After, makes no difference."""
    policy = make_policy(caps__retry_after="false", caps__max_retry_after_s="1.5")
    actions = [
        action
        for request_id in range(20)
        for action in run_event(policy, counter, START, make_request(request_id, plan=1))
    ]
    rejections = [action for action in actions if isinstance(action, Reject)]
    assert rejections
    assert all(0 < rejection.retry_after <= 1.5 for rejection in rejections)
