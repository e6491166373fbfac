"""The state of a request, from its arrival until it is answered and none of its attempts is in flight."""

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
        request: The event with which the request arrived.
        request_class: The class of the request.
        plan: The plan of the customer.
        arrived_at: Unix time at which the request arrived, in seconds.
        deadline: Unix time at which the client gives up, in seconds.
        in_flight: The attempts in flight, by attempt number.
        tried_endpoints: Ids of the endpoints that the attempts were sent to, in order.
        attempts_started: Number of attempts so far, and thus the number of the next attempt.
        possibly_executed: Finished attempts that may have had an effect.
        closed: Whether the request has been answered or its client has disconnected.
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
        """Weight of a response by class and plan; requests with a higher weight are dispatched first."""
        return self.request_class.priority_weight * self.plan.price_weight

    def start_attempt(self, attempt: Attempt) -> None:
        """Record the start of an attempt under the next attempt number."""
        self.in_flight[self.attempts_started] = attempt
        self.attempts_started += 1
        self.tried_endpoints.append(attempt.endpoint.record.endpoint_id)

    def finish_attempt(self, number: int, *, never_ran: bool) -> Attempt | None:
        """Record the end of an attempt and return it, or None if it is not in flight."""
        attempt = self.in_flight.pop(number, None)
        if attempt is not None and not never_ran:
            self.possibly_executed.append(attempt)
        return attempt

    def first_possibly_executed_attempt(self) -> Attempt | None:
        """Return the earliest attempt, in flight or finished, that may have an effect, or None."""
        attempts = [*self.in_flight.values(), *self.possibly_executed]
        return min(attempts, key=attrgetter("started_at"), default=None)

    def close(self) -> None:
        """Mark the request as answered, or as one whose client has disconnected."""
        self.closed = True
