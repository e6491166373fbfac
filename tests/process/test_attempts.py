"""Attempts through a gateway: the outcomes that the policy hears, and when a further attempt may start."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Iterator
from typing import Any

import pytest

from gateway.policy.actions import Action, Cancel, SetTimer, StartAttempt
from gateway.policy.events import AttemptFinished, Outcome, Request, TimerFired
from tests.support.harness import async_test, gateway_with_client
from tests.support.sockets import FIRST, FakeEndpoint, Message, http_response, listening, until


@contextlib.contextmanager
def listener_with_full_backlog() -> Iterator[str]:
    """The address of a listener that accepts nothing: further connections to it hang."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(3):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(listener.getsockname())
        yield f"127.0.0.1:{listener.getsockname()[1]}"


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (http_response(500), Outcome.ERROR),
        (http_response(503, Not_Started="1"), Outcome.OVERLOADED),
        (http_response(504, Not_Started="1"), Outcome.OVERLOADED),
        (http_response(503), Outcome.ERROR),  # no proof that it never ran
        (b"", Outcome.RESET),  # closed after the complete request was written
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhalf", Outcome.RESET),
        (b"what?\r\n\r\n", Outcome.ERROR),  # framing is lost, and it may have run
    ],
)
@async_test
async def test_outcome_says_whether_an_attempt_may_have_run(reply: bytes, outcome: Outcome) -> None:
    endpoint = FakeEndpoint(lambda _: reply)
    async with gateway_with_client(endpoint) as gateway:
        assert (await gateway.client.ask(2)).status == 502
        # One attempt: nothing is retried unless the policy says so.
        assert (gateway.policy.outcomes(), len(endpoint.seen)) == ([outcome], 1)


@pytest.mark.parametrize("has_unsent_bytes", [True, False])
@async_test
async def test_request_that_was_not_written_completely_never_ran(has_unsent_bytes: bool) -> None:
    """The transport pauses its protocol while bytes are left.

    64 KiB always fit into the buffers of loopback sockets, so the test pauses it in the transport's place.
    """
    endpoint = FakeEndpoint(lambda _: None)
    async with gateway_with_client(endpoint) as gateway:
        response = asyncio.create_task(gateway.client.ask(2))
        await until(lambda: endpoint.seen)
        (connection,) = gateway.process.driver.upstream.pools[FIRST].connections
        if has_unsent_bytes:
            connection.pause_writing()
        connection.abort()
        assert (await response).status == 502
        expected = Outcome.CONNECT_FAILED if has_unsent_bytes else Outcome.RESET
        assert gateway.policy.outcomes() == [expected]


@async_test
async def test_refused_connection_means_that_the_attempt_never_ran() -> None:
    async with listening(FakeEndpoint().handle) as address:
        pass
    async with gateway_with_client(address) as gateway:
        assert (await gateway.client.ask(2)).status == 502
        assert gateway.policy.outcomes() == [Outcome.CONNECT_FAILED]


@async_test
async def test_connection_that_hangs_ends_with_the_connect_timeout() -> None:
    with listener_with_full_backlog() as address:
        async with gateway_with_client(address) as gateway:
            started_at = time.monotonic()
            assert (await gateway.client.ask(2)).status == 502
            assert gateway.policy.outcomes() == [Outcome.CONNECT_FAILED]
            assert 0.2 < time.monotonic() - started_at < 2.0  # caps.connect_timeout_s is 0.25


@async_test
async def test_stale_pooled_connection_ends_as_reset_without_a_retry() -> None:
    endpoint = FakeEndpoint(lambda _: http_response(body=b"x") if len(endpoint.seen) < 2 else b"")
    async with gateway_with_client(endpoint) as gateway:
        assert (await gateway.client.ask(2)).status == 200
        assert (await gateway.client.ask(2)).status == 502
        assert gateway.policy.outcomes() == [Outcome.OK, Outcome.RESET]
        assert (endpoint.opened, len(endpoint.seen)) == (1, 2)


@pytest.mark.parametrize(("attempt_timeout", "outcome"), [(0.0, Outcome.CANCELLED), (0.1, Outcome.TIMEOUT)])
@async_test
async def test_abandoned_attempt_has_ended_before_the_retry(attempt_timeout: float, outcome: Outcome) -> None:
    """Without hedging two attempts must never be in flight: the first one's connection ends first."""
    silent = FakeEndpoint(lambda _: None)
    open_at_retry: list[int] = []

    def respond(_message: Message) -> bytes:
        open_at_retry.append(silent.open)
        return http_response(body=b"second")

    def react(event: Any) -> list[Action]:
        if isinstance(event, Request):
            return [StartAttempt(event.request_id, FIRST, attempt_timeout), SetTimer(0.0, 1)]
        if isinstance(event, TimerFired) and outcome is Outcome.CANCELLED:
            # Not before the endpoint has the complete request: until then it is not in flight.
            return [Cancel(1, 0)] if silent.seen else [SetTimer(0.0, 1)]
        if isinstance(event, AttemptFinished) and event.attempt == 0:
            return [StartAttempt(event.request_id, 2, 0.0)]
        return []

    endpoints = (silent, FakeEndpoint(respond))
    async with gateway_with_client(*endpoints, react=react, caps__second_copies="false") as gateway:
        response = await gateway.client.ask()
        assert (response.status, response.body, open_at_retry) == (200, b"second", [0])
        assert gateway.policy.outcomes() == [outcome, Outcome.OK]


@async_test
async def test_hedged_request_is_not_sent_where_the_settings_forbid_it() -> None:
    def react(event: Any) -> list[Action]:
        if isinstance(event, Request):
            return [StartAttempt(event.request_id, FIRST, 0.0), StartAttempt(event.request_id, FIRST, 0.0)]
        return []

    endpoint = FakeEndpoint()
    async with gateway_with_client(endpoint, react=react, caps__second_copies="false") as gateway:
        assert (await gateway.client.ask()).status == 200
        assert gateway.policy.outcomes() == [Outcome.NOT_STARTED, Outcome.OK]
        assert len(endpoint.seen) == 1
