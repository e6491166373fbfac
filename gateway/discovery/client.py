"""Client of endpoint discovery: passes on the endpoint lists and deltas of one agent at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from gateway.address import Address
from gateway.discovery.endpoint_watch import AgentWatch
from gateway.policy.events import EndpointUpdate

if TYPE_CHECKING:
    from gateway.discovery.endpoint_decoder import DecodedUpdate, EndpointDecoder

UpdateCallback = Callable[[EndpointUpdate, dict[int, Address]], None]


class DiscoveryClient:
    """Watches a discovery agent, and passes each update, with the endpoints' addresses by id, to a callback.

    Attributes:
        decoder: Decodes the updates of all watches.
        on_update: Called with each update and its addresses.
        first_update: Done once the first update has been passed on.
        agent_watches: The active watch, followed by its replacement while the address changes.
    """

    def __init__(self, address: Address, decoder: EndpointDecoder, on_update: UpdateCallback) -> None:
        self.decoder = decoder
        self.on_update = on_update
        self.loop = asyncio.get_running_loop()
        self.first_update: asyncio.Future[None] = self.loop.create_future()
        self.agent_watches = [AgentWatch(self, address)]

    def change_address(self, address: Address) -> None:
        """Watch the agent at another address.

        The current watch stays active until the new agent has sent a snapshot of its endpoint list.
        """
        if address == self.agent_watches[-1].address:
            return
        for watch in self.agent_watches[1:]:
            watch.close()
        self.agent_watches[1:] = [AgentWatch(self, address)]

    def is_active(self, watch: AgentWatch) -> bool:
        """Return whether the updates of this watch are passed on."""
        return watch is self.agent_watches[0]

    def activate(self, watch: AgentWatch) -> None:
        """Make a watch the active one, and close the watch that it replaces."""
        while not self.is_active(watch):
            self.agent_watches.pop(0).close()

    def publish(self, decoded: DecodedUpdate) -> None:
        """Pass an update and its addresses to the callback."""
        self.on_update(decoded.update, decoded.addresses)
        if not self.first_update.done():
            self.first_update.set_result(None)

    def close(self) -> None:
        """Close all watches."""
        for watch in self.agent_watches:
            watch.close()
