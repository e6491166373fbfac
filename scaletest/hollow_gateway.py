"""Hollow front doors: the real decisions with settings and lists that are made up, many to a process."""

from __future__ import annotations

import json
from dataclasses import replace

import numpy as np

from gateway.policy.engine import Policy
from gateway.policy.events import EndpointRecord, EndpointState
from gateway.policy.settings import DedupScope, Effect, Limits, Plan, RequestClass, Rules, Settings
from scaletest.scenario import Scenario, Size

START = 1_000_000.0  # seconds: the emulated clock begins there
LATENCY = 0.05  # seconds in which an emulated server answers


def settings(size: Size, zones: int, me: int) -> Settings:
    """What a front door of a fleet of that size is told.  No quotas: admission is another slope's matter."""
    names = tuple(f"zone-{zone}" for zone in range(zones))
    cls = RequestClass("read", 0.6, 1.5, Effect.IDEMPOTENT, DedupScope.ALL, 5.0, 1.0, 0.0, False)
    plan = Plan("free", 0.0, 0.0, 0, 1.0, 1.0, 0.0, 0.0, 0.0, 0.0)
    return Settings(
        gateway_index=me, gateway_count=size.doors, zone=me % zones, zones=names, period=0.002,
        classes=(cls,), plans=(plan,),
        rules=Rules(0.016, 1.0, 0.15, 18.0, 3.0, 1.0, 0.0),
        limits=Limits(4, True, True, False, True, 1.0, 0.25), has_counter=False, counter_price=0.0,
        counter_timeout=0.0, settles_usage=False, membership_push=True, weight_source="silent",
        report_mode="silent", report_columns=(), prices={},
    )  # fmt: skip


def servers(size: Size, scenario: Scenario, random: np.random.Generator) -> tuple[EndpointRecord, ...]:
    """A list of that many warm servers, with distinct ids that say nothing of order."""
    ids = random.choice(1 << 32, size=size.servers, replace=False)
    return tuple(
        EndpointRecord(
            int(number), at % scenario.zones, 0.0, EndpointState.READY, 0, at % scenario.services, 1.0
        )
        for at, number in enumerate(ids)
    )


def drained(entries: tuple[EndpointRecord, ...], random: np.random.Generator) -> EndpointRecord:
    """One of the servers, drawn at random, as it is listed once it drains."""
    return replace(entries[int(random.integers(len(entries)))], state=EndpointState.DRAINING)


def front_door(size: Size, scenario: Scenario, me: int = 0) -> Policy:
    return Policy(settings(size, scenario.zones, me), scenario.seed + me)


def list_bytes(entries: tuple[EndpointRecord, ...]) -> int:
    """The length of the whole list as discovery sends it, in bytes."""
    hosts = [
        {
            "host": f"s-{e.endpoint_id:08x}", "dial": f"10.{at >> 16}.{at >> 8 & 255}.{at & 255}:8000",
            "site": f"zone-{e.zone}", "class": "m2", "block": e.cell, "health": "Ready",
            "share": e.weight, "born_ms": 0,
        }
        for at, e in enumerate(entries)
    ]  # fmt: skip
    return len(json.dumps({"seq": 1, "whole": True, "hosts": hosts}, separators=(",", ":")))
