"""The services that a program under test uses (endpoints, agents, counters), and its configuration."""

from __future__ import annotations

import contextlib
import json
from typing import TYPE_CHECKING, Any

from testbed.fake_discovery import FakeDiscoveryAgent, host_entry, snapshot
from testbed.fake_server import FakeServer, Handler, server_address
from tests.support.gateway import UNREACHABLE, config_text

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path


class Services(contextlib.AsyncExitStack):
    """Fake servers that run until the stack is closed."""

    async def start_servers(self, servers: Sequence[FakeServer | Handler]) -> list[str]:
        """Start servers and return their addresses."""
        return [await server_address(self, server) for server in servers]

    async def start_endpoints(self, endpoints: Sequence[FakeServer | Handler]) -> list[dict[str, Any]]:
        """Start endpoints and return them as a discovery agent lists them."""
        addresses = await self.start_servers(endpoints)
        return [host_entry(f"s-{number:08x}", address) for number, address in enumerate(addresses, 1)]


def unreachable_host() -> dict[str, Any]:
    """Return an endpoint that cannot be reached, as a discovery agent lists it."""
    return host_entry("s-00000001", UNREACHABLE)


def publish_snapshot(agent: FakeDiscoveryAgent, version: int, hosts: list[dict[str, Any]]) -> None:
    """Set the snapshot of the endpoint list with which an agent answers."""
    agent.snapshot = snapshot(version, hosts)


def write_config(
    path: Path,
    hosts: list[dict[str, Any]],
    counter: str = "",
    discovery: str = "",
    max_sockets: int | None = None,
) -> None:
    """Write the configuration file of a program.

    Args:
        path: The file.
        hosts: The cached endpoints, as a discovery agent lists them.
        counter: Address of the counter; empty for a gateway without a counter.
        discovery: Address of the discovery agent; empty for an agent that cannot be reached.
        max_sockets: Value of `limits.sockets`; None for the default of `config_text`.
    """
    config = json.loads(config_text(hosts, counter, discovery))
    if max_sockets is not None:
        config["limits"]["sockets"] = max_sockets
    path.write_text(json.dumps(config))


def limit_memory(path: Path, megabytes: int) -> None:
    """Change the limit on memory in a program's configuration file."""
    config = json.loads(path.read_text())
    config["limits"]["memory_mb"] = megabytes
    path.write_text(json.dumps(config))


def write_malformed_config(path: Path) -> None:
    """Write a configuration file that is not valid JSON."""
    path.write_text("{")
