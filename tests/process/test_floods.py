"""Usual requests to the program, beside hundreds of clients that send as much as they can."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

import pytest

from testbed.fake_endpoint import FakeEndpoint
from testbed.fake_server import LOOPBACK
from testbed.flooding_clients import FloodProcess
from testbed.http_messages import read_message
from tests.process.program import RunningProgram, peak_memory_mb, running_program
from tests.process.services import Services, limit_memory, write_config
from tests.support.event_loop import async_test

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

FLOOD_PROCESSES = 3
CLIENTS_PER_PROCESS = 110  # in all just under a third of the descriptors
MEMORY_MB = 64  # the limit of the process
FLOOD_SECONDS = 1.0  # before the first usual request
USUAL_REQUESTS = 40
REQUEST_INTERVAL_SECONDS = 0.05
TIMEOUT_SECONDS = 1.0
ANSWER_SLACK_SECONDS = 0.55  # an answer that comes later than this after its time is lost
REQUEST = (
    b"GET /class-0?customer=%016x HTTP/1.1\r\nHost: x\r\nRequest-Class: class-0\r\n"
    b"X-Tier: plan-0\r\nRequest-Timeout: 1000m\r\nX-Call-Terms: units=1,spread=1,first=0\r\n"
    b"Request-Id: usual-%d\r\n\r\n"
)


async def answer_seconds(port: int, number: int) -> float:
    """Send a usual request on a new connection, and return how long it took until it was served."""
    started_at = time.monotonic()
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    writer.write(REQUEST % (number, number))
    response = await read_message(reader)
    writer.close()
    assert response.status == 200
    return time.monotonic() - started_at


@contextlib.asynccontextmanager
async def flooded_program(config_path: Path, kind: str) -> AsyncIterator[RunningProgram]:
    """Run a program with flooding clients, and wait until they have connected."""
    async with Services() as services:
        write_config(config_path, await services.start_endpoints([FakeEndpoint()]))
        limit_memory(config_path, MEMORY_MB)
        program = await services.enter_async_context(running_program(config_path))
        for index in range(FLOOD_PROCESSES):
            first = index * CLIENTS_PER_PROCESS
            await FloodProcess.start(services, program.port, kind, CLIENTS_PER_PROCESS, first)
        await asyncio.sleep(FLOOD_SECONDS)
        yield program


async def slowest_answer_seconds(program: RunningProgram) -> float:
    """Send usual requests, and return how long the slowest answer took."""
    usual = []
    for number in range(USUAL_REQUESTS):
        usual.append(asyncio.create_task(answer_seconds(program.port, number)))
        await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
    return max(await asyncio.gather(*usual))


# Guards against clients that hold up the event loop so much that others are not accepted, or not answered.
@pytest.mark.parametrize(
    "kind", ["large-bodies", "chunked-bodies", "one-byte-chunks", "unreadable-bytes", "small-segments"]
)
@async_test
async def test_usual_requests_are_answered_beside_a_flood(config_path: Path, kind: str) -> None:
    async with flooded_program(config_path, kind) as program:
        assert await slowest_answer_seconds(program) < TIMEOUT_SECONDS + ANSWER_SLACK_SECONDS


# Guards against requests that are never complete and take so much memory that the process is killed.
@pytest.mark.parametrize("kind", ["half-bodies", "largest-requests", "many-fields", "slow-writes"])
@async_test
async def test_incomplete_requests_of_a_crowd_fit_in_the_memory(config_path: Path, kind: str) -> None:
    async with flooded_program(config_path, kind) as program:
        assert await slowest_answer_seconds(program) < TIMEOUT_SECONDS + ANSWER_SLACK_SECONDS
        assert peak_memory_mb(program.process) < MEMORY_MB
