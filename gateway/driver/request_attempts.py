"""Starts and cancels the attempts of open requests, and reports their outcomes to the policy."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from gateway.driver.open_request import STATUS_SERVED, OpenRequest, Response
from gateway.policy.events import AttemptFinished, Event, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from gateway.driver.open_requests import OpenRequests
    from gateway.policy.actions import Cancel, StartAttempt
    from gateway.policy.settings import Limits
    from gateway.upstream.attempt import AttemptResult
    from gateway.upstream.client import UpstreamClient

# Time before the client's deadline at which attempts time out, so that the policy can still respond.
ATTEMPT_MARGIN_SECONDS = 0.030


class RequestAttempts:
    """Starts and cancels attempts; delivers an ``AttemptFinished`` event for each ``StartAttempt`` action."""

    def __init__(
        self,
        upstream: UpstreamClient,
        open_requests: OpenRequests,
        limits: Limits,
        deliver: Callable[[Event], None],
    ) -> None:
        self._upstream = upstream
        self._open_requests = open_requests
        self._limits = limits
        self._deliver = deliver

    def start(self, action: StartAttempt) -> None:
        """Start an attempt, unless the request is closed, near its deadline or at an attempt limit."""
        request = self._open_requests.get(action.request_id)
        if request is None:
            self._report_not_started(action, number=0, request_closed=True)
            return
        number = request.next_attempt_number()
        time_remaining = request.deadline - ATTEMPT_MARGIN_SECONDS - time.monotonic()
        if time_remaining <= 0 or not request.may_start_attempt(number, self._limits):
            self._report_not_started(action, number, request_closed=request.is_closed)
            return
        timeout = min(time_remaining, action.timeout) if action.timeout > 0 else time_remaining

        def on_finished(result: AttemptResult) -> None:
            self._handle_finished(request, number, action.endpoint_id, result)

        payload = request.client_request.encode_for_endpoint(timeout)
        attempt = self._upstream.start_attempt(action.endpoint_id, payload, timeout, on_finished)
        if not attempt.is_finished:
            request.add_attempt(number, attempt)

    def cancel(self, action: Cancel) -> None:
        """Abandon an attempt if it is in flight."""
        request = self._open_requests.get(action.request_id)
        attempt = request.attempts.get(action.attempt) if request is not None else None
        if attempt is not None:
            attempt.abandon(Outcome.CANCELLED)

    def _report_not_started(self, action: StartAttempt, number: int, *, request_closed: bool) -> None:
        """Report to the policy that an attempt was not started.

        The event is delivered after the policy's current actions have been executed.
        """
        self._deliver(
            AttemptFinished(
                request_id=action.request_id,
                attempt=number,
                endpoint_id=action.endpoint_id,
                outcome=Outcome.NOT_STARTED,
                request_closed=request_closed,
                elapsed=0.0,
                charged_units=0,
                metered_usage=0,
                load_report=(),
            )
        )

    def _handle_finished(
        self, request: OpenRequest, number: int, endpoint_id: int, result: AttemptResult
    ) -> None:
        request.remove_attempt(number, result.outcome)
        if result.outcome is Outcome.OK and not request.is_closed:
            request.respond(Response(STATUS_SERVED, result.body, result.content_type))
        was_closed = request.is_closed
        self._deliver(
            AttemptFinished(
                request_id=request.request_id,
                attempt=number,
                endpoint_id=endpoint_id,
                outcome=result.outcome,
                request_closed=was_closed,
                elapsed=result.elapsed,
                charged_units=0,
                metered_usage=0,
                load_report=result.load_report,
            )
        )
        if was_closed:
            request.cancel_unsent_attempts()
        self._open_requests.release_if_done(request)
