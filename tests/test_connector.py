"""The connector of outgoing connections, on loopback sockets."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, cast

import pytest

from gateway.address import Address, parse_address
from gateway.connector import OutgoingProtocol, connect
from testbed.fake_server import listening
from tests.support.event_loop import async_test

if TYPE_CHECKING:
    from collections.abc import Callable

TIMEOUT_SECONDS = 0.02


class RecordingProtocol(OutgoingProtocol, asyncio.Protocol):
    """Records the calls of the event loop, and runs a callback as the connection is made."""

    def __init__(self, on_made: Callable[[], object] = lambda: None) -> None:
        super().__init__()
        self.on_made = on_made
        self.events: list[str] = []
        self.transport: asyncio.Transport | None = None

    @property
    def has_transport(self) -> bool:
        return self.transport is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.events.append("made")
        self.transport = cast("asyncio.Transport", transport)  # uvloop's transports do not subclass it
        self.on_made()

    def connection_lost(self, _error: Exception | None) -> None:
        self.events.append("lost")
        self.transport = None


async def wait_for_end(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    """Serve a connection until its client closes it."""
    await reader.read()


async def connect_to_server(protocol: OutgoingProtocol) -> None:
    async with listening(wait_for_end) as address:
        loop = asyncio.get_running_loop()
        await connect(loop, protocol, parse_address(address), TIMEOUT_SECONDS)
        await asyncio.sleep(2 * TIMEOUT_SECONDS)


@async_test
async def test_a_connection_that_is_made_in_time_stays_open() -> None:
    protocol = RecordingProtocol()
    await connect_to_server(protocol)
    assert protocol.events == ["made"]


# Guards against a protocol that is never told that its connection was closed.
@async_test
async def test_a_connection_whose_timeout_passes_as_it_is_made_is_reported_as_lost_once() -> None:
    protocol = RecordingProtocol(lambda: time.sleep(2 * TIMEOUT_SECONDS))
    await connect_to_server(protocol)
    assert protocol.events == ["made", "lost"]


# As above, for a task that is cancelled in place of a timeout that passes.
@async_test
async def test_a_connection_that_is_cancelled_as_it_is_made_is_reported_as_lost_once() -> None:
    protocol = RecordingProtocol()
    task = asyncio.create_task(connect_to_server(protocol))
    protocol.on_made = task.cancel
    with pytest.raises(asyncio.CancelledError):
        await task
    assert protocol.events == ["made", "lost"]


# Guards against an attempt to connect that counts as failed after its connection was made and lost: its owner
# may have begun another attempt by then.
@async_test
async def test_a_connection_that_is_lost_as_its_timeout_passes_is_reported_as_lost_once() -> None:
    protocol = RecordingProtocol()

    def lose_connection() -> None:
        assert protocol.transport is not None
        protocol.transport.abort()
        time.sleep(2 * TIMEOUT_SECONDS)

    protocol.on_made = lose_connection
    await connect_to_server(protocol)
    assert protocol.events == ["made", "lost"]


@async_test
async def test_a_connection_that_is_refused_raises_an_error() -> None:
    protocol = RecordingProtocol()
    with pytest.raises(OSError, match="refused"):
        await connect(asyncio.get_running_loop(), protocol, Address("127.0.0.1", 1), TIMEOUT_SECONDS)
    assert protocol.events == []
