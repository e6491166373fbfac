"""The watch on one discovery agent: replaces a silent or failed connection by a new one."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from typing import Protocol

from gateway.address import Address
from gateway.backoff import Backoff
from gateway.discovery.connection_set import WatchConnectionSet
from gateway.discovery.endpoint_decoder import DecodedUpdate, EndpointDecoder
from gateway.discovery.errors import MalformedUpdateError
from gateway.discovery.watch_connection import WatchConnection, WatchState
from gateway.policy.events import EndpointUpdate, UpdateKind

SILENCE_TIMEOUT_SECONDS = 3.0  # a healthy agent sends a heartbeat every 2 s
MIN_RETRY_DELAY_SECONDS = 0.25  # between attempts; well within the time that an endpoint drains for
MAX_RETRY_DELAY_SECONDS = 0.5  # between attempts on an agent that responds
LASTING_ATTEMPT_SECONDS = 2 * MAX_RETRY_DELAY_SECONDS  # an attempt that lasted longer needs no backoff
MAX_CONNECTIONS = 8  # to one agent, as each takes a file descriptor

log = logging.getLogger(__name__)


class WatchOwner(Protocol):
    """What a watch needs of the client that it belongs to."""

    loop: asyncio.AbstractEventLoop
    decoder: EndpointDecoder

    def is_active(self, watch: AgentWatch) -> bool:
        """Return whether the client takes its updates from this watch."""
        ...

    def activate(self, watch: AgentWatch) -> None:
        """Take updates from this watch from now on, and close the ones before it."""
        ...

    def publish(self, decoded: DecodedUpdate) -> None:
        """Pass an update on to the policy."""
        ...


class AgentWatch:
    """Watches the agent at one address until it is closed.

    An agent that was cut off may never respond on connections made before its return, while an endpoint may
    drain for one second only.  A silent connection is therefore not waited for: new connections are attempted
    with a backoff until one brings the complete endpoint list and becomes the active one.  Until then the
    silent connection is still read.  The number of connections is bounded: at the bound the oldest attempt
    is abandoned, so that slow attempts do not prevent new ones.

    Attributes:
        address: Where the agent listens.
        version: That of the last update; each agent may count its versions on its own.
        connections: All open connections, the active one among them.
    """

    def __init__(self, owner: WatchOwner, address: Address) -> None:
        self.address = address
        self.version = -1
        self.connections = WatchConnectionSet(self, owner.loop, address, MAX_CONNECTIONS)
        self._owner = owner
        self._active: WatchConnection | None = None  # the one that brought the last complete list
        self._needs_resync = False  # whether a delta may be lost with what could not be read
        self._woken_up = asyncio.Event()
        self._supervisor = owner.loop.create_task(self._replace_silent_connections())

    async def _replace_silent_connections(self) -> None:
        """Attempt new connections while the active one is silent, closed or needs a resync; never returns."""
        backoff = Backoff(MIN_RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS)
        attempted_at = 0.0
        newest: WatchConnection | None = None
        while True:
            seconds = self._seconds_until_silent()
            if seconds > 0:
                await self._wait_until_woken_up(seconds)
                continue
            has_lasted = time.monotonic() - attempted_at > LASTING_ATTEMPT_SECONDS
            if self._is_responding(newest) and not has_lasted:
                backoff.lengthen()  # an agent that responds gets fewer attempts
            else:
                backoff.reset()
            newest = self.connections.open(kept=self._active)
            attempted_at = time.monotonic()
            await asyncio.sleep(backoff.seconds)

    def _seconds_until_silent(self) -> float:
        """Return for how long the active connection needs no replacement; 0 or less if it needs one now."""
        active = self._active
        if active is None or active.state is WatchState.CLOSED or self._needs_resync:
            return 0.0
        return active.last_received_at + SILENCE_TIMEOUT_SECONDS - time.monotonic()

    async def _wait_until_woken_up(self, timeout_seconds: float) -> None:
        self._woken_up.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                await self._woken_up.wait()

    def _is_responding(self, newest: WatchConnection | None) -> bool:
        """Return whether any byte came on an attempt that is open, or on the newest attempt."""
        attempts = [connection for connection in self.connections if connection is not self._active]
        if newest is not None:
            attempts.append(newest)
        return any(connection.has_received for connection in attempts)

    def accept_snapshot(self, connection: WatchConnection, document: bytes) -> bool:
        """Make a connection the active one if the document is a complete endpoint list; return whether it is.

        All other connections are closed: a list that is still coming on one of them was made before this one
        and must not replace it.
        """
        decoded = self._decode(document)
        if decoded is None or decoded.update.kind is not UpdateKind.SNAPSHOT:
            return False
        self._active = connection
        self._needs_resync = False
        self.connections.abandon_all(kept=connection)
        self._owner.activate(self)
        self._publish(decoded)
        return True

    def apply_update(self, connection: WatchConnection, document: bytes) -> bool:
        """Publish an update that came on the active connection.

        Return false if it is malformed, or an endpoint list older than the known one: such a list may be from
        an agent that has begun to count its versions anew.
        """
        is_superseded = connection is not self._active or not self._owner.is_active(self)
        if is_superseded:
            return True
        decoded = self._decode(document)
        if decoded is None:
            return False
        if self._is_outdated(decoded.update):
            return decoded.update.kind is UpdateKind.DELTA
        self._publish(decoded)
        return True

    def _is_outdated(self, update: EndpointUpdate) -> bool:
        """Return whether an update is known already; a list of the known version may still differ."""
        if update.kind is UpdateKind.DELTA:
            return update.version <= self.version
        return update.version < self.version

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
        """Fetch the complete list again on another connection; this one is read until that has come."""
        if connection is self._active:
            self._needs_resync = True
            self.wake_up()

    def wake_up(self) -> None:
        """Have the supervisor look at the active connection again."""
        self._woken_up.set()

    def close(self) -> None:
        """Stop watching and close all connections."""
        self._supervisor.cancel()
        self.connections.abandon_all()
