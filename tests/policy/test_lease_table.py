"""Which leases a gateway keeps."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gateway.policy.events import Outcome, TimerFired
from gateway.policy.lease_table import MAX_IDLE_SECONDS
from tests.support.policy import (
    START,
    FakeCounter,
    make_finished,
    make_request,
    run_event,
    serve,
    started_attempts,
)

if TYPE_CHECKING:
    from gateway.policy.engine import Policy


def test_idle_leases_are_forgotten(policy: Policy, counter: FakeCounter) -> None:
    serve(policy, counter, START, 1)
    policy.context.now = START + MAX_IDLE_SECONDS + 1
    policy.leases.reclaim_idle_credits()
    assert not policy.leases.by_key


# The table must not grow by customers that come once, nor lose a lease that is in use.
def test_leases_of_customers_that_do_not_return_are_forgotten(policy: Policy, counter: FakeCounter) -> None:
    (held,) = started_attempts(run_event(policy, counter, START, make_request(1, customer=1)))
    for number in range(2, 40):
        now = START + number
        (send,) = started_attempts(run_event(policy, counter, now, make_request(number, customer=number)))
        run_event(policy, counter, now, make_finished(number, send, Outcome.OK, closed=True))
    for _ in range(3):
        run_event(policy, counter, START + 60, TimerFired(1))
        policy.reclaim_at = 0.0
    assert {key.customer for key in policy.leases.by_key} == {1, *range(30, 40)}
    policy.handle(START + 61, make_finished(1, held, Outcome.OK, closed=True))
    policy.handle(START + 200, TimerFired(1))
    assert not policy.leases.by_key
