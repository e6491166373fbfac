"""What endpoints send that is malformed, or more than the response, over loopback sockets."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
from typing import TYPE_CHECKING, Any

import pytest

from gateway.policy.events import AttemptFinished, Outcome
from tests.support.event_loop import async_test, until
from tests.support.fake_endpoint import FakeEndpoint
from tests.support.gateway import gateway_with_client
from tests.support.http_client import NON_IDEMPOTENT_CLASS
from tests.support.http_messages import http_response, read_message
from tests.support.scripted_policy import FIRST
from tests.support.upstream import echo_request_id, two_clients

if TYPE_CHECKING:
    from tests.support.fake_server import Handler


# Guards against forwarding bytes behind a response as the response to the next request: that one starts as
# soon as the first has finished, on a connection that still brings a second copy or noise.
@pytest.mark.parametrize(
    "behind",
    [
        pytest.param(http_response(body=b"a second copy"), id="second copy"),
        pytest.param(b"\x00\x01 noise", id="noise"),
        pytest.param(b"HTTP/1.1 2", id="part of a response"),
    ],
)
@async_test
async def test_bytes_behind_a_response_are_not_the_next_response(behind: bytes) -> None:
    endpoint = FakeEndpoint(lambda message: echo_request_id(message) + behind)
    async with two_clients(endpoint) as clients:
        responses = await clients.ask_both()
        assert [response.status for response in responses] == [200, 200]
        assert [response.body for response in responses] == [b"one", b"two"]
        assert clients.policy.outcomes() == [Outcome.OK, Outcome.OK]
        assert endpoint.accepted_connections == 2  # such a connection is of no further use


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
        upstream = gateway.process.driver.upstream
        (connection,) = upstream.pools[FIRST].idle_connections
        assert connection.is_usable()
        # No step of the loop lies between these: the bytes are in the socket, not yet read.
        writers[0].write(http_response(body=b"a late second copy"))
        assert not connection.is_usable()
        results: list[Any] = []
        payload = b"GET / HTTP/1.1\r\nRequest-Id: two\r\n\r\n"
        upstream.start_attempt(FIRST, payload, 1.0, results.append)
        await until(lambda: results)
        assert results[0].body == b"two"


@pytest.mark.parametrize(
    "malformed",
    [
        pytest.param(b"\x16\x03\x01 noise\r\n\r\n", id="noise"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", id="two lengths"
        ),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc", id="negative length"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
            id="length and chunks",
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
async def test_a_malformed_response_ends_its_attempt_at_once_and_may_have_run(malformed: bytes) -> None:
    endpoint = FakeEndpoint(lambda _message: malformed)
    async with gateway_with_client(endpoint) as gateway:
        assert (await gateway.client.ask()).status == 502
        # Not RESET, for which the policy avoids an endpoint: one that sends malformed responses is up.
        assert gateway.policy.outcomes() == [Outcome.ERROR]
        assert not Outcome.ERROR.never_ran
        (finished,) = gateway.policy.of(AttemptFinished)
        assert finished.elapsed < 2  # it does not hang until the client's time is nearly up
        await until(lambda: not endpoint.open_connections)


class ResponseEnd(enum.Enum):
    """How a response without framing ends."""

    CLOSE = enum.auto()
    RESET = enum.auto()
    CLOSE_WITHIN_HEADERS = enum.auto()
    CLOSE_WITHIN_LENGTH = enum.auto()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection such that its peer gets a reset."""
    linger_without_waiting = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_without_waiting)
    writer.transport.abort()


def endpoint_that_ends_by(end: ResponseEnd) -> Handler:
    """Return a handler that responds with `something`, as far as its end allows."""

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


# Guards against a retry after a complete response that has no framing, as it ends with its connection.
@async_test
async def test_a_response_without_framing_ends_with_its_connection() -> None:
    async with gateway_with_client(endpoint_that_ends_by(ResponseEnd.CLOSE)) as gateway:
        response = await gateway.client.ask(NON_IDEMPOTENT_CLASS)
        assert response.status == 200
        assert response.body == b"something"
        assert gateway.policy.outcomes() == [Outcome.OK]
        assert not gateway.process.driver.upstream.pools[FIRST].idle_connections


# Guards against taking part of a response for all of it: a reset does not end it.
@pytest.mark.parametrize(
    "end",
    [
        pytest.param(ResponseEnd.RESET, id="reset"),
        pytest.param(ResponseEnd.CLOSE_WITHIN_HEADERS, id="close within the headers"),
        pytest.param(ResponseEnd.CLOSE_WITHIN_LENGTH, id="close within a length"),
    ],
)
@async_test
async def test_a_response_without_framing_does_not_end_by_a_reset_or_in_its_middle(end: ResponseEnd) -> None:
    async with gateway_with_client(endpoint_that_ends_by(end)) as gateway:
        response = await gateway.client.ask(NON_IDEMPOTENT_CLASS)
        assert response.status == 502
        assert response.body == b""
        assert gateway.policy.outcomes() == [Outcome.RESET]
        assert not gateway.process.driver.upstream.pools[FIRST].idle_connections
