"""What a request needs, and holds, of its customer's leases."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gateway.policy.lease import Lease
    from gateway.policy.pending_request import PendingRequest


@dataclass(slots=True, eq=False)
class AdmissionTicket:
    """The leases that a request needs a credit of, and those whose credit it holds.

    Attributes:
        pending: The request.
        leases: One lease for each quota of its customer's plan.
        acquired_credits: The leases whose credit it holds, each with the refill time in which it was taken.
    """

    pending: PendingRequest
    leases: list[Lease]
    acquired_credits: dict[Lease, int] = field(default_factory=dict)

    def add_credits(self, lease: Lease) -> None:
        """Record that the request has taken a credit of a lease in its present refill time."""
        self.acquired_credits[lease] = lease.clock.refill_index

    def remove_credits(self, lease: Lease) -> None:
        """Record that the request no longer holds its credit of a lease."""
        del self.acquired_credits[lease]
