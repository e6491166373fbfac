"""An event loop that holds outgoing connections back until a test lets them open."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from gateway.process import GatewayProcess

SMALL_BUFFER_BYTES = 4096


class GatedLoop:
    """An event loop on which outgoing connections open only once `open` is set.

    Attributes:
        connects: How many connections were asked for.
        open: Lets all connections open.
        open_for: A port to which connections open at once.
        has_small_buffers: Whether the sockets take few bytes at a time.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.connects = 0
        self.open = asyncio.Event()
        self.open_for = 0
        self.has_small_buffers = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, protocol: Any, host: str, port: int) -> Any:
        self.connects += 1
        if port != self.open_for:
            await self.open.wait()
        if not self.has_small_buffers:
            return await self.loop.create_connection(protocol, host, port)
        narrow = socket.socket()
        narrow.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        narrow.settimeout(0.0)
        await self.loop.sock_connect(narrow, (host, port))
        return await self.loop.create_connection(protocol, sock=narrow)


def gate_connections(gateway: GatewayProcess) -> GatedLoop:
    """Replace the loop on which the gateway connects to endpoints by a gated one."""
    gated_loop = GatedLoop(gateway.driver.upstream.loop)
    gateway.driver.upstream.loop = gated_loop  # type: ignore[assignment]
    return gated_loop
