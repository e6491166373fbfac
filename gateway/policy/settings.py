"""Settings of a deployment, which the policy gets at its start.

Times are in seconds, rates in units a second.  The fields marked "not read" belong to the settings message of
the simulator's wire and to the process configuration, so they are parsed and checked with the others; no
decision uses them today.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a request of a class may be retried; the values are those of the settings text."""

    IDEMPOTENT = "safe"  # may be retried at any endpoint
    IDEMPOTENT_WITH_KEY = "keyed"  # endpoints of one dedup scope drop repeats that carry the same key
    NON_IDEMPOTENT = "unsafe"  # may be retried only if no attempt before may have run


class DedupScope(Enum):
    """Which endpoints recognise a repeat by its key; the values are those of the settings text."""

    ALL = "all"
    ZONE = "zone"  # those of the attempt's zone
    CELL = "cell"  # those of the attempt's cell


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests."""

    name: str
    latency_objective: float  # a response within this time earns its full weight
    deadline: float  # the longest that a client waits for one of its attempts
    effect: Effect
    dedup_scope: DedupScope
    dedup_window: float  # time for which endpoints remember an idempotency key, from the first attempt on
    priority_weight: float  # weight of a response of this class relative to the other classes
    late_weight: float  # fraction of it that a response after the objective earns; not read
    stream: bool  # whether responses are streamed; not read


@dataclass(slots=True, frozen=True)
class Plan:
    """A plan.  Its quotas apply to each customer, at all gateways together; 0 means no such quota."""

    name: str
    rate: float  # quota: units a second
    burst: float  # quota: most units that an unused rate saves up; a customer starts with them
    max_concurrency: int  # quota: attempts in flight
    price_weight: float  # factor on the class's priority weight
    over_quota_cost: float  # fraction of its weight that a request forwarded beyond the quota costs
    over_quota_weight: float  # fraction of its weight that such a request earns; not read
    ceiling_rate: float  # units a second that must never be exceeded
    ceiling_burst: float  # most units that an unused ceiling saves up
    ceiling_slack: float  # units by which the ceiling may be overdrawn; not read


@dataclass(slots=True, frozen=True)
class Rules:
    """Rules that a deployment sets for its gateways."""

    answer_slack: float  # time after the deadline in which a final response still counts; not read
    drain_grace: float  # time in which attempts may still start at a draining endpoint; not read
    cold_capacity_fraction: float  # of its capacity that an endpoint surely has when it starts
    slow_start_time: float  # time after its start at which an endpoint surely has its full capacity
    cold_overload_multiple: float  # of its present capacity, a load at which a warming endpoint crashes
    cold_overload_window: float  # time for which that load must last
    poll_within: float  # longest time between two polls of the endpoint list; not read


@dataclass(slots=True, frozen=True)
class Limits:
    """What a deployment allows its gateways to do."""

    max_attempts: int  # of one request
    may_hedge: bool  # whether a request may have two attempts in flight
    may_cancel: bool
    may_probe: bool
    may_tell_retry_after: bool  # whether clients in general follow a Retry-After; not read
    max_retry_after: float
    connect_timeout: float


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of one policy."""

    gateway_index: int  # from 0 to gateway_count - 1
    gateway_count: int
    zone: int  # index into `zones`; not read
    zones: tuple[str, ...]
    period: float  # shortest time between two batches of the simulator; not read
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules
    limits: Limits
    has_counter: bool
    counter_price: float  # cost of one call for each request, as a fraction of what all requests earn
    counter_timeout: float
    settles_usage: bool  # whether a response states the units that its request consumed; not read
    membership_push: bool  # whether the endpoint list is pushed and not polled; not read
    weight_source: str  # what an endpoint's weight means; not read
    report_mode: str  # how load reports arrive: "piggyback" on responses, "pull" by probes, "silent": never
    report_columns: tuple[str, ...]  # names of the numbers in a load report
    prices: dict[str, float]  # by name; not read
