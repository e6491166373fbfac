"""The start waits for the endpoint list, for a limited time."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from gateway.process import GatewayProcess
from tests.support.harness import async_test
from tests.support.sockets import FakeDiscoveryAgent, host_line, listening, make_config, until


# Guards against requests that are sent by the endpoint list of an earlier process: the list that discovery
# has counts from the first request on.  An agent that is unavailable must not keep the process from serving.
@pytest.mark.parametrize("away", [False, True])
@async_test
async def test_the_start_waits_for_the_endpoint_list_but_not_for_ever(away: bool) -> None:
    agent, go, began = FakeDiscoveryAgent(), asyncio.Event(), time.monotonic()

    async def late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await go.wait()
        await agent.handle(reader, writer)

    old, new = host_line("s-00000001", "127.0.0.1:1"), host_line("s-00000002", "127.0.0.1:2")
    agent.whole = json.dumps({"seq": 42, "whole": True, "hosts": [new]}).encode()
    async with listening(late) as discovery:
        gateway = GatewayProcess(make_config([old], discovery=discovery))
        gateway.endpoint_list_timeout = 0.05 if away else 15.0
        start = asyncio.create_task(gateway.start())
        if not away:
            await until(lambda: gateway.discovery.agent_watches[0].connections)
            assert not start.done()
            go.set()
        await start
        assert list(gateway.driver.upstream.pools) == [1 if away else 2]
        assert time.monotonic() - began < 10
        await gateway.close()
