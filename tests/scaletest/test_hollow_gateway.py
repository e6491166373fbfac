"""Hollow gateways: endpoint lists drawn from a seed, and requests that are served."""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np
import pytest

from gateway.policy.events import EndpointRecord, EndpointUpdate, UpdateKind
from scaletest import hollow_gateway, membership
from scaletest.scenario import Scenario, Size, load
from tests.support.scenarios import write_scenario

if TYPE_CHECKING:
    from pathlib import Path

ENDPOINTS = 2000
REQUESTS = 50


@pytest.fixture
def scenario(tmp_path: Path) -> Scenario:
    return load(write_scenario(tmp_path / "it.toml"))


def make_endpoints(scenario: Scenario, seed: int) -> tuple[EndpointRecord, ...]:
    size = Size(endpoints=ENDPOINTS, gateways=5)
    return hollow_gateway.make_endpoints(size, scenario, np.random.default_rng(seed))


def test_lists_are_drawn_from_the_seed(scenario: Scenario) -> None:
    endpoints = make_endpoints(scenario, seed=1)
    assert endpoints == make_endpoints(scenario, seed=1)
    assert endpoints != make_endpoints(scenario, seed=2)


def test_endpoints_have_distinct_ids_and_are_spread_over_zones_and_services(scenario: Scenario) -> None:
    endpoints = make_endpoints(scenario, seed=1)
    assert len({endpoint.endpoint_id for endpoint in endpoints}) == ENDPOINTS
    assert {endpoint.zone for endpoint in endpoints} == set(range(scenario.zones))
    assert {endpoint.cell for endpoint in endpoints} == set(range(scenario.services))


def test_a_hollow_gateway_serves_its_requests(scenario: Scenario) -> None:
    size = scenario.sizes[0]
    endpoints = hollow_gateway.make_endpoints(size, scenario, np.random.default_rng(1))
    policy = hollow_gateway.make_policy(size, scenario)
    policy.handle(hollow_gateway.CLOCK_START, EndpointUpdate(UpdateKind.SNAPSHOT, 1, endpoints))
    used: set[int] = set()
    for number in range(REQUESTS):
        used.update(membership.serve_request(policy, number, hollow_gateway.CLOCK_START + 1 + number))
    assert not policy.pending
    assert used <= {endpoint.endpoint_id for endpoint in endpoints}
    assert len(used) > 5
    responded = [
        endpoint
        for endpoint in policy.endpoints.by_id.values()
        if endpoint.outlier_detector.last_response_at > hollow_gateway.CLOCK_START
    ]
    assert len(responded) > 5
