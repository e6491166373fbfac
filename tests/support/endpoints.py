"""Simulated endpoints that warm up, the gateways that send to them, and a reference endpoint table."""

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

Kind = TypeVar("Kind")

COLD_FRACTION = 0.2  # of its capacity that an endpoint has when it starts, as in the settings
WARM_UP_SECONDS = 10.0  # as in the settings
ENDPOINT_COUNT = 40
WARMING_FRACTION = 0.6  # of the endpoints
SLOTS = 4  # requests that an endpoint works on at once
MAX_QUEUE_SECONDS = 1.0  # of work beyond which an endpoint rejects requests
UNEVENNESS = 0.8  # standard deviation of the logarithm of a gateway's load
BURST_SECONDS = 5.0
STARTED_AT = START + 10.0  # the warming endpoints
KILLED_AT = START + 13.0  # some of the gateways
BACK_AT = START + 14.0  # those gateways
END_AT = START + 24.0


def endpoint_ids(endpoints: Iterable[Endpoint]) -> list[int]:
    """Return the ids of endpoints, in their order."""
    return [endpoint.record.endpoint_id for endpoint in endpoints]


def actions_of(actions: Iterable[Action], kind: type[Kind]) -> list[Kind]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


@dataclass(frozen=True)
class Load:
    """What an endpoint bears.

    Attributes:
        capacity: Requests a second that a warm endpoint serves.
        overload_multiple: Multiple of its present capacity at which a warming endpoint fails.
        overload_window: Seconds for which that load must last.
    """

    capacity: float
    overload_multiple: float
    overload_window: float


@dataclass
class WarmingEndpoints:
    """What has reached each endpoint; a warming one fails beyond its budget and what chance allows.

    Attributes:
        warming: Ids of the endpoints that start at STARTED_AT.
        arrivals: Times of the requests in the last window, by warming endpoint.
        busy_until: When each slot is free, by endpoint.
        smallest_margin: Requests that were left before the nearest failure.
    """

    warming: set[int]
    load: Load
    random: random.Random
    arrivals: dict[int, deque[float]] = field(default_factory=dict)
    busy_until: dict[int, list[float]] = field(default_factory=dict)
    smallest_margin: float = math.inf

    def capacity_fraction(self, endpoint_id: int, now: float) -> float:
        """Return the fraction of its capacity that an endpoint has."""
        if endpoint_id not in self.warming or now < STARTED_AT:
            return 1.0
        return min(1.0, COLD_FRACTION + (1 - COLD_FRACTION) * (now - STARTED_AT) / WARM_UP_SECONDS)

    def serve(self, endpoint_id: int, now: float) -> tuple[float, Outcome]:
        """Return when an endpoint has responded to a request, and how."""
        fraction = self.capacity_fraction(endpoint_id, now)
        if fraction < 1:
            self._record_margin(endpoint_id, now)
        busy_until = self.busy_until.setdefault(endpoint_id, [0.0] * SLOTS)
        begins_at = max(now, busy_until[0])
        if begins_at - now > MAX_QUEUE_SECONDS:
            return now + 0.001, Outcome.OVERLOADED
        ends_at = begins_at + self.random.expovariate(self.load.capacity * fraction / SLOTS)
        heapq.heapreplace(busy_until, ends_at)
        return ends_at, Outcome.OK

    def _record_margin(self, endpoint_id: int, now: float) -> None:
        arrivals = self.arrivals.setdefault(endpoint_id, deque())
        arrivals.append(now)
        while arrivals[0] <= now - self.load.overload_window:
            arrivals.popleft()
        allowed = self.load.overload_multiple * self.load.capacity * self.load.overload_window
        budget = allowed * self.capacity_fraction(endpoint_id, arrivals[0])
        margin = budget + 2 * math.sqrt(budget) + 2 - len(arrivals)
        self.smallest_margin = min(self.smallest_margin, margin)


class WarmingFleet:
    """Gateways with uneven loads, driven event by event in simulated time."""

    def __init__(self, seed: int, gateway_count: int, killed_fraction: float, load: Load) -> None:
        self.random = random.Random(seed)
        self.load = load
        self.gateway_count = gateway_count
        all_ids = range(1, ENDPOINT_COUNT + 1)
        self.warming = set(self.random.sample(all_ids, int(WARMING_FRACTION * ENDPOINT_COUNT)))
        self.endpoints = WarmingEndpoints(self.warming, load, self.random)
        self.victims = self.random.sample(range(gateway_count), int(killed_fraction * gateway_count))
        self.weights = [self.random.lognormvariate(0.0, UNEVENNESS) for _ in range(gateway_count)]
        self.policies = [self._make_policy(index, START) for index in range(gateway_count)]
        self.down: set[int] = set()
        self.in_flight: list[tuple[float, int, int, AttemptFinished, Policy]] = []
        self.attempts = 0

    def _records(self, now: float) -> tuple[EndpointRecord, ...]:
        have_started = now >= STARTED_AT
        return tuple(
            make_record(
                endpoint_id,
                cell=endpoint_id % 2,
                started=STARTED_AT if endpoint_id in self.warming and have_started else 0.0,
            )
            for endpoint_id in range(1, ENDPOINT_COUNT + 1)
        )

    def _make_policy(self, index: int, now: float) -> Policy:
        """Return the policy of a process that has just started: it knows the endpoint list alone."""
        return make_policy(
            self._records(now),
            self.random.getrandbits(32),
            me=str(index),
            peers_total=str(self.gateway_count),
            tariffs__0__quota_rate="0",
            rules__fall_multiple=str(self.load.overload_multiple),
            rules__fall_s=str(self.load.overload_window),
        )

    def _handle(self, index: int, now: float, event: Event) -> None:
        policy = self.policies[index]
        for attempt in started_attempts(policy.handle(now, event)):
            self.attempts += 1
            ends_at, outcome = self.endpoints.serve(attempt.endpoint_id, now)
            finished = self._finished(policy, attempt, outcome)
            heapq.heappush(self.in_flight, (ends_at, self.attempts, index, finished, policy))

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

    def _announce_warming(self, now: float) -> None:
        for index in range(self.gateway_count):
            self._handle(index, now, EndpointUpdate(UpdateKind.SNAPSHOT, 2, self._records(now)))

    def _kill_victims(self, _now: float) -> None:
        self.down = set(self.victims)

    def _restart_victims(self, now: float) -> None:
        self.down = set()
        for index in self.victims:
            self.policies[index] = self._make_policy(index, now)

    def _send_request(self, now: float, request_id: int) -> None:
        alive = [index for index in range(self.gateway_count) if index not in self.down]
        weights = [self.weights[index] for index in alive]
        (index,) = self.random.choices(alive, weights)
        self._handle(index, now, make_request(request_id))

    def play(self, rate: float, burst: float) -> None:
        """Send `rate` requests a second, `burst` times as many for 5 s when the warming endpoints start."""
        script = deque(
            [
                (STARTED_AT, self._announce_warming),
                (KILLED_AT, self._kill_victims),
                (BACK_AT, self._restart_victims),
            ]
        )
        now = START
        tick = START
        request_id = 0
        while now < END_AT:
            in_burst = STARTED_AT <= now < STARTED_AT + BURST_SECONDS
            now += self.random.expovariate(rate * (burst if in_burst else 1.0))
            while tick < now:
                tick += TICK_SECONDS
                self._finish_attempts(tick)
                self._fire_timers(tick)
            while script and now >= script[0][0]:
                _, step = script.popleft()
                step(now)
            self._finish_attempts(now)
            request_id += 1
            self._send_request(now, request_id)
