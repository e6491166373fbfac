"""The transport of one connection to the counter, as asyncio reports it."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from gateway.connector import OutgoingProtocol


class TransportObserver(Protocol):
    """What is notified of the events of a transport."""

    def transport_opened(self) -> None:
        """Handle that the transport is open."""
        ...

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        ...

    def transport_lost(self) -> None:
        """Handle that the transport is closed."""
        ...


class CounterTransport(OutgoingProtocol, asyncio.Protocol):
    """One transport to the counter; it notifies its observer until it is lost or discarded.

    The event loop calls the methods of `asyncio.Protocol`.

    Attributes:
        has_unsent_bytes: Whether written bytes remain in the transport's buffer.
    """

    def __init__(self, observer: TransportObserver) -> None:
        super().__init__()
        self.has_unsent_bytes = False
        self._observer: TransportObserver | None = observer
        self._transport: asyncio.Transport | None = None

    @property
    def has_transport(self) -> bool:
        """Whether `connection_made` was called, and `connection_lost` was not called since."""
        return self._transport is not None

    @property
    def is_writable(self) -> bool:
        """Whether the transport is open and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def write(self, data: bytes) -> None:
        """Write bytes; only allowed while `is_writable`."""
        assert self._transport is not None
        self._transport.write(data)

    def abort(self) -> None:
        """Close the transport immediately, if it is open; the observer is notified later."""
        if self._transport is not None:
            self._transport.abort()

    def discard(self) -> None:
        """Close the transport immediately, without notifying the observer of anything more."""
        self._observer = None
        self.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notify the observer that the transport is open; close it if it was discarded before."""
        super().connection_made(transport)
        self._transport = cast("asyncio.Transport", transport)  # uvloop's transports do not subclass it
        self._transport.set_write_buffer_limits(high=0)  # any unsent byte triggers pause_writing
        if self._observer is None:
            self.abort()
        else:
            self._observer.transport_opened()

    def pause_writing(self) -> None:
        """Record that some written bytes are not sent yet."""
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        """Record that all written bytes are sent."""
        self.has_unsent_bytes = False

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the observer."""
        if self._observer is not None:
            self._observer.data_received(data)

    def connection_lost(self, _error: Exception | None) -> None:
        """Notify the observer that the transport is closed."""
        self._transport = None
        observer = self._observer
        self._observer = None
        if observer is not None:
            observer.transport_lost()
