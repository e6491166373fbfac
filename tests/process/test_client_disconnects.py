"""Clients that disconnect while they are not read, over loopback sockets."""

from __future__ import annotations

import socket
import time
from typing import TYPE_CHECKING, Any

import pytest

from gateway.policy.events import ClientDisconnected
from tests.process.raw_client import connected_socket, raw_request, send_four_requests
from tests.support.event_loop import async_test, until
from tests.support.fake_endpoint import FakeEndpoint, respond_with
from tests.support.gateway import UNREACHABLE, running_gateway
from tests.support.scripted_policy import forward_to_first

if TYPE_CHECKING:
    from gateway.policy.actions import Action
    from gateway.process import GatewayProcess

LARGE_BODY = b"x" * 60_000
HIGH_WATER_BYTES = 1 << 20  # more than all responses of a test
MAX_DETECTION_SECONDS = 0.5


def hold_fourth_request(event: Any) -> list[Action]:
    """Forward each request to the first endpoint, but leave the fourth one without an action."""
    return [] if getattr(event, "request_id", 0) == 4 else forward_to_first(event)


def owes_the_last_response(gateway: GatewayProcess) -> bool:
    """Whether responses are unsent, and one request has none."""
    has_unsent_responses = gateway.listener.connection_table.has_unsent_responses()
    return has_unsent_responses and gateway.driver.open_requests.unanswered_count == 1


# Guards against a disconnect that is not noticed while the client is not read, as it does not read its
# responses: no attempt may start for the requests that it still waits for.
@async_test
async def test_the_disconnect_of_a_write_blocked_client_is_detected() -> None:
    endpoint = FakeEndpoint(respond_with(LARGE_BODY))
    async with running_gateway(endpoint, react=hold_fourth_request) as (gateway, policy):
        with connected_socket(gateway) as client:
            await send_four_requests(gateway, client)
            await until(lambda: owes_the_last_response(gateway))
        await until(lambda: policy.events_of_type(ClientDisconnected))
        assert not gateway.driver.open_requests


# Guards against a half-close that is not noticed: while the client does not read its responses, either these
# wait below the high-water mark, or the client is not read.  No attempt may start for what it still waits
# for.
@pytest.mark.parametrize(
    "high", [pytest.param(None, id="not read"), pytest.param(HIGH_WATER_BYTES, id="below the mark")]
)
@async_test
async def test_a_client_that_half_closes_while_responses_wait_has_disconnected(high: int | None) -> None:
    endpoint = FakeEndpoint(respond_with(LARGE_BODY))
    async with running_gateway(endpoint, react=hold_fourth_request) as (gateway, policy):
        with connected_socket(gateway) as client:
            await send_four_requests(gateway, client, high)
            await until(lambda: owes_the_last_response(gateway))
            client.shutdown(socket.SHUT_WR)
            closed_at = time.monotonic()
            await until(lambda: policy.events_of_type(ClientDisconnected))
            assert time.monotonic() - closed_at < MAX_DETECTION_SECONDS
        connections = gateway.listener.connection_table.connections
        await until(lambda: not connections and not gateway.driver.open_requests)


# Guards against attempts for a client that sent one request, or many at once, and disconnected before they
# were read, as when this process has stalled.
@pytest.mark.parametrize("count", [pytest.param(1, id="one request"), pytest.param(300, id="many")])
@async_test
async def test_no_attempt_is_started_for_a_client_that_disconnected_before_it_was_read(count: int) -> None:
    async with running_gateway(UNREACHABLE, react=forward_to_first) as (gateway, policy):
        connections = gateway.listener.connection_table.connections
        with connected_socket(gateway) as client:
            await until(lambda: connections)
            for number in range(count):  # no step of the loop lies between these and the close
                assert client.send(raw_request(b"%d" % number))
        await until(lambda: not connections)
        assert not policy.events
        assert not gateway.driver.open_requests
        assert not gateway.listener.budget.open_request_ids
