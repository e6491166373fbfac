"""The open requests of the process: assigns their ids, enforces their deadlines and closes them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from gateway.driver.open_request import (
    STATUS_FAILED,
    STATUS_REJECTED,
    STATUS_TIMED_OUT,
    ClientRequest,
    OpenRequest,
    Response,
)
from gateway.policy.events import ClientDisconnected, Event, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

# Time before the client's deadline at which the driver responds if the policy has not decided yet.
RESPONSE_MARGIN_SECONDS = 0.015


class OpenRequests:
    """All requests that are not released yet, by request id; ``len`` returns their number."""

    def __init__(self, deliver: Callable[[Event], None]) -> None:
        self._deliver = deliver
        self._requests: dict[int, OpenRequest] = {}
        self._last_request_id = 0

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def unanswered_count(self) -> int:
        """The number of requests that still need a response."""
        return sum(not request.is_closed for request in self._requests.values())

    def get(self, request_id: int) -> OpenRequest | None:
        """Return the request with this id, or None if there is none or it was released."""
        return self._requests.get(request_id)

    def open(self, client_request: ClientRequest, deadline: float) -> OpenRequest:
        """Open a request, start its deadline timer and deliver its event to the policy.

        Args:
            client_request: The request as the frontend submits it.
            deadline: Monotonic time in seconds at which the client stops waiting.
        """
        self._last_request_id += 1
        request = OpenRequest(self._last_request_id, client_request, deadline)
        self._requests[request.request_id] = request
        time_remaining = deadline - RESPONSE_MARGIN_SECONDS - time.monotonic()
        request.start_deadline_timer(max(0.0, time_remaining), self._time_out)
        self._deliver(client_request.build_event(request.request_id))
        return request

    def handle_client_disconnect(self, request: OpenRequest) -> None:
        """Close a request whose client has disconnected.

        Attempts whose bytes are sent completely continue; the others are cancelled.
        """
        if request.is_closed:
            return
        request.close()
        self._deliver(ClientDisconnected(request.request_id))
        request.cancel_unsent_attempts()
        self.release_if_done(request)

    def finish(self, request_id: int, response: Response) -> None:
        """Send the response that the policy decided on, unless the request is closed."""
        request = self.get(request_id)
        if request is None or request.is_closed:
            return
        request.respond(response)
        request.cancel_unsent_attempts()
        self.release_if_done(request)

    def respond_after_error(self, request_id: int) -> None:
        """Respond to a request after an exception, if no attempt is in flight that could still complete it.

        The status is 503 only if no endpoint can have executed the request, and 502 otherwise.
        """
        request = self.get(request_id)
        if request is None or request.is_closed or request.attempts:
            return
        status = STATUS_FAILED if request.may_have_run else STATUS_REJECTED
        request.respond(Response(status))
        self._deliver(ClientDisconnected(request_id))
        self.release_if_done(request)

    def close_all(self) -> None:
        """Respond to all open requests, because the process is about to exit."""
        for request in list(self._requests.values()):
            self._time_out(request)

    def release_if_done(self, request: OpenRequest) -> None:
        """Release a request that is closed and has no attempt in flight."""
        if request.is_done and self._requests.pop(request.request_id, None) is not None:
            request.client_request.release(may_have_run=request.may_have_run)

    def _time_out(self, request: OpenRequest) -> None:
        """Respond with ``STATUS_TIMED_OUT``, independently of the policy.

        Called shortly before the deadline of the request, or when the process is about to exit.
        """
        if request.is_closed:
            return
        request.abandon_attempts(Outcome.TIMEOUT)
        # An attempt that waits for a connection finishes at once, and the policy may then respond.
        if request.is_closed:
            return
        request.respond(Response(STATUS_TIMED_OUT))
        self._deliver(ClientDisconnected(request.request_id))
        self.release_if_done(request)
