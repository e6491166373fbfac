"""The start waits for the endpoint list, for a limited time."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

from gateway.process import GatewayProcess
from tests.support.discovery import GatedAgent, update_json
from tests.support.event_loop import async_test, until
from tests.support.fake_discovery import host_entry
from tests.support.fake_server import listening
from tests.support.gateway import make_config

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CACHED_ENDPOINT = host_entry("s-00000001", "127.0.0.1:1")
CACHED_ENDPOINT_ID = 1
PRESENT_ENDPOINT = host_entry("s-00000002", "127.0.0.1:2")
PRESENT_ENDPOINT_ID = 2
MAX_START_SECONDS = 10


def gated_agent() -> GatedAgent:
    """Return an agent that has another endpoint than the cached list."""
    return GatedAgent(update_json(42, PRESENT_ENDPOINT, complete=True))


@contextlib.asynccontextmanager
async def gateway_with_cached_list(agent: GatedAgent, list_timeout: float) -> AsyncIterator[GatewayProcess]:
    """Yield a gateway that is not started yet; its start waits this many seconds for the agent's list."""
    async with listening(agent.handle) as discovery:
        gateway = GatewayProcess(make_config([CACHED_ENDPOINT], discovery=discovery))
        gateway.endpoint_list_timeout = list_timeout
        yield gateway
        await gateway.close()


# Guards against requests that are sent by the endpoint list of an earlier process: the list that discovery
# has counts from the first request on.
@async_test
async def test_the_start_waits_for_the_endpoint_list() -> None:
    began_at = time.monotonic()
    agent = gated_agent()
    async with gateway_with_cached_list(agent, list_timeout=15.0) as gateway:
        start = asyncio.create_task(gateway.start())
        await until(lambda: gateway.discovery.agent_watches[0].connections)
        assert not start.done()
        agent.may_serve.set()
        await start
        assert list(gateway.driver.upstream.pools) == [PRESENT_ENDPOINT_ID]
        assert time.monotonic() - began_at < MAX_START_SECONDS


# Guards against an agent that is unavailable and keeps the process from serving.
@async_test
async def test_the_start_does_not_wait_for_the_endpoint_list_for_ever() -> None:
    began_at = time.monotonic()
    async with gateway_with_cached_list(gated_agent(), list_timeout=0.05) as gateway:
        await gateway.start()
        assert list(gateway.driver.upstream.pools) == [CACHED_ENDPOINT_ID]
        assert time.monotonic() - began_at < MAX_START_SECONDS
