"""Connections that are to be closed while a request or a response on them is unfinished, on loopback."""

from __future__ import annotations

import asyncio

import pytest

from tests.process.raw_client import REQUEST, connected, read_all, send_four_requests
from tests.support.harness import async_test
from tests.support.sockets import FakeEndpoint, http_response, listening, running_gateway, send_on, until


# Guards against closing a connection as idle when a request has come that was not read yet.
@pytest.mark.parametrize("how", ["drain", "idle", "room"])
@async_test
async def test_a_connection_is_not_closed_on_a_request_that_is_not_read_yet(how: str) -> None:
    endpoint = FakeEndpoint()
    async with (
        listening(endpoint.handle) as address,
        running_gateway(address, react=send_on) as (gateway, _),
    ):
        listener = gateway.listener
        with connected(gateway) as client:
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(client, REQUEST + b"one\r\n\r\n")
            assert b" 200 OK" in await loop.sock_recv(client, 1 << 16)
            await until(lambda: listener.connection_table.idle_connections)
            (idle,) = listener.connection_table.idle_connections
            assert client.send(REQUEST + b"two\r\n\r\n")  # no step of the loop lies between these
            if how == "drain":
                listener.stop_listening()
            elif how == "idle":
                listener.connection_table.idle_connections.waiting_since[idle] = float("-inf")
                listener.connection_table.close_overdue_connections()
            else:
                assert listener.connection_table.choose_evicted(listener.create_connection()) is not idle
            response = b""
            while b"done" not in response:
                part = await loop.sock_recv(client, 1 << 16)
                assert part, "closed with no response"
                response += part
            assert b" 200 OK" in response


# Guards against the end of the process on an incomplete request: the client may have sent all of it by then.
@pytest.mark.parametrize("whole", [True, False])
@async_test
async def test_an_incomplete_request_gets_a_response_before_the_process_ends(
    whole: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("gateway.shutdown.SHUTDOWN_ACCEPT_SECONDS", 0.0)

    endpoint = FakeEndpoint()
    async with (
        listening(endpoint.handle) as address,
        running_gateway(address, react=send_on) as (gateway, _),
    ):
        with connected(gateway) as client:
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(client, REQUEST + b"half")
            await until(
                lambda: any(
                    client.reader.is_receiving for client in gateway.listener.connection_table.new_connections
                )
            )
            gateway.drain_timeout = 10.0 if whole else 0.1
            drained = asyncio.create_task(gateway.drain())
            await until(lambda: gateway.listener.connection_table.is_stopping)
            await asyncio.sleep(0)
            if whole:
                assert not drained.done()
                await loop.sock_sendall(client, b"\r\n\r\n")
            response = await read_all(client)
            client.close()
            await drained
            assert response.startswith(b"HTTP/1.1 200" if whole else b"HTTP/1.1 503")
            assert b"Connection: close" in response


# Guards against a shutdown that cuts off the last responses of clients that read slowly.
@async_test
async def test_shutdown_waits_for_unsent_responses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("gateway.shutdown.SHUTDOWN_ACCEPT_SECONDS", 0.0)
    monkeypatch.setattr("gateway.shutdown.FLUSH_SECONDS", 0.1)

    body = b"x" * 60_000
    endpoint = FakeEndpoint(lambda _message: http_response(body=body))
    async with (
        listening(endpoint.handle) as address,
        running_gateway(address, react=send_on) as (gateway, _),
    ):
        gateway.drain_timeout = 10.0
        with connected(gateway) as client:
            await send_four_requests(gateway, client)
            await until(
                lambda: (
                    gateway.listener.connection_table.has_unsent_responses()
                    and not gateway.driver.open_requests.unanswered
                )
            )
            drained = asyncio.create_task(gateway.drain())
            done, _ = await asyncio.wait([drained], timeout=0.3)  # it may not end: nothing is read
            assert not done
            assert (await read_all(client)).count(body) == 4
            client.close()
            await drained
