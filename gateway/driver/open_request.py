"""An open request, and the response that closes it."""

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

# The statuses of responses.  Looked up once: access to a member through its class takes a Python call in
# Python 3.11.
SERVED = HTTPStatus.OK.value
REJECTED = HTTPStatus.SERVICE_UNAVAILABLE.value
FAILED = HTTPStatus.BAD_GATEWAY.value
TIMED_OUT = HTTPStatus.GATEWAY_TIMEOUT.value


@dataclass(slots=True)
class Response:
    """A final response to a client.

    Attributes:
        status: HTTP status: ``SERVED`` serves the request, ``REJECTED`` rejects it, any other fails it.
        body: Body as the endpoint sent it.
        content_type: Value of the Content-Type header; empty without one.
        retry_after: Seconds after which the client may retry; 0 leaves the header out.
    """

    status: int
    body: bytes = b""
    content_type: bytes = b""
    retry_after: float = 0.0


class RequestOwner(Protocol):
    """The frontend's side of a request.  The driver calls all methods; each says when."""

    def build_event(self, request_id: int) -> Request:
        """Return the policy's event for the request.  Called once, as the request is opened."""

    def encode_for_endpoint(self, timeout: float) -> bytes:
        """Return the bytes to send to an endpoint, given the attempt's timeout in seconds."""

    def reply(self, response: Response) -> None:
        """Send the response.  Called at most once, and not after the client has disconnected."""

    def release(self) -> None:
        """Free what is held for the request.  Called once, when it is closed and has no attempt in flight."""


@dataclass(slots=True)
class OpenRequest:
    """A request that has no response yet, or has attempts in flight.

    Attributes:
        request_id: The policy's number for the request.
        owner: Encodes the request for endpoints and receives the response.
        deadline: Monotonic time in seconds at which the client stops waiting.
        deadline_timer: Responds shortly before the deadline.
        attempts: The attempts in flight, by attempt number.
        attempts_started: How many attempts were started; the number of the next one.
        may_have_run: Whether an endpoint may have executed the request.
        is_closed: Whether the request has its response, or its client has disconnected.
    """

    request_id: int
    owner: RequestOwner
    deadline: float
    deadline_timer: asyncio.TimerHandle | None = None
    attempts: dict[int, Attempt] = field(default_factory=dict)
    attempts_started: int = 0
    may_have_run: bool = False
    is_closed: bool = False

    @property
    def is_done(self) -> bool:
        """Whether the request is closed and has no attempt in flight."""
        return self.is_closed and not self.attempts

    def start_deadline_timer(self, seconds: float, on_deadline: Callable[[OpenRequest], None]) -> None:
        """Call back after a time in seconds unless the request is closed by then."""
        loop = asyncio.get_running_loop()
        self.deadline_timer = loop.call_later(seconds, on_deadline, self)

    def next_attempt_number(self) -> int:
        """Count one more attempt and return its number."""
        number = self.attempts_started
        self.attempts_started += 1
        return number

    def may_start_attempt(self, number: int, limits: Limits) -> bool:
        """Return whether an attempt is within the limits of the deployment, whatever the policy decides."""
        if self.is_closed or number >= limits.max_attempts:
            return False
        return limits.may_hedge or not self.attempts

    def attempt_started(self, number: int, attempt: Attempt) -> None:
        """Add an attempt to those in flight."""
        self.attempts[number] = attempt

    def attempt_finished(self, number: int, outcome: Outcome) -> None:
        """Remove an attempt from those in flight."""
        self.attempts.pop(number, None)
        if not outcome.never_ran:
            self.may_have_run = True

    def respond(self, response: Response) -> None:
        """Close the request with a response."""
        self.close()
        self.owner.reply(response)

    def close(self) -> None:
        """Close the request: no response is owed any more."""
        self.is_closed = True
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()

    def abandon_attempts(self, outcome: Outcome) -> None:
        """Abandon all attempts in flight with an outcome."""
        for attempt in list(self.attempts.values()):
            attempt.abandon(outcome)

    def cancel_unwritten_attempts(self) -> None:
        """Cancel the attempts that are not completely written, as the request is closed: they never ran."""
        for attempt in list(self.attempts.values()):
            if attempt.connection is None or attempt.connection.has_unsent_bytes:
                attempt.abandon(Outcome.CANCELLED)
