"""The choice of an endpoint: load reports, probes, outliers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from gateway.policy.actions import Action, Probe
from gateway.policy.events import (
    Outcome,
    ProbeFinished,
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
    started_attempts,
)

if TYPE_CHECKING:
    from gateway.policy.endpoints import Endpoint
    from gateway.policy.engine import Policy


def expected_latency(policy: Policy, endpoint: Endpoint) -> float:
    mean_latency = policy.concurrency_limiter.mean_latency
    started_at = endpoint.in_flight.values()
    return endpoint.outlier_detector.expected_latency(policy.context.now, mean_latency, started_at)


def estimated_load(policy: Policy, endpoint: Endpoint) -> float:
    return policy.concurrency_limiter.estimated_load(endpoint.load_report)


def test_an_endpoint_without_a_report_counts_as_busier_than_the_mean() -> None:
    policy = make_policy(caps__may_probe="true", report__how="pull", report__columns="queue,util,inflight")
    (probe,) = actions_of(policy.handle(START, make_request(1)), Probe)
    for endpoint_id in policy.endpoints.by_id:
        policy.handle(START, ProbeFinished(endpoint_id, Outcome.OK, 0.01, (0.0, 0.5, 2.0)))
    policy.handle(START, ProbeFinished(probe.endpoint_id, Outcome.OK, 0.01, ()))
    without_report = estimated_load(policy, policy.endpoints.by_id[probe.endpoint_id])
    assert all(without_report > estimated_load(policy, endpoint) - 0.5 for endpoint in policy.endpoints.ready)
    assert without_report > 1 + policy.concurrency_limiter.mean_load


@pytest.mark.parametrize(
    ("columns", "probes"),
    [
        pytest.param("latency_ms", False, id="without-load"),
        pytest.param("latency_ms,inflight", True, id="with-load"),
    ],
)
def test_probes_are_sent_only_if_load_reports_state_a_load(*, columns: str, probes: bool) -> None:
    policy = make_policy(caps__may_probe="true", report__how="pull", report__columns=columns)
    actions: list[Action] = []
    for request_id in range(20):
        request = make_request(request_id, customer=request_id)
        actions += run_event(policy, InMemoryCounter(), START + request_id, request)
    assert bool(actions_of(actions, Probe)) == probes


def test_a_failed_connection_ejects_an_endpoint_until_its_latency_has_decayed() -> None:
    policy = make_policy([make_record(1), make_record(2)], tariffs__0__quota_rate="0")
    (attempt,) = started_attempts(policy.handle(START, make_request(1)))
    policy.handle(START + 0.25, make_finished(1, attempt, Outcome.CONNECT_FAILED))
    endpoint = policy.endpoints.by_id[attempt.endpoint_id]
    mean_latency = policy.concurrency_limiter.mean_latency
    assert expected_latency(policy, endpoint) > 5 * mean_latency
    policy.context.now = START + 30
    assert expected_latency(policy, endpoint) < 1.1 * mean_latency
    assert policy.concurrency_limiter.concurrency_limit == pytest.approx(12 / 3)


# Guards against a missed outage of one class: the endpoint still responds to other classes, so that its last
# response to any class is recent.
def test_an_endpoint_unresponsive_to_one_class_is_avoided_for_that_class_only() -> None:
    policy = make_policy([make_record(1), make_record(2)], tariffs__0__quota_rate="0")
    (attempt,) = started_attempts(policy.handle(START, make_request(1)))
    policy.handle(START + 2.0, TimerFired(1))
    detector = policy.endpoints.by_id[attempt.endpoint_id].outlier_detector
    detector.last_response_at = START + 2.0
    detector.last_outcome_at = START + 2.0
    assert 0 in detector.unresponsive_classes
    assert 1 not in detector.unresponsive_classes
    (later,) = started_attempts(policy.handle(START + 2.5, make_request(2)))
    assert later.endpoint_id != attempt.endpoint_id
    policy.handle(START + 2.6, make_finished(1, attempt, Outcome.OK, closed=True))
    assert not detector.unresponsive_classes
