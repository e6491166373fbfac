"""Invalid requests and the bytes that follow them, over loopback sockets."""

from __future__ import annotations

import gc
import weakref
from typing import TYPE_CHECKING

import pytest

from gateway.frontend.discard_budget import READS_PER_INTERVAL, DiscardBudget
from gateway.read_scheduler import BULK_READ_BYTES, READ_BYTES
from testbed.http_messages import read_message
from tests.support.event_loop import async_test, until
from tests.support.gateway import UNREACHABLE, GatewayWithClient, gateway_with_client

if TYPE_CHECKING:
    from gateway.frontend.client_connection import ClientConnection

DISCARDED_BYTES = READS_PER_INTERVAL * BULK_READ_BYTES  # that are read in one interval
DISCARD_COUNT = 20  # number of times that the client sends them
GRANTED_READS = 3


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
            gateway.client.encode_request(2, Content_Length=str(DISCARD_COUNT * DISCARDED_BYTES))
        )
        for _ in range(DISCARD_COUNT):
            gateway.client.writer.write(b"x" * DISCARDED_BYTES)
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


async def rejected_connection(gateway: GatewayWithClient) -> ClientConnection:
    assert (await gateway.client.send(b"nonsense\r\n\r\n")).status == 400
    (connection,) = gateway.process.listener.connection_table.connections
    return connection


def is_reading(connection: ClientConnection) -> bool:
    assert connection.socket.transport is not None
    return connection.socket.transport.is_reading()


# Guards against rejected clients that keep the event loop busy with what they go on to send (review case 6).
@async_test
async def test_a_rejected_connection_reads_no_more_than_its_share() -> None:
    async with gateway_with_client(UNREACHABLE) as gateway:
        connection = await rejected_connection(gateway)
        assert is_reading(connection)
        connection.parse(b"x")
        assert not is_reading(connection)
        connection.discard_share.reads_left = GRANTED_READS
        connection.update_reading()
        for _ in range(GRANTED_READS - 1):
            connection.parse(b"x")
        assert is_reading(connection)
        connection.parse(b"x")
        assert not is_reading(connection)


@async_test
async def test_all_rejected_connections_share_one_number_of_reads() -> None:
    async with gateway_with_client(UNREACHABLE) as gateway:
        connection = await rejected_connection(gateway)
        connection.discard_share.reads_left = 2 * READS_PER_INTERVAL
        assert len(connection.get_buffer(-1)) == BULK_READ_BYTES
        for _ in range(READS_PER_INTERVAL):
            connection.parse(b"x")
        assert not is_reading(connection)
        assert len(connection.get_buffer(-1)) == READ_BYTES


# Guards against memory for clients that come and go faster than they get their turn to be read.
@async_test
async def test_a_lost_connection_waits_for_no_further_share(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(DiscardBudget, "_start_interval", lambda _: None)  # no connection gets its turn
    async with gateway_with_client(UNREACHABLE) as gateway:
        connection = await rejected_connection(gateway)
        connection.parse(b"x")
        connection.abort()
        connections = gateway.process.listener.connection_table.connections
        await until(lambda: not connections)
        remaining = weakref.ref(connection)
        del connection
        gc.collect()
        assert remaining() is None


@async_test
async def test_a_rejected_client_that_closes_is_not_polled() -> None:
    async with gateway_with_client(UNREACHABLE) as gateway:
        connection = await rejected_connection(gateway)
        connection.parse(b"x")
        assert connection not in gateway.process.listener.connection_table.paused
