"""Graceful shutdown: what is served after SIGTERM, and what a request that cannot be completed gets."""

from __future__ import annotations

import asyncio
from typing import Any

from gateway.policy.actions import Action, StartAttempt
from gateway.policy.events import Request
from tests.support.harness import async_test, gateway_with_client
from tests.support.sockets import FIRST, FakeEndpoint, HttpClient, http_response, send_on, until


@async_test
async def test_shutdown_accepts_for_a_while_and_completes_open_requests() -> None:
    release = asyncio.Event()

    async def slow_endpoint(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await release.wait()
        writer.write(http_response(body=b"late"))
        await asyncio.sleep(5)

    def react(event: Any) -> list[Action]:
        if isinstance(event, Request):
            return [StartAttempt(event.request_id, 2 if event.class_index == 2 else FIRST, 0.0)]
        return []

    async with (
        gateway_with_client(FakeEndpoint(), slow_endpoint, react=react) as gateway,
        HttpClient(gateway.process.listener) as idle_client,
    ):
        open_request = asyncio.create_task(gateway.client.ask(2))
        await until(lambda: gateway.policy.of(Request))
        drained = asyncio.create_task(gateway.process.drain())
        await asyncio.sleep(0)
        async with HttpClient(gateway.process.listener) as late_client:
            assert (await late_client.ask()).status == 200
        assert (await idle_client.ask()).status == 200
        assert await idle_client.reader.read() == b""  # closed between requests
        release.set()
        response = await open_request
        assert (response.status, response.headers["connection"]) == (200, "close")
        await drained


@async_test
async def test_request_that_cannot_be_completed_before_sigkill_fails_as_timed_out() -> None:
    def react(event: Any) -> list[Action]:
        return send_on(event) if isinstance(event, Request) else []

    endpoint = FakeEndpoint(lambda _: None)
    async with gateway_with_client(endpoint, react=react) as gateway:
        open_request = asyncio.create_task(gateway.client.ask(2, 60_000))
        await until(lambda: endpoint.seen)
        gateway.process.drain_timeout = 0.7
        await gateway.process.drain()
        assert (await open_request).status == 504
