"""A client that uses a plain socket, so that a test controls each read and write."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

from tests.support.event_loop import until

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gateway.process import GatewayProcess

SMALL_BUFFER_BYTES = 4096
READ_BYTES = 1 << 16
REQUEST_HEAD = (
    b"GET /class-0?customer=0000000000000005 HTTP/1.1\r\nHost: x\r\nRequest-Class: class-0\r\n"
    b"X-Tier: plan-0\r\nRequest-Timeout: 4000m\r\nX-Call-Terms: units=1,spread=3,first=0\r\nRequest-Id: "
)


def raw_request(request_id: bytes) -> bytes:
    """Return the bytes of a request."""
    return REQUEST_HEAD + request_id + b"\r\n\r\n"


@contextlib.contextmanager
def connected_socket(gateway: GatewayProcess) -> Iterator[socket.socket]:
    """Connect a non-blocking socket, on which a test can act without giving the event loop a turn."""
    server = gateway.listener.acceptor.server
    assert server is not None
    address = server.sockets[0].getsockname()
    with socket.create_connection(address) as client:
        client.settimeout(0.0)
        yield client


async def read_some(client: socket.socket) -> bytes:
    """Read the next available bytes; the result is empty once the connection is closed."""
    return await asyncio.get_running_loop().sock_recv(client, READ_BYTES)


async def read_all(client: socket.socket) -> bytes:
    """Read until the gateway closes the connection."""
    data = b""
    while part := await read_some(client):
        data += part
    return data


async def read_until(client: socket.socket, expected: bytes) -> bytes:
    """Read until the received bytes contain the expected ones."""
    data = b""
    while expected not in data:
        part = await read_some(client)
        assert part, "closed without a response"
        data += part
    return data


async def send(client: socket.socket, data: bytes) -> None:
    """Send all bytes."""
    await asyncio.get_running_loop().sock_sendall(client, data)


async def send_four_requests(
    gateway: GatewayProcess, client: socket.socket, high_water_bytes: int | None = None
) -> None:
    """Send four pipelined requests, on a connection with small socket buffers for the responses.

    Args:
        gateway: The gateway; this is its only client connection.
        client: The client's socket.
        high_water_bytes: High-water mark of the gateway's write buffer; None for the default.
    """
    connections = gateway.listener.connection_table.connections
    await until(lambda: connections)
    (connection,) = connections
    transport = connection.socket.transport
    assert transport is not None
    gateway_socket = transport.get_extra_info("socket")
    gateway_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    transport.set_write_buffer_limits(high_water_bytes)
    await send(client, b"".join(raw_request(b"%d" % number) for number in range(4)))
