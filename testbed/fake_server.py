"""Base of the fake endpoint, counter and discovery agent: a server on a loopback socket."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

LOOPBACK = "127.0.0.1"

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def listening(handler: Handler) -> AsyncIterator[str]:
    """Serve connections with a handler while the context is open; yields the address."""
    tasks: set[asyncio.Task[Any]] = set()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            await handler(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            tasks.discard(task)
            writer.close()

    server = await asyncio.start_server(handle, LOOPBACK, 0)
    try:
        yield f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
        for task in list(tasks):
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@dataclass
class FakeServer:
    """Serves each connection with the method `serve` of a subclass, and counts connections.

    Attributes:
        accepted_connections: Number of connections accepted so far.
        open_connections: Number of connections that are being served.
    """

    accepted_connections: int = field(default=0, init=False)
    open_connections: int = field(default=0, init=False)

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Count and serve a connection."""
        self.accepted_connections += 1
        self.open_connections += 1
        try:
            await self.serve(reader, writer)
        finally:
            self.open_connections -= 1

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection until its client closes it."""
        raise NotImplementedError


async def server_address(stack: contextlib.AsyncExitStack, server: FakeServer | Handler | str) -> str:
    """Return the address of a server, which runs until the stack is closed; return a string unchanged."""
    if isinstance(server, str):
        return server
    handler = server.handle if isinstance(server, FakeServer) else server
    return await stack.enter_async_context(listening(handler))
