"""Graceful shutdown: requests served after it starts, and requests that do not complete in time."""

from __future__ import annotations

import asyncio
from typing import Any

from gateway.policy.actions import Action, StartAttempt
from gateway.policy.events import Request
from testbed.fake_endpoint import FakeEndpoint, send_no_response
from testbed.http_messages import http_response
from tests.support.event_loop import async_test, until
from tests.support.gateway import gateway_with_client
from tests.support.http_client import NON_IDEMPOTENT_CLASS, HttpClient
from tests.support.scripted_policy import FIRST_ENDPOINT_ID, SECOND_ENDPOINT_ID, forward_to_first

SHORT_DRAIN_SECONDS = 0.7
KEEP_OPEN_SECONDS = 5


class SlowEndpoint:
    """An endpoint that responds once `release` is set, and then keeps the connection open."""

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
        endpoint_id = SECOND_ENDPOINT_ID if event.class_index == NON_IDEMPOTENT_CLASS else FIRST_ENDPOINT_ID
        return [StartAttempt(event.request_id, endpoint_id, 0.0)]
    return []


@async_test
async def test_shutdown_briefly_accepts_connections_and_completes_open_requests() -> None:
    slow = SlowEndpoint()
    async with (
        gateway_with_client(FakeEndpoint(), slow.handle, react=forward_by_class) as gateway,
        HttpClient(gateway.process.listener) as idle_client,
    ):
        open_request = asyncio.create_task(gateway.client.send_request(NON_IDEMPOTENT_CLASS))
        await until(lambda: gateway.policy.events_of_type(Request))
        drain = asyncio.create_task(gateway.process.drain())
        await asyncio.sleep(0)
        async with HttpClient(gateway.process.listener) as late_client:
            assert (await late_client.send_request()).status == 200
        assert (await idle_client.send_request()).status == 200
        assert await idle_client.reader.read() == b""  # closed between requests
        slow.release.set()
        response = await open_request
        assert response.status == 200
        assert response.headers["connection"] == "close"
        await drain


@async_test
async def test_request_that_exceeds_the_drain_timeout_gets_status_504() -> None:
    def react(event: Any) -> list[Action]:
        return forward_to_first(event) if isinstance(event, Request) else []

    endpoint = FakeEndpoint(send_no_response)
    async with gateway_with_client(endpoint, react=react) as gateway:
        open_request = asyncio.create_task(gateway.client.send_request(NON_IDEMPOTENT_CLASS, 60_000))
        await until(lambda: endpoint.requests)
        gateway.process.drain_timeout = SHORT_DRAIN_SECONDS
        await gateway.process.drain()
        assert (await open_request).status == 504
