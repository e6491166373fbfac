"""Admission, waiting and rejection; the local quota while the counter is not to be asked."""

from __future__ import annotations

import pytest

from gateway.policy.actions import AddToCounter, Reject, StartAttempt
from gateway.policy.admission import MAX_WAIT_FRACTION
from gateway.policy.context import TICK_SECONDS
from gateway.policy.events import (
    ClientDisconnected,
    Outcome,
    ProbeFinished,
    Request,
    TimerFired,
)
from gateway.policy.quota import LeaseKey, QuotaKind
from tests.support.policy import (
    START,
    FakeCounter,
    SpentCounter,
    make_finished,
    make_policy,
    make_request,
    only_lease,
    run_event,
    serve,
    started_attempts,
)


def test_a_denied_lease_rejects_without_further_calls() -> None:
    counter, policy = FakeCounter(), make_policy()
    for request_id in range(30):
        serve(policy, counter, START, request_id)
    calls = counter.calls
    found = run_event(policy, counter, START + 0.001, make_request(99))
    assert counter.calls == calls
    (rejection,) = (a for a in found if isinstance(a, Reject))
    assert 0 < rejection.retry_after <= 1.0


def test_denials_in_a_row_back_off_by_the_number_of_competing_gateways() -> None:
    counter = FakeCounter()
    fleet = [make_policy(me=str(n), peers_total="40") for n in range(40)]
    admitted, now, calls = 0, START, 0
    for request_id in range(4000):  # 100 requests a second for 4 units
        now += 0.01
        admitted += serve(fleet[request_id * 7 % 40], counter, now, request_id, gateway_set_size=40)
        if request_id == 1999:
            calls = counter.calls
    assert 4 * 40 * 0.8 <= admitted <= 1.2 * (4 * 40 + 8)
    assert counter.calls - calls < 3 * 4 * 20  # in 20 s: about a call and a half for each unit


def test_a_request_waits_for_its_call_and_then_goes_by_the_local_quota() -> None:
    counter, policy = FakeCounter(), make_policy()
    limiter = policy.counter_rate_limiter
    limiter.calls.reset(0.0, START)
    limiter.rate = 1.0
    assert not run_event(policy, counter, START, make_request(1))[0:0]
    assert not counter.calls
    assert not started_attempts(run_event(policy, counter, START, TimerFired(1)))
    limiter.calls.tokens = 5.0
    assert started_attempts(run_event(policy, counter, START + TICK_SECONDS, TimerFired(1)))
    assert counter.calls
    limiter.calls.reset(0.0, START + TICK_SECONDS)
    limiter.rate = 0.1
    later = [*run_event(policy, counter, START + TICK_SECONDS, make_request(2, customer=6))]
    patience = MAX_WAIT_FRACTION * policy.settings.classes[0].latency_objective
    later += run_event(policy, counter, START + 2 * TICK_SECONDS + patience, TimerFired(1))
    assert [a.request_id for a in later if isinstance(a, StartAttempt | Reject)] == [2]


def test_a_rejected_counter_call_is_retried() -> None:
    counter, policy = FakeCounter(), make_policy()
    counter.outcome = Outcome.OVERLOADED
    assert not [
        a for a in run_event(policy, counter, START, make_request(1)) if isinstance(a, StartAttempt | Reject)
    ]
    counter.outcome = Outcome.OK
    timeout = policy.settings.counter_timeout
    assert started_attempts(run_event(policy, counter, START + 2 * timeout, TimerFired(1)))


def test_an_unresponsive_counter_leaves_the_local_quota() -> None:
    counter, policy = FakeCounter(), make_policy()
    counter.outcome = Outcome.TIMEOUT
    admitted = sum(serve(policy, counter, START + n / 10, n) for n in range(300))
    assert 60 * 0.8 <= admitted <= 60 * 1.2  # 30 s of half the rate: 3 gateways, over_cost 1


