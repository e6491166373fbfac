"""Requests through the gateway: forwarding, the event for the policy, and rejections."""

from __future__ import annotations

import gc
from typing import TYPE_CHECKING, Any

import pytest

from gateway.driver.open_request import OpenRequest
from gateway.frontend.client_connection import ClientConnection
from gateway.frontend.exchange import Exchange
from gateway.frontend.request_reader import MAX_BODY_BYTES, MAX_HEADER_BYTES, RequestReader
from gateway.policy.actions import Action, Reject
from gateway.policy.events import Request
from gateway.upstream.connection import UpstreamConnection
from gateway.upstream.response_parser import ResponseParser
from testbed.fake_endpoint import FakeEndpoint
from testbed.http_messages import http_response
from tests.support.event_loop import async_test, run, until
from tests.support.gateway import UNREACHABLE, gateway_with_client
from tests.support.scripted_policy import FIRST_ENDPOINT_ID, forward_to_first

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.support.scripted_policy import Reaction


@async_test
async def test_request_is_forwarded_with_headers_and_body_unchanged() -> None:
    endpoint = FakeEndpoint(lambda message: http_response(body=b"got " + message.body))
    async with gateway_with_client(endpoint, react=None) as gateway:
        ready = await gateway.client.send(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert ready.status == 200
        response = await gateway.client.send_request(1, body=b"a recording", Request_Id="9b1f03aa5c7e2d41")
        assert response.status == 200
        assert response.body == b"got a recording"
        (forwarded,) = endpoint.requests
        assert forwarded.start_line == "POST /class-1?customer=0000000000000005 HTTP/1.1"
        assert forwarded.headers["request-id"] == "9b1f03aa5c7e2d41"
        assert forwarded.headers["idempotency-key"] == "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
        assert forwarded.body == b"a recording"
        # The attempt's timeout, which is shorter than the client's.
        assert 3000 < int(forwarded.headers["request-timeout"].removesuffix("m")) < 4000


@async_test
async def test_policy_receives_the_metadata_of_a_request() -> None:
    def react(event: Any) -> list[Action]:
        return [Reject(event.request_id, 0.25)] if isinstance(event, Request) else []

    async with gateway_with_client(UNREACHABLE, react=react) as gateway:
        response = await gateway.client.send_request(
            2, 900, X_Tier="plan-1", X_Call_Terms="units=2,spread=2,first=1", Client_Retry="1"
        )
        # The rejection tells the client when to retry.
        assert response.status == 503
        assert response.headers["retry-after"] == "0.250"
        (event,) = gateway.policy.events_of_type(Request)
        assert event.class_index == 2
        assert event.plan_index == 1
        assert event.customer == 5
        assert event.units == 2.0
        assert event.gateway_set_size == 2
        assert event.first_gateway == 1
        assert event.is_retry is True
        assert 0.8 < event.time_remaining <= 0.9


@pytest.mark.parametrize(
    ("class_index", "header", "value", "status"),
    [
        pytest.param(0, "Request-Id", "", 400, id="no request id"),
        pytest.param(0, "Request-Class", "class-1", 400, id="other class"),
        pytest.param(0, "X-Tier", "gold", 400, id="unknown plan"),
        pytest.param(0, "Request-Timeout", "4", 400, id="timeout without a unit"),
        pytest.param(0, "X-Call-Terms", "units=none,spread=1,first=0", 400, id="text instead of units"),
        pytest.param(0, "X-Call-Terms", "units=nan,spread=1,first=0", 400, id="NaN units"),
        pytest.param(1, "Idempotency-Key", "", 400, id="missing key in a class with keys"),
        pytest.param(2, "Idempotency-Key", "5c0f", 400, id="key in a class without keys"),
        pytest.param(0, "X-Pad", "x" * MAX_HEADER_BYTES, 400, id="large header"),
        pytest.param(2, "Content-Length", str(MAX_BODY_BYTES + 1), 413, id="large body"),
        pytest.param(2, "Content-Length", "x", 400, id="text instead of a length"),
    ],
)
@async_test
async def test_malformed_request_reaches_neither_policy_nor_endpoint(
    class_index: int, header: str, value: str, status: int
) -> None:
    endpoint = FakeEndpoint()
    async with gateway_with_client(endpoint) as gateway:
        malformed = gateway.client.encode_request(class_index, 4000, b"", **{header: value})
        assert (await gateway.client.send(malformed)).status == status
        assert not gateway.policy.events
        assert not endpoint.accepted_connections


@async_test
async def test_bytes_that_are_not_http_are_rejected_and_the_connection_is_closed() -> None:
    async with gateway_with_client(UNREACHABLE) as gateway:
        assert (await gateway.client.send(b"\x00\x01 nonsense\r\n\r\n")).status == 400
        assert await gateway.client.reader.read() == b""
        assert not gateway.policy.events


@pytest.mark.parametrize(
    "target",
    [
        pytest.param(b"http://[::", id="absolute"),
        pytest.param(b"/\xff?customer=0000000000000005", id="not ASCII"),
        pytest.param(b"*", id="asterisk"),
    ],
)
def test_malformed_target_is_rejected_and_not_logged(target: bytes, caplog: pytest.LogCaptureFixture) -> None:
    async def send_target() -> None:
        async with gateway_with_client(UNREACHABLE) as gateway:
            response = await gateway.client.send(b"GET " + target + b" HTTP/1.1\r\nHost: x\r\n\r\n")
            assert response.status in (400, 404)
            assert not gateway.policy.events

    run(send_target())
    assert not caplog.records


@async_test
async def test_trailer_does_not_replace_a_missing_header() -> None:
    async with gateway_with_client(UNREACHABLE) as gateway:
        head = gateway.client.encode_request(2, Request_Id="", Content_Length="", Transfer_Encoding="chunked")
        response = await gateway.client.send(head + b"3\r\nabc\r\n0\r\nRequest-Id: 9b1f\r\n\r\n")
        assert response.status == 400
        assert not gateway.policy.events


@pytest.fixture
def no_garbage_collection() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def reject_at_once(event: Any) -> list[Action]:
    """Reject each request within the call that submits it."""
    return [Reject(event.request_id, 0.0)] if isinstance(event, Request) else []


# Guards against bodies that stay in memory until the garbage collector frees them, which may take long.
@pytest.mark.usefixtures("no_garbage_collection")
@pytest.mark.parametrize(
    "react",
    [pytest.param(forward_to_first, id="served"), pytest.param(reject_at_once, id="rejected at once")],
)
@async_test
async def test_answered_request_is_freed_without_the_garbage_collector(react: Reaction) -> None:
    async with gateway_with_client(FakeEndpoint(), react=react) as gateway:
        await gateway.client.send_request()
        await gateway.client.send_request()
        leaked = [found for found in gc.get_objects() if isinstance(found, Exchange | OpenRequest)]
        assert leaked == []


CONNECTION_TYPES = (ClientConnection, RequestReader, UpstreamConnection, ResponseParser)


def is_any_connection_in_memory() -> bool:
    """Return whether a connection to a client or an endpoint, or its parser, is in memory."""
    return any(isinstance(found, CONNECTION_TYPES) for found in gc.get_objects())


# Guards against closed connections that stay in memory until the garbage collector frees them.
@pytest.mark.usefixtures("no_garbage_collection")
@async_test
async def test_closed_connections_are_freed_without_the_garbage_collector() -> None:
    async with gateway_with_client(FakeEndpoint()) as gateway:
        await gateway.client.send_request()
        assert is_any_connection_in_memory()
        gateway.client.writer.close()
        gateway.process.driver.upstream.pools[FIRST_ENDPOINT_ID].close_idle_connections()
        await until(lambda: not is_any_connection_in_memory())
