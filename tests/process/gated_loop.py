"""An event loop that holds outgoing connections back until a test lets them open."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from gateway.process import GatewayProcess


class GatedLoop:
    """An event loop on which outgoing connections open only once `open` is set."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.connects, self.open = loop, 0, asyncio.Event()
        self.open_for = 0  # a port to which they open at once
        self.has_small_buffers = False  # whether the socket takes few bytes at a time

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, protocol: Any, host: str, port: int) -> Any:
        self.connects += 1
        if port != self.open_for:
            await self.open.wait()
        if not self.has_small_buffers:
            return await self.loop.create_connection(protocol, host, port)
        narrow = socket.socket()
        narrow.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        narrow.setblocking(False)
        await self.loop.sock_connect(narrow, (host, port))
        return await self.loop.create_connection(protocol, sock=narrow)


def gate_connections(gateway: GatewayProcess) -> GatedLoop:
    """Put a gated loop in the place of the one on which the gateway connects to endpoints."""
    gated_loop = GatedLoop(gateway.driver.upstream.loop)
    gateway.driver.upstream.loop = gated_loop  # type: ignore[assignment]
    return gated_loop
