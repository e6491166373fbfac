"""Eviction of leases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gateway.policy.events import Outcome, TimerFired
from gateway.policy.lease_table import MAX_IDLE_SECONDS
from tests.support.policy import (
    START,
    InMemoryCounter,
    make_finished,
    make_request,
    run_event,
    serve,
    started_attempts,
)

if TYPE_CHECKING:
    from gateway.policy.engine import Policy


def test_idle_leases_are_evicted(policy: Policy, counter: InMemoryCounter) -> None:
    serve(policy, counter, START, 1)
    policy.context.now = START + MAX_IDLE_SECONDS + 1
    policy.leases.reclaim_idle_credits()
    assert not policy.leases.by_key


# Guards against a table that grows with each customer that sends a single request, and against evicting a
# lease in use.
def test_leases_are_evicted_unless_a_request_holds_their_credits(
    policy: Policy, counter: InMemoryCounter
) -> None:
    (in_flight,) = started_attempts(run_event(policy, counter, START, make_request(1, customer=1)))
    for number in range(2, 40):
        now = START + number
        (attempt,) = started_attempts(run_event(policy, counter, now, make_request(number, customer=number)))
        run_event(policy, counter, now, make_finished(number, attempt, Outcome.OK, closed=True))
    for _ in range(3):
        run_event(policy, counter, START + 60, TimerFired(1))
        policy.reclaim_at = 0.0
    assert {key.customer for key in policy.leases.by_key} == {1, *range(30, 40)}
    policy.handle(START + 61, make_finished(1, in_flight, Outcome.OK, closed=True))
    policy.handle(START + 200, TimerFired(1))
    assert not policy.leases.by_key
