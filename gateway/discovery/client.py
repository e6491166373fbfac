"""Endpoint discovery as the gateway uses it: every endpoint list and delta, from one agent at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from gateway.address import Address
from gateway.discovery.endpoint_watch import AgentWatch
from gateway.policy.events import EndpointUpdate

if TYPE_CHECKING:
    from gateway.discovery.endpoint_decoder import DecodedUpdate, EndpointDecoder

UpdateListener = Callable[[EndpointUpdate, dict[int, Address]], None]


class DiscoveryClient:
    """Watches a discovery agent and calls back with each update and its addresses by endpoint id.

    Attributes:
        decoder: Decodes the updates of all watches.
        first_update: Done once the first update has come.
        agent_watches: The active watch, then the one that is to replace it, if there is one.
    """

    def __init__(self, address: Address, decoder: EndpointDecoder, on_update: UpdateListener) -> None:
        self.decoder = decoder
        self.on_update = on_update
        self.loop = asyncio.get_running_loop()
        self.first_update: asyncio.Future[None] = self.loop.create_future()
        self.agent_watches = [AgentWatch(self, address)]

    def change_address(self, address: Address) -> None:
        """Watch the agent at another address.

        Updates are taken from the active watch until the complete list of the new agent has come.
        """
        if address == self.agent_watches[-1].address:
            return
        for watch in self.agent_watches[1:]:
            watch.close()
        self.agent_watches[1:] = [AgentWatch(self, address)]

    def is_active(self, watch: AgentWatch) -> bool:
        """Return whether updates are taken from this watch."""
        return watch is self.agent_watches[0]

    def activate(self, watch: AgentWatch) -> None:
        """Take updates from this watch from now on, and close the ones before it."""
        while not self.is_active(watch):
            self.agent_watches.pop(0).close()

    def publish(self, decoded: DecodedUpdate) -> None:
        """Call back with an update and its addresses."""
        self.on_update(decoded.update, decoded.addresses)
        if not self.first_update.done():
            self.first_update.set_result(None)

    def close(self) -> None:
        """Close all watches."""
        for watch in self.agent_watches:
            watch.close()
