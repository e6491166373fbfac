"""SIGHUP: the program reads its configuration again and moves discovery and the counter."""

from __future__ import annotations

import contextlib
import json
import signal
from pathlib import Path

from gateway.counter.client import CONNECTION_COUNT
from tests.process.program import readiness_status, running_program
from tests.support.harness import async_test
from tests.support.sockets import (
    FakeCounter,
    FakeDiscoveryAgent,
    FakeEndpoint,
    config_text,
    host_line,
    http_response,
    listening,
    until,
)


@async_test
async def test_sighup_moves_discovery_and_counter_and_a_malformed_file_changes_nothing(
    tmp_path: Path,
) -> None:
    """Neither SIGHUP nor a malformed file may end the process or leave it without addresses."""
    agents, counters = [FakeDiscoveryAgent(), FakeDiscoveryAgent()], [FakeCounter(), FakeCounter()]
    endpoint = FakeEndpoint(lambda _: http_response())
    async with contextlib.AsyncExitStack() as stack:
        host = host_line("s-00000001", await stack.enter_async_context(listening(endpoint.handle)))
        agent_addresses = [await stack.enter_async_context(listening(agent.handle)) for agent in agents]
        counter_addresses = [
            await stack.enter_async_context(listening(counter.handle)) for counter in counters
        ]
        for agent in agents:
            agent.whole = json.dumps({"seq": 1, "whole": True, "hosts": [host]}).encode()
        path = tmp_path / "config.json"
        path.write_text(config_text([host], counter_addresses[0], agent_addresses[0]))
        program, port = await stack.enter_async_context(running_program(path))
        await until(lambda: agents[0].open and counters[0].opened == CONNECTION_COUNT)

        path.write_text("{")
        program.send_signal(signal.SIGHUP)
        assert program.stderr is not None
        assert b"configuration unchanged" in await program.stderr.readline()
        assert agents[0].open
        assert await readiness_status(port) == 200

        path.write_text(config_text([host], counter_addresses[1], agent_addresses[1]))
        program.send_signal(signal.SIGHUP)
        await until(lambda: len(agents[1].targets) == 2 and not agents[0].open)
        await until(lambda: counters[1].opened == CONNECTION_COUNT and not counters[0].open)
        assert await readiness_status(port) == 200
        assert program.returncode is None
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0
