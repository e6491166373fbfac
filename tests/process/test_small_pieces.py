"""Peers that send many small pieces at full speed, while a usual client sends requests."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import pytest

from gateway.frontend.request_reader import MAX_BODY_BYTES
from gateway.read_scheduler import ITERATION_SECONDS, ReadScheduler
from testbed.fake_endpoint import FakeEndpoint
from testbed.fake_server import LOOPBACK, FakeServer
from testbed.http_messages import read_message
from tests.support.event_loop import async_test
from tests.support.gateway import gateway_with_client, running_gateway
from tests.support.hold_meter import MAX_HOLD_SECONDS, hold_meter
from tests.support.http_client import HttpClient
from tests.support.scripted_policy import forward_to_first

if TYPE_CHECKING:
    from gateway.frontend.listener import Listener

PEER_COUNT = 60
MEASURE_SECONDS = 1.0
REQUEST_COUNT = 5
HALF_OF_A_BODY = b"1\r\nx\r\n" * (MAX_BODY_BYTES - 1)
READINESS_CHECK = b"GET /-/ready HTTP/1.1\r\n\r\n"


async def connect_peers(stack: contextlib.AsyncExitStack, listener: Listener) -> list[HttpClient]:
    return [await stack.enter_async_context(HttpClient(listener)) for _ in range(PEER_COUNT)]


# Guards against clients whose requests are not complete and cost a call for each byte: they held up the event
# loop for seconds, and usual requests got no answer.
@pytest.mark.parametrize(
    ("pieces", "is_body"),
    [
        pytest.param(HALF_OF_A_BODY, True, id="one-byte chunks"),
        pytest.param(READINESS_CHECK * 2000, False, id="readiness checks"),
    ],
)
@async_test
async def test_small_pieces_of_clients_do_not_hold_up_the_event_loop(pieces: bytes, *, is_body: bool) -> None:
    async with gateway_with_client(FakeEndpoint()) as gateway, contextlib.AsyncExitStack() as stack:
        peers = await connect_peers(stack, gateway.process.listener)
        head = peers[0].encode_request(2, Content_Length="", Transfer_Encoding="chunked") if is_body else b""
        async with hold_meter() as meter:
            for peer in peers:
                peer.writer.write(head + pieces)
            for _ in range(REQUEST_COUNT):
                assert (await gateway.client.send_request()).status == 200
            await asyncio.sleep(MEASURE_SECONDS)
    assert meter.longest < MAX_HOLD_SECONDS


class ChunkingEndpoint(FakeServer):
    """Responds in one-byte chunks, to all requests at the same moment."""

    def __init__(self) -> None:
        self.request_count = 0
        self.all_received = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        self.request_count += 1
        if self.request_count == PEER_COUNT:
            self.all_received.set()
        await self.all_received.wait()
        head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + b"1\r\nx\r\n" * MAX_BODY_BYTES + b"0\r\n\r\n")
        await reader.read()


# As above, for endpoints whose responses cost a call for each byte.
@async_test
async def test_small_pieces_of_responses_do_not_hold_up_the_event_loop() -> None:
    async with (
        running_gateway(ChunkingEndpoint(), react=forward_to_first) as (process, _),
        contextlib.AsyncExitStack() as stack,
    ):
        clients = await connect_peers(stack, process.listener)
        async with hold_meter() as meter:
            responses = await asyncio.gather(*(client.send_request() for client in clients))
    assert {response.body for response in responses} == {b"x" * MAX_BODY_BYTES}
    assert meter.longest < MAX_HOLD_SECONDS


# Guards against a plain body that is split at the wrong place, as it is read in larger parts than its head.
@pytest.mark.parametrize("size", [1, 4095, 4096, 4097, MAX_BODY_BYTES - 1, MAX_BODY_BYTES])
@async_test
async def test_bodies_of_each_size_pass_unchanged(size: int) -> None:
    body = bytes(index % 251 for index in range(size))
    endpoint = FakeEndpoint()
    async with gateway_with_client(endpoint) as gateway:
        assert (await gateway.client.send_request(2, body=body)).status == 200
        assert (await gateway.client.send_request(2, body=body)).status == 200
    assert [request.body for request in endpoint.requests] == [body, body]


# Guards against a client that disconnects while its requests wait for those of others.
@async_test
async def test_no_request_of_a_client_that_has_gone_is_forwarded_later() -> None:
    endpoint = FakeEndpoint()
    async with gateway_with_client(endpoint) as gateway, contextlib.AsyncExitStack() as stack:
        peers = await connect_peers(stack, gateway.process.listener)
        head = peers[0].encode_request(2, Content_Length="", Transfer_Encoding="chunked")
        for peer in peers:
            peer.writer.write(head + HALF_OF_A_BODY)
        _, writer = await asyncio.open_connection(LOOPBACK, gateway.client.port)
        writer.write(gateway.client.encode_request())
        writer.close()
        await asyncio.sleep(MEASURE_SECONDS)
    assert not endpoint.requests


# Guards against bytes that were read, but wait to be parsed, when the time for their request is up.
@async_test
async def test_deferred_bytes_are_answered_at_the_read_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ReadScheduler, "_run", lambda _: None)  # deferred bytes are never parsed
    async with gateway_with_client(FakeEndpoint()) as gateway:
        for connection in gateway.process.listener.connection_table.connections:
            connection._read_scheduler.spent = ITERATION_SECONDS  # noqa: SLF001  # all reads are deferred
        response = await gateway.client.send_request()
    assert response.status == 408
