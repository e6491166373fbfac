"""The policy of one gateway; gateway/policy/{settings,events,actions}.py define its inputs and outputs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gateway.policy import events
from gateway.policy.actions import Action, Fail, Reject, SetTimer, StartAttempt
from gateway.policy.admission import Admission, AdmissionCallbacks
from gateway.policy.concurrency_limiter import MAX_LATE_RATIO, ConcurrencyLimiter
from gateway.policy.context import DEADLINE_MARGIN_SECONDS, TICK_SECONDS, Context
from gateway.policy.counter_calls import CounterCalls
from gateway.policy.counter_rate_limiter import CounterRateLimiter
from gateway.policy.dispatch_queue import DispatchQueue
from gateway.policy.endpoints import Endpoint, EndpointTable
from gateway.policy.lease_table import LeaseTable
from gateway.policy.load_balancer import LoadBalancer
from gateway.policy.local_admission import LocalAdmission
from gateway.policy.pending_request import PendingRequest
from gateway.policy.retries import Retries
from gateway.policy.slow_start import SlowStart
from gateway.policy.tick_timer import SLOW_TICK_SECONDS, TickTimer

if TYPE_CHECKING:
    from gateway.policy.settings import Settings

TIMER_TOKEN = 1  # the policy has one timer
MAX_DISPATCH_FAILURES = 3  # a pass over the queue ends when more requests than this find no endpoint
MIN_TIME_REMAINING_SECONDS = DEADLINE_MARGIN_SECONDS + 2 * TICK_SECONDS  # with less, a request is rejected


class Policy:
    """Decides what one gateway does with its requests; `handle` is the only entry point.

    Attributes:
        pending: Requests that are unanswered or have attempts in flight, by request id.
        queue: Admitted requests that wait for an endpoint with capacity.
        requests_in_flight: Number of pending requests that have attempts in flight.
        timer: Schedules the policy's timer.
        reclaim_at: Unix time of the next reclaim of idle credits, in seconds.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        context = Context(settings, seed)
        rate_limiter = CounterRateLimiter(context)
        counter_calls = CounterCalls(context, rate_limiter)
        slow_start = SlowStart(context)
        endpoints = EndpointTable(context, slow_start)
        limiter = ConcurrencyLimiter(context, endpoints)
        callbacks = AdmissionCallbacks(dispatch=self._dispatch, reject=self._reject)
        self.context = context
        self.counter_rate_limiter = rate_limiter
        self.slow_start = slow_start
        self.endpoints = endpoints
        self.concurrency_limiter = limiter
        self.load_balancer = LoadBalancer(context, endpoints, slow_start, limiter)
        self.leases = LeaseTable(context, counter_calls)
        self.local_admission = LocalAdmission(context, rate_limiter, limiter)
        self.admission = Admission(context, self.leases, counter_calls, self.local_admission, callbacks)
        self.retries = Retries(context, endpoints, limiter, self.load_balancer)
        self.pending: dict[int, PendingRequest] = {}
        self.queue = DispatchQueue()
        self.requests_in_flight = 0
        self.timer = TickTimer()
        self.reclaim_at = 0.0

    @property
    def settings(self) -> Settings:
        """The settings of the deployment."""
        return self.context.settings

    @property
    def actions(self) -> list[Action]:
        """The actions emitted so far for the latest event."""
        return self.context.actions

    def handle(self, now: float, event: events.Event) -> list[Action]:
        """Handle an event; return the actions to execute, in order.  `now` is Unix time in seconds."""
        self.context.begin_event(now)
        match event:
            case events.Request():
                self._on_request(event)
            case events.AttemptFinished():
                self._on_attempt_finished(event)
            case events.ProbeFinished():
                self._on_probe_finished(event)
            case events.CounterReply():
                self.admission.handle_counter_reply(event)
            case events.TimerFired():
                self._on_timer()
            case events.EndpointUpdate():
                self.endpoints.apply_update(event, self.concurrency_limiter.mean_latency)
                self._dispatch_queued()
            case events.ClientDisconnected():
                self._on_client_disconnected(event)
        self._set_timer()
        return self.context.actions

    def _on_request(self, request: events.Request) -> None:
        settings = self.context.settings
        now = self.context.now
        pending = PendingRequest(
            request,
            settings.classes[request.class_index],
            settings.plans[request.plan_index],
            arrived_at=now,
            deadline=now + request.time_remaining,
        )
        self.admission.register(pending)
        self.pending[request.request_id] = pending
        self.load_balancer.probe_if_due()
        if request.time_remaining < MIN_TIME_REMAINING_SECONDS:
            self._reject(pending, 0.0)
        else:
            self.admission.admit(pending)

    def _on_probe_finished(self, event: events.ProbeFinished) -> None:
        endpoint = self.endpoints.by_id.get(event.endpoint_id)
        if endpoint is not None:
            self.concurrency_limiter.record_load_report(endpoint.load_report, event.load_report)

    def _on_client_disconnected(self, event: events.ClientDisconnected) -> None:
        pending = self.pending.get(event.request_id)
        if pending is not None:
            self._close(pending)

    def _on_attempt_finished(self, event: events.AttemptFinished) -> None:
        pending = self.pending.get(event.request_id)
        attempt = self.endpoints.finish_attempt(event.endpoint_id, (event.request_id, event.attempt))
        if attempt is not None:
            self.load_balancer.record_result(attempt, event, pending)
        if pending is not None:
            self._finish_attempt(pending, event)
        self._dispatch_queued()

    def _finish_attempt(self, pending: PendingRequest, event: events.AttemptFinished) -> None:
        attempt = pending.finish_attempt(event.attempt, never_ran=event.outcome.never_ran)
        if attempt is not None and not pending.in_flight:
            self.requests_in_flight -= 1
        answered = event.request_closed or event.outcome is events.Outcome.OK
        if pending.closed or answered:
            self._close(pending)
        elif not pending.in_flight:
            self._retry_or_give_up(pending)

    def _retry_or_give_up(self, pending: PendingRequest) -> None:
        if not self.retries.may_retry(pending):
            self._give_up(pending)
        elif self.concurrency_limiter.late_ratio > MAX_LATE_RATIO:
            self.queue.add(pending)  # under overload, a retry waits in the queue like other requests
        else:
            self._dispatch(pending)

    def _dispatch(self, pending: PendingRequest) -> None:
        """Send an admitted request to the best endpoint, or queue it while none has capacity."""
        if pending.closed:
            return
        # Under a ceiling, the credits of queued requests expire too; else these could exceed the ceiling.
        credit_may_expire = pending.plan.ceiling_rate != 0 and pending.attempts_started == 0
        if credit_may_expire and self.admission.drop_expired_credit(pending):
            self.admission.admit(pending)
            return
        endpoint = self.load_balancer.choose(pending, self.retries.allowed_endpoints(pending))
        if endpoint is not None:
            self._start_attempt(pending, endpoint)
        elif not pending.in_flight:
            self.queue.add(pending)

    def _dispatch_queued(self) -> None:
        """Dispatch the queued requests by priority; stop when a few have found no endpoint."""
        if not self.queue or not self.concurrency_limiter.has_capacity():
            return
        for pending in self.queue.pop_all():
            if len(self.queue) > MAX_DISPATCH_FAILURES:
                self.queue.add(pending)
            else:
                self._dispatch(pending)

    def _start_attempt(self, pending: PendingRequest, endpoint: Endpoint) -> None:
        request_id = pending.request.request_id
        number = pending.attempts_started
        if not pending.in_flight:
            self.requests_in_flight += 1
        attempt = self.endpoints.start_attempt(endpoint, (request_id, number))
        pending.start_attempt(attempt)
        self.slow_start.record_attempt(endpoint.slow_start_budget, endpoint.record.started_at)
        if number == 0:
            self.retries.record_first_attempt()
        self.context.actions.append(StartAttempt(request_id, endpoint.record.endpoint_id, timeout=0.0))

    def _give_up(self, pending: PendingRequest) -> None:
        """Reject a request that gets no further attempt, or fail it if its client could not retry safely."""
        if self.retries.is_rejection_safe(pending):
            # Within one mean latency, about as many attempts end as are in flight now.
            self._reject(pending, self.concurrency_limiter.mean_latency)
        else:
            self._close(pending)
            self.context.actions.append(Fail(pending.request.request_id))

    def _reject(self, pending: PendingRequest, retry_after: float) -> None:
        """Reject a request, and tell its client after how many seconds to retry."""
        self._close(pending)
        retry_after = min(max(0.0, retry_after), self.context.settings.limits.max_retry_after)
        self.context.actions.append(Reject(pending.request.request_id, retry_after))

    def _close(self, pending: PendingRequest) -> None:
        """Close a request to further attempts; remove it if none of its attempts is in flight."""
        request_id = pending.request.request_id
        if not pending.in_flight and request_id in self.pending:
            del self.pending[request_id]
            self.admission.release(pending)
        pending.close()

    def _set_timer(self) -> None:
        """Set the timer while requests are pending or credits reclaimable; an idle gateway needs none."""
        if not self.pending and not self.leases.reclaimable:
            return
        waiting = self.requests_in_flight < len(self.pending) or len(self.queue) > 0
        due = self.timer.schedule(self.context.now, waiting=waiting)
        if due is not None:
            self.context.actions.append(SetTimer(due, TIMER_TOKEN))

    def _on_timer(self) -> None:
        self._give_up_late_requests()
        self.admission.retry_deferred_leases()
        self.queue.remove_closed()
        self._dispatch_queued()
        self._replace_stalled_attempts()
        if self.context.now >= self.reclaim_at:
            self.reclaim_at = self.context.now + SLOW_TICK_SECONDS
            self.leases.reclaim_idle_credits()

    def _give_up_late_requests(self) -> None:
        """Give up requests near their deadline, and those whose first attempt would miss the objective."""
        now = self.context.now
        mean_latency = self.concurrency_limiter.mean_latency
        for pending in [pending for pending in self.pending.values() if not pending.in_flight]:
            objective_at = pending.arrived_at + pending.request_class.latency_objective
            misses_objective = pending.attempts_started == 0 and now + mean_latency > objective_at
            if misses_objective or now > pending.deadline - DEADLINE_MARGIN_SECONDS - TICK_SECONDS:
                self._give_up(pending)

    def _replace_stalled_attempts(self) -> None:
        requests = self.pending.values()
        replaceable = [pending for pending in requests if not pending.closed and len(pending.in_flight) == 1]
        for pending in replaceable:
            endpoint = self.retries.replace_stalled_attempt(pending)
            if endpoint is not None:
                self._start_attempt(pending, endpoint)
