"""Reconciling with the counter's totals: overflow, deficits, lost replies and lost totals."""

from __future__ import annotations

import pytest

from gateway.policy.actions import AddToCounter, StartAttempt
from gateway.policy.engine import Policy
from gateway.policy.events import Outcome
from tests.support.policy import (
    START,
    FakeCounter,
    make_finished,
    make_policy,
    make_request,
    only_lease,
    quota_level,
    serve,
    started_attempts,
)


# Quota levels drifted apart where each gateway alone knew of the overflow while the quota was full.
def test_gateways_agree_on_a_quota_that_has_overflowed() -> None:
    counter = FakeCounter()
    one, other = make_policy(me="0"), make_policy(me="1")
    # In mid-window: 4 units a second have overflowed since its edge.
    assert sum(serve(one, counter, START, request_id) for request_id in range(20)) == 8
    assert not any(serve(other, counter, START + 0.01, request_id) for request_id in range(40, 60))
    later = START + 5.0  # full again, and overflowing
    kept = only_lease(one).credits + only_lease(other).credits
    admitted = sum(
        serve((one, other)[request_id % 2], counter, later, request_id) for request_id in range(60, 100)
    )
    assert admitted == 8 + kept
    for policy in (one, other):
        serve(policy, counter, later + 0.01, 100)
    reserved = [only_lease(policy).credits for policy in (one, other)]
    assert reserved == [1.0, 1.0]  # of the units to come; `one` asked last and has seen both
    assert quota_level(one) + sum(reserved) == pytest.approx(0.04)


def test_two_gateways_that_lease_at_once_correct_the_overflow_once() -> None:
    counter = FakeCounter()
    pair = [make_policy(me=str(n)) for n in range(2)]
    calls = [(policy, policy.handle(START, make_request(n))) for n, policy in enumerate(pair)]
    while any(isinstance(a, AddToCounter) for _, found in calls for a in found):
        # Each round both gateways' calls reach the counter before either hears of the other's.
        answers = [(m, counter.answer(a)) for m, found in calls for a in found if isinstance(a, AddToCounter)]
        calls = [(policy, policy.handle(START, answer)) for policy, answer in answers]
    assert [only_lease(policy).credits for policy in pair] == [2.0, 2.0]
    assert min(quota_level(policy) for policy in pair) == pytest.approx(8.0 - 2 * 3.0)


def test_the_deficit_is_carried_over_the_edge_once_and_unspent_credits_are_not() -> None:
    counter = FakeCounter()
    one, other = make_policy(me="0"), make_policy(me="1")
    assert serve(one, counter, START, 1)
    lease = only_lease(one)
    edge = (lease.ledger.window_index + 1) * lease.quota.window_length - lease.quota.phase
    lease.credits = 0.0
    assert serve(other, counter, edge - 0.01, 2)
    leased = only_lease(other).credits
    spent = 1 + sum(serve(one, counter, edge - 0.01, request_id) for request_id in range(10, 40))
    assert leased > 0
    assert spent + leased == 8
    now = edge + 0.01
    more = sum(
        serve(policy, counter, now, request_id) for request_id in range(50, 70) for policy in (one, other)
    )
    held = lease.credits + only_lease(other).credits
    assert 1 <= more <= leased
    assert quota_level(other) + held + more == pytest.approx(leased + 0.02 * 4)


# A lost reply must not leave units in the window's total that a customer then lacks until the edge.
@pytest.mark.parametrize("late", [{2}, {2, 3}, {4, 5, 6}, set(range(2, 30, 3))])
def test_lost_counter_replies_leave_a_customer_its_quota(late: set[int]) -> None:
    counter = FakeCounter()
    pair = [make_policy(me=str(n)) for n in range(2)]

    def ask(policy: Policy, now: float, request_id: int) -> bool:
        found = policy.handle(now, make_request(request_id))
        for action in found:
            if isinstance(action, AddToCounter):
                counter.late = counter.calls + 1 in late
                found += policy.handle(now, counter.answer(action))
            elif isinstance(action, StartAttempt):
                found += policy.handle(now, make_finished(request_id, action, Outcome.OK, closed=True))
        return bool(started_attempts(found))

    # In mid-window, when 40 units and more have overflowed: 4 s of twice the quota.
    admitted = sum(ask(pair[request_id % 2], START + request_id / 8, request_id) for request_id in range(32))
    assert 20 <= admitted <= 8 + 4 * 4 + 2 * 3


# A gateway may die before it corrects what it added to a total in error.
def test_a_total_above_what_leases_can_take_is_corrected() -> None:
    counter, policy = FakeCounter(), make_policy()
    assert serve(policy, counter, START, 1)
    for name in counter.totals:
        counter.totals[name] += 60.0
    admitted = sum(serve(policy, counter, START + request_id / 8, request_id) for request_id in range(8, 40))
    assert 12 <= admitted <= 24


def test_a_counter_that_lost_its_totals_gets_back_what_this_gateway_added() -> None:
    counter, policy = FakeCounter(), make_policy()
    before = sum(serve(policy, counter, START, request_id) for request_id in range(3))
    counter.lose()
    more = sum(serve(policy, counter, START + 0.01, 10 + request_id) for request_id in range(20))
    assert before + more <= 9.5
