"""What endpoints send that is malformed, or more than the response, over loopback sockets."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import pytest

from gateway.policy.events import AttemptFinished, Outcome
from tests.support.harness import async_test, gateway_with_client
from tests.support.sockets import (
    FIRST,
    FakeEndpoint,
    HttpClient,
    http_response,
    listening,
    read_message,
    running_gateway,
    until,
)
from tests.support.upstream import echo_request_id, one_at_a_time


# Guards against forwarding bytes behind a response as the response to the next request: that one starts as
# soon as the first has finished, on a connection that still brings a second copy or noise.
@pytest.mark.parametrize(
    "behind", [http_response(body=b"a second copy"), b"\x00\x01 noise", b"HTTP/1.1 2"], ids=range(3)
)
@async_test
async def test_bytes_behind_a_response_are_not_the_next_response(behind: bytes) -> None:
    endpoint = FakeEndpoint(lambda message: echo_request_id(message) + behind)
    async with (
        listening(endpoint.handle) as address,
        running_gateway(address, react=one_at_a_time()) as (gateway, script),
        HttpClient(gateway.listener) as one,
        HttpClient(gateway.listener) as two,
    ):
        one.writer.write(one.request(Request_Id="one"))
        two.writer.write(two.request(Request_Id="two"))
        responses = [await read_message(c.reader) for c in (one, two)]
        assert [(a.status, a.body) for a in responses] == [(200, b"one"), (200, b"two")]
        assert script.outcomes() == [Outcome.OK, Outcome.OK]
        assert endpoint.opened == 2  # such a connection is of no further use


# Guards against the same where the bytes come while the connection is idle, and the loop has not read them
# when the next attempt needs a connection.
@async_test
async def test_an_idle_connection_with_bytes_to_read_carries_no_attempt() -> None:
    writers: list[asyncio.StreamWriter] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        while True:
            writer.write(echo_request_id(await read_message(reader)))

    async with gateway_with_client(handle) as gateway:
        assert (await gateway.client.ask(Request_Id="one")).body == b"one"
        (pool,) = gateway.process.driver.upstream.pools.values()
        (connection,) = pool.idle
        assert connection.is_usable()
        # No step of the loop lies between these: the bytes are in the socket, not yet read.
        writers[0].write(http_response(body=b"a late second copy"))
        assert not connection.is_usable()
        results: list[Any] = []
        payload = b"GET / HTTP/1.1\r\nRequest-Id: two\r\n\r\n"
        gateway.process.driver.upstream.start_attempt(FIRST, payload, 1.0, results.append)
        await until(lambda: results)
        assert results[0].body == b"two"


@pytest.mark.parametrize(
    "malformed",
    [
        b"\x16\x03\x01 noise\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: and so on\r\n" * 2000,  # headers that do not end
        b"HTTP/1.1 200 OK\r\nX-Pad: " + b"x" * 20_000,
        b"HTTP/1.1 100 Continue\r\n\r\n" * 1000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"400\r\n" + b"x" * 1024 + b"\r\n" * 100,
        b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + http_response(),
    ],
    ids=range(10),
)
@async_test
async def test_a_malformed_response_ends_its_attempt_at_once_and_may_have_run(malformed: bytes) -> None:
    endpoint = FakeEndpoint(lambda _message: malformed)
    async with gateway_with_client(endpoint) as gateway:
        assert (await gateway.client.ask()).status == 502
        # Not RESET, for which the policy avoids an endpoint: one that sends malformed responses is up.
        assert gateway.policy.outcomes() == [Outcome.ERROR]
        assert not Outcome.ERROR.never_ran
        (finished,) = gateway.policy.of(AttemptFinished)
        assert finished.elapsed < 2  # it does not hang until the client's time is nearly up
        await until(lambda: not endpoint.open)


# Guards against a retry after a complete response that has no framing, as it ends with its connection; and
# against taking part of one for the whole: a reset does not end it.
@pytest.mark.parametrize("end", ["close", "reset", "close within the headers", "close within a length"])
@async_test
async def test_a_response_without_framing_ends_with_its_connection_but_not_by_a_reset(end: str) -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
        if end == "close within a length":
            head += b"Content-Length: 9\r\n"
        if end == "close within the headers":
            return writer.write(head)
        writer.write(head + b"\r\nsome")
        await writer.drain()
        await asyncio.sleep(0.05)
        if end == "reset":
            inner = writer.get_extra_info("socket")
            inner.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return writer.transport.abort()
        writer.write(b"thing" if end == "close" else b"")
        return None

    async with gateway_with_client(handle) as gateway:
        response = await gateway.client.ask(2)
        whole = end == "close"
        assert (response.status, response.body) == ((200, b"something") if whole else (502, b""))
        assert gateway.policy.outcomes() == [Outcome.OK if whole else Outcome.RESET]
        assert not gateway.process.driver.upstream.pools[FIRST].idle
