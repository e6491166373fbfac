"""Endpoint discovery as the gateway uses it: every endpoint list and change, from one agent at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gateway.address import Address
from gateway.discovery.endpoint_decoder import DecodedUpdate, EndpointDecoder
from gateway.discovery.endpoint_watch import AgentWatch
from gateway.policy.events import EndpointUpdate

UpdateListener = Callable[[EndpointUpdate, dict[int, Address]], None]


class DiscoveryClient:
    """Watches a discovery agent and calls back with each update and its addresses by endpoint id.

    `first_update` is done once the first complete list has come.
    """

    def __init__(self, address: Address, decoder: EndpointDecoder, on_update: UpdateListener) -> None:
        self.decoder = decoder
        self.on_update = on_update
        self.loop = asyncio.get_running_loop()
        self.first_update: asyncio.Future[None] = self.loop.create_future()
        self.agent_watches = [AgentWatch(self, address)]  # the active one, then one that is to replace it

    def change_address(self, address: Address) -> None:
        """Watch the agent at another address.

        Updates are taken from the watch before until the complete list of the new agent has come.
        """
        if address != self.agent_watches[-1].address:
            for watch in self.agent_watches[1:]:
                watch.close()
            self.agent_watches[1:] = [AgentWatch(self, address)]

    def is_active(self, watch: AgentWatch) -> bool:
        """Whether updates are taken from this watch."""
        return watch is self.agent_watches[0]

    def activate(self, watch: AgentWatch) -> None:
        """Take updates from this watch from now on, and close the ones before it."""
        while not self.is_active(watch):
            self.agent_watches.pop(0).close()

    def publish(self, decoded: DecodedUpdate) -> None:
        """Call back with an update."""
        self.on_update(decoded.update, decoded.addresses)
        if not self.first_update.done():
            self.first_update.set_result(None)

    def close(self) -> None:
        """Close all watches."""
        for watch in self.agent_watches:
            watch.close()
