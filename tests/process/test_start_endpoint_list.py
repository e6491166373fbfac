"""The start waits for the endpoint list, up to a timeout."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

from gateway.process import GatewayProcess
from testbed.fake_discovery import host_entry
from testbed.fake_server import listening
from tests.support.discovery import GatedAgent, update_json
from tests.support.event_loop import async_test, until
from tests.support.gateway import make_config

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CACHED_ENDPOINT = host_entry("s-00000001", "127.0.0.1:1")
CACHED_ENDPOINT_ID = 1
CURRENT_ENDPOINT = host_entry("s-00000002", "127.0.0.1:2")
CURRENT_ENDPOINT_ID = 2
MAX_START_SECONDS = 10


def gated_agent() -> GatedAgent:
    """Return an agent whose list has another endpoint than the cached list."""
    return GatedAgent(update_json(42, CURRENT_ENDPOINT, is_snapshot=True))


@contextlib.asynccontextmanager
async def gateway_with_cached_list(agent: GatedAgent, list_timeout: float) -> AsyncIterator[GatewayProcess]:
    """Yield a gateway that is not started; its start waits for the agent's list, at most `list_timeout` s."""
    async with listening(agent.handle) as discovery:
        gateway = GatewayProcess(make_config([CACHED_ENDPOINT], discovery=discovery))
        gateway.endpoint_list_timeout = list_timeout
        yield gateway
        await gateway.close()


# Guards against requests that are forwarded according to the outdated list of an earlier process: if
# discovery responds, its list is used from the first request on.
@async_test
async def test_the_start_waits_for_the_endpoint_list() -> None:
    started_at = time.monotonic()
    agent = gated_agent()
    async with gateway_with_cached_list(agent, list_timeout=15.0) as gateway:
        start = asyncio.create_task(gateway.start())
        await until(lambda: gateway.discovery.agent_watches[0].connections)
        assert not start.done()
        agent.may_serve.set()
        await start
        assert list(gateway.driver.upstream.pools) == [CURRENT_ENDPOINT_ID]
        assert time.monotonic() - started_at < MAX_START_SECONDS


# Guards against a process that does not serve because the agent is unavailable.
@async_test
async def test_the_wait_for_the_endpoint_list_times_out() -> None:
    started_at = time.monotonic()
    async with gateway_with_cached_list(gated_agent(), list_timeout=0.05) as gateway:
        await gateway.start()
        assert list(gateway.driver.upstream.pools) == [CACHED_ENDPOINT_ID]
        assert time.monotonic() - started_at < MAX_START_SECONDS