# A client may disconnect while its request waits for a counter call, for a lease or for capacity: nothing is
# leased for it or sent, whatever events come in the next 0.3 s.
@pytest.mark.parametrize("waits_for", ["turn", "lease", "room"])
def test_nothing_is_leased_or_sent_for_a_disconnected_client(waits_for: str) -> None:
    policy, counter = make_policy(), FakeCounter()
    (first,) = started_attempts(run_event(policy, counter, START, make_request(1, customer=9)))
    if waits_for == "turn":
        policy.counter_rate_limiter.calls.tokens = -1e6
    if waits_for == "room":
        policy.concurrency_limiter.concurrency_limit = 1e-9
        found = run_event(policy, counter, START + 0.1, make_request(2))
    else:
        found = policy.handle(START + 0.1, make_request(2))
    calls = [a for a in found if isinstance(a, AddToCounter)] if waits_for == "lease" else []
    assert not started_attempts(found)
    assert 2 in policy.pending
    assert bool(calls) == (waits_for == "lease")
    policy.handle(START + 0.15, ClientDisconnected(2))
    assert 2 not in policy.pending
    assert not policy.leases.by_customer[LeaseKey(5, QuotaKind.RATE)].waiters
    policy.counter_rate_limiter.calls.tokens = 100.0
    policy.concurrency_limiter.concurrency_limit = 10.0
    found = [action for call in calls for action in policy.handle(START + 0.2, counter.answer(call))]
    found += run_event(policy, counter, START + 0.2, make_finished(1, first, Outcome.OK))
    asked = counter.calls
    for step in range(8):
        found += run_event(policy, counter, START + 0.2 + step * TICK_SECONDS, TimerFired(1))
    assert not started_attempts(found)
    assert counter.calls == asked


# Of many gateways each sees most customers for the first time.  Where the counter takes few calls, customers
# within their quotas must not all be rejected; where leases are denied, few are to be admitted.
def test_an_unknown_customers_first_request_goes_by_the_plans_grant_ratio() -> None:
    def unasked(spent: float) -> int:
        policy, counter = make_policy(peers_total="100", caps__probes="false"), SpentCounter()
        counter.by_others = spent
        for customer in range(1000, 1040):
            serve(policy, counter, START + customer - 1000, customer, customer=customer, gateway_set_size=100)
        policy.counter_rate_limiter.failure_ratio.value = 1.0  # the counter is unavailable from here on
        return sum(
            serve(policy, counter, START, request_id, customer=request_id, gateway_set_size=100)
            for request_id in range(2000, 2300)
        )

    assert unasked(0.0) > 2 * unasked(1e3) > 0


def test_at_high_utilization_only_the_counter_admits_unless_it_is_unavailable() -> None:
    """Hundreds of gateways must not each admit a first request while the endpoints are overloaded."""
    policy = make_policy(
        caps__may_probe="true", report__how="pull", report__columns="inflight", peers_total="300"
    )
    for _ in range(30):
        policy.handle(START, ProbeFinished(1, Outcome.OK, 0.01, (40.0,)))
    policy.handle(START, make_request(1))
    assert not policy.local_admission.has_tokens(only_lease(policy), 1.0)
    policy.counter_rate_limiter.failure_ratio.value = 1.0
    assert policy.local_admission.has_tokens(only_lease(policy), 1.0)


def test_the_local_quota_of_slots_refills_in_a_latency() -> None:
    counter, policy = FakeCounter(), make_policy(peers_total="100")
    counter.outcome = Outcome.TIMEOUT
    asked = Request(0, 0, 2, 5, 4.0, 1.0, 100, 0, False, False)
    admitted = 0
    for request_id in range(300):
        asked.request_id = request_id
        sent = started_attempts(run_event(policy, counter, START + request_id / 30, asked))
        admitted += len(sent)
        asked = Request(0, 0, 2, 5, 4.0, 1.0, 100, 0, False, False)
        for send in sent:
            run_event(
                policy,
                counter,
                START + request_id / 30 + 0.01,
                make_finished(request_id, send, Outcome.OK, closed=True),
            )
    assert 1 <= admitted <= 30


def test_rejections_have_retry_after_whatever_the_clients_are_said_to_do() -> None:
    """Each rejection has a Retry-After, also where the settings say that clients at large do not heed it."""
    policy, counter = make_policy(caps__retry_after="false", caps__max_retry_after_s="1.5"), FakeCounter()
    found = [a for n in range(20) for a in run_event(policy, counter, START, make_request(n, plan=1))]
    rejections = [a for a in found if isinstance(a, Reject)]
    assert rejections
    assert all(0 < r.retry_after <= 1.5 for r in rejections)
