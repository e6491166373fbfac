"""SIGHUP: the program reads its configuration again and moves discovery and the counter."""

from __future__ import annotations

import signal
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from gateway.counter.client import CONNECTION_COUNT
from tests.process.program import RunningProgram, readiness_status, running_program
from tests.process.services import Services, publish, write_config, write_malformed_config
from tests.support.event_loop import async_test, until
from tests.support.fake_counter import FakeCounter
from tests.support.fake_discovery import FakeDiscoveryAgent
from tests.support.fake_endpoint import FakeEndpoint

if TYPE_CHECKING:
    from pathlib import Path


@dataclass
class Site:
    """A program, its configuration, and its services before and after a change of addresses."""

    config_path: Path
    agents: list[FakeDiscoveryAgent] = field(default_factory=lambda: [FakeDiscoveryAgent() for _ in range(2)])
    counters: list[FakeCounter] = field(default_factory=lambda: [FakeCounter() for _ in range(2)])
    hosts: list[dict[str, Any]] = field(default_factory=list)
    agent_addresses: list[str] = field(default_factory=list)
    counter_addresses: list[str] = field(default_factory=list)

    async def start(self, services: Services) -> RunningProgram:
        """Start the services, and the program with the first agent and the first counter."""
        self.hosts = await services.hosts([FakeEndpoint()])
        self.agent_addresses = await services.addresses(self.agents)
        self.counter_addresses = await services.addresses(self.counters)
        for agent in self.agents:
            publish(agent, 1, self.hosts)
        self.configure(0)
        program = await services.enter_async_context(running_program(self.config_path))
        await until(
            lambda: (
                self.agents[0].open_connections and self.counters[0].accepted_connections == CONNECTION_COUNT
            )
        )
        return program

    def configure(self, index: int) -> None:
        """Write the configuration that names the agent and the counter with an index."""
        write_config(self.config_path, self.hosts, self.counter_addresses[index], self.agent_addresses[index])


@async_test
async def test_sighup_moves_discovery_and_counter_and_a_malformed_file_changes_nothing(
    config_path: Path,
) -> None:
    """Neither SIGHUP nor a malformed file may end the process or leave it without addresses."""
    site = Site(config_path)
    agents = site.agents
    counters = site.counters
    async with Services() as services:
        process, port = await site.start(services)
        write_malformed_config(config_path)
        process.send_signal(signal.SIGHUP)
        assert process.stderr is not None
        assert b"configuration unchanged" in await process.stderr.readline()
        assert agents[0].open_connections
        assert await readiness_status(port) == 200

        site.configure(1)
        process.send_signal(signal.SIGHUP)
        await until(lambda: len(agents[1].targets) == 2 and not agents[0].open_connections)
        await until(
            lambda: counters[1].accepted_connections == CONNECTION_COUNT and not counters[0].open_connections
        )
        assert await readiness_status(port) == 200
        assert process.returncode is None
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
