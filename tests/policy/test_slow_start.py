"""Slow start of endpoints under the load of a fleet: bursts, uneven loads and killed gateways."""

from __future__ import annotations

from collections import deque

import pytest

from gateway.policy.actions import StartAttempt
from gateway.policy.events import Outcome
from tests.support.endpoints import ENDPOINT_COUNT, EndpointModel, WarmingFleet
from tests.support.policy import (
    START,
    make_finished,
    make_policy,
    make_record,
    make_request,
    started_attempts,
)

MEAN_UTILIZATION = 0.7  # mean utilization of all endpoints before the burst
BURST = 3.0  # multiple of the mean load
LARGE_ENDPOINTS = EndpointModel(capacity=10.0, overload_multiple=2.0, overload_window=2.0)
SMALL_ENDPOINTS = EndpointModel(capacity=1.5, overload_multiple=3.0, overload_window=1.0)


# Guards against warming endpoints that crash because the attempts of all gateways add up.  Six in ten warm up
# at once during a burst; gateways have uneven loads, and up to seven in ten are killed in the middle of it.
# Both large and small endpoints must withstand this.
@pytest.mark.parametrize(
    "killed_fraction", [pytest.param(0.0, id="none-killed"), pytest.param(0.7, id="seven-in-ten-killed")]
)
@pytest.mark.parametrize(
    "model", [pytest.param(LARGE_ENDPOINTS, id="large"), pytest.param(SMALL_ENDPOINTS, id="small")]
)
@pytest.mark.parametrize("gateway_count", [20, 30])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_warming_endpoints_withstand_the_combined_load_of_a_fleet(
    seed: int, gateway_count: int, model: EndpointModel, killed_fraction: float
) -> None:
    fleet = WarmingFleet(seed, gateway_count, killed_fraction, model)
    fleet.run(MEAN_UTILIZATION * model.capacity * ENDPOINT_COUNT, BURST)
    assert fleet.endpoints.smallest_margin > 0
    assert any(fleet.endpoints.arrivals.values())  # the warming endpoints did get requests


def test_a_warming_endpoint_gets_some_attempts_within_its_budget() -> None:
    records = [make_record(1), make_record(2), make_record(3, started=START)]
    policy = make_policy(records, tariffs__0__quota_rate="0")
    attempts_at_warming_endpoint = 0
    in_flight = deque[tuple[int, StartAttempt]]()
    for request_id in range(100):
        now = START + 0.5 + request_id / 50
        for attempt in started_attempts(policy.handle(now, make_request(request_id))):
            if attempt.endpoint_id == 3:
                attempts_at_warming_endpoint += 1
            in_flight.append((request_id, attempt))
        if len(in_flight) > 9:
            first_id, attempt = in_flight.popleft()
            policy.handle(now, make_finished(first_id, attempt, Outcome.OK, closed=True))
    assert 1 <= attempts_at_warming_endpoint <= 0.3 * 100 / 2
