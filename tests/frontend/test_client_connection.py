"""What clients send around and behind invalid requests, over loopback sockets."""

from __future__ import annotations

import pytest

from gateway.frontend.request_reader import MAX_DISCARDED_BYTES
from tests.process.harness import async_test
from tests.support.sockets import HttpClient, read_message, running_gateway, send_on


# Guards against request smuggling.
@pytest.mark.parametrize("length_first", [True, False])
@pytest.mark.parametrize("coding", [b"chunked", b"Chunked", b"gzip, chunked", b"identity"])
@async_test
async def test_a_length_beside_a_transfer_coding_is_rejected(length_first: bool, coding: bytes) -> None:
    async with (
        running_gateway("127.0.0.1:1", react=send_on) as (gateway, policy),
        HttpClient(gateway.listener) as client,
    ):
        head = client.request(2, Content_Length="").removesuffix(b"\r\n")
        pair = [b"Content-Length: 5\r\n", b"Transfer-Encoding: " + coding + b"\r\n"]
        lines = b"".join(pair if length_first else reversed(pair))
        response = await client.send(head + lines + b"\r\n0\r\n\r\n" + client.request())
        assert response.status == 400
        assert await client.reader.read() == b""
        assert not policy.events


# Guards against the loss of the response to a reset, which follows when a connection is closed on unread
# bytes.
@async_test
async def test_bytes_behind_an_error_do_not_reset_its_response() -> None:
    async with (
        running_gateway("127.0.0.1:1", react=send_on) as (gateway, policy),
        HttpClient(gateway.listener) as client,
    ):
        client.writer.write(client.request(2, Content_Length=str(20 * MAX_DISCARDED_BYTES)))
        for _ in range(20):
            client.writer.write(b"x" * MAX_DISCARDED_BYTES)
            await client.writer.drain()
        assert (await read_message(client.reader)).status == 413
        assert await client.reader.read() == b""
        assert not policy.events
        assert gateway.listener.buffered_bytes == 0


# Guards against taking a request whose response can no longer be sent.
@async_test
async def test_no_request_is_taken_behind_the_last_response(caplog: pytest.LogCaptureFixture) -> None:
    async with (
        running_gateway("127.0.0.1:1", react=send_on) as (gateway, policy),
        HttpClient(gateway.listener) as client,
    ):
        gateway.listener.max_connections = 0
        client.writer.write(client.request() + client.request())
        assert (await read_message(client.reader)).status == 503
        assert await client.reader.read() == b""
        assert not policy.events
    assert not caplog.records
