"""Attempts through a gateway: the outcomes reported to the policy, and when a further attempt may start."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from typing import TYPE_CHECKING, Any

import pytest

from gateway.policy.actions import Action, Cancel, SetTimer, StartAttempt
from gateway.policy.events import AttemptFinished, Outcome, Request, TimerFired
from testbed.fake_endpoint import CLOSED_WITHOUT_RESPONSE, FakeEndpoint, send_no_response
from testbed.fake_server import LOOPBACK, listening
from testbed.http_messages import Message, http_response
from tests.support.event_loop import async_test, until
from tests.support.gateway import gateway_with_client
from tests.support.http_client import NON_IDEMPOTENT_CLASS
from tests.support.scripted_policy import FIRST_ENDPOINT_ID, SECOND_ENDPOINT_ID

if TYPE_CHECKING:
    from collections.abc import Iterator

POLL_TIMER = 1  # token of a timer that is set to fire at once
TRUNCATED_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhalf"


@contextlib.contextmanager
def listener_with_full_backlog() -> Iterator[str]:
    """Yield the address of a listener with a full backlog, so that further connections to it hang."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind((LOOPBACK, 0))
        listener.listen(0)
        for _ in range(3):
            filler = stack.enter_context(socket.socket())
            filler.settimeout(0.0)
            with contextlib.suppress(BlockingIOError):
                filler.connect(listener.getsockname())
        yield f"{LOOPBACK}:{listener.getsockname()[1]}"


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        pytest.param(http_response(500), Outcome.ERROR, id="status 500"),
        pytest.param(http_response(503, Not_Started="1"), Outcome.OVERLOADED, id="503 not started"),
        pytest.param(http_response(504, Not_Started="1"), Outcome.OVERLOADED, id="504 not started"),
        pytest.param(http_response(503), Outcome.ERROR, id="503 without Not-Started"),
        pytest.param(CLOSED_WITHOUT_RESPONSE, Outcome.RESET, id="closed after the complete request"),
        pytest.param(TRUNCATED_RESPONSE, Outcome.RESET, id="closed within the response"),
        pytest.param(b"what?\r\n\r\n", Outcome.ERROR, id="malformed response"),
    ],
)
@async_test
async def test_outcome_says_whether_an_attempt_may_have_run(response: bytes, outcome: Outcome) -> None:
    endpoint = FakeEndpoint(lambda _: response)
    async with gateway_with_client(endpoint) as gateway:
        assert (await gateway.client.send_request(NON_IDEMPOTENT_CLASS)).status == 502
        assert gateway.policy.outcomes() == [outcome]
        assert len(endpoint.requests) == 1  # the driver retries nothing by itself


@pytest.mark.parametrize(
    ("has_unsent_bytes", "outcome"),
    [
        pytest.param(True, Outcome.CONNECT_FAILED, id="incomplete"),
        pytest.param(False, Outcome.RESET, id="complete"),
    ],
)
@async_test
async def test_attempt_that_is_not_written_completely_never_ran(
    *, has_unsent_bytes: bool, outcome: Outcome
) -> None:
    """The transport calls `pause_writing` while bytes are unsent.

    The buffers of loopback sockets always have room for 64 KiB, so the test calls `pause_writing` itself.
    """
    endpoint = FakeEndpoint(send_no_response)
    async with gateway_with_client(endpoint) as gateway:
        response = asyncio.create_task(gateway.client.send_request(NON_IDEMPOTENT_CLASS))
        await until(lambda: endpoint.requests)
        (connection,) = gateway.process.driver.upstream.pools[FIRST_ENDPOINT_ID].connections
        if has_unsent_bytes:
            connection.pause_writing()
        connection.abort()
        assert (await response).status == 502
        assert gateway.policy.outcomes() == [outcome]


@async_test
async def test_attempt_with_a_refused_connection_never_ran() -> None:
    async with listening(FakeEndpoint().handle) as address:
        pass
    async with gateway_with_client(address) as gateway:
        assert (await gateway.client.send_request(NON_IDEMPOTENT_CLASS)).status == 502
        assert gateway.policy.outcomes() == [Outcome.CONNECT_FAILED]


