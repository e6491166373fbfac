"""The watch on one discovery agent: which connection is active, and which of its updates count."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Protocol

from gateway.discovery.connection_set import WatchConnectionSet
from gateway.discovery.errors import MalformedUpdateError
from gateway.discovery.watch_connection import WatchConnection, WatchState
from gateway.discovery.watch_supervisor import WatchSupervisor
from gateway.policy.events import EndpointUpdate, UpdateKind

if TYPE_CHECKING:
    import asyncio

    from gateway.address import Address
    from gateway.discovery.endpoint_decoder import DecodedUpdate, EndpointDecoder

SILENCE_TIMEOUT_SECONDS = 3.0  # a healthy agent sends a heartbeat every 2 s
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
        active_connection: The connection that brought the last complete list; None before the first.
    """

    def __init__(self, owner: WatchOwner, address: Address) -> None:
        self.address = address
        self.version = -1
        self.connections = WatchConnectionSet(self, owner.loop, address, MAX_CONNECTIONS)
        self.active_connection: WatchConnection | None = None
        self._owner = owner
        self._needs_resync = False  # whether a delta may be lost with what could not be read
        self._supervisor = WatchSupervisor(self, self.connections, owner.loop)

    def seconds_until_silent(self) -> float:
        """Return for how long the active connection needs no replacement; 0 or less if it needs one now."""
        active = self.active_connection
        if active is None or active.state is WatchState.CLOSED or self._needs_resync:
            return 0.0
        return active.last_received_at + SILENCE_TIMEOUT_SECONDS - time.monotonic()

    def accept_snapshot(self, connection: WatchConnection, document: bytes) -> bool:
        """Make a connection the active one if the document is a complete endpoint list; return whether it is.

        All other connections are closed: a list that is still coming on one of them was made before this one
        and must not replace it.
        """
        decoded = self._decode(document)
        if decoded is None or decoded.update.kind is not UpdateKind.SNAPSHOT:
            return False
        self.active_connection = connection
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
        is_superseded = connection is not self.active_connection or not self._owner.is_active(self)
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
        if connection is self.active_connection:
            self._needs_resync = True
            self.wake_up()

    def wake_up(self) -> None:
        """Have the supervisor look at the active connection again."""
        self._supervisor.wake_up()

    def close(self) -> None:
        """Stop watching and close all connections."""
        self._supervisor.close()
        self.connections.abandon_all()
