"""Few descriptors, by a real limit, while idle clients fill them and discovery is down."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

from gateway.config import OTHER_SOCKETS
from gateway.counter.client import CONNECTION_COUNT as LINES
from gateway.discovery.endpoint_watch import MAX_CONNECTIONS as MOST_TRIES
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
    run,
    until,
)

from .test_start import running

SOCKETS = 160  # of the front door: its own limit and the system's
CLIENTS = 600  # that connect at once and say nothing
TOLD_IN = 6.0  # seconds, by the operators' terms
REQUEST = (
    b"GET /class-0?customer=%016x HTTP/1.1\r\nHost: x\r\nRequest-Class: class-0\r\n"
    b"X-Tier: plan-0\r\nRequest-Timeout: 4000m\r\nX-Call-Terms: units=1,spread=1,first=0\r\n"
    b"Request-Id: %d\r\n\r\n"
)


class Idle:
    """Clients that connect all at once, say nothing, and come again when they are closed."""

    def __init__(self, port: int) -> None:
        self.port, self.closed = port, 0
        self.tasks = [asyncio.create_task(self.client()) for _ in range(CLIENTS)]

    async def client(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    await reader.read()
                finally:
                    writer.close()
                self.closed += 1
            await asyncio.sleep(0.2)

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def ask(port: int, number: int) -> tuple[int, bytes]:
    """The answer to a usual client's request, which comes again where its connection is closed unread."""
    for _ in range(5):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(REQUEST % (number, number))
                answer = await read_message(reader)
                return answer.status, answer.body
            finally:
                writer.close()
    return 0, b""


def limited(text: str) -> str:
    raw = json.loads(text)
    raw["limits"]["sockets"] = SOCKETS
    return json.dumps(raw)


def served(body: bytes) -> Callable[[Message], bytes]:
    return lambda message: http_response(body=body)


class Down(FakeDiscoveryAgent):
    """An agent that says nothing on connections made while it is down, nor ever on those."""

    down = False
    tried = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.down:
            return await super().handle(reader, writer)
        self.tried += 1
        await reader.read()


# Guards the term that idle clients may fill the descriptors while discovery is down: tries, calls to the
# counter and attempts still get theirs, usual clients are served, and what discovery has is told in time.
def test_idle_clients_leave_descriptors_to_the_others(tmp_path: Path) -> None:
    async def test() -> None:
        first, second, agent, tally = (
            FakeEndpoint(served(b"1")),
            FakeEndpoint(served(b"2")),
            Down(),
            FakeCounter(),
        )
        async with contextlib.AsyncExitStack() as stack:
            dials = [await stack.enter_async_context(listening(b.handle)) for b in (first, second)]
            discovery = await stack.enter_async_context(listening(agent.handle))
            counter = await stack.enter_async_context(listening(tally.handle))
            hosts = [host_line(f"s-0000000{n}", dial) for n, dial in enumerate(dials, 1)]
            agent.whole = json.dumps({"seq": 1, "whole": True, "hosts": hosts[:1]}).encode()
            path = tmp_path / "config.json"
            path.write_text(limited(config_text(hosts[:1], counter, discovery)))
            process, port = await stack.enter_async_context(running(path, SOCKETS))
            await until(lambda: len(agent.targets) == 2)
            agent.down = True
            idle = Idle(port)
            held = 0
            numbers = itertools.count()  # each its own customer: quotas are not the matter here
            for _ in range(40):
                assert await ask(port, next(numbers)) == (200, b"1")
                held = max(held, len(os.listdir(f"/proc/{process.pid}/fd")))
                await asyncio.sleep(0.1)
            assert idle.closed and agent.tried > 1 and tally.open == LINES and tally.calls
            agent.whole = json.dumps({"seq": 2, "whole": True, "hosts": hosts[1:]}).encode()
            agent.down, began = False, time.monotonic()
            while (await ask(port, next(numbers)))[1] != b"2":
                assert time.monotonic() - began < TOLD_IN
            await idle.end()
            process.kill()
            assert process.stderr is not None
            errors = (await process.stderr.read()).decode()
            assert "open files" not in errors and held < SOCKETS, errors

    run(test())


# Guards what clients and backends may hold against what the others take while discovery and the counter move,
# and no agent brings a list.
def test_what_is_kept_for_the_others_suffices_while_both_move(tmp_path: Path) -> None:
    async def test() -> None:
        dripping = [0, 0]

        async def drip(agent: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            dripping[agent] += 1
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while not writer.is_closing():
                writer.write(b"1\r\n \r\n")
                await writer.drain()
                await asyncio.sleep(0.3)

        tallies = [FakeCounter(), FakeCounter()]
        async with contextlib.AsyncExitStack() as stack:
            agents = [await stack.enter_async_context(listening(partial(drip, n))) for n in range(2)]
            counters = [await stack.enter_async_context(listening(t.handle)) for t in tallies]
            hosts, path = [host_line("s-00000001", "127.0.0.1:1")], tmp_path / "config.json"
            path.write_text(config_text(hosts, counters[0], agents[0]))
            process, _ = await stack.enter_async_context(running(path))
            await until(lambda: dripping[0] > MOST_TRIES)
            path.write_text(config_text(hosts, counters[1], agents[1]))
            process.send_signal(signal.SIGHUP)
            held = 0
            while dripping[1] <= MOST_TRIES:
                held = max(held, len(os.listdir(f"/proc/{process.pid}/fd")))
                await asyncio.sleep(0.002)
            assert 2 * MOST_TRIES < held <= OTHER_SOCKETS

    run(test())
