"""Load shedding, and the limit on attempts in flight."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gateway.policy.concurrency_limiter import HEADROOM_DEVIATIONS
from gateway.policy.events import EndpointUpdate, Outcome, ProbeFinished, UpdateKind
from tests.support.policy import (
    START,
    make_finished,
    make_policy,
    make_record,
    make_request,
    started_attempts,
)

if TYPE_CHECKING:
    from gateway.policy.actions import StartAttempt


def test_a_high_reported_load_sheds_attempts_before_latencies_rise() -> None:
    policy = make_policy(caps__may_probe="true", report__how="pull", report__columns="inflight")
    assert all(policy.concurrency_limiter.has_capacity() for _ in range(50))
    for _ in range(30):
        policy.handle(START, ProbeFinished(1, Outcome.OK, 0.01, (40.0,)))
    assert not any(policy.concurrency_limiter.has_capacity() for _ in range(50))


def test_attempts_hung_at_one_endpoint_do_not_block_the_other_endpoints() -> None:
    policy = make_policy([make_record(1), make_record(2)], tariffs__0__quota_rate="0")
    attempts: list[StartAttempt] = []
    for request_id in range(6):
        attempts += started_attempts(policy.handle(START, make_request(request_id)))
    for attempt in attempts:  # the attempts at endpoint 1 stay in flight
        if attempt.endpoint_id == 2:
            finished = make_finished(attempt.request_id, attempt, Outcome.OK, closed=True)
            policy.handle(START + 0.1, finished)
    policy.context.now = START + 1.5
    assert len(policy.endpoints.by_id[1].in_flight) >= 1
    assert policy.concurrency_limiter.has_capacity()
    later = started_attempts(policy.handle(START + 1.5, make_request(99)))
    assert {attempt.endpoint_id for attempt in later} == {2}


# Guards against more attempts than the limit allows: hung attempts at an endpoint that is gone are not among
# the attempts at ready endpoints, so they must not be subtracted from these.
def test_attempts_hung_at_an_endpoint_that_is_gone_leave_the_limit_unchanged() -> None:
    policy = make_policy([make_record(1), make_record(2)], tariffs__0__quota_rate="0")
    limiter = policy.concurrency_limiter
    gone = policy.endpoints.by_id[1]
    for request_id in range(5):
        policy.endpoints.start_attempt(gone, (request_id, 0))
    policy.handle(START, EndpointUpdate(UpdateKind.SNAPSHOT, 2, (make_record(2),)))
    policy.context.now = START + 10.0
    started = 0
    while limiter.has_capacity():
        policy.endpoints.start_attempt(policy.endpoints.by_id[2], (100 + started, 0))
        started += 1
    assert started == math.ceil(
        limiter.concurrency_limit + HEADROOM_DEVIATIONS * math.sqrt(limiter.concurrency_limit)
    )
