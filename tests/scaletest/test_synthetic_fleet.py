"""Tests of synthetic fleets: reproducible endpoint lists, and a policy that serves requests with them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np
import pytest

from gateway.policy.events import EndpointRecord, EndpointUpdate, UpdateKind
from scaletest import membership, synthetic_fleet
from scaletest.scenario import Scenario, Size, load_scenario
from tests.support.scenarios import write_scenario

if TYPE_CHECKING:
    from pathlib import Path

ENDPOINTS = 2000
REQUESTS = 50


@pytest.fixture
def scenario(tmp_path: Path) -> Scenario:
    return load_scenario(write_scenario(tmp_path / "scenario.toml"))


def make_endpoints(scenario: Scenario, seed: int) -> tuple[EndpointRecord, ...]:
    size = Size(endpoints=ENDPOINTS, gateways=5)
    return synthetic_fleet.make_endpoints(size, scenario, np.random.default_rng(seed))


def test_endpoint_lists_are_reproducible_from_the_seed(scenario: Scenario) -> None:
    endpoints = make_endpoints(scenario, seed=1)
    assert endpoints == make_endpoints(scenario, seed=1)
    assert endpoints != make_endpoints(scenario, seed=2)


def test_endpoints_have_distinct_ids_and_cover_all_zones_and_cells(scenario: Scenario) -> None:
    endpoints = make_endpoints(scenario, seed=1)
    assert len({endpoint.endpoint_id for endpoint in endpoints}) == ENDPOINTS
    assert {endpoint.zone for endpoint in endpoints} == set(range(scenario.zones))
    assert {endpoint.cell for endpoint in endpoints} == set(range(scenario.services))


def test_a_policy_serves_requests_with_a_synthetic_fleet(scenario: Scenario) -> None:
    size = scenario.sizes[0]
    endpoints = synthetic_fleet.make_endpoints(size, scenario, np.random.default_rng(1))
    policy = synthetic_fleet.make_policy(size, scenario)
    policy.handle(synthetic_fleet.CLOCK_START, EndpointUpdate(UpdateKind.SNAPSHOT, 1, endpoints))
    used_ids: set[int] = set()
    for number in range(REQUESTS):
        used_ids.update(membership.serve_request(policy, number, synthetic_fleet.CLOCK_START + 1 + number))
    assert not policy.pending
    assert used_ids <= {endpoint.endpoint_id for endpoint in endpoints}
    assert len(used_ids) > 5
    responded = [
        endpoint
        for endpoint in policy.endpoints.by_id.values()
        if endpoint.outlier_detector.last_response_at > synthetic_fleet.CLOCK_START
    ]
    assert len(responded) > 5
