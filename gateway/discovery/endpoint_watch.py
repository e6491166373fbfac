"""The watch on one discovery agent: replaces a silent or failed connection by a new one."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from typing import Protocol

from gateway.address import Address
from gateway.discovery.endpoint_decoder import DecodedUpdate, EndpointDecoder
from gateway.discovery.errors import MalformedUpdateError
from gateway.discovery.watch_connection import WatchConnection, WatchState
from gateway.policy.events import UpdateKind

SILENCE_TIMEOUT_SECONDS = 3.0  # a healthy agent sends a heartbeat every 2 s
# Delay between attempts, well within the time an endpoint drains for.  After a silence four attempts may
# fail, and the fifth still brings a change within the 6 s in which it has to be known.
MIN_RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS = 0.25, 0.5
ATTEMPT_IDLE_TIMEOUT_SECONDS = 1.0  # without a byte; short, as the agent is on this machine
SNAPSHOT_TIMEOUT_SECONDS = 5.0  # in which an attempt has to bring its complete list
# Connections to one agent, as they take file descriptors: the active one, and attempts for 3 s at that pace.
MAX_CONNECTIONS = 8

log = logging.getLogger(__name__)


class WatchOwner(Protocol):
    """What a watch needs of the client that it belongs to."""

    loop: asyncio.AbstractEventLoop
    decoder: EndpointDecoder

    def is_active(self, watch: AgentWatch) -> bool:
        """Whether the client takes its updates from this watch."""
        ...

    def activate(self, watch: AgentWatch) -> None:
        """Take updates from this watch from now on, and close the ones before it."""
        ...

    def publish(self, decoded: DecodedUpdate) -> None:
        """Pass an update on."""
        ...


class AgentWatch:
    """Watches the agent at one address until it is closed.

    An agent that was cut off may never respond on connections made before its return, while an endpoint may
    drain for one second only.  So a silent connection is not waited for: new connections are attempted at the
    pace of the retry delay until one brings the complete list and becomes the active one.  Until then the
    silent connection is still read.  The number of connections is bounded: at the bound the oldest attempt
    gives way, so that slow ones do not keep new ones from being made.
    """

    def __init__(self, owner: WatchOwner, address: Address) -> None:
        self.address = address
        self.version = -1  # of the last update; each agent may count on its own
        self.connections: dict[WatchConnection, asyncio.Task[None]] = {}  # all open ones, oldest first
        self._owner = owner
        self._active: WatchConnection | None = None  # the one that brought the last complete list
        self._needs_resync = False  # whether a change may be lost with what could not be read
        self._connections_changed = asyncio.Event()
        self._supervisor = owner.loop.create_task(self._replace_silent_connections())

    async def _replace_silent_connections(self) -> None:
        """Attempt new connections while the active one is silent, closed or needs a resync; never returns."""
        delay = MIN_RETRY_DELAY_SECONDS
        attempted_at = 0.0
        newest: WatchConnection | None = None
        while True:
            if (seconds := self._seconds_until_silent()) > 0:
                await self._wait_for_connections_change(seconds)
                continue
            lasted = time.monotonic() - attempted_at > 2 * MAX_RETRY_DELAY_SECONDS
            if self._is_responding(newest) and not lasted:
                delay = min(MAX_RETRY_DELAY_SECONDS, 2 * delay)  # an agent that responds gets fewer attempts
            else:
                delay = MIN_RETRY_DELAY_SECONDS
            newest = self._attempt_connection()
            attempted_at = time.monotonic()
            await asyncio.sleep(delay)

    def _seconds_until_silent(self) -> float:
        """For how long the active connection needs no replacement; 0 or less if it needs one now."""
        active = self._active
        if active is None or active.state is WatchState.CLOSED or self._needs_resync:
            return 0.0
        return active.last_received_at + SILENCE_TIMEOUT_SECONDS - time.monotonic()

    async def _wait_for_connections_change(self, timeout_seconds: float) -> None:
        self._connections_changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                await self._connections_changed.wait()

    def _is_responding(self, newest: WatchConnection | None) -> bool:
        """Whether anything came on an attempt that is open, or on the newest one."""
        attempts = [connection for connection in self.connections if connection is not self._active]
        if newest is not None:
            attempts.append(newest)
        return any(connection.has_received for connection in attempts)

    def _attempt_connection(self) -> WatchConnection:
        while len(self.connections) >= MAX_CONNECTIONS:
            self._abandon(next(oldest for oldest in self.connections if oldest is not self._active))
        connection = WatchConnection(self, self._owner.loop)
        self.connections[connection] = task = self._owner.loop.create_task(self._run_connection(connection))
        task.add_done_callback(lambda _: self.connections.pop(connection, None))
        return connection

    async def _run_connection(self, connection: WatchConnection) -> None:
        """Connect and wait until the connection has ended, or is too slow with its complete list."""
        started_at = time.monotonic()
        host, port = self.address.host, self.address.port
        try:
            async with asyncio.timeout(ATTEMPT_IDLE_TIMEOUT_SECONDS):
                await self._owner.loop.create_connection(lambda: connection, host, port)
            while connection.state is WatchState.FETCHING_SNAPSHOT:
                idle_deadline = connection.last_received_at + ATTEMPT_IDLE_TIMEOUT_SECONDS
                seconds = min(idle_deadline, started_at + SNAPSHOT_TIMEOUT_SECONDS) - time.monotonic()
                if seconds <= 0:
                    return
                await asyncio.wait([connection.closed], timeout=seconds)
            await connection.closed
        except (OSError, TimeoutError):
            return
        finally:
            connection.abort()

    def _abandon(self, connection: WatchConnection) -> None:
        connection.abort()  # nothing that comes on it from now on is read
        self.connections.pop(connection).cancel()

    def accept_snapshot(self, connection: WatchConnection, document: bytes) -> bool:
        """Make a connection the active one if the document is a complete list; close all the others."""
        decoded = self._decode(document)
        if decoded is None or decoded.update.kind is not UpdateKind.SNAPSHOT:
            return False
        self._active, self._needs_resync = connection, False
        # A list that is still coming on another connection was made before this one: it must not replace it.
        for other in [other for other in self.connections if other is not connection]:
            self._abandon(other)
        self._owner.activate(self)
        self._publish(decoded)
        return True

    def apply_change(self, connection: WatchConnection, document: bytes) -> bool:
        """Publish an update of the active connection; return false if it is malformed or an outdated list."""
        if connection is not self._active or not self._owner.is_active(self):
            return True  # another has taken over
        decoded = self._decode(document)
        if decoded is None:
            return False
        update = decoded.update
        is_delta = update.kind is UpdateKind.DELTA
        if update.version < self.version or (is_delta and update.version == self.version):
            return is_delta  # a known change; but an older list may be from an agent that counts anew
        self._publish(decoded)
        return True

    def _decode(self, document: bytes) -> DecodedUpdate | None:
        try:
            return self._owner.decoder.decode_document(document)
        except MalformedUpdateError as error:
            log.warning("discovery: update skipped: %s", error)
            return None

    def _publish(self, decoded: DecodedUpdate) -> None:
        self.version = decoded.update.version
        self._owner.publish(decoded)

    def request_resync(self, connection: WatchConnection) -> None:
        """Fetch the complete list again on another connection; this one is read until that is there."""
        if connection is self._active:
            self._needs_resync = True
            self.wake_up()

    def wake_up(self) -> None:
        """Have the supervisor look at the active connection again."""
        self._connections_changed.set()

    def close(self) -> None:
        """Stop watching and close all connections."""
        self._supervisor.cancel()
        for connection in list(self.connections):
            self._abandon(connection)
