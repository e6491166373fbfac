"""A simulation of gateways that send requests to endpoints while some of these warm up."""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar

from gateway.policy.context import TICK_SECONDS
from gateway.policy.events import (
    AttemptFinished,
    EndpointRecord,
    EndpointUpdate,
    Event,
    Outcome,
    TimerFired,
    UpdateKind,
)
from tests.support.policy import (
    START,
    make_finished,
    make_policy,
    make_record,
    make_request,
    started_attempts,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gateway.policy.actions import Action, StartAttempt
    from gateway.policy.endpoints import Endpoint
    from gateway.policy.engine import Policy

ActionType = TypeVar("ActionType")

COLD_FRACTION = 0.2  # fraction of its capacity that an endpoint has when it starts, as in the settings
WARM_UP_SECONDS = 10.0  # as in the settings
ENDPOINT_COUNT = 40
WARMING_FRACTION = 0.6  # fraction of the endpoints that warm up
WORKERS_PER_ENDPOINT = 4  # requests that an endpoint serves in parallel
MAX_QUEUE_SECONDS = 1.0  # an endpoint rejects requests that would wait longer in its queue
GATEWAY_LOAD_SIGMA = 0.8  # standard deviation of the logarithm of a gateway's load
BURST_SECONDS = 5.0
WARM_UP_STARTED_AT = START + 10.0  # start of the warming endpoints
KILLED_AT = START + 13.0  # some gateways are killed
RESTARTED_AT = START + 14.0  # the killed gateways are restarted
ENDS_AT = START + 24.0  # end of the simulation


def endpoint_ids(endpoints: Iterable[Endpoint]) -> list[int]:
    """Return the ids of endpoints, in the same order."""
    return [endpoint.record.endpoint_id for endpoint in endpoints]


def actions_of(actions: Iterable[Action], action_type: type[ActionType]) -> list[ActionType]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, action_type)]


@dataclass(frozen=True)
class EndpointModel:
    """The capacity of each endpoint, and the load at which it crashes while it warms up.

    Attributes:
        capacity: Requests a second that a warm endpoint serves.
        overload_multiple: Multiple of its present capacity at which a warming endpoint crashes.
        overload_window: Seconds for which such a load must last to crash the endpoint.
    """

    capacity: float
    overload_multiple: float
    overload_window: float


@dataclass
class WarmingEndpoints:
    """Endpoints that serve requests, and record how close a warming one has come to a crash.

    Attributes:
        warming: Ids of the endpoints that start at WARM_UP_STARTED_AT.
        model: The capacity of each endpoint.
        random: Generator of the service times.
        arrivals: Times of the requests within the last overload window, by id of the warming endpoint.
        busy_until: Times at which each worker becomes free, as a heap, by endpoint id.
        smallest_margin: Fewest requests by which a warming endpoint has stayed below its limit.
    """

    warming: set[int]
    model: EndpointModel
    random: random.Random
    arrivals: dict[int, deque[float]] = field(default_factory=dict)
    busy_until: dict[int, list[float]] = field(default_factory=dict)
    smallest_margin: float = math.inf

    def capacity_fraction(self, endpoint_id: int, now: float) -> float:
        """Return the fraction of its full capacity that an endpoint has."""
        if endpoint_id not in self.warming or now < WARM_UP_STARTED_AT:
            return 1.0
        return min(1.0, COLD_FRACTION + (1 - COLD_FRACTION) * (now - WARM_UP_STARTED_AT) / WARM_UP_SECONDS)

    def serve(self, endpoint_id: int, now: float) -> tuple[float, Outcome]:
        """Serve a request; return the time and the outcome of the response."""
        fraction = self.capacity_fraction(endpoint_id, now)
        if fraction < 1:
            self._record_margin(endpoint_id, now)
        busy_until = self.busy_until.setdefault(endpoint_id, [0.0] * WORKERS_PER_ENDPOINT)
        begins_at = max(now, busy_until[0])
        if begins_at - now > MAX_QUEUE_SECONDS:
            return now + 0.001, Outcome.OVERLOADED
        ends_at = begins_at + self.random.expovariate(self.model.capacity * fraction / WORKERS_PER_ENDPOINT)
        heapq.heapreplace(busy_until, ends_at)
        return ends_at, Outcome.OK

    def _record_margin(self, endpoint_id: int, now: float) -> None:
        """Compare the requests in the last window to the limit, with a tolerance for random arrivals."""
        arrivals = self.arrivals.setdefault(endpoint_id, deque())
        arrivals.append(now)
        while arrivals[0] <= now - self.model.overload_window:
            arrivals.popleft()
        warm_limit = self.model.overload_multiple * self.model.capacity * self.model.overload_window
        limit = warm_limit * self.capacity_fraction(endpoint_id, arrivals[0])
        margin = limit + 2 * math.sqrt(limit) + 2 - len(arrivals)
        self.smallest_margin = min(self.smallest_margin, margin)


