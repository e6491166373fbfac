"""Endpoints that start at the address of another one, over loopback sockets."""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING

import pytest

from gateway.policy.events import EndpointRecord, EndpointState, EndpointUpdate, UpdateKind
from testbed.fake_endpoint import FakeEndpoint
from tests.support.event_loop import async_test
from tests.support.gateway import gateway_with_client
from tests.support.scripted_policy import FIRST_ENDPOINT_ID

if TYPE_CHECKING:
    from gateway.process import GatewayProcess

NEW_ENDPOINT_ID = 9
FIRST_VERSION = 42


def old_record(state: EndpointState) -> EndpointRecord:
    return EndpointRecord(FIRST_ENDPOINT_ID, 0, 0.0, state, 0, 0, 1.0)


def new_record() -> EndpointRecord:
    return EndpointRecord(NEW_ENDPOINT_ID, 0, time.time() - 60, EndpointState.READY, 0, 0, 1.0)


def publish(gateway: GatewayProcess, kind: UpdateKind, version: int, *records: EndpointRecord) -> None:
    """Apply an update in which all endpoints have the address of the first one."""
    upstream = gateway.driver.upstream
    (pool,) = upstream.pools.values()
    addresses = {record.endpoint_id: pool.address for record in records}
    gateway.driver.apply_endpoint_update(EndpointUpdate(kind, version, records), addresses)


# Guards against a new endpoint that gets no attempts, as an update of the one that had its address before was
# taken for a change of that address.
@pytest.mark.parametrize(
    "old_state", [EndpointState.READY, EndpointState.DRAINING], ids=["ready", "draining"]
)
@async_test
async def test_late_updates_of_the_endpoint_before_do_not_take_the_address(old_state: EndpointState) -> None:
    async with gateway_with_client(FakeEndpoint(), react=None) as gateway:
        updates = (new_record(), old_record(old_state), old_record(EndpointState.GONE))
        for version, record in enumerate(updates, FIRST_VERSION):
            publish(gateway.process, UpdateKind.DELTA, version, record)
            assert list(gateway.process.driver.upstream.pools) == [NEW_ENDPOINT_ID]
        assert (await gateway.client.send_request()).status == 200


# As above, for a snapshot that lists both, in any order.
@pytest.mark.parametrize("order", list(itertools.permutations([0, 1])), ids=["old first", "new first"])
@async_test
async def test_the_endpoint_that_started_last_has_the_address(order: tuple[int, ...]) -> None:
    async with gateway_with_client(FakeEndpoint(), react=None) as gateway:
        both = (old_record(EndpointState.DRAINING), new_record())
        records = [both[index] for index in order]
        publish(gateway.process, UpdateKind.SNAPSHOT, FIRST_VERSION, *records)
        assert list(gateway.process.driver.upstream.pools) == [NEW_ENDPOINT_ID]
        assert (await gateway.client.send_request()).status == 200
