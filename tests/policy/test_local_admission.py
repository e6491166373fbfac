"""Admission by the local quota, without the counter."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gateway.policy.events import Outcome, ProbeFinished
from tests.support.policy import (
    START,
    InMemoryCounter,
    PreloadedCounter,
    make_finished,
    make_policy,
    make_request,
    only_lease,
    run_event,
    serve,
    started_attempts,
)

if TYPE_CHECKING:
    from gateway.policy.engine import Policy


def test_the_local_quota_applies_while_the_counter_does_not_reply(
    policy: Policy, counter: InMemoryCounter
) -> None:
    counter.outcome = Outcome.TIMEOUT
    admitted = sum(serve(policy, counter, START + request_id / 10, request_id) for request_id in range(300))
    assert 60 * 0.8 <= admitted <= 60 * 1.2  # 30 s at half the rate: 3 gateways, over_cost 1


def admitted_new_customers(initial_total: float) -> int:
    """Return how many of 300 new customers are admitted once the counter fails.

    Before that, it replies to lease requests of 40 other customers; their totals start at `initial_total`.
    """
    policy = make_policy(peers_total="100", caps__may_probe="false")
    counter = PreloadedCounter()
    counter.initial_total = initial_total
    for customer in range(1000, 1040):
        serve(policy, counter, START + customer - 1000, customer, customer=customer, gateway_set_size=100)
    policy.counter_rate_limiter.failure_ratio.value = 1.0  # from now on, the counter counts as unavailable
    return sum(
        serve(policy, counter, START, customer, customer=customer, gateway_set_size=100)
        for customer in range(2000, 2300)
    )


# In a large deployment, each gateway sees most customers for the first time.  Guards against rejecting all of
# them while the counter accepts few calls, although they are within their quotas, and against admitting many
# of them although the leases of their plan are denied.
def test_the_first_request_of_a_customer_is_admitted_by_the_plans_grant_ratio() -> None:
    after_grants = admitted_new_customers(0.0)
    after_denials = admitted_new_customers(1e3)
    assert after_grants > 2 * after_denials
    assert after_denials > 0


def test_at_high_utilization_the_local_quota_is_used_only_without_a_counter() -> None:
    """Guards against hundreds of gateways that each admit a first request to overloaded endpoints."""
    policy = make_policy(
        caps__may_probe="true", report__how="pull", report__columns="inflight", peers_total="300"
    )
    for _ in range(30):
        policy.handle(START, ProbeFinished(1, Outcome.OK, 0.01, (40.0,)))
    policy.handle(START, make_request(1))
    assert not policy.local_admission.has_tokens(only_lease(policy), 1.0)
    policy.counter_rate_limiter.failure_ratio.value = 1.0
    assert policy.local_admission.has_tokens(only_lease(policy), 1.0)


def test_the_local_quota_of_slots_refills_within_a_mean_latency(counter: InMemoryCounter) -> None:
    policy = make_policy(peers_total="100")
    counter.outcome = Outcome.TIMEOUT
    admitted = 0
    for request_id in range(300):
        now = START + request_id / 30
        request = make_request(request_id, plan=2, gateway_set_size=100)
        attempts = started_attempts(run_event(policy, counter, now, request))
        admitted += len(attempts)
        for attempt in attempts:
            finished = make_finished(request_id, attempt, Outcome.OK, closed=True)
            run_event(policy, counter, now + 0.01, finished)
    assert 1 <= admitted <= 30
