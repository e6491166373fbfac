"""Deadlines and unresponsive endpoints: responses in time, and which attempts are retried before them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from gateway.policy.actions import Action, StartAttempt
from gateway.policy.events import ClientDisconnected, Outcome, Request
from testbed.fake_endpoint import FakeEndpoint, send_no_response
from testbed.http_messages import Message, http_response, read_message
from tests.support.event_loop import async_test, until
from tests.support.gateway import gateway_with_client, running_gateway
from tests.support.http_client import KEYED_CLASS, NON_IDEMPOTENT_CLASS, HttpClient
from tests.support.scripted_policy import FIRST_ENDPOINT_ID

if TYPE_CHECKING:
    from collections.abc import Callable

    from gateway.process import GatewayProcess

WITHOUT_QUOTA_AND_HEDGING = {"tariffs__0__quota_rate": "0", "caps__second_copies": "false"}
USUAL_LATENCY_SECONDS = 0.1
COSTLY_SECONDS = 5 * USUAL_LATENCY_SECONDS
COSTLY_KEY = "costly"


def set_observed_latency(process: GatewayProcess, class_index: int, seconds: float) -> None:
    """Set the latency that the policy has observed for a request class."""
    limiter = process.driver.policy.concurrency_limiter
    limiter.class_latency[class_index].reset(seconds)
    limiter.latency.reset(seconds)


@async_test
async def test_request_is_answered_in_time_even_if_the_policy_does_not_respond() -> None:
    def react(event: Any) -> list[Action]:
        return [StartAttempt(event.request_id, FIRST_ENDPOINT_ID, 0.0)] if isinstance(event, Request) else []

    async with gateway_with_client(FakeEndpoint(send_no_response), react=react) as gateway:
        started_at = time.monotonic()
        assert (await gateway.client.send_request(NON_IDEMPOTENT_CLASS, 300)).status == 504
        assert time.monotonic() - started_at < 0.35  # the deadline, plus 50 ms of tolerance
        # The attempt was abandoned before the deadline, and no open request is left.
        assert gateway.policy.outcomes() == [Outcome.TIMEOUT]
        assert len(gateway.policy.events_of_type(ClientDisconnected)) == 1
        open_requests = gateway.process.driver.open_requests
        assert not open_requests
        assert open_requests.unanswered_count == 0


@async_test
async def test_attempt_that_timed_out_at_the_deadline_is_not_retried() -> None:
    """Each retry in the last millisecond before the deadline would waste a connection."""
    silent = FakeEndpoint(send_no_response)
    async with running_gateway(silent, silent, react=None, **WITHOUT_QUOTA_AND_HEDGING) as (process, _):

        async def send_as(customer: int) -> int:
            async with HttpClient(process.listener, customer) as client:
                return (await client.send_request(timeout_ms=150 + customer)).status

        statuses = await asyncio.gather(*(send_as(customer) for customer in range(8)))
        assert all(status != 200 for status in statuses)
        assert silent.accepted_connections == 8
        assert len(silent.requests) == 8


class CostlyRequestEndpoint:
    """An endpoint that responds to requests with `COSTLY_KEY` only once the test sets `release`."""

    def __init__(self) -> None:
        self.release = asyncio.Event()
        self.costly_requests: list[Message] = []

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection."""
        while True:
            message = await read_message(reader)
            if message.headers.get("idempotency-key") == COSTLY_KEY:
                self.costly_requests.append(message)
                await self.release.wait()
            writer.write(http_response(body=b"done"))


@async_test
async def test_attempt_that_takes_five_times_the_usual_latency_is_not_retried() -> None:
    """A retry of a request that is merely costly would double its cost."""
    endpoint = CostlyRequestEndpoint()
    changes = WITHOUT_QUOTA_AND_HEDGING | {"classes__1__dedup_scope": "all"}
    async with (
        gateway_with_client(endpoint.handle, endpoint.handle, react=None, **changes) as gateway,
        HttpClient(gateway.process.listener) as other,
    ):
        response = asyncio.ensure_future(gateway.client.send_request(KEYED_CLASS, Idempotency_Key=COSTLY_KEY))
        await until(lambda: endpoint.costly_requests)
        sent_at = time.monotonic()
        while time.monotonic() - sent_at < COSTLY_SECONDS:
            set_observed_latency(gateway.process, KEYED_CLASS, USUAL_LATENCY_SECONDS)
            assert (await other.send_request(KEYED_CLASS)).status == 200
        endpoint.release.set()
        assert (await response).status == 200
        assert len(endpoint.costly_requests) == 1


@async_test
async def test_attempt_at_a_silent_endpoint_is_retried_after_its_connection_is_closed() -> None:
    seen: list[FakeEndpoint] = []

    def respond_unless_first(index: int) -> Callable[[Message], bytes | None]:
        def respond(_message: Message) -> bytes | None:
            seen.append(endpoints[index])
            return None if seen[0] is endpoints[index] else http_response(body=b"done")

        return respond

    endpoints = [FakeEndpoint(respond_unless_first(index)) for index in range(2)]
    async with gateway_with_client(*endpoints, react=None, **WITHOUT_QUOTA_AND_HEDGING) as gateway:
        set_observed_latency(gateway.process, 0, 0.02)
        response = await gateway.client.send_request()
        assert response.status == 200
        assert response.body == b"done"
        assert len(seen) == 2
        assert seen[0] is not seen[1]
        assert seen[0].open_connections == 0
