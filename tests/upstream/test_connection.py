"""Tests of malformed responses and of bytes after a response, over loopback sockets."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
from typing import TYPE_CHECKING, Any

import pytest

from gateway.policy.events import AttemptFinished, Outcome
from testbed.fake_endpoint import FakeEndpoint
from testbed.http_messages import http_response, read_message
from tests.support.event_loop import async_test, until
from tests.support.gateway import gateway_with_client
from tests.support.http_client import NON_IDEMPOTENT_CLASS
from tests.support.scripted_policy import FIRST_ENDPOINT_ID
from tests.support.upstream import echo_request_id, two_clients

if TYPE_CHECKING:
    from testbed.fake_server import Handler


# Guards against forwarding bytes that follow a response as the response to the next request, which starts as
# soon as the first request has finished.
@pytest.mark.parametrize(
    "extra_bytes",
    [
        pytest.param(http_response(body=b"a second copy"), id="duplicate response"),
        pytest.param(b"\x00\x01 noise", id="garbage"),
        pytest.param(b"HTTP/1.1 2", id="part of a response"),
    ],
)
@async_test
async def test_bytes_after_a_response_are_not_used_as_the_next_response(extra_bytes: bytes) -> None:
    endpoint = FakeEndpoint(lambda message: echo_request_id(message) + extra_bytes)
    async with two_clients(endpoint) as clients:
        responses = await clients.send_both_requests()
        assert [response.status for response in responses] == [200, 200]
        assert [response.body for response in responses] == [b"one", b"two"]
        assert clients.policy.outcomes() == [Outcome.OK, Outcome.OK]
        assert endpoint.accepted_connections == 2  # the first connection must not be reused


# Guards against forwarding bytes that arrived while the connection was idle as the next response: the event
# loop may not have read them when the next attempt needs a connection.
@async_test
async def test_an_idle_connection_with_unread_bytes_is_not_used() -> None:
    writers: list[asyncio.StreamWriter] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        while True:
            writer.write(echo_request_id(await read_message(reader)))

    async with gateway_with_client(handle) as gateway:
        assert (await gateway.client.send_request(Request_Id="one")).body == b"one"
        upstream = gateway.process.driver.upstream
        (connection,) = upstream.pools[FIRST_ENDPOINT_ID].idle_connections
        assert connection.is_usable()
        # The event loop does not run between these lines, so the bytes stay unread in the socket.
        writers[0].write(http_response(body=b"a late second copy"))
        assert not connection.is_usable()
        results: list[Any] = []
        request = b"GET / HTTP/1.1\r\nRequest-Id: two\r\n\r\n"
        upstream.start_attempt(FIRST_ENDPOINT_ID, request, 1.0, results.append)
        await until(lambda: results)
        assert results[0].body == b"two"


@pytest.mark.parametrize(
    "malformed",
    [
        pytest.param(b"\x16\x03\x01 noise\r\n\r\n", id="garbage"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", id="conflicting lengths"
        ),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc", id="negative length"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
            id="length and chunked encoding",
        ),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc", id="large length"),
        pytest.param(b"HTTP/1.1 200 OK\r\n" + b"X-Pad: and so on\r\n" * 2000, id="endless headers"),
        pytest.param(b"HTTP/1.1 200 OK\r\nX-Pad: " + b"x" * 20_000, id="endless header"),
        pytest.param(b"HTTP/1.1 100 Continue\r\n\r\n" * 1000, id="endless interim responses"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n" + b"x" * 1024 + b"\r\n" * 100,
            id="malformed chunk",
        ),
        pytest.param(
            b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
            + http_response(),
            id="upgrade",
        ),
    ],
)
@async_test
async def test_a_malformed_response_fails_its_attempt_at_once_with_error(malformed: bytes) -> None:
    endpoint = FakeEndpoint(lambda _message: malformed)
    async with gateway_with_client(endpoint) as gateway:
        assert (await gateway.client.send_request()).status == 502
        # Not RESET, which makes the policy avoid the endpoint, although the endpoint is up.
        assert gateway.policy.outcomes() == [Outcome.ERROR]
        assert not Outcome.ERROR.never_ran  # the endpoint may have executed the request
        (finished,) = gateway.policy.events_of_type(AttemptFinished)
        assert finished.elapsed < 2  # does not wait for the timeout
        await until(lambda: not endpoint.open_connections)


class ResponseEnd(enum.Enum):
    """How an endpoint ends its response."""

    CLOSE = enum.auto()
    RESET = enum.auto()
    CLOSE_WITHIN_HEADERS = enum.auto()
    CLOSE_WITHIN_LENGTH = enum.auto()  # before the number of bytes in Content-Length


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    linger_without_waiting = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_without_waiting)
    writer.transport.abort()


def endpoint_with_response_end(end: ResponseEnd) -> Handler:
    """Return a connection handler that responds with `something` and ends the response in the given way."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
        if end is ResponseEnd.CLOSE_WITHIN_HEADERS:
            writer.write(head)
            return
        if end is ResponseEnd.CLOSE_WITHIN_LENGTH:
            head += b"Content-Length: 9\r\n"
        writer.write(head + b"\r\nsome")
        await writer.drain()
        await asyncio.sleep(0.05)
        if end is ResponseEnd.RESET:
            reset_connection(writer)
        elif end is ResponseEnd.CLOSE:
            writer.write(b"thing")

    return handle


# Guards against treating the close that ends a close-delimited response as a lost connection, and retrying.
@async_test
async def test_a_close_delimited_response_is_complete_when_the_connection_closes() -> None:
    async with gateway_with_client(endpoint_with_response_end(ResponseEnd.CLOSE)) as gateway:
        response = await gateway.client.send_request(NON_IDEMPOTENT_CLASS)
        assert response.status == 200
        assert response.body == b"something"
        assert gateway.policy.outcomes() == [Outcome.OK]
        assert not gateway.process.driver.upstream.pools[FIRST_ENDPOINT_ID].idle_connections


# Guards against forwarding an incomplete response: a reset does not complete a close-delimited response.
@pytest.mark.parametrize(
    "end",
    [
        pytest.param(ResponseEnd.RESET, id="reset"),
        pytest.param(ResponseEnd.CLOSE_WITHIN_HEADERS, id="close within the headers"),
        pytest.param(ResponseEnd.CLOSE_WITHIN_LENGTH, id="close within a length"),
    ],
)
@async_test
async def test_a_reset_or_an_early_close_does_not_complete_a_response(end: ResponseEnd) -> None:
    async with gateway_with_client(endpoint_with_response_end(end)) as gateway:
        response = await gateway.client.send_request(NON_IDEMPOTENT_CLASS)
        assert response.status == 502
        assert response.body == b""
        assert gateway.policy.outcomes() == [Outcome.RESET]
        assert not gateway.process.driver.upstream.pools[FIRST_ENDPOINT_ID].idle_connections
