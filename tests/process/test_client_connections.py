"""Client connections: pipelining, clients that do not read, disconnects and the connection limit."""

from __future__ import annotations

from typing import Any

from gateway.frontend.client_connection import MAX_PIPELINED_REQUESTS, ClientConnection
from gateway.frontend.connection_table import IDLE_TIMEOUT_SECONDS
from gateway.frontend.request_reader import MAX_BODY_BYTES
from gateway.policy.actions import Action, Fail, Reject
from gateway.policy.events import ClientDisconnected, Request
from tests.support.harness import UNREACHABLE, GatewaySetUp, async_test, gateway_with_client
from tests.support.sockets import (
    FakeEndpoint,
    HttpClient,
    http_response,
    listening,
    read_message,
    running_gateway,
    send_on,
    until,
)


def endpoint_with_largest_body() -> FakeEndpoint:
    return FakeEndpoint(lambda _: http_response(body=b"x" * MAX_BODY_BYTES))


async def request_until_not_read(
    gateway: GatewaySetUp, endpoint: FakeEndpoint
) -> tuple[ClientConnection, int]:
    """Send requests without reading responses until the sockets' buffers are full of responses.

    Returns the gateway's side of the connection, which is not read any more, and the number of requests.
    """
    (connection,) = gateway.process.listener.connection_table.connections
    transport = connection.socket.transport
    assert transport is not None
    request_count = 0

    while transport.is_reading():
        request_count += 1
        seen_before = len(endpoint.seen)
        gateway.client.writer.write(gateway.client.request())

        def was_served(seen_before: int = seen_before) -> bool:
            return len(endpoint.seen) > seen_before and not connection.pending

        await until(was_served)
    return connection, request_count


@async_test
async def test_pipelined_requests_are_bounded() -> None:
    async with gateway_with_client(endpoint_with_largest_body()) as gateway:
        reader, writer = gateway.client.reader, gateway.client.writer
        writer.write(b"".join(gateway.client.request() for _ in range(100)))
        responses = [await read_message(reader) for _ in range(MAX_PIPELINED_REQUESTS + 1)]
        assert [response.status for response in responses] == [200] * MAX_PIPELINED_REQUESTS + [503]
        assert "retry-after" in responses[-1].headers
        assert await reader.read() == b""  # the remaining bytes are not read as requests
        assert len(gateway.policy.of(Request)) == MAX_PIPELINED_REQUESTS


@async_test
async def test_pipelined_requests_are_answered_in_their_order() -> None:
    requests: list[Request] = []

    def react(event: Any) -> list[Action]:
        if isinstance(event, Request):
            requests.append(event)
            if len(requests) == 2:  # the second gets its response first
                return [Reject(requests[1].request_id, 0.0), Fail(requests[0].request_id)]
        return []

    async with gateway_with_client(UNREACHABLE, react=react) as gateway:
        client = gateway.client
        first = await client.send(client.request() + client.request())
        assert MAX_PIPELINED_REQUESTS >= 2
        assert [first.status, int((await client.reader.readline()).split()[1])] == [502, 503]


@async_test
async def test_client_that_does_not_read_its_responses_is_not_read() -> None:
    endpoint = endpoint_with_largest_body()
    async with gateway_with_client(endpoint) as gateway:
        _, request_count = await request_until_not_read(gateway, endpoint)
        gateway.client.writer.write(gateway.client.request())
        for _ in range(request_count + 1):  # once it reads, all responses come
            response = await read_message(gateway.client.reader)
            assert (response.status, len(response.body)) == (200, MAX_BODY_BYTES)


@async_test
async def test_client_that_never_reads_loses_its_connection() -> None:
    endpoint = endpoint_with_largest_body()
    async with gateway_with_client(endpoint) as gateway:
        connection, _ = await request_until_not_read(gateway, endpoint)
        assert connection.queue is not None
        connection.queue.waiting_since[connection] -= IDLE_TIMEOUT_SECONDS
        await until(lambda: not gateway.process.listener.connection_table.connections)


@async_test
async def test_policy_hears_of_a_disconnect_and_the_attempt_runs_on() -> None:
    endpoint = FakeEndpoint(lambda _: None)
    async with (
        listening(endpoint.handle) as address,
        running_gateway(address, react=send_on) as (process, policy),
    ):
        async with HttpClient(process.listener) as client:
            client.writer.write(client.request())
            await until(lambda: endpoint.seen)
        await until(lambda: policy.of(ClientDisconnected))
        assert endpoint.open == 1
        assert not policy.outcomes()
        assert process.driver.open_requests


@async_test
async def test_surplus_clients_are_rejected() -> None:
    async with running_gateway(UNREACHABLE, react=lambda _: []) as (process, policy):
        process.listener.connection_table.max_connections = 2
        async with HttpClient(process.listener) as first, HttpClient(process.listener) as second:
            for client in (first, second):
                client.writer.write(client.request())
            await until(lambda: len(policy.of(Request)) == 2)
            async with HttpClient(process.listener) as surplus:
                response = await surplus.ask()
            assert (response.status, "retry-after" in response.headers) == (503, True)
            assert len(policy.of(Request)) == 2
