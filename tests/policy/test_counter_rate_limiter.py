"""The rate of counter calls under failures and recovery."""

from __future__ import annotations

from gateway.policy.events import (
    Outcome,
)
from tests.support.policy import (
    START,
    FakeCounter,
    make_policy,
    serve,
)


def test_the_call_rate_falls_while_the_counter_fails_and_recovers() -> None:
    counter, made = FakeCounter(), make_policy()
    counter.outcome = Outcome.TIMEOUT
    for rid in range(200):
        serve(made, counter, START + rid / 50, rid, customer=rid)
    low = made.counter_rate_limiter.rate
    assert low <= 20
    assert counter.calls < 150
    counter.outcome = Outcome.OK
    for rid in range(200):
        serve(made, counter, START + 4 + rid / 50, 1000 + rid, customer=1000 + rid)
    assert made.counter_rate_limiter.rate > 2 * low
