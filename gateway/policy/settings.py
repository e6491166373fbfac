"""Settings of a deployment, which the policy receives when it is created.

Times are in seconds, rates in units a second.  Fields marked "not read" are part of the simulator's protocol
and of the process configuration, so they are parsed and checked like the others, but no decision uses them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether requests of a class may be retried; the values are those of the settings text."""

    IDEMPOTENT = "safe"  # may be retried at any endpoint
    IDEMPOTENT_WITH_KEY = "keyed"  # may be retried where endpoints drop duplicates by an idempotency key
    NON_IDEMPOTENT = "unsafe"  # may be retried only if no earlier attempt can have been executed


class DedupScope(Enum):
    """Which endpoints recognise a duplicate by its key; the values are those of the settings text."""

    ALL = "all"
    ZONE = "zone"  # endpoints in the zone of the first attempt
    CELL = "cell"  # endpoints in the cell of the first attempt


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests."""

    name: str
    latency_objective: float  # a response within this time earns its full weight
    deadline: float  # longest time that a client waits for the response to one request
    effect: Effect
    dedup_scope: DedupScope
    dedup_window: float  # time from the first attempt for which endpoints remember an idempotency key
    priority_weight: float  # weight of a response of this class relative to the other classes
    late_weight: float  # fraction of its weight that a response after the objective earns; not read
    stream: bool  # whether responses are streamed; not read


@dataclass(slots=True, frozen=True)
class Plan:
    """A customer's plan.  Each quota limits a customer's use of all gateways together; 0 means no limit."""

    name: str
    rate: float  # quota: units a second
    burst: float  # quota: most units that accrue while the rate is not used; a customer starts with them
    max_concurrency: int  # quota: requests in progress
    price_weight: float  # multiplies the priority weight of the request's class
    over_quota_cost: float  # cost of a request forwarded beyond the quota, as a fraction of its weight
    over_quota_weight: float  # fraction of its weight that such a request earns; not read
    ceiling_rate: float  # units a second that must never be exceeded
    ceiling_burst: float  # most units that accrue while the ceiling is not reached
    ceiling_slack: float  # units by which the ceiling may be overdrawn; not read


@dataclass(slots=True, frozen=True)
class Rules:
    """Properties of a deployment's endpoints, and time limits that its gateways must meet."""

    answer_slack: float  # time after the deadline in which a final response still counts; not read
    drain_grace: float  # time for which attempts may still start at a draining endpoint; not read
    cold_capacity_fraction: float  # fraction of its capacity that an endpoint has at least when it starts
    slow_start_time: float  # time from its start after which an endpoint has its full capacity
    cold_overload_multiple: float  # a warming endpoint crashes at this multiple of its present capacity
    cold_overload_window: float  # time for which such a load must last to crash the endpoint
    poll_within: float  # longest time between two polls of the endpoint list; not read


@dataclass(slots=True, frozen=True)
class Limits:
    """What a deployment allows its gateways to do."""

    max_attempts: int  # attempts for one request
    may_hedge: bool  # whether a request may have two attempts in flight
    may_cancel: bool
    may_probe: bool
    may_tell_retry_after: bool  # whether clients usually obey a Retry-After; not read
    max_retry_after: float
    connect_timeout: float


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of one policy."""

    gateway_index: int  # from 0 to gateway_count - 1
    gateway_count: int
    zone: int  # zone of this gateway, as an index into `zones`; not read
    zones: tuple[str, ...]
    period: float  # shortest time between two batches of events from the simulator; not read
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules
    limits: Limits
    has_counter: bool
    counter_price: float  # cost of a counter call for each request, as a fraction of what all requests earn
    counter_timeout: float
    settles_usage: bool  # whether a response states the units that its request consumed; not read
    membership_push: bool  # whether the endpoint list is pushed instead of polled; not read
    weight_source: str  # what an endpoint's weight means; not read
    report_mode: str  # how load reports arrive: "piggyback" on responses, "pull" by probes, "silent": never
    report_columns: tuple[str, ...]  # names of the values in a load report
    prices: dict[str, float]  # prices by name; not read
