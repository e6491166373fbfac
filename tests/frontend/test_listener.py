"""Bounds on connections, their times and what is buffered for them, over loopback sockets."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from gateway.frontend import connection_table
from gateway.policy.actions import Action, Reject
from gateway.policy.events import Request
from tests.support.harness import UNREACHABLE, async_test, gateway_with_client
from tests.support.sockets import (
    FakeEndpoint,
    HttpClient,
    http_response,
    listening,
    read_message,
    running_gateway,
    send_on,
    until,
)


# Guards against two requests with one id at the endpoints, and against a response to the wrong client.
@async_test
async def test_a_request_id_that_is_open_is_rejected() -> None:
    held: list[Request] = []

    def react(event: Any) -> list[Action]:
        held.extend([event] if isinstance(event, Request) else [])
        return [Reject(held[0].request_id, 0.5)] if len(held) == 2 else []

    async with (
        running_gateway("127.0.0.1:1", react=react) as (gateway, _),
        HttpClient(gateway.listener) as one,
        HttpClient(gateway.listener) as two,
        HttpClient(gateway.listener) as three,
    ):
        one.writer.write(one.request(Request_Id="taken"))
        await until(lambda: held)
        assert (await two.ask(Request_Id="taken")).status == 409
        assert len(held) == 1
        three.writer.write(three.request(Request_Id="other"))
        assert (await read_message(one.reader)).status == 503
        assert gateway.listener.budget.open_request_ids == {b"other"}


# Guards against connections that send nothing, or a request byte by byte: each takes a descriptor.
@pytest.mark.parametrize("sent", [b"", b"GET /class-0?customer=00", b"\r\n"])
@async_test
async def test_a_request_that_is_not_complete_in_time_gets_an_error_or_a_close(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_table, "READ_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr(connection_table, "TIMEOUT_SWEEP_SECONDS", 0.02)

    async with gateway_with_client(UNREACHABLE) as gateway:
        began = time.monotonic()
        if sent:
            gateway.client.writer.write(sent)
            assert (await read_message(gateway.client.reader)).status == 408
        assert await gateway.client.reader.read() == b""
        assert 0.1 <= time.monotonic() - began < 2
        gateway.client.writer.close()
        await until(lambda: not gateway.process.listener.connection_table.connections)
        assert not gateway.policy.events


@async_test
async def test_a_client_that_does_not_close_behind_an_error_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_table, "HALF_CLOSED_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr(connection_table, "TIMEOUT_SWEEP_SECONDS", 0.02)

    async with gateway_with_client(UNREACHABLE) as gateway:
        assert (await gateway.client.send(b"nonsense\r\n\r\n")).status == 400
        await until(lambda: not gateway.process.listener.connection_table.connections)


# Guards clients that send requests against hundreds of connections that send nothing.
@async_test
async def test_silent_connections_are_closed_to_make_room(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_table, "EVICTION_GRACE_SECONDS", 0.0)

    endpoint = FakeEndpoint(lambda _message: http_response())
    async with (
        listening(endpoint.handle) as address,
        running_gateway(address, react=send_on) as (gateway, _),
        HttpClient(gateway.listener) as usual,
    ):
        gateway.listener.connection_table.max_connections = 5
        assert (await usual.ask()).status == 200
        silent = [await asyncio.open_connection("127.0.0.1", usual.port) for _ in range(30)]
        await until(lambda: len(gateway.listener.connection_table.connections) == 5)
        async with HttpClient(gateway.listener) as new:
            assert (await new.ask()).status == 200
        assert (await usual.ask()).status == 200  # it sent a request a moment ago: others were closed
        for _, writer in silent:
            writer.close()


# Guards new clients against a full table of connections that sent one request and stay: the incident r76ab84.
@async_test
async def test_idle_connections_are_closed_early_once_half_of_all_are_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_table, "CROWDED_IDLE_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr(connection_table, "TIMEOUT_SWEEP_SECONDS", 0.02)

    endpoint = FakeEndpoint(lambda _message: http_response())
    async with (
        listening(endpoint.handle) as address,
        running_gateway(address, react=send_on) as (gateway, _),
        HttpClient(gateway.listener) as one,
        HttpClient(gateway.listener) as two,
    ):
        for client in (one, two):
            assert (await client.ask()).status == 200
        gateway.listener.connection_table.max_connections = 4
        await until(lambda: not gateway.listener.connection_table.connections)


# Guards against memory that is kept for bodies which are never complete.
@async_test
async def test_the_bytes_of_incomplete_bodies_are_bounded_together() -> None:
    async with running_gateway("127.0.0.1:1", react=lambda _event: []) as (gateway, policy):
        gateway.listener.budget.max_buffered_bytes = 1500
        async with HttpClient(gateway.listener) as one, HttpClient(gateway.listener) as two:
            half = one.request(2, Content_Length="2000") + b"x" * 1000
            one.writer.write(half)
            await until(lambda: gateway.listener.budget.buffered_bytes == 1000)
            response = await two.send(half)
            assert (response.status, "retry-after" in response.headers) == (503, True)
        await until(lambda: gateway.listener.budget.buffered_bytes == 0)
        assert not policy.events
