"""The process configuration as typed values."""

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
        listen: Where clients connect.
        discovery: Where the discovery agent listens.
        counter: Where the shared counter listens; None without one.
        seed: Seed of the policy's random choices.
        resource_limits: What the process may hold at a time.
        max_request_units: Units that one request may ask for.
        cached_endpoints: The last endpoint list that this gateway had, as discovery sends it; empty without.
        settings: The policy's settings.
        machine_types: Names of the endpoints' machine types; a type's index is its number.
        endpoint_idle_timeout: Seconds after which an endpoint closes an idle connection.
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