class WarmingFleet:
    """Gateways with uneven loads that send to warming endpoints, in simulated time."""

    def __init__(self, seed: int, gateway_count: int, killed_fraction: float, model: EndpointModel) -> None:
        self.random = random.Random(seed)
        self.model = model
        self.gateway_count = gateway_count
        all_ids = range(1, ENDPOINT_COUNT + 1)
        self.warming = set(self.random.sample(all_ids, int(WARMING_FRACTION * ENDPOINT_COUNT)))
        self.endpoints = WarmingEndpoints(self.warming, model, self.random)
        self.killed_gateways = self.random.sample(range(gateway_count), int(killed_fraction * gateway_count))
        self.weights = [self.random.lognormvariate(0.0, GATEWAY_LOAD_SIGMA) for _ in range(gateway_count)]
        self.policies = [self._make_policy(index, START) for index in range(gateway_count)]
        self.down: set[int] = set()
        self.in_flight: list[tuple[float, int, int, AttemptFinished, Policy]] = []
        self.attempt_count = 0

    def _records(self, now: float) -> tuple[EndpointRecord, ...]:
        have_started = now >= WARM_UP_STARTED_AT
        return tuple(
            make_record(
                endpoint_id,
                cell=endpoint_id % 2,
                started=WARM_UP_STARTED_AT if endpoint_id in self.warming and have_started else 0.0,
            )
            for endpoint_id in range(1, ENDPOINT_COUNT + 1)
        )

    def _make_policy(self, index: int, now: float) -> Policy:
        """Return the policy of a gateway that has just started, and has received only the endpoint list."""
        return make_policy(
            self._records(now),
            self.random.getrandbits(32),
            me=str(index),
            peers_total=str(self.gateway_count),
            tariffs__0__quota_rate="0",
            rules__fall_multiple=str(self.model.overload_multiple),
            rules__fall_s=str(self.model.overload_window),
        )

    def _handle(self, index: int, now: float, event: Event) -> None:
        policy = self.policies[index]
        for attempt in started_attempts(policy.handle(now, event)):
            self.attempt_count += 1
            ends_at, outcome = self.endpoints.serve(attempt.endpoint_id, now)
            finished = self._finished(policy, attempt, outcome)
            heapq.heappush(self.in_flight, (ends_at, self.attempt_count, index, finished, policy))

    def _finished(self, policy: Policy, attempt: StartAttempt, outcome: Outcome) -> AttemptFinished:
        number = policy.pending[attempt.request_id].attempts_started - 1
        return make_finished(attempt.request_id, attempt, outcome, number, closed=outcome is Outcome.OK)

    def _finish_attempts(self, now: float) -> None:
        while self.in_flight and self.in_flight[0][0] <= now:
            ends_at, _, index, finished, policy = heapq.heappop(self.in_flight)
            if policy is self.policies[index] and index not in self.down:
                self._handle(index, ends_at, finished)

    def _fire_timers(self, now: float) -> None:
        for index, policy in enumerate(self.policies):
            if index not in self.down and (policy.pending or policy.leases.reclaimable):
                self._handle(index, now, TimerFired(1))

    def _announce_warming_endpoints(self, now: float) -> None:
        for index in range(self.gateway_count):
            self._handle(index, now, EndpointUpdate(UpdateKind.SNAPSHOT, 2, self._records(now)))

    def _kill_gateways(self, _now: float) -> None:
        self.down = set(self.killed_gateways)

    def _restart_gateways(self, now: float) -> None:
        self.down = set()
        for index in self.killed_gateways:
            self.policies[index] = self._make_policy(index, now)

    def _send_request(self, now: float, request_id: int) -> None:
        alive = [index for index in range(self.gateway_count) if index not in self.down]
        weights = [self.weights[index] for index in alive]
        (index,) = self.random.choices(alive, weights)
        self._handle(index, now, make_request(request_id))

    def run(self, rate: float, burst: float) -> None:
        """Run the simulation.

        Args:
            rate: Requests a second for all gateways together.
            burst: Factor on the rate for BURST_SECONDS from the start of the warming endpoints.
        """
        schedule = deque(
            [
                (WARM_UP_STARTED_AT, self._announce_warming_endpoints),
                (KILLED_AT, self._kill_gateways),
                (RESTARTED_AT, self._restart_gateways),
            ]
        )
        now = START
        tick = START
        request_id = 0
        while now < ENDS_AT:
            in_burst = WARM_UP_STARTED_AT <= now < WARM_UP_STARTED_AT + BURST_SECONDS
            now += self.random.expovariate(rate * (burst if in_burst else 1.0))
            while tick < now:
                tick += TICK_SECONDS
                self._finish_attempts(tick)
                self._fire_timers(tick)
            while schedule and now >= schedule[0][0]:
                _, step = schedule.popleft()
                step(now)
            self._finish_attempts(now)
            request_id += 1
            self._send_request(now, request_id)
