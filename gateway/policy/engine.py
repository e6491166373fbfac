"""The policy of one gateway.  Settings, events, actions: gateway/policy/{settings,events,actions}.py.

Why a request was rejected: admission.py.  Where it was sent, and sent again: load_balancer.py, retries.py.
"""

import math

import gateway.policy.events as events
from gateway.policy.actions import Action, Fail, Reject, SetTimer, StartAttempt
from gateway.policy.admission import Admission, AdmissionCallbacks
from gateway.policy.concurrency_limiter import MAX_LATE_RATIO, ConcurrencyLimiter
from gateway.policy.context import DEADLINE_MARGIN_SECONDS, EPSILON, TICK_SECONDS, Context
from gateway.policy.counter_calls import CounterCalls
from gateway.policy.counter_rate_limiter import CounterRateLimiter
from gateway.policy.endpoints import Endpoint, EndpointTable
from gateway.policy.lease_table import LeaseTable
from gateway.policy.load_balancer import LoadBalancer
from gateway.policy.local_admission import LocalAdmission
from gateway.policy.pending_request import PendingRequest
from gateway.policy.retries import Retries
from gateway.policy.settings import Settings
from gateway.policy.slow_start import SlowStart

WATCH_TICKS = 2  # ticks between timers while all requests have attempts in flight, and between reclaims
MAX_UNSENT = 3  # queued requests that find no endpoint, after which the rest stays queued


