"""Opens outgoing connections with a timeout."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gateway.address import Address


class OutgoingProtocol(asyncio.BaseProtocol):
    """Base of the protocols of outgoing connections; each object serves one connection.

    A subclass also inherits from `asyncio.Protocol` or `asyncio.BufferedProtocol`.

    Attributes:
        was_made: Whether `connection_made` was called.
    """

    __slots__ = ("was_made",)

    def __init__(self) -> None:
        super().__init__()
        self.was_made = False

    def connection_made(self, _transport: asyncio.BaseTransport) -> None:
        """Record that the connection was made; a method that overrides this one calls it."""
        self.was_made = True

    @property
    def has_transport(self) -> bool:
        """Whether `connection_made` was called, and `connection_lost` was not called since."""
        raise NotImplementedError


async def connect(
    loop: asyncio.AbstractEventLoop, protocol: OutgoingProtocol, address: Address, timeout_seconds: float
) -> None:
    """Open a connection and return once `connection_made` was called; the connection may be lost by then.

    If the timeout passes, or the task is cancelled, while the event loop reports the connection as made,
    uvloop closes the transport and never calls `connection_lost`.  It is then called here, so that a
    protocol that was told of its connection is always told of its end.  A connection that was made is
    never reported as failed, also if it was lost before the timeout took effect.

    Raises:
        OSError: The connection failed before it was made.
        TimeoutError: The timeout passed before the connection was made.
    """
    try:
        async with asyncio.timeout(timeout_seconds):
            await loop.create_connection(lambda: protocol, address.host, address.port)
    except (OSError, TimeoutError) as error:
        if not protocol.was_made:
            raise
        if protocol.has_transport:
            protocol.connection_lost(error)
    except asyncio.CancelledError:
        if protocol.has_transport:
            protocol.connection_lost(None)
        raise
