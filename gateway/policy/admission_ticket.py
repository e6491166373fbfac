"""The admission state of one request: the leases that it needs credits of, and those whose credits it has."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gateway.policy.lease import Lease
    from gateway.policy.pending_request import PendingRequest


@dataclass(slots=True, eq=False)
class AdmissionTicket:
    """The leases that a request needs credits of, and the credits that it has acquired.

    Attributes:
        pending: The request.
        leases: One lease for each quota of its customer's plan.
        acquired_credits: The leases whose credits the request holds, each with its refill index at that time.
    """

    pending: PendingRequest
    leases: list[Lease]
    acquired_credits: dict[Lease, int] = field(default_factory=dict)

    def add_credits(self, lease: Lease) -> None:
        """Record that the request has acquired credits of a lease in its current refill time."""
        self.acquired_credits[lease] = lease.clock.refill_index

    def remove_credits(self, lease: Lease) -> None:
        """Record that the request no longer holds credits of a lease."""
        del self.acquired_credits[lease]
