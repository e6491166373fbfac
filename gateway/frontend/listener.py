"""Accepts client connections, and creates the objects that they share."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from gateway.frontend.acceptor import Acceptor
from gateway.frontend.client_connection import ClientConnection
from gateway.frontend.connection_table import ConnectionTable
from gateway.frontend.discard_budget import DiscardBudget
from gateway.frontend.request_budget import RequestBudget
from gateway.frontend.request_dispatcher import RequestDispatcher
from gateway.frontend.request_metadata import RequestMetadataParser
from gateway.read_scheduler import ReadScheduler

if TYPE_CHECKING:
    from gateway.config import Config
    from gateway.driver.policy_driver import PolicyDriver


class Listener:
    """Listens for client connections.

    Attributes:
        address: The address to listen on.
        connection_table: All client connections.
        budget: Limits the buffered bytes of request bodies, and records the ids of open requests.
        acceptor: Accepts connections on the address.
    """

    def __init__(self, config: Config, driver: PolicyDriver) -> None:
        limits = config.resource_limits
        self.address = config.listen
        self.connection_table = ConnectionTable(
            limits.max_client_connections, limits.surplus_client_connections
        )
        self.budget = RequestBudget(limits.max_buffered_bytes)
        self.acceptor = Acceptor(self.create_connection, lambda: self.connection_table.spare_connections)
        self._driver = driver
        self._read_scheduler = ReadScheduler(asyncio.get_running_loop())
        self._discard_budget = DiscardBudget()
        self._dispatcher = RequestDispatcher(
            driver,
            RequestMetadataParser(config.settings, config.max_request_units),
            self.budget,
            is_ready=self.is_ready,
            has_too_many_connections=lambda: self.connection_table.has_too_many_connections,
        )

    async def start(self) -> None:
        """Start to accept connections.

        Raises:
            OSError: The address is not available.
        """
        await self.acceptor.start(self.address)

    def create_connection(self) -> ClientConnection:
        """Return the protocol of a new connection; called by the event loop."""
        return ClientConnection(
            self.connection_table, self._dispatcher, self._read_scheduler, self._discard_budget
        )

    def is_ready(self) -> bool:
        """Return whether this process is not shutting down and has at least one endpoint."""
        return not self.connection_table.is_stopping and bool(self._driver.upstream.pools)

    def stop_listening(self) -> None:
        """Stop accepting connections; close each connection now or after its pending requests."""
        self.acceptor.stop()
        self.connection_table.stop()

    def close(self) -> None:
        """Close each connection once all bytes written to it are sent."""
        self.connection_table.close()
