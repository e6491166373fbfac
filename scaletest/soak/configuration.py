"""The configuration of the gateways in a soak, with the names that the protocol pages give its keys."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from scaletest.soak.records import RequestClass
from testbed.fake_server import LOOPBACK

if TYPE_CHECKING:
    from pathlib import Path

MEMORY_MEGABYTES = 64
MAX_SOCKETS = 256
PLAN = "standard"
CEILING_PLAN = "capped"
QUOTA_RATE = 50.0  # units a second; far more than one customer of the soak asks for
EFFECTS = {
    RequestClass.IDEMPOTENT: "safe",
    RequestClass.KEYED: "keyed",
    RequestClass.NON_IDEMPOTENT: "unsafe",
}


@dataclass(frozen=True, slots=True)
class Ports:
    """The two ports of discovery and of the counter; a changed configuration moves to the other."""

    discovery: list[int]
    counter: list[int]


@dataclass(frozen=True, slots=True)
class Fleet:
    """What the gateways have in common."""

    gateways: int
    longest_deadline: float
    ports: Ports


def host_entry(name: str, port: int, health: str = "Ready", born_ms: int = 0) -> dict[str, Any]:
    """Return the entry of an endpoint in the endpoint list."""
    return {
        "host": name,
        "dial": f"{LOOPBACK}:{port}",
        "site": "a",
        "class": "m2",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


def _request_classes(longest_deadline: float) -> list[dict[str, Any]]:
    return [
        {
            "name": request_class.value,
            "goal_time_s": longest_deadline / 2,
            "deadline_s": longest_deadline,
            "effect": effect,
            "dedup_scope": "all",
            "memory_span_s": 2.0,
            "worth": 1.0,
        }
        for request_class, effect in EFFECTS.items()
    ]


def _plans() -> list[dict[str, Any]]:
    quota = {"quota_rate": QUOTA_RATE, "peak_units": 2 * QUOTA_RATE, "over_cost": 1.0, "pays": 1.0}
    ceiling = {"never_over_rate": 2 * QUOTA_RATE, "hard_burst": 4 * QUOTA_RATE}
    return [{"name": PLAN, **quota}, {"name": CEILING_PLAN, **quota, **ceiling}]


def _settings(gateway: int, fleet: Fleet) -> dict[str, Any]:
    return {
        "me": gateway,
        "peers_total": fleet.gateways,
        "az": 0,
        "zones": ["a"],
        "period_s": 0.002,
        "rules": {
            "answer_slack_s": 0.058,
            "drain_grace_s": 1.05,
            "cold_share": 0.2,
            "warm_up_s": 5.0,
            "fall_multiple": 2.0,
            "fall_s": 2.0,
        },
        "caps": {
            "max_attempts": 4,
            "second_copies": True,
            "cancel": True,
            "retry_after": True,
            "max_retry_after_s": 1.0,
            "connect_timeout_s": 0.25,
            "conn_idle_s": 10.0,
        },
        "extra": {"has_counter": True, "counter_price": 0.01, "counter_timeout_s": 0.1},
        "report": {"columns": ["inflight"]},
        "classes": _request_classes(fleet.longest_deadline),
        "tariffs": _plans(),
        "host_types": ["m2"],
    }


def write_configuration(path: Path, gateway: int, fleet: Fleet, address: int) -> None:
    """Write the configuration file of a gateway; `address` chooses among the ports of each service."""
    configuration = {
        "name": f"n{gateway}",
        "listen": f"{LOOPBACK}:0",
        "discovery": f"{LOOPBACK}:{fleet.ports.discovery[address]}",
        "counter": f"{LOOPBACK}:{fleet.ports.counter[address]}",
        "seed": f"{gateway + 1:x}",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MEGABYTES, "sockets": MAX_SOCKETS},
        "known": {},
        "settings": _settings(gateway, fleet),
    }
    temporary = path.with_suffix(".new")
    temporary.write_text(json.dumps(configuration))
    temporary.replace(path)
