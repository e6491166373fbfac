"""Slow start over a whole fleet, in simulated time: bursts, uneven loads, gateways killed meanwhile."""

from __future__ import annotations

from collections import deque

import pytest

from gateway.policy.actions import StartAttempt
from gateway.policy.events import Outcome
from tests.support.endpoints import ENDPOINT_COUNT, Load, WarmingFleet
from tests.support.policy import (
    START,
    make_finished,
    make_policy,
    make_record,
    make_request,
    started_attempts,
)

MEAN_UTILIZATION = 0.7  # of all endpoints before the burst
BURST = 3.0  # times the mean load
LARGE_ENDPOINTS = Load(capacity=10.0, overload_multiple=2.0, overload_window=2.0)
SMALL_ENDPOINTS = Load(capacity=1.5, overload_multiple=3.0, overload_window=1.0)


# Endpoints in slow start fail under the sum of what all gateways send.  They bear it while six in ten warm up
# at once, in a burst, with uneven loads, and with seven in ten gateways killed in the middle of it; for
# endpoints of much and of little capacity.
@pytest.mark.parametrize(
    "killed_fraction", [pytest.param(0.0, id="none-killed"), pytest.param(0.7, id="seven-in-ten-killed")]
)
@pytest.mark.parametrize(
    "load", [pytest.param(LARGE_ENDPOINTS, id="large"), pytest.param(SMALL_ENDPOINTS, id="small")]
)
@pytest.mark.parametrize("gateway_count", [20, 30])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_endpoints_in_slow_start_bear_the_sum_of_a_fleet(
    seed: int, gateway_count: int, load: Load, killed_fraction: float
) -> None:
    fleet = WarmingFleet(seed, gateway_count, killed_fraction, load)
    fleet.play(MEAN_UTILIZATION * load.capacity * ENDPOINT_COUNT, BURST)
    assert fleet.endpoints.smallest_margin > 0
    assert any(fleet.endpoints.arrivals.values())  # not achieved by sending them nothing


def test_an_endpoint_in_slow_start_gets_its_part_of_the_budget_only() -> None:
    records = [make_record(1), make_record(2), make_record(3, started=START)]
    policy = make_policy(records, tariffs__0__quota_rate="0")
    attempts_at_cold = 0
    in_flight = deque[tuple[int, StartAttempt]]()
    for request_id in range(100):
        now = START + 0.5 + request_id / 50
        for attempt in started_attempts(policy.handle(now, make_request(request_id))):
            if attempt.endpoint_id == 3:
                attempts_at_cold += 1
            in_flight.append((request_id, attempt))
        if len(in_flight) > 9:
            first_id, attempt = in_flight.popleft()
            policy.handle(now, make_finished(first_id, attempt, Outcome.OK, closed=True))
    assert 1 <= attempts_at_cold <= 0.3 * 100 / 2
