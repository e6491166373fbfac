"""Settings of a deployment, as the policy gets them at its start.

Times are in seconds, rates in units a second.  The fields marked "not read" are part of the settings message
of the simulator's wire and of the process configuration, so they are parsed and checked with the others;
no decision uses them today.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a request of a class may be repeated; the values are those of the settings text."""

    IDEMPOTENT = "safe"  # may be repeated at will
    IDEMPOTENT_WITH_KEY = "keyed"  # endpoints of one dedup scope drop repeats that carry the same key
    NON_IDEMPOTENT = "unsafe"  # may be repeated only if the attempt before surely never ran


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
    deadline: float  # the longest that a client waits for one of its tries
    effect: Effect
    dedup_scope: DedupScope
    dedup_window: float  # for which endpoints remember an idempotency key, from the first attempt on
    priority_weight: float  # what a unit of this class is worth beside those of the others
    late_weight: float  # fraction of it that a response behind the objective earns; not read
    stream: bool  # whether responses are streamed; not read


@dataclass(slots=True, frozen=True)
class Plan:
    """A plan.  Its quotas hold for each customer over all gateways together; 0 means no such quota."""

    name: str
    rate: float  # quota: units a second
    burst: float  # quota: units that an unused rate saves up at the most; a customer starts with them
    max_concurrency: int  # quota: attempts in flight
    price_weight: float  # factor on the class's priority weight
    over_quota_cost: float  # fraction of its weight that a request forwarded beyond the quota costs
    over_quota_weight: float  # fraction of its weight that such a request earns; not read
    ceiling_rate: float  # units a second that must never be passed
    ceiling_burst: float  # units that an unused ceiling saves up at the most
    ceiling_slack: float  # units by which the ceiling may be overdrawn; not read


@dataclass(slots=True, frozen=True)
class Rules:
    """Rules that a deployment holds its gateways to."""

    answer_slack: float  # for which a final response still counts behind the deadline; not read
    drain_grace: float  # for which attempts may still start at an endpoint that drains; not read
    cold_capacity_fraction: float  # of its capacity that an endpoint surely has when it starts
    slow_start_time: float  # after which an endpoint surely has all of it
    cold_overload_multiple: float  # of its present capacity at which an endpoint that warms up crashes
    cold_overload_window: float  # when it lasts that long
    poll_within: float  # pause between polls of the endpoint list that is allowed; not read


@dataclass(slots=True, frozen=True)
class Limits:
    """What a deployment allows its gateways."""

    max_attempts: int  # of one request
    may_hedge: bool  # whether a request may have two attempts in flight
    may_cancel: bool
    may_probe: bool
    may_tell_retry_after: bool  # whether clients at large heed it; not read
    max_retry_after: float
    connect_timeout: float


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of one policy."""

    gateway_index: int  # from 0 to gateway_count - 1
    gateway_count: int
    zone: int  # index into `zones`; not read
    zones: tuple[str, ...]
    period: float  # least time between two batches of the simulator; not read
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules
    limits: Limits
    has_counter: bool
    counter_price: float  # of one call a request, as a fraction of all that is earned
    counter_timeout: float
    settles_usage: bool  # whether a response tells the units that its request really took; not read
    membership_push: bool  # whether the endpoint list is pushed, not polled; not read
    weight_source: str  # what an endpoint's weight means; not read
    report_mode: str  # how load reports come: "piggyback" on responses, "pull" by probes, "silent": never
    report_columns: tuple[str, ...]  # what the numbers of a load report are
    prices: dict[str, float]  # by name; not read
