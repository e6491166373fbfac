"""The discovery client with fake agents: updates for the policy, and a change of address."""

from __future__ import annotations

from gateway.address import Address, parse_address
from gateway.policy.events import EndpointState, UpdateKind
from testbed.fake_discovery import FakeDiscoveryAgent, host_entry
from testbed.fake_server import listening
from tests.support.discovery import (
    FIRST_ENDPOINT,
    FIRST_ENDPOINT_ID,
    SECOND_ENDPOINT,
    GatedAgent,
    discovery_client_for,
    update_json,
)
from tests.support.event_loop import async_test, until


@async_test
async def test_snapshots_and_deltas_are_decoded_and_passed_on() -> None:
    entry = host_entry("s-00000007", "127.0.0.1:81", block=3) | {"site": "b", "born_ms": 1764300000250}
    gone = entry | {"health": "Gone"}
    agent = FakeDiscoveryAgent([update_json(42, entry, is_snapshot=True), b"", update_json(43, gone)])
    async with discovery_client_for(agent.handle) as (_, received):
        await until(lambda: len(received.updates) == 3)
        assert agent.targets == ["/api/targets", "/api/targets?watch=1&from=41"]
        _, snapshot, delta = received.updates
        assert snapshot.kind is UpdateKind.SNAPSHOT
        assert delta.kind is UpdateKind.DELTA
        (record,) = snapshot.records
        assert record.endpoint_id == FIRST_ENDPOINT_ID
        assert record.zone == 1
        assert record.machine_type == 1
        assert record.cell == 3
        assert record.started_at == 1764300000.25
        assert record.state is EndpointState.READY
        assert received.addresses[1] == {FIRST_ENDPOINT_ID: Address("127.0.0.1", 81)}
        assert delta.records[0].state is EndpointState.GONE


# Guards against missed updates while the address of the agent changes: updates of the old agent are applied
# until the new agent has sent a snapshot, of whatever version, and then the old agent is disconnected.
@async_test
async def test_a_new_agent_is_used_once_it_has_sent_a_snapshot() -> None:
    old_agent = FakeDiscoveryAgent(snapshot=update_json(90, FIRST_ENDPOINT, is_snapshot=True))
    new_agent = GatedAgent(snapshot=update_json(3, SECOND_ENDPOINT, is_snapshot=True))
    async with (
        listening(new_agent.handle) as new_address,
        discovery_client_for(old_agent.handle) as (client, received),
    ):
        await until(lambda: len(old_agent.targets) == 2)
        client.change_address(parse_address(new_address))
        old_agent.watch_lines.append(update_json(91))
        await received.until_version(91)
        new_agent.may_serve.set()
        new_agent.watch_lines.append(update_json(4))
        await until(lambda: received.last_version == 4 and not old_agent.open_connections)
        assert received.versions == [90, 91, 3, 4]
        assert len(old_agent.targets) == 2
        assert len(client.agent_watches) == 1
