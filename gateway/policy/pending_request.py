"""A request from its arrival until it is answered and none of its attempts is in flight."""

from __future__ import annotations

from dataclasses import dataclass, field
from operator import attrgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gateway.policy.endpoints import Attempt
    from gateway.policy.events import Request
    from gateway.policy.settings import Plan, RequestClass


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request and its attempts.  Only the engine calls the methods that change it.

    Attributes:
        request: The event that brought it.
        request_class: Its class.
        plan: Its customer's plan.
        arrived_at: Unix time of its arrival, in seconds.
        deadline: Unix time at which its client gives up, in seconds.
        in_flight: The attempts in flight, by attempt number.
        tried_endpoints: Ids of the endpoints that its attempts went to, in order.
        attempts_started: Attempts so far; the next attempt's number.
        possibly_executed: Finished attempts that may have had an effect.
        closed: Whether it is answered, or its client is gone.
    """

    request: Request
    request_class: RequestClass
    plan: Plan
    arrived_at: float
    deadline: float
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    tried_endpoints: list[int] = field(default_factory=list)
    attempts_started: int = 0
    possibly_executed: list[Attempt] = field(default_factory=list)
    closed: bool = False

    @property
    def priority(self) -> float:
        """Weight of a response by class and plan; the larger is served first."""
        return self.request_class.priority_weight * self.plan.price_weight

    def start_attempt(self, attempt: Attempt) -> None:
        """Add an attempt, with the next number."""
        self.in_flight[self.attempts_started] = attempt
        self.attempts_started += 1
        self.tried_endpoints.append(attempt.endpoint.record.endpoint_id)

    def finish_attempt(self, number: int, *, never_ran: bool) -> Attempt | None:
        """Remove an attempt that has finished, and return it; None where it is not in flight."""
        attempt = self.in_flight.pop(number, None)
        if attempt is not None and not never_ran:
            self.possibly_executed.append(attempt)
        return attempt

    def first_effective_attempt(self) -> Attempt | None:
        """Return the earliest attempt that has had an effect or may have one; None without any."""
        attempts = [*self.in_flight.values(), *self.possibly_executed]
        return min(attempts, key=attrgetter("started_at"), default=None)

    def close(self) -> None:
        """Mark the request as answered, or as one whose client is gone."""
        self.closed = True
