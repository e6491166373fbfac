"""Limits on the program's file descriptors, while clients and services misbehave."""

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
from testbed.fake_counter import FakeCounter
from testbed.fake_discovery import FakeDiscoveryAgent
from testbed.fake_endpoint import FakeEndpoint, respond_with
from testbed.fake_server import LOOPBACK
from testbed.http_messages import read_message
from testbed.idle_clients import IdleClientProcess
from tests.process.program import RunningProgram, open_descriptors, running_program
from tests.process.services import Services, publish_snapshot, unreachable_host, write_config
from tests.support.event_loop import async_test, until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

MAX_SOCKETS = 160  # the gateway's configured limit, and the limit of the system on its descriptors
IDLE_CLIENT_COUNT = 600  # clients that connect at the same time and send nothing
RECONNECT_SECONDS = 0.2  # delay before an idle client connects again
REQUEST_COUNT = 40  # requests of other clients while the idle clients are connected
REQUEST_INTERVAL_SECONDS = 0.1
CHUNK_INTERVAL_SECONDS = 0.3  # between two chunks of an agent that never completes its list
MAX_UPDATE_SECONDS = 6.0  # time in which a gateway has to apply a new endpoint list
MAX_CLIENT_ATTEMPTS = 5
REQUEST = (
    b"GET /class-0?customer=%016x HTTP/1.1\r\nHost: x\r\nRequest-Class: class-0\r\n"
    b"X-Tier: plan-0\r\nRequest-Timeout: 4000m\r\nX-Call-Terms: units=1,spread=1,first=0\r\n"
    b"Request-Id: %d\r\n\r\n"
)


class UnresponsiveDiscoveryAgent(FakeDiscoveryAgent):
    """An agent that never responds on connections that are made while it is down."""

    is_down = False
    connections_while_down = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_down:
            self.connections_while_down += 1
            await reader.read()
        else:
            await super().handle(reader, writer)


class EndlessListAgents:
    """Two agents that never complete their list, so that all watch connections to them stay open."""

    def __init__(self) -> None:
        self.connection_counts = [0, 0]  # connections so far, by agent
        self.handlers = [partial(self.send_endless_list, 0), partial(self.send_endless_list, 1)]

    async def send_endless_list(
        self, agent: int, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_counts[agent] += 1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.is_closing():
            writer.write(b"1\r\n \r\n")
            await writer.drain()
            await asyncio.sleep(CHUNK_INTERVAL_SECONDS)


class ClientResponse(NamedTuple):
    status: int
    body: bytes


async def send_request(port: int, number: int) -> ClientResponse:
    """Send a request and return its response; send it again if its connection is closed without one.

    The number is the customer's id and the Request-Id.  The status is 0 if all attempts fail.
    """
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


async def send_requests_beside_idle_clients(program: RunningProgram, customers: Iterator[int]) -> int:
    """Send requests that all have to be served, and return the largest number of open descriptors."""
    max_descriptors = 0
    for _ in range(REQUEST_COUNT):
        assert await send_request(program.port, next(customers)) == ClientResponse(200, b"1")
        max_descriptors = max(max_descriptors, open_descriptors(program.process))
        await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
    return max_descriptors


async def wait_for_second_endpoint(program: RunningProgram, customers: Iterator[int]) -> None:
    """Send requests until the second endpoint serves one, which has to happen in time."""
    started_at = time.monotonic()
    while (await send_request(program.port, next(customers))).body != b"2":
        assert time.monotonic() - started_at < MAX_UPDATE_SECONDS


async def kill_and_read_log(program: RunningProgram) -> str:
    """Kill the program and return its log."""
    program.process.kill()
    assert program.process.stderr is not None
    return (await program.process.stderr.read()).decode()


@dataclass
class Site:
    """A program with limited descriptors and its services; discovery lists the first of two endpoints."""

    agent: UnresponsiveDiscoveryAgent
    counter: FakeCounter
    program: RunningProgram
    second_host: dict[str, Any]


async def start_site(services: Services, config_path: Path) -> Site:
    """Start the services and the program, and wait until it watches the endpoint list."""
    agent = UnresponsiveDiscoveryAgent()
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
async def test_idle_clients_leave_descriptors_for_other_connections(config_path: Path) -> None:
    """Idle clients may use up their share of the descriptors while discovery is down.

    Watch connections, counter calls and attempts still get descriptors, other clients are served, and the
    gateway applies a new endpoint list in time once discovery is up.
    """
    async with Services() as services:
        site = await start_site(services, config_path)
        site.agent.is_down = True
        idle_clients = await IdleClientProcess.start(
            services, site.program.port, IDLE_CLIENT_COUNT, RECONNECT_SECONDS
        )
        customers = itertools.count()  # a new customer for each request, so that no quota is exceeded
        max_descriptors = await send_requests_beside_idle_clients(site.program, customers)
        assert await idle_clients.closed_count()
        assert site.agent.connections_while_down > 1
        assert site.counter.open_connections == CONNECTION_COUNT
        assert site.counter.calls

        publish_snapshot(site.agent, 2, [site.second_host])
        site.agent.is_down = False
        await wait_for_second_endpoint(site.program, customers)
        idle_clients.disconnect()
        log = await kill_and_read_log(site.program)
        assert "open files" not in log, log
        assert max_descriptors < MAX_SOCKETS, log


@async_test
async def test_reserved_descriptors_suffice_while_discovery_and_counter_change_address(
    config_path: Path,
) -> None:
    agents = EndlessListAgents()
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
        max_descriptors = 0
        while agents.connection_counts[1] <= MAX_CONNECTIONS:
            max_descriptors = max(max_descriptors, open_descriptors(program.process))
            await asyncio.sleep(0.002)
        assert 2 * MAX_CONNECTIONS < max_descriptors <= RESERVED_SOCKETS
