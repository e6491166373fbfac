"""File descriptors of the program: limits hold while clients and services misbehave."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
import time
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

from gateway.config import RESERVED_SOCKETS
from gateway.counter.client import CONNECTION_COUNT
from gateway.discovery.endpoint_watch import MAX_CONNECTIONS
from tests.process.program import RunningProgram, open_descriptors, running_program
from tests.process.services import Services, publish_snapshot, unreachable_host, write_config
from tests.support.event_loop import async_test, until
from tests.support.fake_counter import FakeCounter
from tests.support.fake_discovery import FakeDiscoveryAgent
from tests.support.fake_endpoint import FakeEndpoint, respond_with
from tests.support.fake_server import LOOPBACK
from tests.support.http_messages import read_message

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

MAX_SOCKETS = 160  # of the gateway: its own limit and the system's
IDLE_CLIENT_COUNT = 600  # clients that connect at once and say nothing
RECONNECT_SECONDS = 0.2  # from the close of an idle client to its next connection
REQUEST_COUNT = 40  # while the idle clients are connected
REQUEST_INTERVAL_SECONDS = 0.1
DRIP_SECONDS = 0.3  # between two chunks of an agent that never completes its list
MAX_UPDATE_SECONDS = 6.0  # in which a gateway has to follow discovery
MAX_CLIENT_ATTEMPTS = 5
REQUEST = (
    b"GET /class-0?customer=%016x HTTP/1.1\r\nHost: x\r\nRequest-Class: class-0\r\n"
    b"X-Tier: plan-0\r\nRequest-Timeout: 4000m\r\nX-Call-Terms: units=1,spread=1,first=0\r\n"
    b"Request-Id: %d\r\n\r\n"
)


class IdleClients:
    """Clients that connect all at once, say nothing, and connect again when they are closed."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.closed_count = 0
        self.tasks = [asyncio.create_task(self.stay_connected()) for _ in range(IDLE_CLIENT_COUNT)]

    async def stay_connected(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                try:
                    await reader.read()
                finally:
                    writer.close()
                self.closed_count += 1
            await asyncio.sleep(RECONNECT_SECONDS)

    async def disconnect(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class FailingDiscoveryAgent(FakeDiscoveryAgent):
    """An agent that says nothing, ever, on connections made while it is down."""

    is_down = False
    connections_while_down = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_down:
            self.connections_while_down += 1
            await reader.read()
        else:
            await super().handle(reader, writer)


class DrippingAgents:
    """Two agents that never complete their list, so that all watch connections to them stay open."""

    def __init__(self) -> None:
        self.connection_counts = [0, 0]  # so far, by agent
        self.handlers = [partial(self.drip, 0), partial(self.drip, 1)]

    async def drip(self, agent: int, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_counts[agent] += 1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.is_closing():
            writer.write(b"1\r\n \r\n")
            await writer.drain()
            await asyncio.sleep(DRIP_SECONDS)


class ClientResponse(NamedTuple):
    status: int
    body: bytes


async def ask(port: int, number: int) -> ClientResponse:
    """The response for a customer's request, sent again where its connection is closed unread."""
    for _ in range(MAX_CLIENT_ATTEMPTS):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            try:
                writer.write(REQUEST % (number, number))
                response = await read_message(reader)
                return ClientResponse(response.status, response.body)
            finally:
                writer.close()
    return ClientResponse(0, b"")


async def ask_beside_idle_clients(program: RunningProgram, customers: Iterator[int]) -> int:
    """Ask while idle clients connect; all is to be served.  Return the most descriptors that were open."""
    most_descriptors = 0
    for _ in range(REQUEST_COUNT):
        assert await ask(program.port, next(customers)) == ClientResponse(200, b"1")
        most_descriptors = max(most_descriptors, open_descriptors(program.process))
        await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
    return most_descriptors


async def wait_for_second_endpoint(program: RunningProgram, customers: Iterator[int]) -> None:
    """Ask until the second endpoint serves, which has to be in time."""
    started_at = time.monotonic()
    while (await ask(program.port, next(customers))).body != b"2":
        assert time.monotonic() - started_at < MAX_UPDATE_SECONDS


async def end_and_read_log(program: RunningProgram) -> str:
    """End the program at once and return what it has logged."""
    program.process.kill()
    assert program.process.stderr is not None
    return (await program.process.stderr.read()).decode()


@dataclass
class Site:
    """A program with limited descriptors, and its services; discovery lists the first of two endpoints."""

    agent: FailingDiscoveryAgent
    counter: FakeCounter
    program: RunningProgram
    second_host: dict[str, Any]


async def start_site(services: Services, config_path: Path) -> Site:
    """Start the services and the program, which watches the endpoint list once this returns."""
    agent = FailingDiscoveryAgent()
    counter = FakeCounter()
    endpoints = [FakeEndpoint(respond_with(b"1")), FakeEndpoint(respond_with(b"2"))]
    first, second = await services.start_endpoints(endpoints)
    agent_address, counter_address = await services.start_servers([agent, counter])
    publish_snapshot(agent, 1, [first])
    write_config(config_path, [first], counter_address, agent_address, MAX_SOCKETS)
    program = await services.enter_async_context(running_program(config_path, MAX_SOCKETS))
    await until(lambda: len(agent.targets) == 2)
    return Site(agent, counter, program, second)


@async_test
async def test_idle_clients_leave_descriptors_to_the_others(config_path: Path) -> None:
    """Idle clients may fill the descriptors while discovery is down.

    Watch connections, counter calls and attempts still get theirs, other clients are served, and the gateway
    follows discovery in time once it is up.
    """
    async with Services() as services:
        site = await start_site(services, config_path)
        site.agent.is_down = True
        idle_clients = IdleClients(site.program.port)
        customers = itertools.count()  # another one for each request, so that quotas do not matter
        most_descriptors = await ask_beside_idle_clients(site.program, customers)
        assert idle_clients.closed_count
        assert site.agent.connections_while_down > 1
        assert site.counter.open_connections == CONNECTION_COUNT
        assert site.counter.calls

        publish_snapshot(site.agent, 2, [site.second_host])
        site.agent.is_down = False
        await wait_for_second_endpoint(site.program, customers)
        await idle_clients.disconnect()
        errors = await end_and_read_log(site.program)
        assert "open files" not in errors, errors
        assert most_descriptors < MAX_SOCKETS, errors


@async_test
async def test_reserved_descriptors_suffice_while_discovery_and_counter_change_address(
    config_path: Path,
) -> None:
    agents = DrippingAgents()
    counters = [FakeCounter(), FakeCounter()]
    hosts = [unreachable_host()]
    async with Services() as services:
        agent_addresses = await services.start_servers(agents.handlers)
        counter_addresses = await services.start_servers(counters)
        write_config(config_path, hosts, counter_addresses[0], agent_addresses[0])
        program = await services.enter_async_context(running_program(config_path))
        await until(lambda: agents.connection_counts[0] > MAX_CONNECTIONS)

        write_config(config_path, hosts, counter_addresses[1], agent_addresses[1])
        program.process.send_signal(signal.SIGHUP)
        most_descriptors = 0
        while agents.connection_counts[1] <= MAX_CONNECTIONS:
            most_descriptors = max(most_descriptors, open_descriptors(program.process))
            await asyncio.sleep(0.002)
        assert 2 * MAX_CONNECTIONS < most_descriptors <= RESERVED_SOCKETS
