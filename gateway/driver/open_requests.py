"""The open requests of the process: their numbers, their deadlines and what closes them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from gateway.driver.open_request import FAILED, REJECTED, TIMED_OUT, OpenRequest, RequestOwner, Response
from gateway.policy.events import ClientDisconnected, Event, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

RESPONSE_MARGIN_SECONDS = 0.015  # before the client's deadline: the driver responds if the policy has not


class OpenRequests:
    """The requests that are not released, by request id; ``len`` counts them."""

    def __init__(self, deliver: Callable[[Event], None]) -> None:
        self._deliver = deliver
        self._requests: dict[int, OpenRequest] = {}
        self._last_request_id = 0

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def unanswered_count(self) -> int:
        """The number of requests that are not closed yet."""
        return sum(not request.is_closed for request in self._requests.values())

    def get(self, request_id: int) -> OpenRequest | None:
        """Return the open request with an id, or None if it is released."""
        return self._requests.get(request_id)

    def open(self, owner: RequestOwner, deadline: float) -> OpenRequest:
        """Open a request, start its deadline timer and deliver it to the policy.

        Args:
            owner: The frontend's side of the request.
            deadline: Monotonic time in seconds at which the client stops waiting.
        """
        self._last_request_id += 1
        request = OpenRequest(self._last_request_id, owner, deadline)
        self._requests[request.request_id] = request
        time_remaining = deadline - RESPONSE_MARGIN_SECONDS - time.monotonic()
        request.start_deadline_timer(max(0.0, time_remaining), self._handle_deadline)
        self._deliver(owner.build_event(request.request_id))
        return request

    def client_disconnected(self, request: OpenRequest) -> None:
        """Close a request without a response: written attempts run on, unwritten ones are cancelled."""
        if request.is_closed:
            return
        request.close()
        self._deliver(ClientDisconnected(request.request_id))
        request.cancel_unwritten_attempts()
        self.release_if_done(request)

    def finish(self, request_id: int, response: Response) -> None:
        """Respond to a request as the policy decided, unless it is closed."""
        request = self.get(request_id)
        if request is None or request.is_closed:
            return
        request.respond(response)
        request.cancel_unwritten_attempts()
        self.release_if_done(request)

    def respond_after_error(self, request_id: int) -> None:
        """Respond to a request that an error has left without a response and without attempts in flight.

        The status is 503 only if no endpoint has executed the request.
        """
        request = self.get(request_id)
        if request is None or request.is_closed or request.attempts:
            return
        status = FAILED if request.may_have_run else REJECTED
        request.respond(Response(status))
        self._deliver(ClientDisconnected(request_id))
        self.release_if_done(request)

    def close_all(self) -> None:
        """Respond to all open requests, as the process is about to end."""
        for request in list(self._requests.values()):
            self._handle_deadline(request)

    def release_if_done(self, request: OpenRequest) -> None:
        """Release a request that is closed and has no attempt in flight."""
        if request.is_done and self._requests.pop(request.request_id, None) is not None:
            request.owner.release()

    def _handle_deadline(self, request: OpenRequest) -> None:
        """Respond to a request whose deadline is near, whatever the policy does."""
        if request.is_closed:
            return
        request.abandon_attempts(Outcome.TIMEOUT)
        if request.is_closed:  # an attempt that never ran ends at once, and the policy may have responded
            return
        request.respond(Response(TIMED_OUT))
        self._deliver(ClientDisconnected(request.request_id))
        self.release_if_done(request)
