"""Attempts that are not written yet when their endpoint, client or request goes away, on loopback."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

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
from tests.process.gated_loop import gate_connections
from tests.process.raw_client import read_all
from tests.support.harness import async_test
from tests.support.sockets import (
    FIRST,
    FakeEndpoint,
    HttpClient,
    http_response,
    listening,
    running_gateway,
    send_on,
    until,
)


def retry_on_second_endpoint(event: Any) -> list[Action]:
    """Send each request to the first endpoint, then to the second if it never ran."""
    if isinstance(event, AttemptFinished) and event.outcome.never_ran:
        return [StartAttempt(event.request_id, 2, 0.0)]
    return send_on(event)


# Guards against a request that is written to an endpoint which was reported as leaving while the connection
# to it was opened: the attempt never ran, so that even a request that is not idempotent may go to another.
@pytest.mark.parametrize("how", ["draining", "gone", "left out", "moved"])
@async_test
async def test_a_waiting_attempt_is_not_sent_to_an_endpoint_that_is_leaving(how: str) -> None:
    leaving, other = FakeEndpoint(), FakeEndpoint(lambda _message: http_response(body=b"other"))
    async with (
        listening(leaving.handle) as first,
        listening(other.handle) as second,
        running_gateway(first, second, react=retry_on_second_endpoint, caps__connect_timeout_s="5.0") as (
            gateway,
            policy,
        ),
        HttpClient(gateway.listener) as client,
    ):
        gated_loop = gate_connections(gateway)
        waiting = asyncio.create_task(client.ask(2))
        await until(lambda: gated_loop.connects == 1)
        address = gateway.driver.upstream.pools[FIRST].address
        state = {"draining": EndpointState.DRAINING, "gone": EndpointState.GONE}.get(how, EndpointState.READY)
        entry = EndpointRecord(FIRST, 0, 9.0 if how == "moved" else 0.0, state, 0, 0, 1.0)
        if how == "left out":
            beside = EndpointRecord(2, 0, 0.0, state, 0, 0, 1.0)
            told = EndpointUpdate(UpdateKind.SNAPSHOT, 42, (beside,))
            gateway.driver.apply_endpoint_update(told, {2: gateway.driver.upstream.pools[2].address})
        else:
            gateway.driver.apply_endpoint_update(
                EndpointUpdate(UpdateKind.DELTA, 42, (entry,)), {FIRST: address}
            )
        gated_loop.open.set()
        assert (await waiting).body == b"other"
        # The policy hears the reason first, or it could choose the same endpoint again.
        kinds = [type(e).__name__ for e in policy.events]
        assert kinds.index("AttemptFinished") > kinds.index("EndpointUpdate")
        assert policy.outcomes() == [Outcome.NOT_STARTED, Outcome.OK]
        await until(lambda: leaving.opened == 1)
        assert not leaving.seen


# Guards against a hedged request for a client that disconnected while it waited for a connection.
@async_test
async def test_a_waiting_hedged_request_is_not_sent_once_its_client_has_disconnected() -> None:
    def react(event: Any) -> list[Action]:
        if isinstance(event, Request):
            return [StartAttempt(event.request_id, FIRST, 0.0), StartAttempt(event.request_id, 2, 0.0)]
        return []

    endpoint, second = FakeEndpoint(lambda _message: None), FakeEndpoint()
    async with (
        listening(endpoint.handle) as first,
        listening(second.handle) as other,
        running_gateway(first, other, react=react, caps__connect_timeout_s="5.0") as (gateway, policy),
    ):
        gated_loop = gate_connections(gateway)
        gated_loop.open_for = gateway.driver.upstream.pools[FIRST].address.port
        async with HttpClient(gateway.listener) as client:
            client.writer.write(client.request())
            await until(lambda: endpoint.seen and gated_loop.connects == 2)
        await until(lambda: policy.outcomes() == [Outcome.NOT_STARTED])
        gated_loop.open.set()
        await until(lambda: gateway.driver.upstream.pools[2].idle)
        assert not second.seen


# Guards against an attempt for a client that disconnected while it waited for a connection.
@async_test
async def test_a_waiting_attempt_is_not_sent_once_its_client_has_disconnected() -> None:
    endpoint = FakeEndpoint()
    async with (
        listening(endpoint.handle) as address,
        running_gateway(address, react=send_on, caps__connect_timeout_s="5.0") as (gateway, policy),
    ):
        gated_loop = gate_connections(gateway)
        async with HttpClient(gateway.listener) as client:
            client.writer.write(client.request(2))
            await until(lambda: gated_loop.connects == 1)
        await until(lambda: policy.outcomes() == [Outcome.NOT_STARTED])
        assert not gateway.driver.open_requests
        assert not gateway.listener.budget.open_request_ids
        gated_loop.open.set()
        await until(lambda: gateway.driver.upstream.pools[FIRST].idle)  # opened anyway, it is kept
        async with HttpClient(gateway.listener) as client:
            assert (await client.ask(Request_Id="second")).status == 200
        assert [m.headers["request-id"] for m in endpoint.seen] == ["second"]


# Guards against a hedged request that is written once its connection is open or may be used again, when the
# first attempt has brought the response, or the policy has rejected the request.
@pytest.mark.parametrize("how", ["connecting", "resting", "given up"])
@async_test
async def test_a_waiting_attempt_is_not_sent_after_the_final_response(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    def react(event: Any) -> list[Action]:
        if isinstance(event, Request):
            copies: list[Action] = [StartAttempt(event.request_id, 2, 0.0)]
            is_warm_up = how == "resting" and event.request_id == 1
            if not is_warm_up:
                copies.append(
                    Reject(event.request_id, 0.0)
                    if how == "given up"
                    else StartAttempt(event.request_id, FIRST, 0.0)
                )
            return copies
        return []

    endpoint, second = FakeEndpoint(), FakeEndpoint()
    async with (
        listening(endpoint.handle) as first,
        listening(second.handle) as other,
        running_gateway(first, other, react=react, caps__connect_timeout_s="5.0") as (gateway, policy),
        HttpClient(gateway.listener) as client,
    ):
        if how == "resting":
            assert (await client.ask(Request_Id="warm")).status == 200
            monkeypatch.setattr(connection_pool, "REUSE_DELAY_SECONDS", 0.3)
        else:
            gated_loop = gate_connections(gateway)
            gated_loop.open_for = gateway.driver.upstream.pools[FIRST].address.port
        waiting = asyncio.create_task(client.ask(Request_Id="once"))
        assert (await waiting).status == (503 if how == "given up" else 200)
        await until(lambda: Outcome.NOT_STARTED in policy.outcomes() and not gateway.driver.open_requests)
        if how != "resting":
            gated_loop.open.set()
        await until(lambda: gateway.driver.upstream.pools[2].idle)
        assert "once" not in [m.headers["request-id"] for m in second.seen]


# Guards against bytes that wait in this process and are written although the client has disconnected: an
# attempt that is incomplete at its endpoint by then must not become complete later.
@async_test
async def test_an_attempt_with_unsent_bytes_ends_when_its_client_disconnects() -> None:
    with socket.create_server(("127.0.0.1", 0)) as slow:
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        slow.setblocking(False)
        address = f"127.0.0.1:{slow.getsockname()[1]}"
        async with running_gateway(address, react=send_on) as (gateway, policy):
            pool = gateway.driver.upstream.pools[FIRST]
            gated_loop = gate_connections(gateway)
            gated_loop.has_small_buffers = True
            gated_loop.open.set()
            async with HttpClient(gateway.listener) as client:
                client.writer.write(client.request(2, body=b"x" * 60_000))
                await until(lambda: any(connection.has_unsent_bytes for connection in pool.connections))
            await until(lambda: policy.outcomes() == [Outcome.NOT_STARTED])
            assert not pool.connections
            assert not gateway.driver.open_requests
            taken, _ = slow.accept()
            with taken:
                assert len(await read_all(taken)) < 60_000
