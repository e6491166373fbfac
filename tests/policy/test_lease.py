"""Leases of rate and concurrency quotas: windows, grants, reconciling with the counter's totals."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.policy.actions import AddToCounter, Fail, Reject, StartAttempt
from gateway.policy.context import stable_hash
from gateway.policy.engine import Policy
from gateway.policy.events import (
    CounterReply,
    EndpointUpdate,
    Outcome,
    TimerFired,
    UpdateKind,
)
from gateway.policy.lease_table import MAX_IDLE_SECONDS
from tests.support.policy import (
    START,
    FakeCounter,
    make_finished,
    make_policy,
    make_record,
    make_request,
    only_lease,
    quota_level,
    run_event,
    serve,
    started_attempts,
)

Step = tuple[float, int]


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0.0, 0.6), st.integers(0, 2)), min_size=20, max_size=120),
    st.lists(st.floats(0.0, 2.0), min_size=3, max_size=3),
)
def test_admitted_requests_fit_rate_and_burst(steps: list[Step], sizes: list[float]) -> None:
    """For any arrivals and batch sizes, admitted requests fit rate and burst, but for what was leased ahead.

    That is a burst at most, and a burst more with several gateways: what the others leased before a gateway
    first saw a customer may be old or new.
    """
    for count, least in ((1, -8.0), (3, -16.0)):
        counter = FakeCounter()
        gateways = [make_policy(me=str(n)) for n in range(count)]
        now, quota, at = START, 8.0, START
        for request_id, (gap, who) in enumerate(steps):
            now += gap
            policy = gateways[who % count]
            for lease in policy.leases.by_customer.values():
                lease.sizer.log_batch_size = sizes[who]
            if serve(policy, counter, now, request_id):
                quota = min(8.0, quota + 4.0 * (now - at)) - 1.0
                at = now
                assert quota >= least - 1e-3


def test_a_whole_burst_is_usable_after_an_idle_window() -> None:
    counter, policy = FakeCounter(), make_policy()
    assert sum(serve(policy, counter, START + 9.0, request_id) for request_id in range(20)) >= 7


def test_fractions_of_a_window_are_not_lost() -> None:
    """A window of 1.5 units still admits the whole rate: 1 unit a second for 60 s."""
    changes = {"tariffs__0__quota_rate": "1.0", "tariffs__0__peak_units": "3.0"}
    counter, policy = FakeCounter(), make_policy(**changes)
    admitted = sum(serve(policy, counter, START + request_id / 10, request_id) for request_id in range(600))
    assert 57 <= admitted <= 64


def test_credits_expire_at_the_windows_edge() -> None:
    counter, policy = FakeCounter(), make_policy()
    serve(policy, counter, START, 1)
    lease = only_lease(policy)
    lease.credits = 3.0
    policy.context.now = START + lease.quota.window_length
    lease.roll_window(policy.context.now)
    assert lease.credits == 0.0


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


def test_a_denied_lease_keeps_the_unit_that_accrues_next() -> None:
    """What the quota does not hold is returned, but for the unit that accrues next.

    It is spent then without another call, and the customer is rejected until then.
    """
    counter, policy = FakeCounter(), make_policy()
    admitted = sum(serve(policy, counter, START, request_id) for request_id in range(30))
    assert admitted == 8
    assert quota_level(policy) == pytest.approx(-1.0)
    rejected = [a for a in run_event(policy, counter, START + 0.1, make_request(40)) if isinstance(a, Reject)]
    assert [round(a.retry_after, 3) for a in rejected] == [0.15]  # 4 units a second
    assert not serve(policy, counter, START + 0.24, 41)
    calls = counter.calls
    assert serve(policy, counter, START + 0.26, 42)
    assert counter.calls == calls
    assert not serve(policy, counter, START + 0.3, 43)  # leased, but 0.8 of a unit is missing
    assert quota_level(policy) == pytest.approx(8 + 0.3 * 4 - 10)
    calls = counter.calls
    assert not serve(policy, counter, START + 0.49, 44)
    assert serve(policy, counter, START + 0.51, 45)
    assert counter.calls == calls


@pytest.mark.parametrize("width", [2, 20, 100])
def test_a_customer_of_many_gateways_gets_about_its_quota(width: int) -> None:
    """Four times the quota: nearly all of it and hardly more, however long ago each saw the customer."""
    counter, gateways = FakeCounter(), [make_policy(me=str(n), peers_total=str(width)) for n in range(width)]
    rnd, now, admitted = random.Random(3), START, 0
    for request_id in range(960):
        now += rnd.expovariate(16.0)
        admitted += serve(rnd.choice(gateways), counter, now, request_id)
        for policy in gateways if request_id % 4 == 0 else ():  # idle credits are returned
            run_event(policy, counter, now, TimerFired(1))
    quota = 4 * (now - START) + 8
    assert (0.9 if width == 100 else 0.95) * quota <= admitted <= 1.1 * quota


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


def test_a_queued_requests_credit_under_a_ceiling_expires_with_its_window() -> None:
    counter, policy = FakeCounter(), make_policy()
    policy.concurrency_limiter.late_ratio, policy.concurrency_limiter.concurrency_limit = 1.0, 0.0
    policy.endpoints.by_id.clear()
    policy.endpoints.ready.clear()
    run_event(policy, counter, START, make_request(1, plan=1))
    calls, (lease,) = counter.calls, policy.leases.by_customer.values()
    later, policy.concurrency_limiter.concurrency_limit = START + lease.quota.window_length + 0.01, 4.0
    found = run_event(policy, counter, later, EndpointUpdate(UpdateKind.SNAPSHOT, 2, (make_record(1),)))
    assert counter.calls == calls + 2
    assert not [a for a in found if isinstance(a, Fail)]


def test_idle_leases_are_forgotten() -> None:
    counter, policy = FakeCounter(), make_policy()
    serve(policy, counter, START, 1)
    policy.context.now = START + MAX_IDLE_SECONDS + 1
    policy.leases.reclaim_idle_credits()
    assert not policy.leases.by_customer


def test_hashes_are_stable_and_distinct() -> None:
    assert stable_hash(1, 2, 3) == stable_hash(1, 2, 3)
    assert len({stable_hash(c, w, k) for c in range(50) for w in range(50) for k in range(3)}) == 7500


def test_slots_limit_concurrency_and_are_returned() -> None:
    counter, policy = FakeCounter(), make_policy()
    sent = [
        started_attempts(run_event(policy, counter, START, make_request(request_id, plan=2)))
        for request_id in range(3)
    ]
    assert [len(s) for s in sent] == [1, 1, 0]
    run_event(policy, counter, START + 0.1, make_finished(0, sent[0][0], Outcome.OK, closed=True))
    assert sum(counter.totals.values()) == pytest.approx(1.0)
    assert started_attempts(run_event(policy, counter, START + 1.0, make_request(9, plan=2)))


def test_an_infrequent_customers_next_unit_is_not_leased_ahead() -> None:
    counter, one, other = FakeCounter(), make_policy(me="0"), make_policy(me="1")
    assert sum(serve(one, counter, START, request_id) for request_id in range(30)) == 8
    assert not serve(other, counter, START + 0.01, 40)
    assert only_lease(one).credits == 1.0
    assert only_lease(other).credits == 0.0


def test_the_first_lease_of_a_known_customer_takes_one_call() -> None:
    counter = FakeCounter()
    fleet = [make_policy(me=str(n), peers_total="20") for n in range(20)]
    for n, policy in enumerate(fleet[:8]):
        calls = counter.calls
        assert serve(policy, counter, START, n, gateway_set_size=20)
        assert counter.calls - calls <= (1 if n else 2)  # the first one adds the overflow too


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


@settings(derandomize=True, max_examples=40, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0.0, 0.3), st.integers(0, 2)), min_size=60, max_size=200), st.integers(0, 99)
)
def test_the_ceiling_holds_while_the_counter_fails_and_loses_its_totals(steps: list[Step], lost: int) -> None:
    counter = FakeCounter()
    gateways = [make_policy(me=str(n)) for n in range(3)]
    now, quota, at = START, 16.0, START
    for request_id, (gap, who) in enumerate(steps):
        if request_id == lost:
            counter.lose()
        counter.outcome = Outcome.TIMEOUT if lost / 2 <= request_id < lost else Outcome.OK
        now += gap
        if serve(gateways[who], counter, now, request_id, plan=1):
            quota, at = min(16.0, quota + 8.0 * (now - at)) - 1.0, now
            assert quota >= -1.6


# The table must not grow by customers that come once, nor lose a lease that is in use.
def test_leases_of_customers_that_do_not_return_are_forgotten() -> None:
    policy, counter = make_policy(), FakeCounter()
    (held,) = started_attempts(run_event(policy, counter, START, make_request(1, customer=1)))
    for number in range(2, 40):
        (send,) = started_attempts(
            run_event(policy, counter, START + number, make_request(number, customer=number))
        )
        run_event(policy, counter, START + number, make_finished(number, send, Outcome.OK, closed=True))
    for _ in range(3):
        run_event(policy, counter, START + 60, TimerFired(1))
        policy.reclaim_at = 0.0
    assert {customer for customer, _ in policy.leases.by_customer} == {1, *range(30, 40)}
    policy.handle(START + 61, make_finished(1, held, Outcome.OK, closed=True))
    policy.handle(START + 200, TimerFired(1))
    assert not policy.leases.by_customer