@async_test
async def test_hanging_connection_attempt_ends_at_the_connect_timeout() -> None:
    with listener_with_full_backlog() as address:
        async with gateway_with_client(address) as gateway:
            started_at = time.monotonic()
            assert (await gateway.client.send_request(NON_IDEMPOTENT_CLASS)).status == 502
            assert gateway.policy.outcomes() == [Outcome.CONNECT_FAILED]
            assert 0.2 < time.monotonic() - started_at < 2.0  # caps.connect_timeout_s is 0.25


@async_test
async def test_attempt_on_a_stale_pooled_connection_is_a_reset_and_not_retried() -> None:
    def respond_once(_message: Message) -> bytes:
        return http_response(body=b"x") if len(endpoint.requests) == 1 else CLOSED_WITHOUT_RESPONSE

    endpoint = FakeEndpoint(respond_once)
    async with gateway_with_client(endpoint) as gateway:
        assert (await gateway.client.send_request(NON_IDEMPOTENT_CLASS)).status == 200
        assert (await gateway.client.send_request(NON_IDEMPOTENT_CLASS)).status == 502
        assert gateway.policy.outcomes() == [Outcome.OK, Outcome.RESET]
        assert endpoint.accepted_connections == 1
        assert len(endpoint.requests) == 2


class RetryOnSecondEndpoint:
    """A script that abandons the first attempt, by its timeout or a cancellation, and retries the request.

    Attributes:
        first_endpoint: Receives the first attempt.
        attempt_timeout: Timeout of the first attempt in seconds; 0 cancels the attempt instead.
    """

    def __init__(self, first_endpoint: FakeEndpoint, attempt_timeout: float) -> None:
        self.first_endpoint = first_endpoint
        self.attempt_timeout = attempt_timeout

    def react(self, event: Any) -> list[Action]:
        if isinstance(event, Request):
            return [
                StartAttempt(event.request_id, FIRST_ENDPOINT_ID, self.attempt_timeout),
                SetTimer(0.0, POLL_TIMER),
            ]
        if isinstance(event, TimerFired) and not self.attempt_timeout:
            # An attempt that is cancelled before the endpoint has its request would end with NOT_STARTED.
            return [Cancel(1, 0)] if self.first_endpoint.requests else [SetTimer(0.0, POLL_TIMER)]
        if isinstance(event, AttemptFinished) and event.attempt == 0:
            return [StartAttempt(event.request_id, SECOND_ENDPOINT_ID, 0.0)]
        return []


@pytest.mark.parametrize(
    ("attempt_timeout", "outcome"),
    [
        pytest.param(0.0, Outcome.CANCELLED, id="cancelled"),
        pytest.param(0.1, Outcome.TIMEOUT, id="timed out"),
    ],
)
@async_test
async def test_abandoned_attempt_ends_before_the_retry(attempt_timeout: float, outcome: Outcome) -> None:
    """Without hedging, two attempts must never be in flight at the same time."""
    open_connections_at_retry: list[int] = []

    def respond(_message: Message) -> bytes:
        open_connections_at_retry.append(silent.open_connections)
        return http_response(body=b"second")

    silent = FakeEndpoint(send_no_response)
    script = RetryOnSecondEndpoint(silent, attempt_timeout)
    async with gateway_with_client(
        silent, FakeEndpoint(respond), react=script.react, caps__second_copies="false"
    ) as gateway:
        response = await gateway.client.send_request()
        assert response.status == 200
        assert response.body == b"second"
        assert open_connections_at_retry == [0]
        assert gateway.policy.outcomes() == [outcome, Outcome.OK]


@async_test
async def test_hedged_request_is_not_sent_if_the_settings_forbid_hedging() -> None:
    def react(event: Any) -> list[Action]:
        if isinstance(event, Request):
            return [
                StartAttempt(event.request_id, FIRST_ENDPOINT_ID, 0.0),
                StartAttempt(event.request_id, FIRST_ENDPOINT_ID, 0.0),
            ]
        return []

    endpoint = FakeEndpoint()
    async with gateway_with_client(endpoint, react=react, caps__second_copies="false") as gateway:
        assert (await gateway.client.send_request()).status == 200
        assert gateway.policy.outcomes() == [Outcome.NOT_STARTED, Outcome.OK]
        assert len(endpoint.requests) == 1
