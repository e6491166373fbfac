"""The rate of counter calls while the counter fails and after it has recovered."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gateway.policy.events import Outcome
from tests.support.policy import (
    START,
    InMemoryCounter,
    serve,
)

if TYPE_CHECKING:
    from gateway.policy.engine import Policy


def test_the_call_rate_falls_while_the_counter_fails_and_recovers(
    policy: Policy, counter: InMemoryCounter
) -> None:
    limiter = policy.counter_rate_limiter
    counter.outcome = Outcome.TIMEOUT
    for request_id in range(200):
        serve(policy, counter, START + request_id / 50, request_id, customer=request_id)
    rate_during_failure = limiter.rate
    assert rate_during_failure <= 20
    assert counter.calls < 150
    counter.outcome = Outcome.OK
    for request_id in range(200):
        serve(policy, counter, START + 4 + request_id / 50, 1000 + request_id, customer=1000 + request_id)
    assert limiter.rate > 2 * rate_during_failure
