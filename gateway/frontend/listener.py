"""Accepts the connections of clients, bounds their number, and closes those that wait too long."""

from __future__ import annotations

import asyncio
import select
import time
from collections import OrderedDict
from collections.abc import Iterator

from gateway.config import Config
from gateway.driver.policy_driver import PolicyDriver
from gateway.frontend.client_connection import ClientConnection, ConnectionQueue
from gateway.frontend.errors import DuplicateRequestIdError, RequestTimeoutError, UnavailableError
from gateway.frontend.request_metadata import RequestMetadataParser

BACKLOG = 1024  # connections that the system keeps until they are accepted
READ_TIMEOUT_SECONDS = 2.3  # for a request to be complete, the first one counted from connecting
IDLE_TIMEOUT_SECONDS = 15.0  # between requests, while there is room
CROWDED_IDLE_TIMEOUT_SECONDS = 2.0  # between requests, once a connection may be closed to make room
EVICTION_GRACE_SECONDS = 0.1  # the same for one with no request yet, or with its last response
HALF_CLOSED_TIMEOUT_SECONDS = 3.0  # for a client to read the last response on its connection
TIMEOUT_SWEEP_SECONDS = 0.25  # between looks at these times
DISCONNECT_POLL_SECONDS = 0.05  # no attempt may start 0.1 s after its client has disconnected


