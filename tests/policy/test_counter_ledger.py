"""Reconciliation with the counter's totals: overflow, carried deficits, lost replies and lost totals."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from gateway.policy.actions import AddToCounter, StartAttempt
from gateway.policy.events import Outcome
from tests.support.policy import (
    START,
    InMemoryCounter,
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


# Guards against gateways that compute different levels because a full quota's overflow is not in the total.
def test_gateways_agree_on_a_quota_that_has_overflowed(
    policy: Policy, other_policy: Policy, counter: InMemoryCounter
) -> None:
    pair = (policy, other_policy)
    # START is within a window: 4 units per second have overflowed since the window began.
    assert serve_many(policy, counter, START, range(20)) == 8
    assert serve_many(other_policy, counter, START + 0.01, range(40, 60)) == 0
    later = START + 5.0  # the quota is full again, and overflows
    unspent = sum(only_lease(gateway).credits for gateway in pair)
    admitted = sum(serve(pair[request_id % 2], counter, later, request_id) for request_id in range(60, 100))
    assert admitted == 8 + unspent
    for gateway in pair:
        serve(gateway, counter, later + 0.01, 100)
    # Each has leased a unit ahead.  `policy` called the counter last, so its total has both.
    leased_ahead = [only_lease(gateway).credits for gateway in pair]
    assert leased_ahead == [1.0, 1.0]
    assert quota_level(policy) + sum(leased_ahead) == pytest.approx(0.04)


def test_two_gateways_that_lease_at_the_same_time_count_the_overflow_once(counter: InMemoryCounter) -> None:
    pair = make_fleet(2)
    calls = [
        (gateway, call)
        for index, gateway in enumerate(pair)
        for call in counter_calls(gateway.handle(START, make_request(index)))
    ]
    while calls:
        # In each round the calls of both gateways reach the counter before either gateway gets a reply.
        replies = [(gateway, counter.answer(call)) for gateway, call in calls]
        calls = [
            (gateway, call)
            for gateway, reply in replies
            for call in counter_calls(gateway.handle(START, reply))
        ]
    assert [only_lease(gateway).credits for gateway in pair] == [2.0, 2.0]
    assert min(quota_level(gateway) for gateway in pair) == pytest.approx(8.0 - 2 * 3.0)


def test_the_deficit_is_carried_into_the_next_window_once_and_unspent_credits_expire(
    policy: Policy, other_policy: Policy, counter: InMemoryCounter
) -> None:
    assert serve(policy, counter, START, 1)
    lease = only_lease(policy)
    boundary = (lease.ledger.window_index + 1) * lease.quota.window_length - lease.quota.phase
    lease.credits = 0.0
    assert serve(other_policy, counter, boundary - 0.01, 2)
    leased = only_lease(other_policy).credits
    spent = 1 + serve_many(policy, counter, boundary - 0.01, range(10, 40))
    assert leased > 0
    assert spent + leased == 8
    admitted_after = sum(
        serve(gateway, counter, boundary + 0.01, request_id)
        for request_id in range(50, 70)
        for gateway in (policy, other_policy)
    )
    unspent = lease.credits + only_lease(other_policy).credits
    assert 1 <= admitted_after <= leased
    assert quota_level(other_policy) + unspent + admitted_after == pytest.approx(leased + 0.02 * 4)


class LossyCounter(InMemoryCounter):
    """A counter that runs all calls, but whose replies to some of them, numbered from 1, are lost."""

    def __init__(self, lost_replies: set[int]) -> None:
        super().__init__()
        self.lost_replies = lost_replies

    def serve(self, policy: Policy, now: float, request_id: int) -> bool:
        """Handle a request and finish its attempt at once; return whether an attempt was started."""
        actions = policy.handle(now, make_request(request_id))
        for action in actions:
            if isinstance(action, AddToCounter):
                self.drops_replies = self.calls + 1 in self.lost_replies
                actions += policy.handle(now, self.answer(action))
            elif isinstance(action, StartAttempt):
                actions += policy.handle(now, make_finished(request_id, action, Outcome.OK, closed=True))
        return bool(started_attempts(actions))


# Guards against lost replies that leave units in the total, which the customer lacks until the window ends.
@pytest.mark.parametrize(
    "lost_replies",
    [
        pytest.param({2}, id="one"),
        pytest.param({2, 3}, id="two"),
        pytest.param({4, 5, 6}, id="three"),
        pytest.param(set(range(2, 30, 3)), id="each-third"),
    ],
)
def test_a_customer_gets_its_quota_despite_lost_counter_replies(lost_replies: set[int]) -> None:
    counter = LossyCounter(lost_replies)
    pair = make_fleet(2)
    # START is within a window in which more than 40 units have overflowed.  The requests last 4 s, at twice
    # the quota's rate.
    admitted = sum(
        counter.serve(pair[request_id % 2], START + request_id / 8, request_id) for request_id in range(32)
    )
    assert 20 <= admitted <= 8 + 4 * 4 + 2 * 3


# Guards against units that stay in the total because a gateway stopped before it corrected its own error.
def test_a_total_higher_than_leases_can_make_it_is_corrected(
    policy: Policy, counter: InMemoryCounter
) -> None:
    assert serve(policy, counter, START, 1)
    for name in counter.totals:
        counter.totals[name] += 60.0
    admitted = sum(serve(policy, counter, START + request_id / 8, request_id) for request_id in range(8, 40))
    assert 12 <= admitted <= 24


def test_units_are_added_again_to_a_counter_that_lost_its_totals(
    policy: Policy, counter: InMemoryCounter
) -> None:
    admitted_before = serve_many(policy, counter, START, range(3))
    counter.lose_totals()
    admitted_after = serve_many(policy, counter, START + 0.01, range(10, 30))
    assert admitted_before + admitted_after <= 9.5
