"""Runs a gateway within the process of a test, between fake services and a client."""

from __future__ import annotations

import contextlib
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from gateway.config import Config, parse_config
from gateway.process import GatewayProcess
from testbed.fake_discovery import host_entry
from testbed.fake_server import FakeServer, Handler, server_address
from tests.support.http_client import HttpClient
from tests.support.policy import BASE_SETTINGS
from tests.support.scripted_policy import Reaction, ScriptedPolicy, do_nothing, forward_to_first

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

UNREACHABLE = "127.0.0.1:1"  # nothing listens on this port
LIST_SETTINGS = ("zones", "columns")  # last parts of the paths of settings that are lists


def nest_settings(flat: dict[str, str]) -> dict[str, Any]:
    """Return settings, given by their dotted paths, as the nested object that a configuration contains."""
    root: dict[str, Any] = {}
    for path, value in flat.items():
        section = root
        *parents, leaf = path.split(".")
        for part in parents:
            section = section.setdefault(part, {})
        section[leaf] = value.split(",") if leaf in LIST_SETTINGS else value
    for name in ("classes", "tariffs"):
        count = int(root[name].pop("count"))
        root[name] = [root[name][str(index)] for index in range(count)]
    return root


def config_text(
    cached_endpoints: list[dict[str, Any]], counter: str = "", discovery: str = "", **changes: str
) -> str:
    """Return a configuration as JSON.

    Args:
        cached_endpoints: The cached endpoints, as a discovery agent lists them.
        counter: Address of the counter; empty for a gateway without a counter.
        discovery: Address of the discovery agent; empty for an agent that cannot be reached.
        changes: Changed settings (dots written as double underscores).
    """
    settings = BASE_SETTINGS | {"caps.conn_idle_s": "30.0", "report.columns": "latency_ms,util,queue"}
    settings |= {key.replace("__", "."): value for key, value in changes.items()}
    if not counter:
        settings["extra.has_counter"] = "false"
    return json.dumps(
        {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": discovery or UNREACHABLE,
            "seed": "8c1f",
            "counter": counter,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"seq": 41, "whole": True, "hosts": cached_endpoints},
            "settings": nest_settings(settings) | {"host_types": ["m2"]},
        }
    )


def config_without(key: str) -> str:
    """Return a configuration as JSON that lacks a key."""
    raw: dict[str, Any] = json.loads(config_text([]))
    del raw[key]
    return json.dumps(raw)


def make_config(
    cached_endpoints: list[dict[str, Any]], counter: str = "", discovery: str = "", **changes: str
) -> Config:
    """Return a parsed configuration; the arguments are those of `config_text`."""
    return parse_config(config_text(cached_endpoints, counter, discovery, **changes), {})


class RunningGateway(NamedTuple):
    """A running gateway and its scripted policy."""

    process: GatewayProcess
    policy: ScriptedPolicy


@contextlib.asynccontextmanager
async def running_gateway(
    *endpoints: FakeServer | Handler | str,
    react: Reaction | None = None,
    counter: FakeServer | Handler | str = "",
    **changes: str,
) -> AsyncIterator[RunningGateway]:
    """Run a gateway that cannot reach discovery and uses its cached endpoint list.

    Args:
        endpoints: The endpoints, each a fake server, a connection handler or an address.
        react: The script of the policy; with None the gateway uses the real policy.
        counter: The counter, in the same form as an endpoint; empty for a gateway without a counter.
        changes: Changed settings (dots written as double underscores).
    """
    async with contextlib.AsyncExitStack() as stack:
        addresses = [await server_address(stack, endpoint) for endpoint in endpoints]
        cached_endpoints = [
            host_entry(f"s-{number:08x}", address) for number, address in enumerate(addresses, 1)
        ]
        counter_address = await server_address(stack, counter)
        process = GatewayProcess(make_config(cached_endpoints, counter_address, **changes))
        process.endpoint_list_timeout = 0.0
        script = ScriptedPolicy(react or do_nothing)
        if react is not None:
            process.driver.policy = script  # type: ignore[assignment]
        await process.start()
        stack.push_async_callback(process.close)
        yield RunningGateway(process, script)


@dataclass(frozen=True)
class GatewayWithClient:
    """A running gateway, its scripted policy and a connected client."""

    process: GatewayProcess
    policy: ScriptedPolicy
    client: HttpClient


@contextlib.asynccontextmanager
async def gateway_with_client(
    *endpoints: FakeServer | Handler | str, react: Reaction | None = forward_to_first, **changes: str
) -> AsyncIterator[GatewayWithClient]:
    """Run a gateway and connect a client; the arguments are those of `running_gateway`."""
    async with (
        running_gateway(*endpoints, react=react, **changes) as (process, policy),
        HttpClient(process.listener) as client,
    ):
        yield GatewayWithClient(process, policy, client)
