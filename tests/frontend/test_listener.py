"""Limits on client connections, their timeouts and their buffered bytes, over loopback sockets."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from gateway.frontend import connection_table
from gateway.policy.actions import Action, Reject
from gateway.policy.events import Request
from testbed.fake_endpoint import FakeEndpoint
from testbed.fake_server import LOOPBACK
from testbed.http_messages import read_message
from tests.support.event_loop import async_test, until
from tests.support.gateway import UNREACHABLE, gateway_with_client, running_gateway
from tests.support.http_client import NON_IDEMPOTENT_CLASS, HttpClient
from tests.support.scripted_policy import do_nothing, forward_to_first

SHORT_TIMEOUT_SECONDS = 0.1
SHORT_SWEEP_SECONDS = 0.02
SILENT_COUNT = 30  # connections that send nothing
MAX_CONNECTIONS = 5
MAX_BUFFERED_BYTES = 1500
PARTIAL_BODY = b"x" * 1000


@pytest.fixture
def fast_sweep(monkeypatch: pytest.MonkeyPatch) -> None:
    """Check the timeouts of connections often."""
    monkeypatch.setattr(connection_table, "TIMEOUT_SWEEP_SECONDS", SHORT_SWEEP_SECONDS)


# Guards against endpoints that get two requests with the same id, and a response to the wrong client.
@async_test
async def test_duplicate_request_id_is_rejected() -> None:
    received: list[Request] = []

    def react(event: Any) -> list[Action]:
        if isinstance(event, Request):
            received.append(event)
        return [Reject(received[0].request_id, 0.5)] if len(received) == 2 else []

    async with (
        running_gateway(UNREACHABLE, react=react) as (gateway, _),
        HttpClient(gateway.listener) as first,
        HttpClient(gateway.listener) as second,
        HttpClient(gateway.listener) as third,
    ):
        first.writer.write(first.encode_request(Request_Id="open"))
        await until(lambda: received)
        assert (await second.send_request(Request_Id="open")).status == 409
        assert len(received) == 1
        third.writer.write(third.encode_request(Request_Id="other"))
        assert (await read_message(first.reader)).status == 503
        assert gateway.listener.budget.open_request_ids == {b"other"}


# Guards against connections that use a descriptor without ever sending a complete request.
@pytest.mark.parametrize(
    "sent",
    [
        pytest.param(b"", id="nothing"),
        pytest.param(b"GET /class-0?customer=00", id="part of a request"),
        pytest.param(b"\r\n", id="empty line"),
    ],
)
@pytest.mark.usefixtures("fast_sweep")
@async_test
async def test_connection_is_closed_when_its_request_is_not_complete_in_time(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_table, "READ_TIMEOUT_SECONDS", SHORT_TIMEOUT_SECONDS)
    async with gateway_with_client(UNREACHABLE) as gateway:
        started_at = time.monotonic()
        if sent:
            gateway.client.writer.write(sent)
            assert (await read_message(gateway.client.reader)).status == 408
        assert await gateway.client.reader.read() == b""
        assert SHORT_TIMEOUT_SECONDS <= time.monotonic() - started_at < 2
        gateway.client.writer.close()
        await until(lambda: not gateway.process.listener.connection_table.connections)
        assert not gateway.policy.events


@pytest.mark.usefixtures("fast_sweep")
@async_test
async def test_connection_is_closed_when_its_client_keeps_it_open_after_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_table, "HALF_CLOSED_TIMEOUT_SECONDS", SHORT_TIMEOUT_SECONDS)
    async with gateway_with_client(UNREACHABLE) as gateway:
        assert (await gateway.client.send(b"nonsense\r\n\r\n")).status == 400
        await until(lambda: not gateway.process.listener.connection_table.connections)


# Guards against hundreds of connections that send nothing and leave no connections to other clients.
@async_test
async def test_silent_connections_are_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_table, "EVICTION_GRACE_SECONDS", 0.0)
    async with gateway_with_client(FakeEndpoint()) as gateway:
        table = gateway.process.listener.connection_table
        table.max_connections = MAX_CONNECTIONS
        active = gateway.client
        assert (await active.send_request()).status == 200
        silent = [await asyncio.open_connection(LOOPBACK, active.port) for _ in range(SILENT_COUNT)]
        await until(lambda: len(table.connections) == MAX_CONNECTIONS)
        async with HttpClient(gateway.process.listener) as new:
            assert (await new.send_request()).status == 200
        assert (await active.send_request()).status == 200  # recently used, so others were evicted
        for _, writer in silent:
            writer.close()


# Guards against new clients that are rejected because the table is full of connections which sent one request
# and then stayed idle (incident r76ab84).
@pytest.mark.usefixtures("fast_sweep")
@async_test
async def test_idle_connections_are_closed_early_in_a_crowded_table(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_table, "CROWDED_IDLE_TIMEOUT_SECONDS", SHORT_TIMEOUT_SECONDS)
    async with (
        running_gateway(FakeEndpoint(), react=forward_to_first) as (gateway, _),
        HttpClient(gateway.listener) as first,
        HttpClient(gateway.listener) as second,
    ):
        for client in (first, second):
            assert (await client.send_request()).status == 200
        gateway.listener.connection_table.max_connections = 4
        await until(lambda: not gateway.listener.connection_table.connections)


# Guards against unbounded memory for bodies that are never complete.
@async_test
async def test_total_bytes_of_incomplete_bodies_are_limited() -> None:
    async with running_gateway(UNREACHABLE, react=do_nothing) as (gateway, policy):
        budget = gateway.listener.budget
        budget.max_buffered_bytes = MAX_BUFFERED_BYTES
        async with HttpClient(gateway.listener) as first, HttpClient(gateway.listener) as second:
            incomplete_request = (
                first.encode_request(NON_IDEMPOTENT_CLASS, Content_Length="2000") + PARTIAL_BODY
            )
            first.writer.write(incomplete_request)
            await until(lambda: budget.buffered_bytes == len(PARTIAL_BODY))
            response = await second.send(incomplete_request)
            assert response.status == 503
            assert "retry-after" in response.headers
        await until(lambda: budget.buffered_bytes == 0)
        assert not policy.events
