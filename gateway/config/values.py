"""The typed values of the process configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from gateway.address import Address
    from gateway.config.resource_limits import ResourceLimits
    from gateway.policy.settings import Settings


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one gateway process.

    Attributes:
        name: The gateway's name.
        listen: Address on which the gateway accepts clients.
        discovery: Address of the discovery agent.
        counter: Address of the counter; None without a counter.
        seed: Seed of the policy's random generator.
        resource_limits: Limits on connections and buffered bytes.
        max_request_units: Most units that one request may consume.
        cached_endpoints: The last snapshot that this gateway received in an earlier run, as parsed JSON;
            empty if there is none.
        settings: The policy's settings.
        machine_types: Names of the machine types of endpoints, in the order of their indexes.
        endpoint_idle_timeout: Seconds after which endpoints close idle connections.
    """

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    resource_limits: ResourceLimits
    max_request_units: float
    cached_endpoints: dict[str, Any]
    settings: Settings
    machine_types: tuple[str, ...]
    endpoint_idle_timeout: float
