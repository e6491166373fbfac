"""The watch on one discovery agent: chooses the active connection, and filters out outdated updates."""

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
MAX_CONNECTIONS = 8  # to one agent; bounds the file descriptors in use

log = logging.getLogger(__name__)


class WatchOwner(Protocol):
    """What a watch needs from the client that it belongs to."""

    loop: asyncio.AbstractEventLoop
    decoder: EndpointDecoder

    def is_active(self, watch: AgentWatch) -> bool:
        """Return whether the client passes on the updates of this watch."""
        ...

    def activate(self, watch: AgentWatch) -> None:
        """Make a watch the active one, and close the watch that it replaces."""
        ...

    def publish(self, decoded: DecodedUpdate) -> None:
        """Pass an update to the policy."""
        ...


class AgentWatch:
    """Watches the agent at one address until it is closed.

    After a network partition an agent may never respond on connections made before or during it, and an
    endpoint may drain for only one second.  When the active connection is silent, new connections are
    therefore attempted with a backoff until one of them receives a snapshot and becomes the active one; until
    then, updates on the silent connection are still applied.  At the bound on the number of connections, the
    oldest attempt is closed, so that slow attempts do not prevent new ones.

    Attributes:
        address: The agent's address.
        version: The version of the last published update; versions of different agents are not comparable.
        connections: All connections, including the active one.
        active_connection: The connection that received the last snapshot; None before the first one.
    """

    def __init__(self, owner: WatchOwner, address: Address) -> None:
        self.address = address
        self.version = -1
        self.connections = WatchConnectionSet(self, owner.loop, address, MAX_CONNECTIONS)
        self.active_connection: WatchConnection | None = None
        self._owner = owner
        self._needs_resync = False  # whether a new snapshot must be fetched
        self._supervisor = WatchSupervisor(self, self.connections, owner.loop)

    def seconds_until_replacement(self) -> float:
        """Return the seconds until the active connection needs a replacement; 0 or less if it does now."""
        active = self.active_connection
        if active is None or active.state is WatchState.CLOSED or self._needs_resync:
            return 0.0
        return active.last_received_at + SILENCE_TIMEOUT_SECONDS - time.monotonic()

    def accept_snapshot(self, connection: WatchConnection, document: bytes) -> bool:
        """Publish a snapshot and make its connection the active one.

        All other connections are closed: a snapshot that is still being received on one of them may be older
        and must not replace this one.  Returns false, and changes nothing, if the document is not a snapshot.
        """
        decoded = self._decode(document)
        if decoded is None or decoded.update.kind is not UpdateKind.SNAPSHOT:
            return False
        self.active_connection = connection
        self._needs_resync = False
        self.connections.close_all(keep=connection)
        self._owner.activate(self)
        self._publish(decoded)
        return True

    def apply_update(self, connection: WatchConnection, document: bytes) -> bool:
        """Publish an update received on the active connection, unless it is outdated.

        Returns false if a new snapshot must be fetched: the update is malformed, or it is a snapshot of an
        older version, as an agent that restarts its version numbers may send.
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
        """Return whether an update is outdated; a snapshot of the current version is not: it may differ."""
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
        """Fetch a snapshot on a new connection; the active one is read until the snapshot is received."""
        if connection is self.active_connection:
            self._needs_resync = True
            self.wake_up()

    def wake_up(self) -> None:
        """Have the supervisor check whether a new connection is needed."""
        self._supervisor.wake_up()

    def close(self) -> None:
        """Stop watching and close all connections."""
        self._supervisor.close()
        self.connections.close_all()
