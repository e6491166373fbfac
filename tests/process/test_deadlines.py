"""Deadlines and stalled endpoints: a response in time, and which attempts are replaced before it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from gateway.policy.actions import Action, StartAttempt
from gateway.policy.events import ClientDisconnected, Outcome, Request
from tests.support.event_loop import async_test, until
from tests.support.fake_endpoint import FakeEndpoint, send_no_response
from tests.support.gateway import gateway_with_client, running_gateway
from tests.support.http_client import KEYED_CLASS, NON_IDEMPOTENT_CLASS, HttpClient
from tests.support.http_messages import Message, http_response, read_message
from tests.support.scripted_policy import FIRST_ENDPOINT

if TYPE_CHECKING:
    from collections.abc import Callable

    from gateway.process import GatewayProcess

NO_QUOTA_NO_HEDGING = {"tariffs__0__quota_rate": "0", "caps__second_copies": "false"}
USUAL_LATENCY_SECONDS = 0.1
COSTLY_SECONDS = 5 * USUAL_LATENCY_SECONDS
COSTLY_KEY = "costly"


def set_usual_latency(process: GatewayProcess, class_index: int, seconds: float) -> None:
    """Let the policy take a latency for the usual one."""
    limiter = process.driver.policy.concurrency_limiter
    limiter.class_latency[class_index].reset(seconds)
    limiter.latency.reset(seconds)


@async_test
async def test_request_is_answered_in_time_whatever_the_policy_does() -> None:
    def react(event: Any) -> list[Action]:
        return [StartAttempt(event.request_id, FIRST_ENDPOINT, 0.0)] if isinstance(event, Request) else []

    async with gateway_with_client(FakeEndpoint(send_no_response), react=react) as gateway:
        started_at = time.monotonic()
        assert (await gateway.client.send_request(NON_IDEMPOTENT_CLASS, 300)).status == 504
        assert time.monotonic() - started_at < 0.35  # its deadline, and the 50 ms allowed beyond
        # The attempt was abandoned before the deadline, and nothing is left behind.
        assert gateway.policy.outcomes() == [Outcome.TIMEOUT]
        assert len(gateway.policy.events_of_type(ClientDisconnected)) == 1
        open_requests = gateway.process.driver.open_requests
        assert not open_requests
        assert open_requests.unanswered_count == 0


@async_test
async def test_attempt_that_ran_into_the_deadline_is_not_retried() -> None:
    """Retries in the last millisecond of a request would each cost a connection."""
    silent = FakeEndpoint(send_no_response)
    async with running_gateway(silent, silent, react=None, **NO_QUOTA_NO_HEDGING) as (process, _):

        async def ask(customer: int) -> int:
            async with HttpClient(process.listener, customer) as client:
                return (await client.send_request(timeout_ms=150 + customer)).status

        statuses = await asyncio.gather(*(ask(customer) for customer in range(8)))
        assert all(status != 200 for status in statuses)
        assert silent.accepted_connections == 8
        assert len(silent.requests) == 8


class CostlyWork:
    """Connections of an endpoint at which the requests with one key take until they are released."""

    def __init__(self) -> None:
        self.release = asyncio.Event()
        self.seen: list[Message] = []

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection."""
        while True:
            message = await read_message(reader)
            if message.headers.get("idempotency-key") == COSTLY_KEY:
                self.seen.append(message)
                await self.release.wait()
            writer.write(http_response(body=b"done"))


@async_test
async def test_attempt_that_takes_five_times_the_usual_latency_is_not_replaced() -> None:
    """Work that merely costs more would cost as much again if it were begun anew."""
    work = CostlyWork()
    changes = NO_QUOTA_NO_HEDGING | {"classes__1__dedup_scope": "all"}
    async with (
        gateway_with_client(work.handle, work.handle, react=None, **changes) as gateway,
        HttpClient(gateway.process.listener) as other,
    ):
        response = asyncio.ensure_future(gateway.client.send_request(KEYED_CLASS, Idempotency_Key=COSTLY_KEY))
        await until(lambda: work.seen)
        sent_at = time.monotonic()
        while time.monotonic() - sent_at < COSTLY_SECONDS:
            set_usual_latency(gateway.process, KEYED_CLASS, USUAL_LATENCY_SECONDS)
            assert (await other.send_request(KEYED_CLASS)).status == 200
        work.release.set()
        assert (await response).status == 200
        assert len(work.seen) == 1


@async_test
async def test_attempt_at_a_silent_endpoint_is_retried_once_its_connection_has_ended() -> None:
    seen: list[FakeEndpoint] = []

    def respond_unless_first(index: int) -> Callable[[Message], bytes | None]:
        def respond(_message: Message) -> bytes | None:
            seen.append(endpoints[index])
            return None if seen[0] is endpoints[index] else http_response(body=b"done")

        return respond

    endpoints = [FakeEndpoint(respond_unless_first(index)) for index in range(2)]
    async with gateway_with_client(*endpoints, react=None, **NO_QUOTA_NO_HEDGING) as gateway:
        set_usual_latency(gateway.process, 0, 0.02)
        response = await gateway.client.send_request()
        assert response.status == 200
        assert response.body == b"done"
        assert len(seen) == 2
        assert seen[0] is not seen[1]
        assert seen[0].open_connections == 0
