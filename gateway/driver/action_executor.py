"""Executes the actions that the policy returns."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from gateway.driver.open_request import STATUS_FAILED, STATUS_REJECTED, Response
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
from gateway.policy.events import CounterReply, Event, Outcome, ProbeFinished

if TYPE_CHECKING:
    from collections.abc import Callable

    from gateway.counter.client import CounterClient
    from gateway.driver.open_requests import OpenRequests
    from gateway.driver.request_attempts import RequestAttempts
    from gateway.driver.timers import PolicyTimers
    from gateway.upstream.attempt import AttemptResult
    from gateway.upstream.client import UpstreamClient

log = logging.getLogger(__name__)


class ActionExecutor:
    """Executes actions one by one; an error in one action does not stop the actions after it.

    Attributes:
        counter: Client of the central counter service; None if the process has no counter.
    """

    def __init__(
        self,
        upstream: UpstreamClient,
        open_requests: OpenRequests,
        attempts: RequestAttempts,
        timers: PolicyTimers,
        deliver: Callable[[Event], None],
    ) -> None:
        self.counter: CounterClient | None = None
        self._upstream = upstream
        self._open_requests = open_requests
        self._deliver = deliver
        self._unsupported_actions: set[str] = set()  # type names already logged
        self._handlers: dict[type[Action], Callable[[Any], None]] = {
            StartAttempt: attempts.start,
            Cancel: attempts.cancel,
            Reject: self._reject,
            Fail: self._fail,
            AddToCounter: self._add_to_counter,
            SetTimer: lambda action: timers.set(action.at, action.token),
            Probe: self._probe,
            CloseIdle: lambda action: upstream.close_idle_connections(action.endpoint_id),
            Log: lambda action: log.info("policy: %s", action.text),
        }

    def use_counter(self, counter: CounterClient) -> None:
        """Execute counter calls through this client from now on."""
        self.counter = counter

    def execute(self, action: Action) -> None:
        """Execute an action.

        If it raises an exception, log the exception and make sure that the action's request gets a response.
        """
        # Actions without a handler do not apply to this process: it always watches the endpoint list, and
        # gateways have no channel to each other.
        handler = self._handlers.get(type(action), self._log_unsupported)
        try:
            handler(action)
        except Exception:
            log.exception("could not execute %s", type(action).__name__)
            if isinstance(action, StartAttempt | Reject | Fail):
                self._open_requests.respond_after_error(action.request_id)

    def _reject(self, action: Reject) -> None:
        rejection = Response(STATUS_REJECTED, retry_after=action.retry_after)
        self._open_requests.finish(action.request_id, rejection)

    def _fail(self, action: Fail) -> None:
        self._open_requests.finish(action.request_id, Response(STATUS_FAILED))

    def _add_to_counter(self, action: AddToCounter) -> None:
        if self.counter is None:
            self._deliver(CounterReply(action.name, Outcome.CONNECT_FAILED, total=0.0, elapsed=0.0))
        else:
            self.counter.add_to_counter(action)

    def _probe(self, action: Probe) -> None:
        endpoint_id = action.endpoint_id

        def on_finished(result: AttemptResult) -> None:
            self._deliver(ProbeFinished(endpoint_id, result.outcome, result.elapsed, result.load_report))

        self._upstream.probe(endpoint_id, on_finished)

    def _log_unsupported(self, action: Action) -> None:
        """Log an action that this process does not support, once per action type."""
        action_type = type(action).__name__
        if action_type not in self._unsupported_actions:
            self._unsupported_actions.add(action_type)
            log.warning("unsupported action: %s", action_type)
