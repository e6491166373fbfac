"""Updates from an agent to the policy, and the move from one agent to another."""

from __future__ import annotations

import asyncio

from gateway.address import Address, parse_address
from gateway.policy.events import EndpointState, UpdateKind
from tests.support.discovery import discovering, update_json
from tests.support.harness import async_test
from tests.support.sockets import FakeDiscoveryAgent, host_line, listening, until


@async_test
async def test_lists_and_changes_reach_the_policy() -> None:
    line = host_line("s-00000007", "127.0.0.1:81", block=3) | {"site": "b", "born_ms": 1764300000250}
    gone = line | {"health": "Gone"}
    agent = FakeDiscoveryAgent([update_json(42, line, complete=True), b"", update_json(43, gone)])
    async with discovering(agent.handle) as (_, received):
        await until(lambda: len(received.updates) == 3)
        assert agent.targets == ["/api/targets", "/api/targets?watch=1&from=41"]
        _, snapshot, change = received.updates
        assert [snapshot.kind, change.kind] == [UpdateKind.SNAPSHOT, UpdateKind.DELTA]
        (entry,) = snapshot.records
        assert (entry.endpoint_id, entry.zone, entry.machine_type, entry.cell) == (7, 1, 1, 3)
        assert (entry.started_at, entry.state) == (1764300000.25, EndpointState.READY)
        assert received.addresses[1] == {7: Address("127.0.0.1", 81)}
        assert change.records[0].state is EndpointState.GONE


# Guards against a gap when the configuration names another agent: the old list and its changes count until
# the new agent's complete list is there, whatever its versions, and the old agent is left alone then.
@async_test
async def test_a_new_agent_takes_over_with_its_complete_list() -> None:
    first, second = host_line("s-00000007", "127.0.0.1:81"), host_line("s-00000008", "127.0.0.1:82")
    old = FakeDiscoveryAgent(whole=update_json(90, first, complete=True))
    new = FakeDiscoveryAgent(whole=update_json(3, second, complete=True))
    gate = asyncio.Event()

    async def late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await gate.wait()
        await new.handle(reader, writer)

    async with listening(late) as new_address, discovering(old.handle) as (client, received):
        await until(lambda: len(old.targets) == 2)
        client.change_address(parse_address(new_address))
        old.lines.append(update_json(91))
        await until(lambda: received.last_version == 91)
        gate.set()
        new.lines.append(update_json(4))
        await until(lambda: received.last_version == 4 and not old.open)
        assert received.versions == [90, 91, 3, 4]
        assert len(old.targets) == 2
        assert len(client.agent_watches) == 1
