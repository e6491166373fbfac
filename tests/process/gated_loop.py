"""An event loop that delays outgoing connections until a test permits them."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from gateway.process import GatewayProcess

SMALL_BUFFER_BYTES = 4096


class GatedLoop:
    """An event loop that opens outgoing connections only once they are permitted.

    Attributes:
        loop: The event loop that opens the connections.
        connect_count: Number of connections that were requested so far.
        all_permitted: Set by the test to permit all connections.
        permitted_port: Connections to this port are not delayed; 0 for none.
        has_small_buffers: Whether the connections get small send buffers.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.connect_count = 0
        self.all_permitted = asyncio.Event()
        self.permitted_port = 0
        self.has_small_buffers = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, protocol: Any, host: str, port: int) -> Any:
        self.connect_count += 1
        if port != self.permitted_port:
            await self.all_permitted.wait()
        if not self.has_small_buffers:
            return await self.loop.create_connection(protocol, host, port)
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        client.settimeout(0.0)
        await self.loop.sock_connect(client, (host, port))
        return await self.loop.create_connection(protocol, sock=client)


def gate_connections(gateway: GatewayProcess) -> GatedLoop:
    """Replace the event loop on which the gateway connects to endpoints with a gated loop."""
    gated_loop = GatedLoop(gateway.driver.upstream.loop)
    gateway.driver.upstream.loop = gated_loop  # type: ignore[assignment]
    return gated_loop
