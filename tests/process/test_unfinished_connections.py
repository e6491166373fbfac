"""Connections that are about to be closed with an unfinished request or response, on loopback."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, NamedTuple

import pytest

from testbed.fake_endpoint import FakeEndpoint, respond_with
from tests.process.raw_client import (
    connected_socket,
    raw_request,
    read_all,
    read_some,
    read_until,
    send,
    send_four_requests,
)
from tests.support.event_loop import async_test, until
from tests.support.gateway import running_gateway
from tests.support.scripted_policy import forward_to_first

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator, Callable

    from gateway.frontend.client_connection import ClientConnection
    from gateway.frontend.connection_table import ConnectionTable
    from gateway.frontend.listener import Listener
    from gateway.process import GatewayProcess

AMPLE_DRAIN_SECONDS = 10.0
SHORT_DRAIN_SECONDS = 0.1
OK_STATUS = b" 200 OK"
FIRST_REQUEST = raw_request(b"one")
SECOND_REQUEST = raw_request(b"two")


def close_at_shutdown(listener: Listener, _idle: ClientConnection) -> None:
    listener.stop_listening()


def close_as_overdue(listener: Listener, idle: ClientConnection) -> None:
    table = listener.connection_table
    table.idle_connections.waiting_since[idle] = float("-inf")
    table.close_overdue_connections()


def evict_for_a_new_connection(listener: Listener, idle: ClientConnection) -> None:
    assert listener.connection_table.choose_connection_to_evict(listener.create_connection()) is not idle


# Guards against closing a connection as idle although a request has arrived that is not read yet.
@pytest.mark.parametrize(
    "close_idle",
    [
        pytest.param(close_at_shutdown, id="drain"),
        pytest.param(close_as_overdue, id="idle"),
        pytest.param(evict_for_a_new_connection, id="evicted"),
    ],
)
@async_test
async def test_connection_with_an_unread_request_is_not_closed_as_idle(
    close_idle: Callable[[Listener, ClientConnection], None],
) -> None:
    async with running_gateway(FakeEndpoint(), react=forward_to_first) as (gateway, _):
        idle_connections = gateway.listener.connection_table.idle_connections
        with connected_socket(gateway) as client:
            await send(client, FIRST_REQUEST)
            assert OK_STATUS in await read_some(client)
            await until(lambda: idle_connections)
            (idle,) = idle_connections
            assert client.send(SECOND_REQUEST)  # the event loop gets no turn to read it
            close_idle(gateway.listener, idle)
            assert OK_STATUS in await read_until(client, b"done")


def has_part_of_a_request(table: ConnectionTable) -> bool:
    """Return whether part of the first request on a connection was read."""
    return any(connection.reader.is_receiving for connection in table.new_connections)


class DrainingGateway(NamedTuple):
    """A gateway whose shutdown has begun, and the client that has sent it part of a request."""

    drained: asyncio.Task[None]
    client: socket.socket


@contextlib.asynccontextmanager
async def draining_gateway(drain_seconds: float) -> AsyncIterator[DrainingGateway]:
    """Begin the shutdown of a gateway that has read part of a request."""
    async with running_gateway(FakeEndpoint(), react=forward_to_first) as (gateway, _):
        table = gateway.listener.connection_table
        with connected_socket(gateway) as client:
            await send(client, FIRST_REQUEST.removesuffix(b"\r\n\r\n"))
            await until(lambda: has_part_of_a_request(table))
            gateway.drain_timeout = drain_seconds
            drained = asyncio.create_task(gateway.drain())
            await until(lambda: table.is_stopping)
            await asyncio.sleep(0)
            yield DrainingGateway(drained, client)


@pytest.fixture
def no_accept_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Stop accepting connections immediately when the shutdown starts."""
    monkeypatch.setattr("gateway.shutdown.SHUTDOWN_ACCEPT_SECONDS", 0.0)


# Guards against a process that exits without serving a request that its client completes in time.
@pytest.mark.usefixtures("no_accept_time")
@async_test
async def test_request_that_is_completed_during_the_shutdown_is_served() -> None:
    async with draining_gateway(AMPLE_DRAIN_SECONDS) as (drained, client):
        assert not drained.done()
        await send(client, b"\r\n\r\n")
        response = await read_all(client)
        client.close()
        await drained
        assert response.startswith(b"HTTP/1.1 200")
        assert b"Connection: close" in response


# Guards against a process that exits without a response to an incomplete request, whose client may have sent
# the rest already.
@pytest.mark.usefixtures("no_accept_time")
@async_test
async def test_incomplete_request_gets_a_response_before_the_process_exits() -> None:
    async with draining_gateway(SHORT_DRAIN_SECONDS) as (drained, client):
        response = await read_all(client)
        client.close()
        await drained
        assert response.startswith(b"HTTP/1.1 503")
        assert b"Connection: close" in response


async def wait_for_unsent_responses(gateway: GatewayProcess) -> None:
    """Wait until all requests have a response and some responses are not sent completely."""
    table = gateway.listener.connection_table
    open_requests = gateway.driver.open_requests
    await until(lambda: table.has_unsent_responses() and not open_requests.unanswered_count)


# Guards against a shutdown that truncates the last responses to clients that read slowly.
@pytest.mark.usefixtures("no_accept_time")
@async_test
async def test_shutdown_waits_for_unsent_responses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("gateway.shutdown.FLUSH_SECONDS", 0.1)
    body = b"x" * 60_000
    async with running_gateway(FakeEndpoint(respond_with(body)), react=forward_to_first) as (gateway, _):
        gateway.drain_timeout = AMPLE_DRAIN_SECONDS
        with connected_socket(gateway) as client:
            await send_four_requests(gateway, client)
            await wait_for_unsent_responses(gateway)
            drained = asyncio.create_task(gateway.drain())
            done, _ = await asyncio.wait([drained], timeout=0.3)  # must not end, as the client reads nothing
            assert not done
            assert (await read_all(client)).count(body) == 4
            client.close()
            await drained
