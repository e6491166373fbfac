"""The socket of one client."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


class ClientSocket:
    """The transport of one client, and events that the system has and the event loop has not reported yet.

    Each method does nothing before the transport is attached and after it is detached.

    Attributes:
        transport: The transport; None before the connection is made and after it is lost.
    """

    __slots__ = ("_poll", "transport")

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._poll = select.poll()

    def attach(self, transport: asyncio.Transport) -> None:
        """Use a transport from now on."""
        self.transport = transport
        descriptor = transport.get_extra_info("socket").fileno()
        self._poll.register(descriptor, select.POLLIN | select.POLLRDHUP)

    def detach(self) -> None:
        """Forget the transport, whose connection is lost."""
        self.transport = None

    @property
    def is_attached(self) -> bool:
        """Whether the connection is made and not lost; it may be closing."""
        return self.transport is not None

    @property
    def is_open(self) -> bool:
        """Whether the connection is made and neither closing nor lost."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """How many written bytes are still in this process."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def has_unread_bytes(self) -> bool:
        """Return whether bytes of the client wait to be read."""
        return self._has_event(select.POLLIN)

    def has_peer_closed(self) -> bool:
        """Return whether the client has ended its sending."""
        return self._has_event(select.POLLRDHUP)

    def write(self, data: bytes) -> None:
        """Write bytes."""
        if self.transport is not None:
            self.transport.write(data)

    def write_eof(self) -> None:
        """End sending once all written bytes are sent."""
        if self.transport is not None:
            self.transport.write_eof()

    def pause_reading(self) -> None:
        """Read nothing from the client until reading is resumed."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read from the client again, unless the connection is closing."""
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
