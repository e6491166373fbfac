"""Waiting or unsent attempts whose endpoint is removed, client disconnects or request is answered."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import pytest

from gateway.policy.actions import Action, Reject, StartAttempt
from gateway.policy.events import (
    AttemptFinished,
    EndpointRecord,
    EndpointState,
    EndpointUpdate,
    Outcome,
    Request,
    UpdateKind,
)
from gateway.upstream import connection_pool
from testbed.fake_endpoint import FakeEndpoint, respond_with, send_no_response
from testbed.fake_server import LOOPBACK, FakeServer
from tests.process.gated_loop import GatedLoop, gate_connections
from tests.process.raw_client import read_all
from tests.support.event_loop import async_test, until
from tests.support.gateway import gateway_with_client, running_gateway
from tests.support.http_client import NON_IDEMPOTENT_CLASS, HttpClient
from tests.support.scripted_policy import (
    FIRST_ENDPOINT_ID,
    SECOND_ENDPOINT_ID,
    Reaction,
    ScriptedPolicy,
    forward_to_first,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from gateway.driver.policy_driver import PolicyDriver
    from gateway.process import GatewayProcess
    from testbed.http_messages import Message

LONG_CONNECT_TIMEOUT = {"caps__connect_timeout_s": "5.0"}
LIST_VERSION = 42
LARGE_BODY = b"x" * 60_000


@dataclass(frozen=True)
class GatedGateway:
    """A running gateway whose connections to endpoints open only once the test permits them."""

    process: GatewayProcess
    policy: ScriptedPolicy
    loop: GatedLoop

    @property
    def driver(self) -> PolicyDriver:
        """The driver of the policy."""
        return self.process.driver

    def permit_connections_to(self, endpoint_id: int) -> None:
        """Permit connections to one endpoint."""
        self.loop.permitted_port = self.driver.upstream.pools[endpoint_id].address.port


@contextlib.asynccontextmanager
async def gated_gateway(*endpoints: FakeServer | str, react: Reaction) -> AsyncIterator[GatedGateway]:
    """Run a gateway whose connections to endpoints open only once the test permits them."""
    async with running_gateway(*endpoints, react=react, **LONG_CONNECT_TIMEOUT) as (process, policy):
        yield GatedGateway(process, policy, gate_connections(process))


def request_ids(messages: list[Message]) -> list[str]:
    """Return the Request-Id of each request."""
    return [message.headers["request-id"] for message in messages]


def retry_on_second_endpoint(event: Any) -> list[Action]:
    """Send each request to the first endpoint, then to the second if the attempt never ran."""
    if isinstance(event, AttemptFinished) and event.outcome.never_ran:
        return [StartAttempt(event.request_id, SECOND_ENDPOINT_ID, 0.0)]
    return forward_to_first(event)


def hedge_on_second_endpoint(event: Any) -> list[Action]:
    """Send each request to the first two endpoints at once."""
    if isinstance(event, Request):
        return [
            StartAttempt(event.request_id, FIRST_ENDPOINT_ID, 0.0),
            StartAttempt(event.request_id, SECOND_ENDPOINT_ID, 0.0),
        ]
    return []


def make_record(
    endpoint_id: int, state: EndpointState = EndpointState.READY, started_at: float = 0.0
) -> EndpointRecord:
    return EndpointRecord(endpoint_id, 0, started_at, state, 0, 0, 1.0)


DRAINING = EndpointUpdate(
    UpdateKind.DELTA, LIST_VERSION, (make_record(FIRST_ENDPOINT_ID, EndpointState.DRAINING),)
)
GONE = EndpointUpdate(UpdateKind.DELTA, LIST_VERSION, (make_record(FIRST_ENDPOINT_ID, EndpointState.GONE),))
ABSENT = EndpointUpdate(UpdateKind.SNAPSHOT, LIST_VERSION, (make_record(SECOND_ENDPOINT_ID),))
RESTARTED = EndpointUpdate(UpdateKind.DELTA, LIST_VERSION, (make_record(FIRST_ENDPOINT_ID, started_at=9.0),))


# Guards against a request that is written to an endpoint although an update has reported the endpoint as
# draining, gone or restarted while the connection was being opened.  The attempt never ran, so even a request
# that is not idempotent may be sent to another endpoint.
@pytest.mark.parametrize(
    "update",
    [
        pytest.param(DRAINING, id="draining"),
        pytest.param(GONE, id="gone"),
        pytest.param(ABSENT, id="absent from the snapshot"),
        pytest.param(RESTARTED, id="restarted"),
    ],
)
@async_test
async def test_waiting_attempt_is_not_sent_to_a_draining_gone_or_restarted_endpoint(
    update: EndpointUpdate,
) -> None:
    updated = FakeEndpoint()
    other = FakeEndpoint(respond_with(b"other"))
    async with (
        gated_gateway(updated, other, react=retry_on_second_endpoint) as gateway,
        HttpClient(gateway.process.listener) as client,
    ):
        waiting = asyncio.create_task(client.send_request(NON_IDEMPOTENT_CLASS))
        await until(lambda: gateway.loop.connect_count == 1)
        pools = gateway.driver.upstream.pools
        addresses = {record.endpoint_id: pools[record.endpoint_id].address for record in update.records}
        gateway.driver.apply_endpoint_update(update, addresses)
        gateway.loop.all_permitted.set()
        assert (await waiting).body == b"other"
        # The policy has to receive the update first, or it could choose the same endpoint again.
        event_types = [type(event) for event in gateway.policy.events]
        assert event_types.index(AttemptFinished) > event_types.index(EndpointUpdate)
        assert gateway.policy.outcomes() == [Outcome.NOT_STARTED, Outcome.OK]
        await until(lambda: updated.accepted_connections == 1)
        assert not updated.requests


# Guards against sending a hedged request after its client disconnected while the attempt was waiting.
@async_test
async def test_waiting_hedged_request_is_not_sent_after_its_client_disconnected() -> None:
    silent = FakeEndpoint(send_no_response)
    second = FakeEndpoint()
    async with gated_gateway(silent, second, react=hedge_on_second_endpoint) as gateway:
        gateway.permit_connections_to(FIRST_ENDPOINT_ID)
        async with HttpClient(gateway.process.listener) as client:
            client.writer.write(client.encode_request())
            await until(lambda: silent.requests and gateway.loop.connect_count == 2)
        await until(lambda: gateway.policy.outcomes() == [Outcome.NOT_STARTED])
        gateway.loop.all_permitted.set()
        await until(lambda: gateway.driver.upstream.pools[SECOND_ENDPOINT_ID].idle_connections)
        assert not second.requests


# Guards against sending a request after its client disconnected while the first attempt was waiting.
@async_test
async def test_waiting_attempt_is_not_sent_after_its_client_disconnected() -> None:
    endpoint = FakeEndpoint()
    async with gated_gateway(endpoint, react=forward_to_first) as gateway:
        listener = gateway.process.listener
        async with HttpClient(listener) as client:
            client.writer.write(client.encode_request(NON_IDEMPOTENT_CLASS))
            await until(lambda: gateway.loop.connect_count == 1)
        await until(lambda: gateway.policy.outcomes() == [Outcome.NOT_STARTED])
        assert not gateway.driver.open_requests
        assert not listener.budget.open_request_ids
        gateway.loop.all_permitted.set()
        # The new connection is pooled.
        await until(lambda: gateway.driver.upstream.pools[FIRST_ENDPOINT_ID].idle_connections)
        async with HttpClient(listener) as client:
            assert (await client.send_request(Request_Id="second")).status == 200
        assert request_ids(endpoint.requests) == ["second"]


def attempt_second_then_first(event: Any) -> list[Action]:
    """Send each request to the second endpoint, and a hedged one to the first."""
    if isinstance(event, Request):
        return [
            StartAttempt(event.request_id, SECOND_ENDPOINT_ID, 0.0),
            StartAttempt(event.request_id, FIRST_ENDPOINT_ID, 0.0),
        ]
    return []


def attempt_second_then_reject(event: Any) -> list[Action]:
    """Send each request to the second endpoint, and reject it."""
    if isinstance(event, Request):
        return [StartAttempt(event.request_id, SECOND_ENDPOINT_ID, 0.0), Reject(event.request_id, 0.0)]
    return []


# Guards against a hedged request that is written as soon as its connection is open, although the first
# attempt has already returned the response or the policy has rejected the request.
@pytest.mark.parametrize(
    ("react", "status"),
    [
        pytest.param(attempt_second_then_first, 200, id="served"),
        pytest.param(attempt_second_then_reject, 503, id="rejected"),
    ],
)
@async_test
async def test_waiting_attempt_is_not_sent_after_the_final_response(react: Reaction, status: int) -> None:
    second = FakeEndpoint()
    async with (
        gated_gateway(FakeEndpoint(), second, react=react) as gateway,
        HttpClient(gateway.process.listener) as client,
    ):
        gateway.permit_connections_to(FIRST_ENDPOINT_ID)
        assert (await client.send_request(Request_Id="once")).status == status
        await until(lambda: Outcome.NOT_STARTED in gateway.policy.outcomes())
        await until(lambda: not gateway.driver.open_requests)
        gateway.loop.all_permitted.set()
        await until(lambda: gateway.driver.upstream.pools[SECOND_ENDPOINT_ID].idle_connections)
        assert "once" not in request_ids(second.requests)


# Guards against a hedged request that is written as soon as a pooled connection may be reused, although the
# first attempt has already returned the response.
@async_test
async def test_attempt_that_waits_for_reuse_is_not_sent_after_the_final_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def react(event: Any) -> list[Action]:
        is_first_request = isinstance(event, Request) and event.request_id == 1
        if is_first_request:  # opens the connection that is reused
            return [StartAttempt(event.request_id, SECOND_ENDPOINT_ID, 0.0)]
        return attempt_second_then_first(event)

    second = FakeEndpoint()
    async with gateway_with_client(FakeEndpoint(), second, react=react, **LONG_CONNECT_TIMEOUT) as gateway:
        assert (await gateway.client.send_request(Request_Id="first")).status == 200
        monkeypatch.setattr(connection_pool, "REUSE_DELAY_SECONDS", 0.3)
        assert (await gateway.client.send_request(Request_Id="once")).status == 200
        driver = gateway.process.driver
        await until(lambda: Outcome.NOT_STARTED in gateway.policy.outcomes())
        await until(lambda: not driver.open_requests)
        await until(lambda: driver.upstream.pools[SECOND_ENDPOINT_ID].idle_connections)
        assert "once" not in request_ids(second.requests)


@contextlib.contextmanager
def slow_listener() -> Iterator[socket.socket]:
    """Yield a listening socket with small receive buffers, whose connections are not read."""
    with socket.create_server((LOOPBACK, 0)) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        listener.settimeout(0.0)
        yield listener


# Guards against unsent bytes of an attempt that are written after its client has disconnected: an attempt
# that is incomplete at its endpoint must not become complete later.
@async_test
async def test_attempt_with_unsent_bytes_ends_when_its_client_disconnects() -> None:
    with slow_listener() as slow:
        address = f"{LOOPBACK}:{slow.getsockname()[1]}"
        async with gated_gateway(address, react=forward_to_first) as gateway:
            pool = gateway.driver.upstream.pools[FIRST_ENDPOINT_ID]
            gateway.loop.has_small_buffers = True
            gateway.loop.all_permitted.set()
            async with HttpClient(gateway.process.listener) as client:
                client.writer.write(client.encode_request(NON_IDEMPOTENT_CLASS, body=LARGE_BODY))
                await until(lambda: any(connection.has_unsent_bytes for connection in pool.connections))
            await until(lambda: gateway.policy.outcomes() == [Outcome.NOT_STARTED])
            assert not pool.connections
            assert not gateway.driver.open_requests
            accepted, _ = slow.accept()
            with accepted:
                assert len(await read_all(accepted)) < len(LARGE_BODY)
