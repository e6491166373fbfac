"""Drives the one Policy: events in, its actions carried out in order, the table of open requests."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from gateway.config import Address
from gateway.counter.client import CounterClient
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
    EndpointState,
    EndpointUpdate,
    Event,
    Outcome,
    ProbeFinished,
    Request,
    TimerFired,
    UpdateKind,
)
from gateway.upstream.attempt import Attempt, AttemptResult
from gateway.upstream.client import UpstreamClient

ATTEMPT_MARGIN = 0.030  # seconds before the client's deadline at which an attempt is given up
GUARD_MARGIN = 0.015  # and at which the request is answered whatever the module does

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Response:
    """A final answer.  `status` 200 serves, 503 refuses, any other fails."""

    status: int
    body: bytes = b""
    content_type: bytes = b""
    retry_after: float = 0.0


@dataclass(slots=True)
class OpenRequest:
    """A request that still needs an answer, or whose attempts are still out."""

    request_id: int
    encode_for_endpoint: Callable[[float], bytes]  # what goes to a backend, given the time that is left
    on_response: Callable[[Response], None]
    on_released: Callable[[], None]  # hears when it is answered and none of its attempts is out
    deadline: float  # monotonic time at which its client gives up
    deadline_timer: asyncio.TimerHandle | None = None
    attempts: dict[int, Attempt] = field(default_factory=dict)
    attempts_started: int = 0
    may_have_run: bool = False
    answered: bool = False  # answered, or nobody waits any more


class PolicyDriver:
    def __init__(self, gateway: Policy, upstream: UpstreamClient) -> None:
        self.policy, self.upstream = gateway, upstream
        self.counter: CounterClient | None = None
        self.limits = gateway.settings.limits
        self.loop = asyncio.get_running_loop()
        self.open_requests: dict[int, OpenRequest] = {}
        self.events: deque[Event] = deque()
        self.processing = False
        self.now = 0.0
        self.last_request_id = 0
        self.unsupported_actions: set[str] = set()  # kinds of action that were logged as not supported
        self.unanswered = 0  # requests without their answer

    # --- events in ---------------------------------------------------------------------------------

    def current_time(self) -> float:
        """Unix time, as lease windows must agree between front doors; it never goes back."""
        self.now = max(self.now, time.time())
        return self.now

    def deliver(self, event: Event) -> None:
        """Hand an event to the module.  Those that its actions bring about wait for their turn."""
        self.events.append(event)
        if self.processing:
            return
        self.processing = True
        try:
            while self.events:
                self.process_event(self.events.popleft())
        finally:
            self.processing = False

    def process_event(self, event: Event) -> None:
        gateway = self.policy
        failed = False
        try:
            actions = gateway.handle(self.current_time(), event)
        except Exception:
            # One bad event must not lose the others: what was decided before the error still holds.
            log.exception("the module failed on %s", type(event).__name__)
            actions, failed = gateway.actions, True
        for action in actions:
            try:
                self.execute(action)
            except Exception:
                log.exception("could not carry out %s", type(action).__name__)
                if isinstance(action, StartAttempt | Reject | Fail):
                    self.answer_after_error(action.request_id)
        if failed and isinstance(event, Request | AttemptFinished):
            self.answer_after_error(event.request_id)

    def answer_after_error(self, number: int) -> None:
        """A truthful final answer for a request that an error has left without one."""
        request = self.open_requests.get(number)
        if request is not None and not request.answered and not request.attempts:
            self.respond(request, Response(502 if request.may_have_run else 503))
            self.events.append(ClientDisconnected(number))
            self.release_if_done(request)

    def submit(
        self,
        make: Callable[[int], Request],
        end: float,
        payload: Callable[[float], bytes],
        reply: Callable[[Response], None],
        over: Callable[[], None],
    ) -> OpenRequest:
        self.last_request_id += 1
        request = OpenRequest(self.last_request_id, payload, reply, over, end)
        self.open_requests[request.request_id] = request
        self.unanswered += 1
        left = end - GUARD_MARGIN - time.monotonic()
        request.deadline_timer = self.loop.call_later(max(0.0, left), self.deadline_reached, request)
        self.deliver(make(request.request_id))
        return request

    def client_disconnected(self, request: OpenRequest) -> None:
        """The client has gone away; attempts that are out run on, those that only wait are given up."""
        if not request.answered:
            self.respond(request, None)
            self.deliver(ClientDisconnected(request.request_id))
            self.cancel_unwritten_attempts(request)
            self.release_if_done(request)

    def cancel_unwritten_attempts(self, request: OpenRequest) -> None:
        """What is not written whole must not be, as nobody waits for it or it is answered: it never ran."""
        for attempt in list(request.attempts.values()):
            if attempt.connection is None or attempt.connection.has_unsent_bytes:
                attempt.abandon(Outcome.CANCELLED)

    def deadline_reached(self, request: OpenRequest) -> None:
        """Guards the rule that no request is lost: its client's time is nearly up, and nobody answered."""
        if request.answered:
            return
        for attempt in list(request.attempts.values()):
            attempt.abandon(Outcome.TIMEOUT)
        if not request.answered:  # what never ran may have been answered just now
            self.respond(request, Response(504))
            self.deliver(ClientDisconnected(request.request_id))
            self.release_if_done(request)

    def answer_open_requests(self) -> None:
        """The process is about to end: what is still held gets its final answer."""
        for request in list(self.open_requests.values()):
            self.deadline_reached(request)

    def apply_endpoint_update(self, members: EndpointUpdate, addresses: dict[int, Address]) -> None:
        if members.kind is not UpdateKind.DELTA:
            for backend in [b for b in self.upstream.pools if b not in addresses]:
                self.upstream.remove_endpoint(backend)
        for entry in members.records:
            if entry.state is EndpointState.GONE:
                self.upstream.remove_endpoint(entry.endpoint_id)
            else:
                self.upstream.set_endpoint(entry.endpoint_id, addresses[entry.endpoint_id], entry.started_at)
            if entry.state is EndpointState.DRAINING:
                self.upstream.cancel_waiting(entry.endpoint_id)
        self.deliver(members)

    # --- actions out -------------------------------------------------------------------------------

    def execute(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self.start_attempt(action)
            case SetTimer():
                self.set_timer(action.at, action.token)
            case AddToCounter():
                if self.counter is None:
                    self.events.append(CounterReply(action.name, Outcome.CONNECT_FAILED, 0.0, 0.0))
                else:
                    self.counter.add(action)
            case Reject():
                self.finish(action.request_id, Response(503, retry_after=action.retry_after))
            case Fail():
                self.finish(action.request_id, Response(502))
            case Cancel():
                request = self.open_requests.get(action.request_id)
                if request is not None and (attempt := request.attempts.get(action.attempt)) is not None:
                    attempt.abandon(Outcome.CANCELLED)
            case Probe():
                backend = action.endpoint_id
                self.upstream.probe(
                    backend,
                    lambda r: self.deliver(ProbeFinished(backend, r.outcome, r.elapsed, r.load_report)),
                )
            case CloseIdle():
                self.upstream.close_idle(action.endpoint_id)
            case Log():
                log.info("module: %s", action.text)
            case _:  # discovery is always watched, and front doors cannot talk to each other
                if type(action).__name__ not in self.unsupported_actions:
                    self.unsupported_actions.add(type(action).__name__)
                    log.warning("not supported here: %s", type(action).__name__)

    def start_attempt(self, action: StartAttempt) -> None:
        request = self.open_requests.get(action.request_id)
        number = request.attempts_started if request is not None else 0
        if request is not None:
            request.attempts_started += 1
        left = request.deadline - ATTEMPT_MARGIN - time.monotonic() if request is not None else 0.0
        if (
            request is None
            or request.answered
            or left <= 0
            or number >= self.limits.max_attempts
            or (request.attempts and not self.limits.may_hedge)
        ):
            closed = request is None or request.answered
            self.events.append(
                AttemptFinished(
                    action.request_id, number, action.endpoint_id, Outcome.NOT_STARTED, closed, 0.0, 0, 0, ()
                )
            )
            return
        timeout = min(left, action.timeout) if action.timeout > 0 else left

        def done(result: AttemptResult) -> None:
            self.attempt_finished(request, number, action.endpoint_id, result)

        attempt = self.upstream.start_attempt(
            action.endpoint_id, request.encode_for_endpoint(timeout), timeout, done
        )
        if not attempt.is_finished:
            request.attempts[number] = attempt

    def attempt_finished(
        self, request: OpenRequest, number: int, backend: int, result: AttemptResult
    ) -> None:
        request.attempts.pop(number, None)
        if not result.outcome.never_ran:
            request.may_have_run = True
        if result.outcome is Outcome.OK and not request.answered:
            self.respond(request, Response(200, result.body, result.content_type))
        closed = request.answered
        self.deliver(
            AttemptFinished(
                request.request_id,
                number,
                backend,
                result.outcome,
                closed,
                result.elapsed,
                0,
                0,
                result.load_report,
            )
        )
        if closed:
            self.cancel_unwritten_attempts(request)
        self.release_if_done(request)

    def finish(self, number: int, answer: Response) -> None:
        request = self.open_requests.get(number)
        if request is not None and not request.answered:
            self.respond(request, answer)
            self.cancel_unwritten_attempts(request)
            self.release_if_done(request)

    def respond(self, request: OpenRequest, answer: Response | None) -> None:
        request.answered = True
        self.unanswered -= 1
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        if answer is not None:
            request.on_response(answer)

    def release_if_done(self, request: OpenRequest) -> None:
        if (
            request.answered
            and not request.attempts
            and self.open_requests.pop(request.request_id, None) is not None
        ):
            request.on_released()

    def set_timer(self, at: float, token: int) -> None:
        # The loop counts whole milliseconds from a cached clock and may fire early by some: look again.
        delay = math.ceil((at - self.current_time()) * 1000) / 1000
        self.loop.call_later(max(0.001, delay), self.timer_due, at, token)

    def timer_due(self, at: float, token: int) -> None:
        if self.current_time() < at:
            self.set_timer(at, token)
        else:
            self.deliver(TimerFired(token))