class Listener:
    """All connections of clients.

    A connection that owes no response is in one queue: before its first request is complete, between
    requests, while one is received, or after the last response.
    """

    def __init__(self, config: Config, driver: PolicyDriver) -> None:
        limits = config.resource_limits
        self.driver = driver
        self.listen = config.listen
        self.max_connections, self.surplus_connections = limits.max_clients, limits.surplus_clients
        self.max_buffered_bytes = limits.max_buffered_bytes  # of bodies; beyond it requests are rejected
        self.loop = asyncio.get_running_loop()
        self.metadata_parser = RequestMetadataParser(config.settings, config.max_request_units)
        self.connections: set[ClientConnection] = set()
        self.new_connections: ConnectionQueue = OrderedDict()
        self.idle_connections: ConnectionQueue = OrderedDict()
        self.receiving: ConnectionQueue = OrderedDict()
        self.half_closed: ConnectionQueue = OrderedDict()
        self.write_blocked: set[ClientConnection] = set()  # not read, as they do not read their responses
        self.open_request_ids: set[bytes] = set()
        self.buffered_bytes = 0
        self.stopping = False
        self.socket_server: asyncio.Server | None = None
        self.timeout_timer = self.loop.call_later(TIMEOUT_SWEEP_SECONDS, self.close_overdue_connections)
        self.disconnect_timer = self.loop.call_later(DISCONNECT_POLL_SECONDS, self.detect_disconnects)

    async def start(self) -> None:
        """Accept connections."""
        self.socket_server = await self.loop.create_server(
            lambda: ClientConnection(self), self.listen.host, self.listen.port, backlog=BACKLOG
        )

    def is_ready(self) -> bool:
        """Whether this process serves, and has an endpoint to send requests to."""
        return not self.stopping and bool(self.driver.upstream.pools)

    # --- what connections share --------------------------------------------------------------------

    def reserve_buffer(self, size: int) -> None:
        """Count bytes of a body; raise `UnavailableError` when too many are buffered."""
        self.buffered_bytes += size
        if self.buffered_bytes > self.max_buffered_bytes:
            raise UnavailableError("too much is held")

    def release_buffer(self, size: int) -> None:
        """Count bytes of a body that are kept no longer."""
        self.buffered_bytes -= size

    def reserve_request_id(self, request_id: bytes) -> None:
        """Mark a request as open; raise `DuplicateRequestIdError` if one with its id is."""
        if request_id in self.open_request_ids:
            raise DuplicateRequestIdError("this Request-Id is open")
        self.open_request_ids.add(request_id)

    def release_request_id(self, request_id: bytes) -> None:
        """Mark a request as no longer open."""
        self.open_request_ids.discard(request_id)

    # --- the number of connections -----------------------------------------------------------------

    def add(self, client: ClientConnection) -> None:
        """Count a new connection; beyond the limit one that owes no response is closed for it."""
        self.connections.add(client)
        if len(self.connections) <= self.max_connections:
            return
        # With none to close the new one is kept within a surplus, and its request rejected: to close it at
        # once could fail a request.
        evicted = self.choose_evicted(client)
        if evicted is None and len(self.connections) > self.max_connections + self.surplus_connections:
            evicted = client
        if evicted is not None:
            self.connections.discard(evicted)
            evicted.abort()

    def remove(self, client: ClientConnection) -> None:
        """Forget a connection that has ended."""
        self.connections.discard(client)
        self.write_blocked.discard(client)

    def set_write_blocked(self, client: ClientConnection, is_blocked: bool) -> None:
        """Tell whether a connection is not read, as its client does not read its responses."""
        if is_blocked:
            self.write_blocked.add(client)
        else:
            self.write_blocked.discard(client)

    def choose_evicted(self, newest: ClientConnection) -> ClientConnection | None:
        """Return the connection that is missed least; one that was just opened may be about to send."""
        now = time.monotonic()
        choices = (
            (self.half_closed, EVICTION_GRACE_SECONDS), (self.new_connections, EVICTION_GRACE_SECONDS),
            (self.idle_connections, CROWDED_IDLE_TIMEOUT_SECONDS),
            (self.half_closed, 0.0), (self.idle_connections, 0.0), (self.new_connections, 0.0),
        )  # fmt: skip
        for queue, min_wait in choices:
            oldest = next(iter(queue), None)
            if oldest is None or oldest is newest or now - oldest.queued_since < min_wait:
                continue
            if not oldest.has_unread_bytes():
                return oldest
            oldest.enqueue(queue)  # about to be read
        return None

    # --- time limits -------------------------------------------------------------------------------

    def close_overdue_connections(self) -> None:
        """Reject requests that are not complete in time; close connections that wait too long."""
        self.reject_overdue_requests()
        self.close_overdue_idle()
        self.timeout_timer = self.loop.call_later(TIMEOUT_SWEEP_SECONDS, self.close_overdue_connections)

    def reject_overdue_requests(self) -> None:
        """Close connections whose request is not complete in time, with a response if any of it has come."""
        error = RequestTimeoutError("the request did not come whole")
        for queue in (self.new_connections, self.receiving):
            for client in self.take_overdue(queue, READ_TIMEOUT_SECONDS):
                # Bytes that came without a request, such as empty lines, are owed a response too.
                if client.is_receiving or client.reader.unparsed_bytes:
                    client.reject(error)
                else:
                    client.abort()

    def close_overdue_idle(self) -> None:
        """Close connections that are idle, or do not read their last response.

        Room is made before it is needed: a burst of new connections must not close those about to be used.
        """
        is_crowded = len(self.connections) >= self.max_connections / 2
        idle_timeout = CROWDED_IDLE_TIMEOUT_SECONDS if is_crowded else IDLE_TIMEOUT_SECONDS
        timeouts = ((self.idle_connections, idle_timeout), (self.half_closed, HALF_CLOSED_TIMEOUT_SECONDS))
        for queue, timeout in timeouts:
            for client in self.take_overdue(queue, timeout):
                if client.has_unread_bytes():
                    client.enqueue(self.idle_connections)
                else:
                    client.abort()  # a close would wait for a client that never reads its last response

    def take_overdue(self, queue: ConnectionQueue, timeout: float) -> Iterator[ClientConnection]:
        """Take the connections out of a queue that have been in it for longer than a timeout in seconds."""
        latest = time.monotonic() - timeout
        while queue and (client := next(iter(queue))).queued_since < latest:
            client.enqueue(None)
            yield client

    def detect_disconnects(self) -> None:
        """Look which clients have disconnected while they are not read.

        The end of their sending is behind bytes that are not read, so that the loop does not report it.
        """
        for client in [c for c in self.write_blocked if c.has_socket_event(select.POLLRDHUP)]:
            self.write_blocked.discard(client)
            client.eof_received()
        self.disconnect_timer = self.loop.call_later(DISCONNECT_POLL_SECONDS, self.detect_disconnects)

    # --- shutdown ----------------------------------------------------------------------------------

    def stop_listening(self) -> None:
        """Accept no connections; close those that are idle, and the others after their responses."""
        self.stopping = True
        if self.socket_server is not None:
            self.socket_server.close()
        for client in [*self.idle_connections, *self.new_connections]:
            if client.transport is not None and not client.is_receiving and not client.has_unread_bytes():
                client.transport.close()

    def has_incoming_requests(self) -> bool:
        """Whether part of a request has come, or bytes that are not read yet."""
        queues = (self.receiving, self.new_connections, self.idle_connections)
        return any(client.is_receiving or client.has_unread_bytes() for queue in queues for client in queue)

    def has_unsent_responses(self) -> bool:
        """Whether part of a response still waits in this process."""
        return any(c.transport is not None and c.transport.get_write_buffer_size() for c in self.connections)

    def reject_incomplete_requests(self) -> None:
        """Answer requests that are not complete, as the process is about to end.

        Clients that have their last response are read until they close: a reset on unread bytes could
        overtake it.
        """
        error = UnavailableError("the front door ends")
        for client in list(self.connections):
            if client.is_receiving or client.has_unread_bytes():
                client.reject(error)
            elif not client.is_reader_closed and not client.pending and client.transport is not None:
                client.transport.close()

    def close(self) -> None:
        """Close all connections once what was written to them has left."""
        self.timeout_timer.cancel()
        self.disconnect_timer.cancel()
        for client in list(self.connections):
            if client.transport is not None:
                client.transport.close()
