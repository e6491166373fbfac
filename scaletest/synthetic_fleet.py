"""Synthetic fleets: the real policy with generated settings and endpoint lists, without any network I/O."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import TYPE_CHECKING

from gateway.policy.engine import Policy
from gateway.policy.events import EndpointRecord, EndpointState
from gateway.policy.settings import DedupScope, Effect, Limits, Plan, RequestClass, Rules, Settings

if TYPE_CHECKING:
    import numpy as np

    from scaletest.scenario import Scenario, Size

CLOCK_START = 1_000_000.0  # start time of the simulated clock, in seconds
RESPONSE_SECONDS = 0.05  # response time of a simulated endpoint
ENDPOINT_ID_LIMIT = 1 << 32  # the discovery protocol uses 32-bit endpoint ids

REQUEST_CLASS = RequestClass(
    name="read",
    latency_objective=0.6,
    deadline=1.5,
    effect=Effect.IDEMPOTENT,
    dedup_scope=DedupScope.ALL,
    dedup_window=5.0,
    priority_weight=1.0,
    late_weight=0.0,
    stream=False,
)
PLAN_WITHOUT_QUOTAS = Plan(
    name="free",
    rate=0.0,
    burst=0.0,
    max_concurrency=0,
    price_weight=1.0,
    over_quota_cost=1.0,
    over_quota_weight=0.0,
    ceiling_rate=0.0,
    ceiling_burst=0.0,
    ceiling_slack=0.0,
)
RULES = Rules(
    answer_slack=0.016,
    drain_grace=1.0,
    cold_capacity_fraction=0.15,
    slow_start_time=18.0,
    cold_overload_multiple=3.0,
    cold_overload_window=1.0,
    poll_within=0.0,
)
LIMITS = Limits(
    max_attempts=4,
    may_hedge=True,
    may_cancel=True,
    may_probe=False,
    may_tell_retry_after=True,
    max_retry_after=1.0,
    connect_timeout=0.25,
)


def make_settings(size: Size, zones: int, gateway_index: int) -> Settings:
    """Return the settings of one gateway of a fleet.

    They have no quotas, because the experiment on the endpoint list does not measure admission.
    """
    return Settings(
        gateway_index=gateway_index,
        gateway_count=size.gateways,
        zone=gateway_index % zones,
        zones=tuple(f"zone-{zone}" for zone in range(zones)),
        period=0.002,
        classes=(REQUEST_CLASS,),
        plans=(PLAN_WITHOUT_QUOTAS,),
        rules=RULES,
        limits=LIMITS,
        has_counter=False,
        counter_price=0.0,
        counter_timeout=0.0,
        settles_usage=False,
        membership_push=True,
        weight_source="silent",
        report_mode="silent",
        report_columns=(),
        prices={},
    )


def make_endpoints(size: Size, scenario: Scenario, rng: np.random.Generator) -> tuple[EndpointRecord, ...]:
    """Return the endpoints of a fleet, all of them warm, with distinct random ids."""
    endpoint_ids = rng.choice(ENDPOINT_ID_LIMIT, size=size.endpoints, replace=False)
    return tuple(
        EndpointRecord(
            endpoint_id=int(endpoint_id),
            zone=index % scenario.zones,
            started_at=0.0,
            state=EndpointState.READY,
            machine_type=0,
            cell=index % scenario.services,
            weight=1.0,
        )
        for index, endpoint_id in enumerate(endpoint_ids)
    )


def make_draining_record(endpoints: tuple[EndpointRecord, ...], rng: np.random.Generator) -> EndpointRecord:
    """Return the record of a random endpoint with its state changed to draining."""
    chosen = endpoints[int(rng.integers(len(endpoints)))]
    return replace(chosen, state=EndpointState.DRAINING)


def make_policy(size: Size, scenario: Scenario, gateway_index: int = 0) -> Policy:
    """Return a new policy for one gateway of a fleet."""
    settings = make_settings(size, scenario.zones, gateway_index)
    return Policy(settings, scenario.seed + gateway_index)


def snapshot_bytes(endpoints: tuple[EndpointRecord, ...]) -> int:
    """Return the size in bytes of the snapshot that discovery would send for these endpoints."""
    hosts = [_wire_record(index, endpoint) for index, endpoint in enumerate(endpoints)]
    return len(json.dumps({"seq": 1, "whole": True, "hosts": hosts}, separators=(",", ":")))


def _wire_record(index: int, endpoint: EndpointRecord) -> dict[str, object]:
    """Return an endpoint's record in the form of the discovery protocol."""
    address = f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}"
    return {
        "host": f"s-{endpoint.endpoint_id:08x}",
        "dial": f"{address}:8000",
        "site": f"zone-{endpoint.zone}",
        "class": "m2",
        "block": endpoint.cell,
        "health": "Ready",
        "share": endpoint.weight,
        "born_ms": 0,
    }