class Policy:
    """Decides for one gateway; `handle` is the only way in."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.context = settings, (context := Context(settings, seed))
        self.actions: list[Action] = []  # of the last event, as far as it was handled
        self.counter_rate_limiter = rate_limiter = CounterRateLimiter(context)
        self.slow_start = SlowStart(context)
        self.endpoints = endpoints = EndpointTable(context, self.slow_start)
        self.concurrency_limiter = limiter = ConcurrencyLimiter(context, endpoints)
        self.load_balancer = LoadBalancer(context, endpoints, self.slow_start, limiter)
        counter_calls = CounterCalls(context, rate_limiter)
        self.leases = LeaseTable(context, counter_calls)
        self.local_admission = LocalAdmission(context, rate_limiter, limiter)
        callbacks = AdmissionCallbacks(dispatch=self._dispatch, reject=self._reject)
        self.admission = Admission(context, self.leases, counter_calls, self.local_admission, callbacks)
        self.retries = Retries(context, endpoints, limiter, self.load_balancer)
        self.pending: dict[int, PendingRequest] = {}
        self.queue: list[PendingRequest] = []  # admitted, without an endpoint that has capacity
        self.requests_in_flight, self.timer_at, self.reclaim_at = 0, -math.inf, 0.0

    def handle(self, now: float, event: events.Event) -> list[Action]:
        """The actions that answer one event, in order; `now` in seconds of Unix time."""
        self.actions = []
        self.context.now, self.context.actions = now, self.actions
        match event:
            case events.Request():
                self._on_request(event)
            case events.AttemptFinished():
                self._on_attempt_finished(event)
            case events.ProbeFinished() if event.endpoint_id in self.endpoints.by_id:
                endpoint = self.endpoints.by_id[event.endpoint_id]
                self.concurrency_limiter.record_load_report(endpoint.load_report, event.load_report)
            case events.CounterReply():
                self.admission.handle_counter_reply(event)
            case events.TimerFired():
                self._on_timer()
            case events.EndpointUpdate():
                self.endpoints.apply_update(event, self.concurrency_limiter.mean_latency)
                self._dispatch_queued()
            case events.ClientDisconnected() if event.request_id in self.pending:
                self.admission.stop_waiting(self.pending[event.request_id])
                self._close(self.pending[event.request_id])
        self._set_timer()
        return self.actions

    def _on_request(self, request: events.Request) -> None:
        plan, now = self.settings.plans[request.plan_index], self.context.now
        request_class, deadline = self.settings.classes[request.class_index], now + request.time_remaining
        pending = PendingRequest(request, request_class, plan, now, deadline)
        self.admission.open(pending)
        self.pending[request.request_id] = pending
        self.load_balancer.probe()
        if request.time_remaining < DEADLINE_MARGIN_SECONDS + 2 * TICK_SECONDS:
            self._reject(pending, 0.0)  # it would be over before the next tick
        else:
            self.admission.admit(pending)

    def _dispatch(self, pending: PendingRequest) -> None:
        """Send an admitted request to the best endpoint, or queue it while none has capacity."""
        if pending.closed:
            return
        # Credit under a ceiling expires while queued too, or queued requests would pass the ceiling together.
        ceiling = pending.plan.ceiling_rate and not pending.attempts_started
        if ceiling and self.admission.drop_expired_credit(pending):
            self.admission.admit(pending)
        elif endpoint := self.load_balancer.choose(pending, self.retries.allowed_endpoints(pending)):
            self._start_attempt(pending, endpoint)
        elif not pending.in_flight:
            self.queue.append(pending)

    def _dispatch_queued(self) -> None:
        if not self.queue or not self.concurrency_limiter.has_capacity():
            return
        queued = sorted(self.queue, key=lambda p: -p.request_class.priority_weight * p.plan.price_weight)
        self.queue = []
        for pending in queued:
            (self.queue.append if len(self.queue) > MAX_UNSENT else self._dispatch)(pending)

    def _start_attempt(self, pending: PendingRequest, endpoint: Endpoint) -> None:
        request_id, number = pending.request.request_id, pending.attempts_started
        self.requests_in_flight += not pending.in_flight
        pending.start_attempt(self.endpoints.start_attempt(endpoint, (request_id, number)))
        self.slow_start.record_attempt(endpoint.slow_start_budget, endpoint.record.started_at)
        if number == 0:
            self.retries.record_first_attempt()
        self.actions.append(StartAttempt(request_id, endpoint.record.endpoint_id, 0.0))

    def _on_attempt_finished(self, event: events.AttemptFinished) -> None:
        pending = self.pending.get(event.request_id)
        if attempt := self.endpoints.finish_attempt(event.endpoint_id, (event.request_id, event.attempt)):
            self.load_balancer.record_result(attempt, event, pending)
        if pending:
            attempt = pending.finish_attempt(event.attempt, never_ran=event.outcome.never_ran)
            self.requests_in_flight -= attempt is not None and not pending.in_flight
            if pending.closed or event.request_closed or event.outcome is events.Outcome.OK:
                self._close(pending)
            elif not pending.in_flight and not self.retries.may_retry(pending):
                self._finish(pending)
            elif not pending.in_flight and self.concurrency_limiter.late_ratio > MAX_LATE_RATIO:
                self.queue.append(pending)  # what an overloaded endpoint rejected waits for a tick
            elif not pending.in_flight:
                self._dispatch(pending)
        self._dispatch_queued()

    def _finish(self, pending: PendingRequest) -> None:
        """Answer a request that gets no further attempt: by a rejection where a repeat does no harm."""
        if self.retries.is_rejection_safe(pending):
            self._reject(pending, self.concurrency_limiter.mean_latency)  # by then about as much has ended
        else:
            self._close(pending)
            self.actions.append(Fail(pending.request.request_id))

    def _reject(self, pending: PendingRequest, retry_after: float) -> None:
        """Answer a request with a rejection that tells when to come back, also where few clients heed it."""
        self._close(pending)
        retry_after = min(max(0.0, retry_after), self.settings.limits.max_retry_after)
        self.actions.append(Reject(pending.request.request_id, retry_after))

    def _close(self, pending: PendingRequest) -> None:
        """Start nothing more for a request; forget it once none of its attempts is in flight."""
        if not pending.in_flight and self.pending.pop(pending.request.request_id, None) is not None:
            self.admission.release(pending)
        pending.close()

    def _set_timer(self) -> None:
        """Set a timer only while there is something to wait for: idle gateways cost nothing."""
        if not self.pending and not self.leases.reclaimable:
            return
        now, waiting = self.context.now, self.queue or self.requests_in_flight < len(self.pending)
        due = now + TICK_SECONDS * (1 if waiting else WATCH_TICKS)
        if not now + EPSILON < self.timer_at <= due:  # a driver may round a timer down a little
            self.timer_at = due
            self.actions.append(SetTimer(due, 1))

    def _replace_stalled_attempts(self) -> None:
        requests = self.pending.values()
        single = [pending for pending in requests if not pending.closed and len(pending.in_flight) == 1]
        for pending in single:
            endpoint = self.retries.replace_stalled_attempt(pending)
            if endpoint is not None:
                self._start_attempt(pending, endpoint)

    def _on_timer(self) -> None:
        now, latency = self.context.now, self.concurrency_limiter.mean_latency
        for pending in [p for p in self.pending.values() if not p.in_flight]:
            objective_at = pending.arrived_at + pending.request_class.latency_objective
            hopeless = not pending.attempts_started and now + latency > objective_at
            if hopeless or now > pending.deadline - DEADLINE_MARGIN_SECONDS - TICK_SECONDS:
                self._finish(pending)
        self.admission.retry_deferred_leases()
        self.queue = [pending for pending in self.queue if not pending.closed]
        self._dispatch_queued()
        self._replace_stalled_attempts()
        if now >= self.reclaim_at:
            self.reclaim_at = now + WATCH_TICKS * TICK_SECONDS
            self.leases.reclaim_idle_credits()
