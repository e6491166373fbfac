"""The configuration of a gateway: the settings that the wire page prints, for a small deployment."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pathlib import Path

ZONE = "hallen-norrvik"
KIND = "small-2c"
CUSTOMERS_PLAN = "stor"
MEMORY_MB = 192  # with SOCKETS, the limits of the scored days
SOCKETS = 1024


def _classes() -> list[dict[str, Any]]:
    return [
        {
            "name": "listing-read",
            "goal_time_s": 0.6,
            "deadline_s": 1.5,
            "effect": "safe",
            "dedup_scope": "all",
            "memory_span_s": 5.0,
            "worth": 3.0,
            "late_value": 0.0,
            "stream": False,
        },
        {
            "name": "copy-hold",
            "goal_time_s": 0.6,
            "deadline_s": 2.5,
            "effect": "keyed",
            "dedup_scope": "all",
            "memory_span_s": 5.0,
            "worth": 2.0,
            "late_value": 0.2,
            "stream": False,
        },
    ]


def _plan(name: str, rate: float, burst: float, pays: float, over_cost: float) -> dict[str, Any]:
    return {
        "name": name,
        "quota_rate": rate,
        "peak_units": burst,
        "pays": pays,
        "over_cost": over_cost,
        "beyond_earns": 0.0,
        "parallel": 0,
        "never_over_rate": 0.0,
        "hard_burst": 0.0,
        "ceiling_slack": 0.0,
    }


def settings(kind: str = KIND) -> dict[str, Any]:
    """Return the settings of the wire page for one gateway of a small deployment, with one machine kind."""
    return {
        "az": 0,
        "me": 0,
        "peers_total": 2,
        "layer": 0,
        "period_s": 0.004,
        "service_type": "gate",
        "membership_mode": "push",
        "weight_source": "silent",
        "tiers": ["katalog-servers"],
        "zones": [ZONE],
        "host_types": [kind],
        "caps": {
            "cancel": True,
            "conn_idle_s": 15.0,
            "connect_timeout_s": 0.25,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500000,
            "max_attempts": 6,
            "max_retry_after_s": 1.0,
            "may_probe": True,
            "most_held": 20000,
            "peers": False,
            "retry_after": True,
            "second_copies": True,
            "streams_per_conn": 100,
        },
        "classes": _classes(),
        "clients": {"marks_retry": False},
        "extra": {
            "counter_price": 0.02,
            "counter_timeout_s": 0.05,
            "has_counter": True,
            "metering_s": 0.0,
            "most_units": 1,
            "peer_in_per_s": 0.0,
            "settles": False,
        },
        "goal": {"whole": 0.5, "worst_class": 0.1, "worst_tenant": 0.15, "worst_window": 0.25},
        "penalties": {"probe": 0.022, "waste": 0.16, "late_fail": 0.08},
        "report": {"columns": ["latency_ms"], "how": "pull"},
        "rules": {
            "answer_slack_s": 0.016,
            "ask_within_s": 10.0,
            "cold_share": 0.15,
            "drain_grace_s": 1.0,
            "fall_multiple": 3.0,
            "fall_s": 1.0,
            "warm_up_s": 18.0,
        },
        "tariffs": [
            _plan("bas", 1.0, 4.0, 0.88, 1.0),
            _plan("standard", 6.6, 18.0, 1.3, 0.6),
            _plan(CUSTOMERS_PLAN, 25.0, 32.0, 1.4, 1.0),
        ],
    }


def host(name: str, port: int, health: str = "Ready", kind: str = KIND) -> dict[str, Any]:
    """Return the entry of a server in discovery's list."""
    return {
        "host": name,
        "dial": f"127.0.0.1:{port}",
        "site": ZONE,
        "class": kind,
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


@dataclass(frozen=True)
class Addresses:
    """The ports, on the loopback address, that a gateway is told."""

    listen: int
    discovery: int
    counter: int


def write_configuration(
    path: Path, addresses: Addresses, known: list[dict[str, Any]], kind: str = KIND
) -> None:
    """Write the configuration file of a gateway, with the limits of the scored days."""
    configuration = {
        "name": "n0",
        "listen": f"127.0.0.1:{addresses.listen}",
        "discovery": f"127.0.0.1:{addresses.discovery}",
        "counter": f"127.0.0.1:{addresses.counter}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": {"seq": 1, "whole": True, "hosts": known},
        "settings": settings(kind),
    }
    temporary = path.with_suffix(".new")
    temporary.write_text(json.dumps(configuration), encoding="utf-8")
    temporary.replace(path)
