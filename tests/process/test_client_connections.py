"""Client connections: pipelining, clients that do not read, disconnects and the connection limit."""

from __future__ import annotations

from typing import Any, NamedTuple

from gateway.frontend.client_connection import MAX_PIPELINED_REQUESTS, ClientConnection
from gateway.frontend.connection_table import IDLE_TIMEOUT_SECONDS
from gateway.frontend.request_reader import MAX_BODY_BYTES
from gateway.policy.actions import Action, Fail, Reject
from gateway.policy.events import ClientDisconnected, Request
from testbed.fake_endpoint import FakeEndpoint, respond_with, send_no_response
from testbed.http_messages import read_message
from tests.support.event_loop import async_test, until
from tests.support.gateway import UNREACHABLE, GatewayWithClient, gateway_with_client, running_gateway
from tests.support.http_client import HttpClient
from tests.support.scripted_policy import do_nothing, forward_to_first

PIPELINED_REQUEST_COUNT = 100  # far more than the limit


def endpoint_with_largest_body() -> FakeEndpoint:
    return FakeEndpoint(respond_with(b"x" * MAX_BODY_BYTES))


class PausedConnection(NamedTuple):
    """A client connection that the gateway has stopped reading, and the number of requests sent on it."""

    connection: ClientConnection
    request_count: int


async def send_requests_until_paused(gateway: GatewayWithClient, endpoint: FakeEndpoint) -> PausedConnection:
    """Send requests without reading responses, until the gateway stops reading from the client."""
    (connection,) = gateway.process.listener.connection_table.connections
    transport = connection.socket.transport
    assert transport is not None
    request_count = 0

    while transport.is_reading():
        request_count += 1
        received_before = len(endpoint.requests)
        gateway.client.writer.write(gateway.client.encode_request())

        def was_served(received_before: int = received_before) -> bool:
            return len(endpoint.requests) > received_before and not connection.pending_exchanges

        await until(was_served)
    return PausedConnection(connection, request_count)


@async_test
async def test_number_of_pipelined_requests_is_limited() -> None:
    async with gateway_with_client(endpoint_with_largest_body()) as gateway:
        reader = gateway.client.reader
        writer = gateway.client.writer
        writer.write(b"".join(gateway.client.encode_request() for _ in range(PIPELINED_REQUEST_COUNT)))
        responses = [await read_message(reader) for _ in range(MAX_PIPELINED_REQUESTS + 1)]
        assert [response.status for response in responses] == [200] * MAX_PIPELINED_REQUESTS + [503]
        assert "retry-after" in responses[-1].headers
        assert await reader.read() == b""  # the remaining requests are discarded
        assert len(gateway.policy.events_of_type(Request)) == MAX_PIPELINED_REQUESTS


@async_test
async def test_pipelined_requests_are_answered_in_order() -> None:
    requests: list[Request] = []

    def react(event: Any) -> list[Action]:
        if isinstance(event, Request):
            requests.append(event)
            if len(requests) == 2:  # respond to the second request first
                return [Reject(requests[1].request_id, 0.0), Fail(requests[0].request_id)]
        return []

    async with gateway_with_client(UNREACHABLE, react=react) as gateway:
        client = gateway.client
        first = await client.send(client.encode_request() + client.encode_request())
        second = await read_message(client.reader)
        assert MAX_PIPELINED_REQUESTS >= 2
        assert first.status == 502
        assert second.status == 503


@async_test
async def test_requests_are_not_read_while_the_client_does_not_read_responses() -> None:
    endpoint = endpoint_with_largest_body()
    async with gateway_with_client(endpoint) as gateway:
        _, request_count = await send_requests_until_paused(gateway, endpoint)
        gateway.client.writer.write(gateway.client.encode_request())
        for _ in range(request_count + 1):  # the client receives all responses once it reads
            response = await read_message(gateway.client.reader)
            assert response.status == 200
            assert len(response.body) == MAX_BODY_BYTES


@async_test
async def test_connection_of_a_client_that_never_reads_is_closed() -> None:
    endpoint = endpoint_with_largest_body()
    async with gateway_with_client(endpoint) as gateway:
        connection, _ = await send_requests_until_paused(gateway, endpoint)
        assert connection.queue is not None
        connection.queue.waiting_since[connection] -= IDLE_TIMEOUT_SECONDS
        await until(lambda: not gateway.process.listener.connection_table.connections)


@async_test
async def test_disconnect_is_reported_and_the_attempt_continues() -> None:
    endpoint = FakeEndpoint(send_no_response)
    async with running_gateway(endpoint, react=forward_to_first) as (process, policy):
        async with HttpClient(process.listener) as client:
            client.writer.write(client.encode_request())
            await until(lambda: endpoint.requests)
        await until(lambda: policy.events_of_type(ClientDisconnected))
        assert endpoint.open_connections == 1
        assert not policy.outcomes()
        assert process.driver.open_requests


@async_test
async def test_clients_beyond_the_connection_limit_are_rejected() -> None:
    async with running_gateway(UNREACHABLE, react=do_nothing) as (process, policy):
        process.listener.connection_table.max_connections = 2
        async with HttpClient(process.listener) as first, HttpClient(process.listener) as second:
            for client in (first, second):
                client.writer.write(client.encode_request())
            await until(lambda: len(policy.events_of_type(Request)) == 2)
            async with HttpClient(process.listener) as surplus:
                response = await surplus.send_request()
            assert response.status == 503
            assert "retry-after" in response.headers
            assert len(policy.events_of_type(Request)) == 2
