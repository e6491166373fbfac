"""The state of an open request, and the final response to it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

from gateway.policy.events import Outcome, Request

if TYPE_CHECKING:
    from collections.abc import Callable

    from gateway.policy.settings import Limits
    from gateway.upstream.attempt import Attempt

# HTTP statuses of final responses.  They are looked up once, because accessing an enum member through its
# class costs a Python function call in Python 3.11.
STATUS_SERVED = HTTPStatus.OK.value
STATUS_REJECTED = HTTPStatus.SERVICE_UNAVAILABLE.value
STATUS_FAILED = HTTPStatus.BAD_GATEWAY.value
STATUS_TIMED_OUT = HTTPStatus.GATEWAY_TIMEOUT.value


@dataclass(slots=True)
class Response:
    """A final response to a client.

    Attributes:
        status: HTTP status.  ``STATUS_SERVED`` means that the request was served, ``STATUS_REJECTED`` that it
            was rejected, and any other status that it failed.
        body: Body as the endpoint sent it.
        content_type: Value of the Content-Type header; empty for no header.
        retry_after: Seconds after which the client may retry; 0 omits the Retry-After header.
    """

    status: int
    body: bytes = b""
    content_type: bytes = b""
    retry_after: float = 0.0


class ClientRequest(Protocol):
    """A client's request as the frontend submits it.  All methods are called by the driver."""

    def build_event(self, request_id: int) -> Request:
        """Return the event for the policy.  Called once, when the request is opened."""

    def encode_for_endpoint(self, timeout: float) -> bytes:
        """Return the bytes to send to an endpoint for an attempt with this timeout in seconds."""

    def respond(self, response: Response) -> None:
        """Send the response.  Called at most once, and never after the client has disconnected."""

    def release(self, *, may_have_run: bool) -> None:
        """Free the resources.  Called once, when the request is closed and has no attempt in flight.

        Args:
            may_have_run: Whether an endpoint may have executed the request.
        """


@dataclass(slots=True)
class OpenRequest:
    """A request that has no final response yet or still has attempts in flight.

    Attributes:
        request_id: Number that identifies the request to the policy.
        client_request: Encodes the request for endpoints and sends the response to the client.
        deadline: Monotonic time in seconds at which the client stops waiting.
        deadline_timer: Responds to the client shortly before the deadline.
        attempts: Attempts in flight, by attempt number.
        attempt_count: Number of attempts so far, which is also the number of the next one.
        may_have_run: Whether an endpoint may have executed the request.
        is_closed: Whether the response was sent or the client has disconnected.
    """

    request_id: int
    client_request: ClientRequest
    deadline: float
    deadline_timer: asyncio.TimerHandle | None = None
    attempts: dict[int, Attempt] = field(default_factory=dict)
    attempt_count: int = 0
    may_have_run: bool = False
    is_closed: bool = False

    @property
    def is_done(self) -> bool:
        """Whether the request is closed and has no attempt in flight."""
        return self.is_closed and not self.attempts

    def start_deadline_timer(self, seconds: float, on_deadline: Callable[[OpenRequest], None]) -> None:
        """Call ``on_deadline`` after this many seconds unless the request is closed before."""
        loop = asyncio.get_running_loop()
        self.deadline_timer = loop.call_later(seconds, on_deadline, self)

    def next_attempt_number(self) -> int:
        """Count an attempt and return its number."""
        number = self.attempt_count
        self.attempt_count += 1
        return number

    def may_start_attempt(self, number: int, limits: Limits) -> bool:
        """Return whether the limits of the settings allow this attempt.

        The driver enforces them independently of the policy.
        """
        if self.is_closed or number >= limits.max_attempts:
            return False
        return limits.may_hedge or not self.attempts

    def add_attempt(self, number: int, attempt: Attempt) -> None:
        """Add an attempt to the attempts in flight."""
        self.attempts[number] = attempt

    def remove_attempt(self, number: int, outcome: Outcome) -> None:
        """Remove an attempt from the attempts in flight, and record whether it may have run."""
        self.attempts.pop(number, None)
        if not outcome.never_ran:
            self.may_have_run = True

    def respond(self, response: Response) -> None:
        """Close the request with a response."""
        self.close()
        self.client_request.respond(response)

    def close(self) -> None:
        """Close the request, so that no response is sent from now on."""
        self.is_closed = True
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()

    def abandon_attempts(self, outcome: Outcome) -> None:
        """Abandon all attempts in flight; ``Attempt.abandon`` decides their outcomes."""
        for attempt in list(self.attempts.values()):
            attempt.abandon(outcome)

    def cancel_unsent_attempts(self) -> None:
        """Cancel all attempts whose bytes are not sent completely.

        Called for a closed request: these attempts cannot have run yet, and must not run any more.
        """
        for attempt in list(self.attempts.values()):
            if attempt.connection is None or attempt.connection.has_unsent_bytes:
                attempt.abandon(Outcome.CANCELLED)
