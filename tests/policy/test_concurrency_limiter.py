"""Load shedding and the limit of attempts in flight."""

from __future__ import annotations

from gateway.policy.events import (
    Outcome,
    ProbeFinished,
)
from tests.support.policy import (
    START,
    make_finished,
    make_policy,
    make_record,
    make_request,
    started_attempts,
)


def test_reported_load_sheds_by_chance_before_latencies_rise() -> None:
    made = make_policy(caps__may_probe="true", report__how="pull", report__columns="inflight")
    assert all(made.concurrency_limiter.has_capacity() for _ in range(50))
    for _ in range(30):
        made.handle(START, ProbeFinished(1, Outcome.OK, 0.01, (40.0,)))
    assert not any(made.concurrency_limiter.has_capacity() for _ in range(50))


def test_a_hanging_endpoint_leaves_the_capacity_of_the_others() -> None:
    made = make_policy([make_record(1), make_record(2)], tariffs__0__quota_rate="0")
    sent = [s for rid in range(6) for s in started_attempts(made.handle(START, make_request(rid)))]
    for send in sent:  # all attempts at endpoint 1 stay in flight
        if send.endpoint_id == 2:
            made.handle(START + 0.1, make_finished(send.request_id, send, Outcome.OK, closed=True))
    made.context.now = START + 1.5
    hanging = len(made.endpoints.by_id[1].in_flight)
    assert hanging >= 1
    assert made.concurrency_limiter.has_capacity()
    assert {s.endpoint_id for s in started_attempts(made.handle(START + 1.5, make_request(99)))} == {2}
