"""The interface of the policy driver to the frontend and the process; wires the driver's parts together."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gateway.driver.action_executor import ActionExecutor
from gateway.driver.clock import UnixClock
from gateway.driver.endpoint_connections import apply_to_connections
from gateway.driver.event_queue import EventQueue
from gateway.driver.open_requests import OpenRequests
from gateway.driver.request_attempts import RequestAttempts
from gateway.driver.timers import PolicyTimers
from gateway.policy.events import AttemptFinished, EndpointUpdate, Event, Request

if TYPE_CHECKING:
    from gateway.address import Address
    from gateway.counter.client import CounterClient
    from gateway.driver.open_request import ClientRequest, OpenRequest
    from gateway.policy.actions import Action
    from gateway.policy.engine import Policy
    from gateway.upstream.client import UpstreamClient

log = logging.getLogger(__name__)


class PolicyDriver:
    """Connects the policy to the sockets of the process.

    Attributes:
        policy: Makes all decisions; performs no I/O itself.
        upstream: Executes attempts and probes.
        open_requests: All requests that are not released yet.
    """

    def __init__(self, policy: Policy, upstream: UpstreamClient) -> None:
        self.policy = policy
        self.upstream = upstream
        self._clock = UnixClock()
        self._events = EventQueue(self._process_event)
        deliver = self._events.deliver
        self.open_requests = OpenRequests(deliver)
        self._executor = ActionExecutor(
            upstream,
            self.open_requests,
            RequestAttempts(upstream, self.open_requests, policy.settings.limits, deliver),
            PolicyTimers(self._clock, deliver),
            deliver,
        )

    @property
    def now(self) -> float:
        """Unix time in seconds at which the policy's clock was last read."""
        return self._clock.latest

    @property
    def counter(self) -> CounterClient | None:
        """Client of the central counter service; None if the process has no counter."""
        return self._executor.counter

    def use_counter(self, counter: CounterClient) -> None:
        """Execute counter calls through this client from now on."""
        self._executor.use_counter(counter)

    def deliver(self, event: Event) -> None:
        """Deliver an event to the policy and execute the actions that it returns.

        Events that these actions cause are delivered in order, after all the actions have been executed.
        """
        self._events.deliver(event)

    def submit(self, client_request: ClientRequest, deadline: float) -> OpenRequest:
        """Open a request and deliver its event to the policy.

        Args:
            client_request: The request as the frontend submits it.
            deadline: Monotonic time in seconds at which the client stops waiting.
        """
        return self.open_requests.open(client_request, deadline)

    def handle_client_disconnect(self, request: OpenRequest) -> None:
        """Close a request whose client has disconnected.

        Attempts whose bytes are sent completely continue; the others are cancelled.
        """
        self.open_requests.handle_client_disconnect(request)

    def apply_endpoint_update(self, update: EndpointUpdate, addresses: dict[int, Address]) -> None:
        """Apply an update of the endpoint list to the connections, then deliver it to the policy.

        Args:
            update: The snapshot or delta.
            addresses: Addresses by endpoint id, of all endpoints in the update that are not gone.
        """
        apply_to_connections(self.upstream, update, addresses)
        self.deliver(update)

    def _process_event(self, event: Event) -> None:
        actions: list[Action]
        policy_failed = False
        try:
            actions = self.policy.handle(self._clock.read(), event)
        except Exception:
            # An error on one event must not lose other requests, so the actions that the policy had decided
            # on before the error are executed.
            log.exception("the policy failed on %s", type(event).__name__)
            actions = self.policy.actions
            policy_failed = True
        for action in actions:
            self._executor.execute(action)
        if policy_failed and isinstance(event, Request | AttemptFinished):
            self.open_requests.respond_after_error(event.request_id)
