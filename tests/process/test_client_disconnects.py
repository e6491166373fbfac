"""Clients that disconnect while the gateway is not reading from them, over loopback sockets."""

from __future__ import annotations

import socket
import time
from typing import TYPE_CHECKING, Any

import pytest

from gateway.frontend.discard_budget import DiscardBudget
from gateway.policy.events import ClientDisconnected, Request
from testbed.fake_endpoint import FakeEndpoint, respond_with, send_no_response
from tests.process.raw_client import connected_socket, raw_request, send, send_four_requests
from tests.support.event_loop import async_test, until
from tests.support.gateway import UNREACHABLE, running_gateway
from tests.support.scripted_policy import forward_to_first

if TYPE_CHECKING:
    from gateway.policy.actions import Action
    from gateway.process import GatewayProcess

LARGE_BODY = b"x" * 60_000
HIGH_WATER_BYTES = 1 << 20  # more than the size of all responses of a test
MAX_DETECTION_SECONDS = 0.5


def forward_all_but_the_fourth(event: Any) -> list[Action]:
    """Forward each request to the first endpoint, but return no action for the fourth request."""
    return [] if getattr(event, "request_id", 0) == 4 else forward_to_first(event)


def waits_for_the_fourth_request(gateway: GatewayProcess) -> bool:
    """Return whether one request has no response yet, and other responses are unsent."""
    has_unsent_responses = gateway.listener.connection_table.has_unsent_responses()
    return has_unsent_responses and gateway.driver.open_requests.unanswered_count == 1


# Guards against a disconnect that is not detected while reading from a client is paused, because the client
# does not read its responses.  No attempt may start for that client any more.
@async_test
async def test_disconnect_of_a_write_blocked_client_is_detected() -> None:
    endpoint = FakeEndpoint(respond_with(LARGE_BODY))
    async with running_gateway(endpoint, react=forward_all_but_the_fourth) as (gateway, policy):
        with connected_socket(gateway) as client:
            await send_four_requests(gateway, client)
            await until(lambda: waits_for_the_fourth_request(gateway))
        await until(lambda: policy.events_of_type(ClientDisconnected))
        assert not gateway.driver.open_requests


# Guards against a half-close that is not detected while responses are unsent.  If the unsent bytes are below
# the high-water mark of the write buffer, the gateway still reads from the client, otherwise it has paused
# reading.  No attempt may start for that client any more.
@pytest.mark.parametrize(
    "high_water_bytes",
    [pytest.param(None, id="not read"), pytest.param(HIGH_WATER_BYTES, id="below the mark")],
)
@async_test
async def test_half_close_with_unsent_responses_is_a_disconnect(high_water_bytes: int | None) -> None:
    endpoint = FakeEndpoint(respond_with(LARGE_BODY))
    async with running_gateway(endpoint, react=forward_all_but_the_fourth) as (gateway, policy):
        with connected_socket(gateway) as client:
            await send_four_requests(gateway, client, high_water_bytes)
            await until(lambda: waits_for_the_fourth_request(gateway))
            client.shutdown(socket.SHUT_WR)
            closed_at = time.monotonic()
            await until(lambda: policy.events_of_type(ClientDisconnected))
            assert time.monotonic() - closed_at < MAX_DETECTION_SECONDS
        connections = gateway.listener.connection_table.connections
        await until(lambda: not connections and not gateway.driver.open_requests)


# Guards against attempts for a client that disconnected before the gateway read its requests, which happens
# when the process was stalled.
@pytest.mark.parametrize("count", [pytest.param(1, id="one request"), pytest.param(300, id="many")])
@async_test
async def test_no_attempt_is_started_for_requests_read_after_the_disconnect(count: int) -> None:
    async with running_gateway(UNREACHABLE, react=forward_to_first) as (gateway, policy):
        connections = gateway.listener.connection_table.connections
        with connected_socket(gateway) as client:
            await until(lambda: connections)
            for number in range(count):  # the event loop gets no turn before the close
                assert client.send(raw_request(b"%d" % number))
        await until(lambda: not connections)
        assert not policy.events
        assert not gateway.driver.open_requests
        assert not gateway.listener.budget.open_request_ids


# Guards against a disconnect that is not detected while the bytes after a rejected request wait to be read.
# No attempt may start for the requests before it any more.
@async_test
async def test_disconnect_with_bytes_that_wait_to_be_discarded_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(DiscardBudget, "_start_interval", lambda _: None)  # they are never read
    async with running_gateway(FakeEndpoint(send_no_response), react=forward_to_first) as (gateway, policy):
        with connected_socket(gateway) as client:
            await send(client, raw_request(b"one") + b"nonsense\r\n\r\n")
            await until(lambda: policy.events_of_type(Request))
            await send(client, LARGE_BODY)
            await until(lambda: gateway.listener.connection_table.paused)
            await send(client, LARGE_BODY)
            closed_at = time.monotonic()
        await until(lambda: policy.events_of_type(ClientDisconnected))
        assert time.monotonic() - closed_at < MAX_DETECTION_SECONDS
