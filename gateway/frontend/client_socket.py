"""The socket of a client connection."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


class ClientSocket:
    """The transport of a client connection, which can also poll the socket itself.

    Polling finds unread bytes and a shutdown by the peer before the event loop reports them.  Each method
    does nothing before the transport is attached and after it is detached.

    Attributes:
        transport: The transport; None before the connection is made and after it is lost.
    """

    __slots__ = ("_poll", "transport")

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._poll = select.poll()

    def attach(self, transport: asyncio.Transport) -> None:
        """Set the transport of a new connection."""
        self.transport = transport
        descriptor = transport.get_extra_info("socket").fileno()
        self._poll.register(descriptor, select.POLLIN | select.POLLRDHUP)

    def detach(self) -> None:
        """Remove the transport after its connection is lost."""
        self.transport = None

    @property
    def is_attached(self) -> bool:
        """Whether the connection exists; it may be closing."""
        return self.transport is not None

    @property
    def is_open(self) -> bool:
        """Whether the connection exists and is not closing."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """The number of written bytes that are not handed to the system yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def has_unread_bytes(self) -> bool:
        """Return whether the system has received bytes that are not read yet."""
        return self._has_event(select.POLLIN)

    def has_peer_closed(self) -> bool:
        """Return whether the client has shut down its sending side or the whole connection."""
        return self._has_event(select.POLLRDHUP)

    def write(self, data: bytes) -> None:
        """Write bytes."""
        if self.transport is not None:
            self.transport.write(data)

    def write_eof(self) -> None:
        """Shut down the sending side once all written bytes are sent."""
        if self.transport is not None:
            self.transport.write_eof()

    def pause_reading(self) -> None:
        """Stop reading from the client until reading is resumed."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading from the client, unless the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def close(self) -> None:
        """Close the connection once all written bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once; unsent bytes are lost."""
        if self.transport is not None:
            self.transport.abort()

    def _has_event(self, event: int) -> bool:
        if self.transport is None or self.transport.is_closing():
            return False
        return any(found & event for _, found in self._poll.poll(0))
