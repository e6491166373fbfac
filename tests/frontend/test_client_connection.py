"""Invalid requests and the bytes that follow them, over loopback sockets."""

from __future__ import annotations

import pytest

from gateway.frontend.request_reader import MAX_DISCARDED_BYTES
from testbed.http_messages import read_message
from tests.support.event_loop import async_test
from tests.support.gateway import UNREACHABLE, gateway_with_client

DISCARD_COUNT = 20  # number of times that the client sends MAX_DISCARDED_BYTES


# Guards against request smuggling: an endpoint could determine the end of the body by the other header.
@pytest.mark.parametrize(
    "length_first", [pytest.param(True, id="length first"), pytest.param(False, id="coding first")]
)
@pytest.mark.parametrize(
    "coding",
    [
        pytest.param(b"chunked", id="chunked"),
        pytest.param(b"Chunked", id="upper case"),
        pytest.param(b"gzip, chunked", id="two codings"),
        pytest.param(b"identity", id="identity"),
    ],
)
@async_test
async def test_content_length_with_transfer_encoding_is_rejected(
    *, length_first: bool, coding: bytes
) -> None:
    async with gateway_with_client(UNREACHABLE) as gateway:
        head = gateway.client.encode_request(2, Content_Length="").removesuffix(b"\r\n")
        pair = [b"Content-Length: 5\r\n", b"Transfer-Encoding: " + coding + b"\r\n"]
        lines = b"".join(pair if length_first else reversed(pair))
        response = await gateway.client.send(
            head + lines + b"\r\n0\r\n\r\n" + gateway.client.encode_request()
        )
        assert response.status == 400
        assert await gateway.client.reader.read() == b""
        assert not gateway.policy.events


# Guards against an error response that the client never sees: closing a connection with unread bytes makes
# the system send a reset, which can overtake the response.
@async_test
async def test_bytes_after_an_error_do_not_reset_its_response() -> None:
    async with gateway_with_client(UNREACHABLE) as gateway:
        gateway.client.writer.write(
            gateway.client.encode_request(2, Content_Length=str(DISCARD_COUNT * MAX_DISCARDED_BYTES))
        )
        for _ in range(DISCARD_COUNT):
            gateway.client.writer.write(b"x" * MAX_DISCARDED_BYTES)
            await gateway.client.writer.drain()
        assert (await read_message(gateway.client.reader)).status == 413
        assert await gateway.client.reader.read() == b""
        assert not gateway.policy.events
        assert gateway.process.listener.budget.buffered_bytes == 0


# Guards against accepting a request whose response can no longer be sent.
@async_test
async def test_no_request_is_accepted_after_the_last_response(caplog: pytest.LogCaptureFixture) -> None:
    async with gateway_with_client(UNREACHABLE) as gateway:
        gateway.process.listener.connection_table.max_connections = 0
        gateway.client.writer.write(gateway.client.encode_request() + gateway.client.encode_request())
        assert (await read_message(gateway.client.reader)).status == 503
        assert await gateway.client.reader.read() == b""
        assert not gateway.policy.events
    assert not caplog.records
