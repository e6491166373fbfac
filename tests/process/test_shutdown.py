"""Graceful shutdown: what is served after SIGTERM, and what a request that cannot be completed gets."""

from __future__ import annotations

import asyncio
from typing import Any

from gateway.policy.actions import Action, StartAttempt
from gateway.policy.events import Request
from tests.support.event_loop import async_test, until
from tests.support.fake_endpoint import FakeEndpoint, send_no_response
from tests.support.gateway import gateway_with_client
from tests.support.http_client import NON_IDEMPOTENT_CLASS, HttpClient
from tests.support.http_messages import http_response
from tests.support.scripted_policy import FIRST, SECOND, forward_to_first

SHORT_DRAIN_SECONDS = 0.7
KEEP_OPEN_SECONDS = 5


class SlowEndpoint:
    """Connections of an endpoint that responds once it is released, and stays connected."""

    def __init__(self) -> None:
        self.release = asyncio.Event()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection."""
        await reader.readuntil(b"\r\n\r\n")
        await self.release.wait()
        writer.write(http_response(body=b"late"))
        await asyncio.sleep(KEEP_OPEN_SECONDS)


def forward_by_class(event: Any) -> list[Action]:
    """Forward the requests of the non-idempotent class to the second endpoint, others to the first."""
    if isinstance(event, Request):
        endpoint_id = SECOND if event.class_index == NON_IDEMPOTENT_CLASS else FIRST
        return [StartAttempt(event.request_id, endpoint_id, 0.0)]
    return []


@async_test
async def test_shutdown_accepts_for_a_while_and_completes_open_requests() -> None:
    slow = SlowEndpoint()
    async with (
        gateway_with_client(FakeEndpoint(), slow.handle, react=forward_by_class) as gateway,
        HttpClient(gateway.process.listener) as idle_client,
    ):
        open_request = asyncio.create_task(gateway.client.ask(NON_IDEMPOTENT_CLASS))
        await until(lambda: gateway.policy.of(Request))
        drained = asyncio.create_task(gateway.process.drain())
        await asyncio.sleep(0)
        async with HttpClient(gateway.process.listener) as late_client:
            assert (await late_client.ask()).status == 200
        assert (await idle_client.ask()).status == 200
        assert await idle_client.reader.read() == b""  # closed between requests
        slow.release.set()
        response = await open_request
        assert response.status == 200
        assert response.headers["connection"] == "close"
        await drained


@async_test
async def test_request_that_cannot_be_completed_before_sigkill_fails_as_timed_out() -> None:
    def react(event: Any) -> list[Action]:
        return forward_to_first(event) if isinstance(event, Request) else []

    endpoint = FakeEndpoint(send_no_response)
    async with gateway_with_client(endpoint, react=react) as gateway:
        open_request = asyncio.create_task(gateway.client.ask(NON_IDEMPOTENT_CLASS, 60_000))
        await until(lambda: endpoint.requests)
        gateway.process.drain_timeout = SHORT_DRAIN_SECONDS
        await gateway.process.drain()
        assert (await open_request).status == 504
