"""The policy driver as the frontend and the process use it: it wires the parts of the driver together."""

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
    from gateway.driver.open_request import OpenRequest, RequestOwner
    from gateway.policy.actions import Action
    from gateway.policy.engine import Policy
    from gateway.upstream.client import UpstreamClient

log = logging.getLogger(__name__)


class PolicyDriver:
    """Connects one policy to the sockets of one process.

    Attributes:
        policy: Makes the decisions; it performs no I/O of its own.
        upstream: Executes attempts and probes.
        open_requests: The requests that are not released.
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
        """The Unix time of the latest event, in seconds."""
        return self._clock.latest

    @property
    def counter(self) -> CounterClient | None:
        """The client that executes counter calls; None without a shared counter."""
        return self._executor.counter

    def use_counter(self, counter: CounterClient) -> None:
        """Execute counter calls with a client from now on."""
        self._executor.use_counter(counter)

    def deliver(self, event: Event) -> None:
        """Deliver an event to the policy and execute its actions.

        Events that these actions cause are delivered after them, in order.
        """
        self._events.deliver(event)

    def submit(self, owner: RequestOwner, deadline: float) -> OpenRequest:
        """Open a request and deliver it to the policy.

        Args:
            owner: The frontend's side of the request.
            deadline: Monotonic time in seconds at which the client stops waiting.
        """
        return self.open_requests.open(owner, deadline)

    def client_disconnected(self, request: OpenRequest) -> None:
        """Close a request without a response: written attempts run on, unwritten ones are cancelled."""
        self.open_requests.client_disconnected(request)

    def apply_endpoint_update(self, update: EndpointUpdate, addresses: dict[int, Address]) -> None:
        """Apply a snapshot or delta of the endpoint list to the connections, then deliver it to the policy.

        Args:
            update: The snapshot or delta.
            addresses: Address of each endpoint of the update that is not gone, by endpoint id.
        """
        apply_to_connections(self.upstream, update, addresses)
        self.deliver(update)

    def _process_event(self, event: Event) -> None:
        actions: list[Action]
        policy_failed = False
        try:
            actions = self.policy.handle(self._clock.read(), event)
        except Exception:
            # An error on one event must not lose other requests: the actions decided before it are executed.
            log.exception("the policy failed on %s", type(event).__name__)
            actions = self.policy.actions
            policy_failed = True
        for action in actions:
            self._executor.execute(action)
        if policy_failed and isinstance(event, Request | AttemptFinished):
            self.open_requests.respond_after_error(event.request_id)
