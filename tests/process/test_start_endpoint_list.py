"""The start waits for the endpoint list, for a limited time."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

from gateway.process import GatewayProcess
from tests.process.services import publish
from tests.support.event_loop import async_test, until
from tests.support.fake_discovery import FakeDiscoveryAgent, host_line
from tests.support.fake_server import listening
from tests.support.gateway import make_config

CACHED_ENDPOINT = 1
LISTED_ENDPOINT = 2
MAX_START_SECONDS = 10


class LateAgent(FakeDiscoveryAgent):
    """An agent that lists one endpoint, but answers only once it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.release = asyncio.Event()
        publish(self, 42, [host_line("s-00000002", "127.0.0.1:2")])

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection."""
        await self.release.wait()
        await super().handle(reader, writer)


@contextlib.asynccontextmanager
async def process_with_cached_endpoint(agent: LateAgent) -> AsyncIterator[GatewayProcess]:
    """A process that is not started, with one cached endpoint."""
    async with listening(agent.handle) as address:
        process = GatewayProcess(make_config([host_line("s-00000001", "127.0.0.1:1")], discovery=address))
        yield process
        await process.close()


# Guards against requests that are sent by the endpoint list of an earlier process: the list that discovery
# has counts from the first request on.
@async_test
async def test_the_start_waits_for_the_endpoint_list() -> None:
    agent = LateAgent()
    started_at = time.monotonic()
    async with process_with_cached_endpoint(agent) as process:
        process.endpoint_list_timeout = 15.0
        start = asyncio.create_task(process.start())
        await until(lambda: process.discovery.agent_watches[0].connections)
        assert not start.done()
        agent.release.set()
        await start
        assert list(process.driver.upstream.pools) == [LISTED_ENDPOINT]
        assert time.monotonic() - started_at < MAX_START_SECONDS


# Guards against an agent that is unavailable and keeps the process from serving.
@async_test
async def test_the_start_does_not_wait_for_the_endpoint_list_for_ever() -> None:
    started_at = time.monotonic()
    async with process_with_cached_endpoint(LateAgent()) as process:
        process.endpoint_list_timeout = 0.05
        await process.start()
        assert list(process.driver.upstream.pools) == [CACHED_ENDPOINT]
        assert time.monotonic() - started_at < MAX_START_SECONDS
