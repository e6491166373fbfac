"""SIGHUP: the program reloads its configuration, and connects to changed discovery and counter addresses."""

from __future__ import annotations

import signal
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from gateway.counter.client import CONNECTION_COUNT
from testbed.fake_counter import FakeCounter
from testbed.fake_discovery import FakeDiscoveryAgent
from testbed.fake_endpoint import FakeEndpoint
from tests.process.program import RunningProgram, readiness_status, running_program
from tests.process.services import Services, publish_snapshot, write_config, write_malformed_config
from tests.support.event_loop import async_test, until

if TYPE_CHECKING:
    from pathlib import Path


@dataclass
class ReloadSetUp:
    """The configuration of a program, and its services before and after a change of addresses."""

    config_path: Path
    agents: list[FakeDiscoveryAgent] = field(default_factory=lambda: [FakeDiscoveryAgent() for _ in range(2)])
    counters: list[FakeCounter] = field(default_factory=lambda: [FakeCounter() for _ in range(2)])
    hosts: list[dict[str, Any]] = field(default_factory=list)
    agent_addresses: list[str] = field(default_factory=list)
    counter_addresses: list[str] = field(default_factory=list)

    async def start(self, services: Services) -> RunningProgram:
        """Start the services, then the program with the first agent and the first counter."""
        self.hosts = await services.start_endpoints([FakeEndpoint()])
        self.agent_addresses = await services.start_servers(self.agents)
        self.counter_addresses = await services.start_servers(self.counters)
        for agent in self.agents:
            publish_snapshot(agent, 1, self.hosts)
        self.configure(0)
        program = await services.enter_async_context(running_program(self.config_path))
        await until(
            lambda: (
                self.agents[0].open_connections and self.counters[0].accepted_connections == CONNECTION_COUNT
            )
        )
        return program

    def configure(self, index: int) -> None:
        """Write a configuration with the addresses of the agent and the counter at an index."""
        write_config(self.config_path, self.hosts, self.counter_addresses[index], self.agent_addresses[index])


@async_test
async def test_sighup_applies_changed_addresses_and_ignores_a_malformed_file(
    config_path: Path,
) -> None:
    """SIGHUP must not terminate the process, nor may a malformed file disconnect its services."""
    setup = ReloadSetUp(config_path)
    agents = setup.agents
    counters = setup.counters
    async with Services() as services:
        process, port = await setup.start(services)
        write_malformed_config(config_path)
        process.send_signal(signal.SIGHUP)
        assert process.stderr is not None
        assert b"configuration unchanged" in await process.stderr.readline()
        assert agents[0].open_connections
        assert await readiness_status(port) == 200

        setup.configure(1)
        process.send_signal(signal.SIGHUP)
        await until(lambda: len(agents[1].targets) == 2 and not agents[0].open_connections)
        await until(
            lambda: counters[1].accepted_connections == CONNECTION_COUNT and not counters[0].open_connections
        )
        assert await readiness_status(port) == 200
        assert process.returncode is None
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
