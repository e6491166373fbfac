"""An open request, and the response that closes it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from gateway.policy.events import Outcome
from gateway.policy.settings import Limits
from gateway.upstream.attempt import Attempt


@dataclass(slots=True)
class Response:
    """A final response to a client.

    Attributes:
        status: HTTP status: 200 serves the request, 503 rejects it, any other fails it.
        body: Body as the endpoint gave it.
        content_type: Value of the Content-Type header; empty without one.
        retry_after: Seconds after which the client may retry; 0 says nothing of it.
    """

    status: int
    body: bytes = b""
    content_type: bytes = b""
    retry_after: float = 0.0


@dataclass(slots=True)
class OpenRequest:
    """A request that has no response yet, or has attempts in flight.

    Attributes:
        request_id: The policy's number for the request.
        encode_for_endpoint: The bytes to send to an endpoint, given the attempt's timeout in seconds.
        on_response: Receives the response, at most once; not called once the client has disconnected.
        on_released: Called once the request is closed and none of its attempts is in flight.
        deadline: Monotonic time at which the client gives up.
        deadline_timer: Responds shortly before the deadline.
        attempts: The attempts in flight, by attempt number.
        attempts_started: Attempts so far; the next attempt's number.
        may_have_run: Whether an endpoint may have executed the request.
        is_closed: Whether the request is closed: it has its response, or its client has disconnected.
    """

    request_id: int
    encode_for_endpoint: Callable[[float], bytes]
    on_response: Callable[[Response], None]
    on_released: Callable[[], None]
    deadline: float
    deadline_timer: asyncio.TimerHandle | None = None
    attempts: dict[int, Attempt] = field(default_factory=dict)
    attempts_started: int = 0
    may_have_run: bool = False
    is_closed: bool = False

    def may_start_attempt(self, number: int, limits: Limits) -> bool:
        """Whether attempt ``number`` is within the deployment's limits, whatever the policy decides."""
        if self.is_closed or number >= limits.max_attempts:
            return False
        return limits.may_hedge or not self.attempts

    def respond(self, response: Response) -> None:
        """Close the request with a response."""
        self.close()
        self.on_response(response)

    def close(self) -> None:
        """Close the request: no response is owed any more."""
        self.is_closed = True
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()

    def cancel_unwritten_attempts(self) -> None:
        """Cancel the attempts that are not completely written, as the request is closed: they never ran."""
        for attempt in list(self.attempts.values()):
            if attempt.connection is None or attempt.connection.has_unsent_bytes:
                attempt.abandon(Outcome.CANCELLED)
