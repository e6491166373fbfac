"""A client on a plain socket, and the bytes that it sends."""

from __future__ import annotations

import asyncio
import socket

from gateway.process import GatewayProcess
from tests.support.sockets import until


def connected(gateway: GatewayProcess) -> socket.socket:
    """Return a client's socket, which acts between two steps of the event loop."""
    assert gateway.listener.socket_server is not None
    client = socket.create_connection(gateway.listener.socket_server.sockets[0].getsockname())
    client.setblocking(False)
    return client


REQUEST = (
    b"GET /class-0?customer=0000000000000005 HTTP/1.1\r\nHost: x\r\nRequest-Class: class-0\r\n"
    b"X-Tier: plan-0\r\nRequest-Timeout: 4000m\r\nX-Call-Terms: units=1,spread=3,first=0\r\nRequest-Id: "
)


async def read_all(client: socket.socket) -> bytes:
    """Read until the gateway closes the connection."""
    loop, data = asyncio.get_running_loop(), b""
    while part := await loop.sock_recv(client, 1 << 16):
        data += part
    return data


async def send_four_requests(gateway: GatewayProcess, client: socket.socket, high: int | None = None) -> None:
    """Send four requests at once, on a connection whose socket buffers hold few bytes of the responses."""
    await until(lambda: gateway.listener.connection_table.connections)
    (served,) = gateway.listener.connection_table.connections
    transport = served.socket.transport
    assert transport is not None
    inner = transport.get_extra_info("socket")
    inner.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    asked = b"".join(REQUEST + b"%d\r\n\r\n" % number for number in range(4))
    transport.set_write_buffer_limits(high)
    await asyncio.get_running_loop().sock_sendall(client, asked)
