"""A client on a plain socket, and the bytes that it sends."""

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
def connected(gateway: GatewayProcess) -> Iterator[socket.socket]:
    """Connect a client's socket, which acts between two steps of the event loop."""
    assert gateway.listener.socket_server is not None
    address = gateway.listener.socket_server.sockets[0].getsockname()
    with socket.create_connection(address) as client:
        client.settimeout(0.0)
        yield client


async def read_some(client: socket.socket) -> bytes:
    """Read the bytes that come next; none once the connection is closed."""
    return await asyncio.get_running_loop().sock_recv(client, READ_BYTES)


async def read_all(client: socket.socket) -> bytes:
    """Read until the gateway closes the connection."""
    data = b""
    while part := await read_some(client):
        data += part
    return data


async def read_until(client: socket.socket, end: bytes) -> bytes:
    """Read until the bytes contain an end."""
    data = b""
    while end not in data:
        part = await read_some(client)
        assert part, "closed without a response"
        data += part
    return data


async def send(client: socket.socket, data: bytes) -> None:
    """Send all bytes."""
    await asyncio.get_running_loop().sock_sendall(client, data)


async def send_four_requests(gateway: GatewayProcess, client: socket.socket, high: int | None = None) -> None:
    """Send four requests at once, on a connection whose socket buffers hold few bytes of the responses.

    Args:
        gateway: Serves the client's connection, and no other one.
        client: The client's socket.
        high: High-water mark in bytes of what the gateway writes; None for the default.
    """
    connections = gateway.listener.connection_table.connections
    await until(lambda: connections)
    (served,) = connections
    transport = served.socket.transport
    assert transport is not None
    served_socket = transport.get_extra_info("socket")
    served_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    transport.set_write_buffer_limits(high)
    await send(client, b"".join(raw_request(b"%d" % number) for number in range(4)))
