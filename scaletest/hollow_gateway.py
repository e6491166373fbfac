"""Hollow front doors: the real decisions with settings and lists that are made up, many to a process."""

from __future__ import annotations

import json
from dataclasses import replace

import numpy as np

from gateway.policy import interface as i
from gateway.policy.engine import Gateway
from scaletest.scenario import Scenario, Size

START = 1_000_000.0  # seconds: the emulated clock begins there
LATENCY = 0.05  # seconds in which an emulated server answers


def settings(size: Size, zones: int, me: int) -> i.Settings:
    """What a front door of a fleet of that size is told.  No quotas: admission is another slope's matter."""
    names = tuple(f"zone-{zone}" for zone in range(zones))
    cls = i.RequestClass("read", 0.6, 1.5, i.Effect.SAFE, i.Scope.ALL, 5.0, 1.0, 0.0, False)
    plan = i.Plan("free", 0.0, 0.0, 0, 1.0, 1.0, 0.0, 0.0, 0.0, 0.0)
    return i.Settings(
        me=me, peers=size.doors, zone=me % zones, zones=names, period=0.002, classes=(cls,), plans=(plan,),
        rules=i.Rules(0.016, 1.0, 0.15, 18.0, 3.0, 1.0, 0.0),
        limits=i.Limits(4, True, True, False, True, 1.0, 0.25), has_counter=False, counter_price=0.0,
        counter_timeout=0.0, settles=False, membership_push=True, weight_source="silent",
        report_how="silent", report_columns=(), prices={},
    )  # fmt: skip


def servers(size: Size, scenario: Scenario, random: np.random.Generator) -> tuple[i.Entry, ...]:
    """A list of that many warm servers, with distinct ids that say nothing of order."""
    ids = random.choice(1 << 32, size=size.servers, replace=False)
    return tuple(
        i.Entry(int(number), at % scenario.zones, 0.0, i.State.READY, 0, at % scenario.services, 1.0)
        for at, number in enumerate(ids)
    )


def drained(entries: tuple[i.Entry, ...], random: np.random.Generator) -> i.Entry:
    """One of the servers, drawn at random, as it is listed once it drains."""
    return replace(entries[int(random.integers(len(entries)))], state=i.State.DRAINING)


def front_door(size: Size, scenario: Scenario, me: int = 0) -> Gateway:
    return Gateway(settings(size, scenario.zones, me), scenario.seed + me)


def list_bytes(entries: tuple[i.Entry, ...]) -> int:
    """The length of the whole list as discovery sends it, in bytes."""
    hosts = [
        {
            "host": f"s-{e.backend:08x}", "dial": f"10.{at >> 16}.{at >> 8 & 255}.{at & 255}:8000",
            "site": f"zone-{e.zone}", "class": "m2", "block": e.cell, "health": "Ready",
            "share": e.weight, "born_ms": 0,
        }
        for at, e in enumerate(entries)
    ]  # fmt: skip
    return len(json.dumps({"seq": 1, "whole": True, "hosts": hosts}, separators=(",", ":")))
