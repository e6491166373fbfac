"""The start of the program: readiness, start time, SIGTERM, and unusable configurations."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import pytest

from testbed.fake_counter import FakeCounter
from testbed.fake_discovery import FakeDiscoveryAgent
from testbed.fake_endpoint import FakeEndpoint
from testbed.fake_server import LOOPBACK
from testbed.free_ports import free_port
from tests.process.program import readiness_status, running_program
from tests.process.services import Services, publish_snapshot, unreachable_host, write_config
from tests.support.event_loop import async_test
from tests.support.gateway import config_without

if TYPE_CHECKING:
    from pathlib import Path

START_COUNT = 20
MAX_START_SECONDS = 10.0  # within which nine in ten starts must be ready
READINESS_POLL_SECONDS = 0.05
MAX_PROGRAM_SECONDS = 20  # within which a program that cannot start must exit
EXIT_UNUSABLE_CONFIGURATION = 2


async def silent_service(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    """Accept connections without sending anything, like a partitioned agent or counter."""
    await reader.read()


@async_test
async def test_program_becomes_ready_and_exits_on_sigterm(config_path: Path) -> None:
    agent = FakeDiscoveryAgent()
    async with Services() as services:
        hosts = await services.start_endpoints([FakeEndpoint()])
        (discovery_address,) = await services.start_servers([agent])
        publish_snapshot(agent, 1, hosts)
        write_config(config_path, hosts, discovery=discovery_address)
        async with running_program(config_path) as (process, port):
            assert await readiness_status(port) == 200
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            assert process.stderr is not None
            assert await process.stderr.read() == b""


async def measure_start(config_path: Path) -> float:
    """Return the seconds from the start of the program until it is ready."""
    started_at = time.monotonic()
    async with running_program(config_path) as (_, port):
        while True:
            if await readiness_status(port) == 200:
                return time.monotonic() - started_at
            await asyncio.sleep(READINESS_POLL_SECONDS)


@pytest.mark.parametrize(
    "state",
    [
        pytest.param("available", id="available"),
        pytest.param("silent", id="silent"),
        pytest.param("refusing", id="refusing"),
    ],
)
@async_test
async def test_nine_in_ten_starts_are_ready_in_time(state: str, config_path: Path) -> None:
    """Without discovery and the counter, a gateway starts with its cached endpoint list."""
    agent = FakeDiscoveryAgent()
    hosts = [unreachable_host()]
    publish_snapshot(agent, 1, hosts)
    async with Services() as services:
        if state == "refusing":
            refusing_address = f"{LOOPBACK}:{free_port()}"
            addresses = [refusing_address, refusing_address]
        elif state == "silent":
            addresses = await services.start_servers([silent_service, silent_service])
        else:
            addresses = await services.start_servers([agent, FakeCounter()])
        discovery_address, counter_address = addresses
        write_config(config_path, hosts, counter_address, discovery_address)
        start_times = sorted(await asyncio.gather(*(measure_start(config_path) for _ in range(START_COUNT))))
    assert start_times[START_COUNT * 9 // 10 - 1] < MAX_START_SECONDS, start_times


@pytest.mark.parametrize(
    "content",
    [
        pytest.param(None, id="no file"),
        pytest.param("{", id="malformed"),
        pytest.param(config_without("listen"), id="without listen address"),
        pytest.param('{"settings": {}}', id="without settings"),
    ],
)
def test_unusable_configuration_is_reported_in_one_line(content: str | None, config_path: Path) -> None:
    if content is not None:
        config_path.write_text(content)
    env = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
    env |= {"NODE_CONFIG": str(config_path)}
    completed = subprocess.run(
        [sys.executable, "-m", "gateway"],
        env=env,
        capture_output=True,
        text=True,
        timeout=MAX_PROGRAM_SECONDS,
        check=False,
    )
    assert completed.returncode == EXIT_UNUSABLE_CONFIGURATION
    assert not completed.stdout
    assert completed.stderr.startswith("gateway: ")
    assert completed.stderr.count("\n") == 1
