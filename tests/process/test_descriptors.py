"""File descriptors of the program: limits hold while clients and services misbehave."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import signal
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

from gateway.config import RESERVED_SOCKETS
from gateway.counter.client import CONNECTION_COUNT
from gateway.discovery.endpoint_watch import MAX_CONNECTIONS
from tests.process.program import open_descriptors, running_program
from tests.support.harness import async_test
from tests.support.sockets import (
    FakeCounter,
    FakeDiscoveryAgent,
    FakeEndpoint,
    Message,
    config_text,
    host_line,
    http_response,
    listening,
    read_message,
    until,
)

MAX_SOCKETS = 160  # of the gateway: its own limit and the system's
IDLE_CLIENT_COUNT = 600  # clients that connect at once and say nothing
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
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    await reader.read()
                finally:
                    writer.close()
                self.closed_count += 1
            await asyncio.sleep(0.2)

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


async def ask(port: int, number: int) -> tuple[int, bytes]:
    """Status and body for a customer's request, sent again where its connection is closed unread."""
    for _ in range(MAX_CLIENT_ATTEMPTS):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(REQUEST % (number, number))
                response = await read_message(reader)
                return response.status, response.body
            finally:
                writer.close()
    return 0, b""


def with_max_sockets(config: str) -> str:
    raw = json.loads(config)
    raw["limits"]["sockets"] = MAX_SOCKETS
    return json.dumps(raw)


def respond_with(body: bytes) -> Callable[[Message], bytes]:
    return lambda _: http_response(body=body)


@async_test
async def test_idle_clients_leave_descriptors_to_the_others(tmp_path: Path) -> None:
    """Idle clients may fill the descriptors while discovery is down.

    Watch connections, counter calls and attempts still get theirs, other clients are served, and the gateway
    follows discovery in time once it is up.
    """
    endpoints = [FakeEndpoint(respond_with(b"1")), FakeEndpoint(respond_with(b"2"))]
    agent, counter = FailingDiscoveryAgent(), FakeCounter()
    async with contextlib.AsyncExitStack() as stack:
        addresses = [await stack.enter_async_context(listening(endpoint.handle)) for endpoint in endpoints]
        agent_address = await stack.enter_async_context(listening(agent.handle))
        counter_address = await stack.enter_async_context(listening(counter.handle))
        hosts = [host_line(f"s-0000000{number}", address) for number, address in enumerate(addresses, 1)]
        agent.whole = json.dumps({"seq": 1, "whole": True, "hosts": hosts[:1]}).encode()
        path = tmp_path / "config.json"
        path.write_text(with_max_sockets(config_text(hosts[:1], counter_address, agent_address)))
        program, port = await stack.enter_async_context(running_program(path, MAX_SOCKETS))
        await until(lambda: len(agent.targets) == 2)

        agent.is_down = True
        idle_clients = IdleClients(port)
        most_descriptors = 0
        customers = itertools.count()  # another one for each request, so that quotas do not matter
        for _ in range(40):
            assert await ask(port, next(customers)) == (200, b"1")
            most_descriptors = max(most_descriptors, open_descriptors(program))
            await asyncio.sleep(0.1)
        assert idle_clients.closed_count
        assert agent.connections_while_down > 1
        assert counter.open == CONNECTION_COUNT
        assert counter.calls

        agent.whole = json.dumps({"seq": 2, "whole": True, "hosts": hosts[1:]}).encode()
        agent.is_down = False
        up_at = time.monotonic()
        while (await ask(port, next(customers)))[1] != b"2":
            assert time.monotonic() - up_at < MAX_UPDATE_SECONDS
        await idle_clients.disconnect()
        program.kill()
        assert program.stderr is not None
        errors = (await program.stderr.read()).decode()
        assert "open files" not in errors, errors
        assert most_descriptors < MAX_SOCKETS, errors


@async_test
async def test_reserved_descriptors_suffice_while_discovery_and_counter_change_address(
    tmp_path: Path,
) -> None:
    """No agent completes its endpoint list, so all watch connections of both stay open."""
    dripping = [0, 0]  # connections so far, by agent

    async def drip(agent: int, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        dripping[agent] += 1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.is_closing():
            writer.write(b"1\r\n \r\n")
            await writer.drain()
            await asyncio.sleep(0.3)

    counters = [FakeCounter(), FakeCounter()]
    async with contextlib.AsyncExitStack() as stack:
        agent_addresses = [
            await stack.enter_async_context(listening(partial(drip, agent))) for agent in range(2)
        ]
        counter_addresses = [
            await stack.enter_async_context(listening(counter.handle)) for counter in counters
        ]
        hosts = [host_line("s-00000001", "127.0.0.1:1")]
        path = tmp_path / "config.json"
        path.write_text(config_text(hosts, counter_addresses[0], agent_addresses[0]))
        program, _ = await stack.enter_async_context(running_program(path))
        await until(lambda: dripping[0] > MAX_CONNECTIONS)

        path.write_text(config_text(hosts, counter_addresses[1], agent_addresses[1]))
        program.send_signal(signal.SIGHUP)
        most_descriptors = 0
        while dripping[1] <= MAX_CONNECTIONS:
            most_descriptors = max(most_descriptors, open_descriptors(program))
            await asyncio.sleep(0.002)
        assert 2 * MAX_CONNECTIONS < most_descriptors <= RESERVED_SOCKETS
