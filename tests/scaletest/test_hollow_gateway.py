"""Hollow gateways: endpoint lists drawn from a seed, and requests that are served."""

from __future__ import annotations

from pathlib import Path

import numpy as np

from gateway.policy.events import EndpointRecord, EndpointUpdate, UpdateKind
from scaletest import hollow_gateway, membership
from scaletest.scenario import Size, load
from tests.support.scenarios import write_scenario


def test_lists_are_drawn_from_the_seed_and_their_ids_are_distinct(tmp_path: Path) -> None:
    made = load(write_scenario(tmp_path / "it.toml"))
    size = Size(endpoints=2000, gateways=5)

    def drawn(seed: int) -> tuple[EndpointRecord, ...]:
        return hollow_gateway.make_endpoints(size, made, np.random.default_rng(seed))

    assert drawn(1) == drawn(1) != drawn(2)
    assert len({entry.endpoint_id for entry in drawn(1)}) == 2000
    assert {entry.zone for entry in drawn(1)} == {0, 1}
    assert {entry.cell for entry in drawn(1)} == {0, 1, 2}


def test_a_hollow_gateway_serves_its_requests(tmp_path: Path) -> None:
    made = load(write_scenario(tmp_path / "it.toml"))
    size = made.sizes[0]
    entries = hollow_gateway.make_endpoints(size, made, np.random.default_rng(1))
    policy = hollow_gateway.make_policy(size, made)
    policy.handle(hollow_gateway.START, EndpointUpdate(UpdateKind.SNAPSHOT, 1, entries))
    for number in range(50):
        membership.serve_request(policy, number, hollow_gateway.START + 1 + number)
    assert not policy.pending
    endpoints = policy.endpoints.by_id.values()
    assert (
        sum(endpoint.outlier_detector.last_response_at > hollow_gateway.START for endpoint in endpoints) > 5
    )
