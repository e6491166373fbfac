"""Accepts client connections, several in one iteration of the event loop if more than one waits."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from gateway.address import Address

BACKLOG = 1024  # connections that the system queues until they are accepted
LONG_ITERATION_SECONDS = 0.002
MAX_ACCEPTS = 64  # further connections that are accepted in one iteration of the event loop


class Acceptor:
    """Accepts connections on one address.

    The event loop accepts only one connection in each of its iterations, so while iterations are long, a new
    client would wait for all that have connected before it.  When the loop accepts a connection after some
    time, the others that wait are therefore accepted too.  Not more of them than may be served: beyond that,
    each connection evicts another one, which may be about to send its request.

    Attributes:
        server: The event loop's server; None before `start`.
    """

    def __init__(
        self, create_protocol: Callable[[], asyncio.BaseProtocol], count_spare_connections: Callable[[], int]
    ) -> None:
        """Create the acceptor.

        Args:
            create_protocol: Returns the protocol of a new connection.
            count_spare_connections: Returns how many more connections may be served.
        """
        self.server: asyncio.Server | None = None
        self._create_protocol = create_protocol
        self._count_spare_connections = count_spare_connections
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._last_accept_at = 0.0  # by the event loop, in monotonic seconds
        self._tasks: set[asyncio.Task[object]] = set()

    async def start(self, address: Address) -> None:
        """Start to accept connections.

        Raises:
            OSError: The address is not available.
        """
        self._socket = _bound_socket(address)
        self.server = await self._loop.create_server(
            self._create_first_protocol, sock=self._socket, backlog=BACKLOG
        )

    def stop(self) -> None:
        """Stop accepting connections."""
        self._socket = None
        if self.server is not None:
            self.server.close()

    def _create_first_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol of a connection that the event loop has accepted; called by it."""
        now = time.monotonic()
        if now - self._last_accept_at >= LONG_ITERATION_SECONDS:
            self._loop.call_soon(self._accept_waiting)
        self._last_accept_at = now
        return self._create_protocol()

    def _accept_waiting(self) -> None:
        """Accept the connections that wait, up to the limits."""
        if self._socket is None:
            return
        spare = self._count_spare_connections() - len(self._tasks)
        for _ in range(min(MAX_ACCEPTS, spare)):
            try:
                accepted, _address = self._socket.accept()
            except OSError:  # none waits, or no descriptor is left; the event loop reports the latter
                return
            self._connect(accepted)

    def _connect(self, accepted: socket.socket) -> None:
        """Pass an accepted connection to the event loop."""
        task = self._loop.create_task(self._loop.connect_accepted_socket(self._create_protocol, accepted))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _bound_socket(address: Address) -> socket.socket:
    """Return a socket that is bound to an address and does not listen yet."""
    infos = socket.getaddrinfo(address.host, address.port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
    family, socket_type, protocol, _name, socket_address = infos[0]
    bound = socket.socket(family, socket_type, protocol)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.setblocking(False)  # noqa: FBT003  # the method takes it by position only
        bound.bind(socket_address)
    except OSError:
        bound.close()
        raise
    return bound
