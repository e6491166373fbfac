"""Deadlines and stalled endpoints: a response in time, and which attempts are replaced before it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from gateway.policy.actions import Action, StartAttempt
from gateway.policy.events import ClientDisconnected, Outcome, Request
from tests.support.harness import async_test, gateway_with_client
from tests.support.sockets import (
    FIRST,
    FakeEndpoint,
    HttpClient,
    Message,
    http_response,
    listening,
    read_message,
    running_gateway,
    until,
)


@async_test
async def test_request_is_answered_in_time_whatever_the_policy_does() -> None:
    def react(event: Any) -> list[Action]:
        return [StartAttempt(event.request_id, FIRST, 0.0)] if isinstance(event, Request) else []

    endpoint = FakeEndpoint(lambda _: None)
    async with gateway_with_client(endpoint, react=react) as gateway:
        started_at = time.monotonic()
        assert (await gateway.client.ask(2, 300)).status == 504
        assert time.monotonic() - started_at < 0.35  # its deadline, and the 50 ms allowed beyond
        # The attempt was abandoned before the deadline, and nothing is left behind.
        assert gateway.policy.outcomes() == [Outcome.TIMEOUT]
        assert len(gateway.policy.of(ClientDisconnected)) == 1
        assert not gateway.process.driver.open_requests
        assert gateway.process.driver.open_requests.unanswered == 0


@async_test
async def test_attempt_that_ran_into_the_deadline_is_not_retried() -> None:
    """Retries in the last millisecond of a request would each cost a connection."""
    silent = FakeEndpoint(lambda _: None)
    async with (
        listening(silent.handle) as first,
        listening(silent.handle) as second,
        running_gateway(first, second, tariffs__0__quota_rate="0", caps__second_copies="false") as (
            process,
            _,
        ),
    ):

        async def ask(customer: int) -> int:
            async with HttpClient(process.listener, customer) as client:
                return (await client.ask(timeout_ms=150 + customer)).status

        statuses = await asyncio.gather(*(ask(customer) for customer in range(8)))
        assert all(status != 200 for status in statuses)
        assert len(silent.seen) == silent.opened == 8


@async_test
async def test_attempt_that_takes_five_times_the_usual_latency_is_not_replaced() -> None:
    """Work that merely costs more would cost as much again if it were begun anew."""
    release = asyncio.Event()
    costly: list[Message] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            if "costly" in message.headers.get("idempotency-key", ""):
                costly.append(message)
                await release.wait()
            writer.write(http_response(body=b"done"))

    changes = {
        "tariffs__0__quota_rate": "0",
        "caps__second_copies": "false",
        "classes__1__dedup_scope": "all",
    }
    async with (
        gateway_with_client(handle, handle, react=None, **changes) as gateway,
        HttpClient(gateway.process.listener) as other,
    ):
        limiter = gateway.process.driver.policy.concurrency_limiter
        response = asyncio.ensure_future(gateway.client.ask(1, Idempotency_Key="costly"))
        await until(lambda: costly)
        sent_at = time.monotonic()
        while time.monotonic() - sent_at < 0.5:
            limiter.class_latency[1].reset(0.1)
            limiter.latency.reset(0.1)
            assert (await other.ask(1)).status == 200
        release.set()
        assert (await response).status == 200
        assert len(costly) == 1


@async_test
async def test_attempt_at_a_silent_endpoint_is_retried_once_its_connection_has_ended() -> None:
    seen: list[FakeEndpoint] = []

    def respond_unless_first(index: int) -> Callable[[Message], bytes | None]:
        def respond(_message: Message) -> bytes | None:
            seen.append(endpoints[index])
            return None if seen[0] is endpoints[index] else http_response(body=b"done")

        return respond

    endpoints = [FakeEndpoint(respond_unless_first(index)) for index in range(2)]
    changes = {"tariffs__0__quota_rate": "0", "caps__second_copies": "false"}
    async with gateway_with_client(*endpoints, react=None, **changes) as gateway:
        limiter = gateway.process.driver.policy.concurrency_limiter
        limiter.class_latency[0].reset(0.02)
        limiter.latency.reset(0.02)
        response = await gateway.client.ask()
        assert (response.status, response.body) == (200, b"done")
        assert len(seen) == 2
        assert seen[0] is not seen[1]
        assert seen[0].open == 0
