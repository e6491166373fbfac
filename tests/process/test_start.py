"""The start of the program: readiness, its time, SIGTERM, and configurations that cannot be served."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from tests.process.program import free_port, readiness_status, running_program
from tests.support.harness import async_test, config_without
from tests.support.sockets import (
    FakeCounter,
    FakeDiscoveryAgent,
    FakeEndpoint,
    config_text,
    host_line,
    http_response,
    listening,
)

START_COUNT = 20
MAX_START_SECONDS = 10.0  # in which nine in ten starts have to be ready


async def silent_service(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    """Accepts connections and says nothing, as an agent or a counter that is cut off."""
    await reader.read()


@async_test
async def test_program_becomes_ready_and_ends_on_sigterm(tmp_path: Path) -> None:
    endpoint, agent = FakeEndpoint(lambda _: http_response()), FakeDiscoveryAgent()
    async with listening(endpoint.handle) as address, listening(agent.handle) as discovery:
        host = host_line("s-00000001", address)
        agent.whole = json.dumps({"seq": 1, "whole": True, "hosts": [host]}).encode()
        path = tmp_path / "config.json"
        path.write_text(config_text([host], discovery=discovery))
        async with running_program(path) as (program, port):
            assert await readiness_status(port) == 200
            program.send_signal(signal.SIGTERM)
            assert await program.wait() == 0
            assert program.stderr is not None
            assert await program.stderr.read() == b""


async def measure_start(path: Path) -> float:
    """Seconds from the start of the program until it is ready."""
    started_at = time.monotonic()
    async with running_program(path) as (_, port):
        while True:
            if await readiness_status(port) == 200:
                return time.monotonic() - started_at
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("services", ["available", "silent", "refusing"])
@async_test
async def test_nine_in_ten_starts_are_ready_in_time(services: str, tmp_path: Path) -> None:
    """Without discovery and the counter a gateway starts with the endpoint list that it had."""
    agent, counter = FakeDiscoveryAgent(), FakeCounter()
    hosts = [host_line("s-00000001", "127.0.0.1:1")]
    agent.whole = json.dumps({"seq": 1, "whole": True, "hosts": hosts}).encode()
    async with contextlib.AsyncExitStack() as stack:
        if services == "refusing":
            discovery_address = counter_address = f"127.0.0.1:{free_port()}"
        else:
            silent = services == "silent"
            handlers = (silent_service, silent_service) if silent else (agent.handle, counter.handle)
            discovery_address, counter_address = [
                await stack.enter_async_context(listening(handler)) for handler in handlers
            ]
        path = tmp_path / "config.json"
        path.write_text(config_text(hosts, counter_address, discovery_address))
        start_times = sorted(await asyncio.gather(*(measure_start(path) for _ in range(START_COUNT))))
    assert start_times[START_COUNT * 9 // 10 - 1] < MAX_START_SECONDS, start_times


@pytest.mark.parametrize("content", [None, "{", config_without("listen"), '{"settings": {}}'])
def test_unusable_configuration_ends_the_start_with_one_line(content: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if content is not None:
        path.write_text(content)
    env = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
    env |= {"NODE_CONFIG": str(path)}
    done = subprocess.run(
        [sys.executable, "-m", "gateway"], env=env, capture_output=True, text=True, timeout=20, check=False
    )
    assert done.returncode == 2
    assert not done.stdout
    assert done.stderr.startswith("gateway: ")
    assert done.stderr.count("\n") == 1
