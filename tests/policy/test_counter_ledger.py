"""Reconciling with the counter's totals: overflow, deficits, lost replies and lost totals."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from gateway.policy.actions import AddToCounter, StartAttempt
from gateway.policy.events import Outcome
from tests.support.policy import (
    START,
    FakeCounter,
    counter_calls,
    make_finished,
    make_fleet,
    make_request,
    only_lease,
    quota_level,
    serve,
    serve_many,
    started_attempts,
)

if TYPE_CHECKING:
    from gateway.policy.engine import Policy


# Quota levels drifted apart where each gateway alone knew of the overflow while the quota was full.
def test_gateways_agree_on_a_quota_that_has_overflowed(
    policy: Policy, other_policy: Policy, counter: FakeCounter
) -> None:
    pair = (policy, other_policy)
    # In mid-window: 4 units a second have overflowed since its edge.
    assert serve_many(policy, counter, START, range(20)) == 8
    assert serve_many(other_policy, counter, START + 0.01, range(40, 60)) == 0
    later = START + 5.0  # full again, and overflowing
    kept = sum(only_lease(gateway).credits for gateway in pair)
    admitted = sum(serve(pair[request_id % 2], counter, later, request_id) for request_id in range(60, 100))
    assert admitted == 8 + kept
    for gateway in pair:
        serve(gateway, counter, later + 0.01, 100)
    reserved = [only_lease(gateway).credits for gateway in pair]
    assert reserved == [1.0, 1.0]  # of the units to come; `policy` asked last and has seen both
    assert quota_level(policy) + sum(reserved) == pytest.approx(0.04)


def test_two_gateways_that_lease_at_once_correct_the_overflow_once(counter: FakeCounter) -> None:
    pair = make_fleet(2)
    calls = [
        (gateway, call)
        for index, gateway in enumerate(pair)
        for call in counter_calls(gateway.handle(START, make_request(index)))
    ]
    while calls:
        # Each round both gateways' calls reach the counter before either gets the other's reply.
        replies = [(gateway, counter.answer(call)) for gateway, call in calls]
        calls = [
            (gateway, call)
            for gateway, reply in replies
            for call in counter_calls(gateway.handle(START, reply))
        ]
    assert [only_lease(gateway).credits for gateway in pair] == [2.0, 2.0]
    assert min(quota_level(gateway) for gateway in pair) == pytest.approx(8.0 - 2 * 3.0)


def test_the_deficit_is_carried_over_the_edge_once_and_unspent_credits_are_not(
    policy: Policy, other_policy: Policy, counter: FakeCounter
) -> None:
    assert serve(policy, counter, START, 1)
    lease = only_lease(policy)
    edge = (lease.ledger.window_index + 1) * lease.quota.window_length - lease.quota.phase
    lease.credits = 0.0
    assert serve(other_policy, counter, edge - 0.01, 2)
    leased = only_lease(other_policy).credits
    spent = 1 + serve_many(policy, counter, edge - 0.01, range(10, 40))
    assert leased > 0
    assert spent + leased == 8
    more = sum(
        serve(gateway, counter, edge + 0.01, request_id)
        for request_id in range(50, 70)
        for gateway in (policy, other_policy)
    )
    held = lease.credits + only_lease(other_policy).credits
    assert 1 <= more <= leased
    assert quota_level(other_policy) + held + more == pytest.approx(leased + 0.02 * 4)


class LateCounter(FakeCounter):
    """A counter whose replies to some calls, by their number from 1, come too late."""

    def __init__(self, late_calls: set[int]) -> None:
        super().__init__()
        self.late_calls = late_calls

    def serve(self, policy: Policy, now: float, request_id: int) -> bool:
        """Serve a request at once; return whether an attempt was started."""
        actions = policy.handle(now, make_request(request_id))
        for action in actions:
            if isinstance(action, AddToCounter):
                self.drops_replies = self.calls + 1 in self.late_calls
                actions += policy.handle(now, self.answer(action))
            elif isinstance(action, StartAttempt):
                actions += policy.handle(now, make_finished(request_id, action, Outcome.OK, closed=True))
        return bool(started_attempts(actions))


# A lost reply must not leave units in the window's total that a customer then lacks until the edge.
@pytest.mark.parametrize(
    "late_calls",
    [
        pytest.param({2}, id="one"),
        pytest.param({2, 3}, id="two"),
        pytest.param({4, 5, 6}, id="three"),
        pytest.param(set(range(2, 30, 3)), id="each-third"),
    ],
)
def test_lost_counter_replies_leave_a_customer_its_quota(late_calls: set[int]) -> None:
    counter = LateCounter(late_calls)
    pair = make_fleet(2)
    # In mid-window, when 40 units and more have overflowed: 4 s of twice the quota.
    admitted = sum(
        counter.serve(pair[request_id % 2], START + request_id / 8, request_id) for request_id in range(32)
    )
    assert 20 <= admitted <= 8 + 4 * 4 + 2 * 3


# A gateway may die before it corrects what it added to a total in error.
def test_a_total_above_what_leases_can_take_is_corrected(policy: Policy, counter: FakeCounter) -> None:
    assert serve(policy, counter, START, 1)
    for name in counter.totals:
        counter.totals[name] += 60.0
    admitted = sum(serve(policy, counter, START + request_id / 8, request_id) for request_id in range(8, 40))
    assert 12 <= admitted <= 24


def test_a_counter_that_lost_its_totals_gets_back_what_this_gateway_added(
    policy: Policy, counter: FakeCounter
) -> None:
    before = serve_many(policy, counter, START, range(3))
    counter.lose_totals()
    more = serve_many(policy, counter, START + 0.01, range(10, 30))
    assert before + more <= 9.5
