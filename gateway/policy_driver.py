"""Runs the policy: delivers events to it, executes its actions in order, and owns the open requests."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

from gateway.address import Address
from gateway.counter.client import CounterClient
from gateway.open_request import OpenRequest, Response
from gateway.policy.actions import (
    Action,
    AddToCounter,
    Cancel,
    CloseIdle,
    Fail,
    Log,
    Probe,
    Reject,
    SetTimer,
    StartAttempt,
)
from gateway.policy.engine import Policy
from gateway.policy.events import (
    AttemptFinished,
    ClientDisconnected,
    CounterReply,
    EndpointRecord,
    EndpointState,
    EndpointUpdate,
    Event,
    Outcome,
    ProbeFinished,
    Request,
    TimerFired,
    UpdateKind,
)
from gateway.upstream.attempt import AttemptResult
from gateway.upstream.client import UpstreamClient

# Both are seconds before the client's deadline.  An attempt ends first, so that the policy can still respond.
ATTEMPT_MARGIN_SECONDS = 0.030  # at which an attempt is abandoned
RESPONSE_MARGIN_SECONDS = 0.015  # at which the driver responds if the policy has not
MIN_TIMER_SECONDS = 0.001  # the resolution of the event loop's timers

log = logging.getLogger(__name__)


class PolicyDriver:
    """Connects one policy to the sockets of one process.

    Attributes:
        policy: Decides; it performs no I/O of its own.
        upstream: Executes attempts and probes.
        counter: Executes counter calls; None without a shared counter.
        open_requests: The requests that are not released, by request id.
        now: The time of the latest event.
    """

    def __init__(self, policy: Policy, upstream: UpstreamClient) -> None:
        self.policy = policy
        self.upstream = upstream
        self.counter: CounterClient | None = None
        self.open_requests: dict[int, OpenRequest] = {}
        self.last_request_id = 0
        self.now = 0.0
        self._limits = policy.settings.limits
        self._loop = asyncio.get_running_loop()
        self._events: deque[Event] = deque()  # that wait for their turn
        self._is_processing = False
        self._unsupported_actions: set[str] = set()  # type names that have been logged

    @property
    def unanswered(self) -> int:
        """How many open requests are not closed yet."""
        return sum(not request.is_closed for request in self.open_requests.values())

    # --- events ------------------------------------------------------------------------------------

    def current_time(self) -> float:
        """Unix time, which never goes back.

        Lease windows follow from it, so all gateways need the same clock.
        """
        self.now = max(self.now, time.time())
        return self.now

    def deliver(self, event: Event) -> None:
        """Deliver an event to the policy and execute its actions.

        Events that these actions cause are delivered after them, in order.
        """
        self._events.append(event)
        if self._is_processing:
            return
        self._is_processing = True
        try:
            while self._events:
                self._process_event(self._events.popleft())
        finally:
            self._is_processing = False

    def submit(
        self,
        build_request: Callable[[int], Request],
        deadline: float,
        encode_for_endpoint: Callable[[float], bytes],
        on_response: Callable[[Response], None],
        on_released: Callable[[], None],
    ) -> OpenRequest:
        """Open a request and deliver it to the policy.

        Args:
            build_request: The policy's event, given the new request id.
            deadline: As in ``OpenRequest``, like the remaining arguments.
            encode_for_endpoint: See there.
            on_response: See there.
            on_released: See there.
        """
        self.last_request_id += 1
        request = OpenRequest(self.last_request_id, encode_for_endpoint, on_response, on_released, deadline)
        self.open_requests[request.request_id] = request
        time_remaining = deadline - RESPONSE_MARGIN_SECONDS - time.monotonic()
        request.deadline_timer = self._loop.call_later(
            max(0.0, time_remaining), self._handle_deadline, request
        )
        self.deliver(build_request(request.request_id))
        return request

    def client_disconnected(self, request: OpenRequest) -> None:
        """Close a request without a response: attempts on the wire run on, unwritten ones are cancelled."""
        if request.is_closed:
            return
        request.close()
        self.deliver(ClientDisconnected(request.request_id))
        request.cancel_unwritten_attempts()
        self._release_if_done(request)

    def close_open_requests(self) -> None:
        """Respond to all open requests, as the process is about to end."""
        for request in list(self.open_requests.values()):
            self._handle_deadline(request)

    def apply_endpoint_update(self, update: EndpointUpdate, addresses: dict[int, Address]) -> None:
        """Apply an endpoint list or its change to the connections, then deliver it to the policy.

        Args:
            update: The list or change.
            addresses: Address of each endpoint in it that is not gone, by endpoint id.
        """
        if update.kind is not UpdateKind.DELTA:
            for endpoint_id in [known for known in self.upstream.pools if known not in addresses]:
                self.upstream.remove_endpoint(endpoint_id)
        for record in update.records:
            self._apply_endpoint_record(record, addresses)
        self.deliver(update)

    def _apply_endpoint_record(self, record: EndpointRecord, addresses: dict[int, Address]) -> None:
        endpoint_id = record.endpoint_id
        if record.state is EndpointState.GONE:
            self.upstream.remove_endpoint(endpoint_id)
        else:
            self.upstream.set_endpoint(endpoint_id, addresses[endpoint_id], record.started_at)
        if record.state is EndpointState.DRAINING:
            self.upstream.cancel_waiting(endpoint_id)

    def _process_event(self, event: Event) -> None:
        policy_failed = False
        try:
            actions = self.policy.handle(self.current_time(), event)
        except Exception:
            # An error on one event must not lose other requests: the actions decided before it are executed.
            log.exception("the policy failed on %s", type(event).__name__)
            actions = self.policy.actions
            policy_failed = True
        for action in actions:
            self._try_execute(action)
        if policy_failed and isinstance(event, Request | AttemptFinished):
            self._respond_after_error(event.request_id)

    def _handle_deadline(self, request: OpenRequest) -> None:
        """Respond to a request whose deadline is near, whatever the policy does."""
        if request.is_closed:
            return
        for attempt in list(request.attempts.values()):
            attempt.abandon(Outcome.TIMEOUT)
        if request.is_closed:  # an attempt that never ran ends at once, and the policy may have responded
            return
        request.respond(Response(HTTPStatus.GATEWAY_TIMEOUT))
        self.deliver(ClientDisconnected(request.request_id))
        self._release_if_done(request)

    def _handle_attempt_finished(
        self, request: OpenRequest, number: int, endpoint_id: int, result: AttemptResult
    ) -> None:
        request.attempts.pop(number, None)
        if not result.outcome.never_ran:
            request.may_have_run = True
        if result.outcome is Outcome.OK and not request.is_closed:
            request.respond(Response(HTTPStatus.OK, result.body, result.content_type))
        was_closed = request.is_closed
        self.deliver(
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
            request.cancel_unwritten_attempts()
        self._release_if_done(request)

    # --- actions -----------------------------------------------------------------------------------

    def _try_execute(self, action: Action) -> None:
        try:
            self._execute(action)
        except Exception:
            log.exception("could not execute %s", type(action).__name__)
            if isinstance(action, StartAttempt | Reject | Fail):
                self._respond_after_error(action.request_id)

    def _execute(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case SetTimer():
                self._set_timer(action.at, action.token)
            case AddToCounter():
                self._add_to_counter(action)
            case Reject():
                rejection = Response(HTTPStatus.SERVICE_UNAVAILABLE, retry_after=action.retry_after)
                self._finish(action.request_id, rejection)
            case Fail():
                self._finish(action.request_id, Response(HTTPStatus.BAD_GATEWAY))
            case Cancel():
                self._cancel_attempt(action)
            case Probe():
                self._probe(action.endpoint_id)
            case CloseIdle():
                self.upstream.close_idle(action.endpoint_id)
            case Log():
                log.info("policy: %s", action.text)
            case _:  # the endpoint list is always watched, and gateways have no channel to each other
                self._log_unsupported(type(action).__name__)

    def _start_attempt(self, action: StartAttempt) -> None:
        request = self.open_requests.get(action.request_id)
        if request is None:
            self._report_not_started(action, number=0, request_closed=True)
            return
        number = request.attempts_started
        request.attempts_started += 1
        time_remaining = request.deadline - ATTEMPT_MARGIN_SECONDS - time.monotonic()
        if time_remaining <= 0 or not request.may_start_attempt(number, self._limits):
            self._report_not_started(action, number, request.is_closed)
            return
        timeout = min(time_remaining, action.timeout) if action.timeout > 0 else time_remaining

        def on_finished(result: AttemptResult) -> None:
            self._handle_attempt_finished(request, number, action.endpoint_id, result)

        attempt = self.upstream.start_attempt(
            action.endpoint_id, request.encode_for_endpoint(timeout), timeout, on_finished
        )
        if not attempt.is_finished:
            request.attempts[number] = attempt

    def _report_not_started(self, action: StartAttempt, number: int, request_closed: bool) -> None:
        """Tell the policy, after its present actions, that an attempt was not started."""
        self._events.append(
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

    def _cancel_attempt(self, action: Cancel) -> None:
        request = self.open_requests.get(action.request_id)
        attempt = request.attempts.get(action.attempt) if request is not None else None
        if attempt is not None:
            attempt.abandon(Outcome.CANCELLED)

    def _add_to_counter(self, action: AddToCounter) -> None:
        if self.counter is None:
            self._events.append(CounterReply(action.name, Outcome.CONNECT_FAILED, total=0.0, elapsed=0.0))
        else:
            self.counter.add(action)

    def _probe(self, endpoint_id: int) -> None:
        def on_finished(result: AttemptResult) -> None:
            self.deliver(ProbeFinished(endpoint_id, result.outcome, result.elapsed, result.load_report))

        self.upstream.probe(endpoint_id, on_finished)

    def _log_unsupported(self, action_type: str) -> None:
        """Log an action that has no meaning in this process, once for each type."""
        if action_type not in self._unsupported_actions:
            self._unsupported_actions.add(action_type)
            log.warning("unsupported action: %s", action_type)

    def _set_timer(self, at: float, token: int) -> None:
        # The loop counts whole milliseconds of a cached clock and may call some early: check again then.
        delay = math.ceil((at - self.current_time()) * 1000) / 1000
        self._loop.call_later(max(MIN_TIMER_SECONDS, delay), self._handle_timer, at, token)

    def _handle_timer(self, at: float, token: int) -> None:
        if self.current_time() < at:
            self._set_timer(at, token)
        else:
            self.deliver(TimerFired(token))

    # --- closing a request -------------------------------------------------------------------------

    def _finish(self, request_id: int, response: Response) -> None:
        """Respond to a request as the policy decided, unless it is closed."""
        request = self.open_requests.get(request_id)
        if request is None or request.is_closed:
            return
        request.respond(response)
        request.cancel_unwritten_attempts()
        self._release_if_done(request)

    def _respond_after_error(self, request_id: int) -> None:
        """Respond to a request that an error has left without a response and without attempts in flight.

        The status is 503 only if no endpoint has executed the request.
        """
        request = self.open_requests.get(request_id)
        if request is None or request.is_closed or request.attempts:
            return
        status = HTTPStatus.BAD_GATEWAY if request.may_have_run else HTTPStatus.SERVICE_UNAVAILABLE
        request.respond(Response(status))
        self._events.append(ClientDisconnected(request_id))
        self._release_if_done(request)

    def _release_if_done(self, request: OpenRequest) -> None:
        if not request.is_closed or request.attempts:
            return
        if self.open_requests.pop(request.request_id, None) is not None:
            request.on_released()
