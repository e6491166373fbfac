"""Clients that disconnect while they are not read, over loopback sockets."""

from __future__ import annotations

import socket
import time
from typing import Any

import pytest

from gateway.policy.actions import Action
from gateway.policy.events import ClientDisconnected
from tests.process.raw_client import REQUEST, connected, send_four_requests
from tests.support.harness import async_test
from tests.support.sockets import FakeEndpoint, http_response, listening, running_gateway, send_on, until


def hold_fourth_request(event: Any) -> list[Action]:
    """Forward each request to the first endpoint, but leave the fourth one without an action."""
    return [] if getattr(event, "request_id", 0) == 4 else send_on(event)


# Guards against a disconnect that is not noticed while the client is not read, as it does not read its
# responses: no attempt may start for the requests that it still waits for.
@async_test
async def test_the_disconnect_of_a_write_blocked_client_is_detected() -> None:
    endpoint = FakeEndpoint(lambda _message: http_response(body=b"x" * 60_000))

    async with (
        listening(endpoint.handle) as address,
        running_gateway(address, react=hold_fourth_request) as (gateway, policy),
    ):
        with connected(gateway) as client:
            await send_four_requests(gateway, client)
            await until(
                lambda: (
                    gateway.listener.connection_table.has_unsent_responses()
                    and gateway.driver.open_requests.unanswered == 1
                )
            )
        await until(lambda: policy.of(ClientDisconnected))
        assert not gateway.driver.open_requests


# Guards against a half-close that is not noticed: while the client does not read its responses, either these
# wait below the high-water mark, or the client is not read.  No attempt may start for what it still waits
# for.
@pytest.mark.parametrize("high", [None, 1 << 20])
@async_test
async def test_a_client_that_half_closes_while_responses_wait_has_disconnected(high: int | None) -> None:
    endpoint = FakeEndpoint(lambda _message: http_response(body=b"x" * 60_000))

    async with (
        listening(endpoint.handle) as address,
        running_gateway(address, react=hold_fourth_request) as (gateway, policy),
    ):
        with connected(gateway) as client:
            await send_four_requests(gateway, client, high)
            await until(
                lambda: (
                    gateway.listener.connection_table.has_unsent_responses()
                    and gateway.driver.open_requests.unanswered == 1
                )
            )
            client.shutdown(socket.SHUT_WR)
            began = time.monotonic()
            await until(lambda: policy.of(ClientDisconnected))
            assert time.monotonic() - began < 0.5
        await until(
            lambda: not gateway.listener.connection_table.connections and not gateway.driver.open_requests
        )


# Guards against attempts for a client that sent one request, or many at once, and disconnected before they
# were read, as when this process has stalled.
@pytest.mark.parametrize("count", [1, 300])
@async_test
async def test_no_attempt_is_started_for_a_client_that_disconnected_before_it_was_read(count: int) -> None:
    async with running_gateway("127.0.0.1:1", react=send_on) as (gateway, policy):
        with connected(gateway) as client:
            await until(lambda: gateway.listener.connection_table.connections)
            for number in range(count):  # no step of the loop lies between these and the close
                assert client.send(REQUEST + b"%d\r\n\r\n" % number)
        await until(lambda: not gateway.listener.connection_table.connections)
        assert not policy.events
        assert not gateway.driver.open_requests
        assert not gateway.listener.budget.open_request_ids
