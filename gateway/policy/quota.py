"""Quotas: the limits of a plan, which apply to each customer over all gateways together."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING, ClassVar, NamedTuple

from gateway.policy.context import EPSILON, stable_hash

if TYPE_CHECKING:
    from gateway.policy.pending_request import PendingRequest
    from gateway.policy.settings import Plan

IDLE_FRACTION = 0.25  # of the refill time; credits unused for longer count as idle


class QuotaKind(IntEnum):
    """The kinds of quota that a plan may have."""

    RATE = 0
    CONCURRENCY = 1


class LeaseKey(NamedTuple):
    """The key of a lease at one gateway."""

    customer: int
    kind: QuotaKind


@dataclass(slots=True)
class OverQuotaLeaseRequest:
    """A lease request for more units than the quota has left.

    Attributes:
        requested_units: Units that were requested.
        excess_units: Units by which the total, with the requested units, exceeds the quota.
        credits: Credits of the lease, without the requested units.
        is_frequent: Whether the customer's last two requests arrived within one refill time.
    """

    requested_units: float
    excess_units: float
    credits: float
    is_frequent: bool


@dataclass(slots=True)
class Grant:
    """The units that a lease request is granted; the gateway returns the others to the counter.

    Attributes:
        units: Units that are granted.
        accruing_units: Part of `units` that is leased ahead and becomes spendable as the quota refills.
    """

    units: float
    accruing_units: float = 0.0


@dataclass(slots=True, frozen=True)
class Quota(ABC):
    """One quota of a customer; amounts in units, or in slots for requests in progress.

    Attributes:
        key: Key of the leases of this quota.
        plan: The customer's plan.
        gateway_set_size: Number of gateways that serve the customer.
        limit: Largest batch size of a lease; for a concurrency quota, the number of slots.
        burst: Units of the full quota.
        window_length: Length of a window in seconds; the counter has one total for each window.
        refill_time: Seconds in which `limit` units accrue; for a concurrency quota, the window length.
        phase: Offset in seconds by which windows begin earlier; it varies by customer to spread the calls.
    """

    key: LeaseKey
    plan: Plan
    gateway_set_size: int
    limit: float
    burst: float
    window_length: float
    refill_time: float
    phase: float

    counts_slots: ClassVar[bool]  # whether units are slots; part of the name of the total at the counter
    slots_per_request: ClassVar[float]  # slots that are returned to the counter when a request has ended

    def window_index(self, now: float) -> int:
        """Return the index of the window at a Unix time in seconds."""
        return math.floor((now + self.phase) / self.window_length)

    def refill_index(self, now: float) -> int:
        """Return the index of the refill time at a Unix time in seconds."""
        return math.floor((now + self.phase) / self.refill_time)

    def next_boundary(self, window_index: int, refill_index: int) -> float:
        """Return the Unix time, up to rounding, at which the window or the refill time ends first."""
        window_end = (window_index + 1) * self.window_length
        refill_end = (refill_index + 1) * self.refill_time
        return min(window_end, refill_end) - self.phase

    def counter_name(self, window_index: int) -> int:
        """Return the name under which the counter keeps the total of a window."""
        return stable_hash(self.key.customer, window_index, self.counts_slots)

    @abstractmethod
    def units_of(self, pending: PendingRequest) -> float:
        """Return the units that the request consumes from this quota."""

    @abstractmethod
    def accrual_rate(self, mean_latency: float) -> float:
        """Return the units per second that become available, given the endpoints' mean latency in seconds."""

    @abstractmethod
    def partial_grant(self, over_quota: OverQuotaLeaseRequest) -> Grant:
        """Return the units to grant to a lease request that exceeds the quota."""

    @abstractmethod
    def has_credit_expired(self, acquired_in: int, refill_index: int) -> bool:
        """Return whether credits that were acquired at the refill index `acquired_in` have expired."""

    @abstractmethod
    def refundable_units(self, pending: PendingRequest) -> float:
        """Return the units to refund to the lease when a request has ended."""

    @abstractmethod
    def is_reclaimable(self, credits_left: float) -> bool:
        """Return whether a lease with these credits left may have units to return to the counter."""

    @abstractmethod
    def are_credits_idle(self, idle_seconds: float) -> bool:
        """Return whether credits that were unused for this time should be returned to the counter."""


class RateQuota(Quota):
    """A quota of units that accrue at the plan's rate."""

    __slots__ = ()
    counts_slots = False
    slots_per_request = 0.0

    def units_of(self, pending: PendingRequest) -> float:
        """Return the units of the request."""
        return pending.request.units

    def accrual_rate(self, _mean_latency: float) -> float:
        """Return the plan's rate."""
        return self.plan.rate

    def partial_grant(self, over_quota: OverQuotaLeaseRequest) -> Grant:
        """Grant whole units, rounded up: the missing fraction of the last unit accrues soon."""
        requested = over_quota.requested_units
        excess_units = over_quota.excess_units
        covered_units = max(0.0, requested - excess_units)
        granted = min(requested, math.ceil(covered_units - EPSILON))
        fits_ahead = excess_units - (requested - 1) <= self.burst
        if granted < 1 and over_quota.is_frequent and fits_ahead:
            granted = 1.0  # leasing the next unit ahead saves a return and another request
        accruing = max(0.0, excess_units - (requested - granted))
        return Grant(granted, accruing)

    def has_credit_expired(self, acquired_in: int, refill_index: int) -> bool:
        """Return whether the refill time in which the credits were acquired has ended."""
        return acquired_in != refill_index

    def refundable_units(self, pending: PendingRequest) -> float:
        """Return the units of a request that no attempt was started for; else 0."""
        return 0.0 if pending.attempts_started else pending.request.units

    def is_reclaimable(self, credits_left: float) -> bool:
        """Return whether credits are left."""
        return credits_left > EPSILON

    def are_credits_idle(self, idle_seconds: float) -> bool:
        """Return whether the credits were unused for longer than a fraction of the refill time."""
        return idle_seconds > IDLE_FRACTION * self.refill_time


class ConcurrencyQuota(Quota):
    """A quota of slots, of which each request in progress holds one."""

    __slots__ = ()
    counts_slots = True
    slots_per_request = 1.0

    def units_of(self, _pending: PendingRequest) -> float:
        """Return one slot."""
        return 1.0

    def accrual_rate(self, mean_latency: float) -> float:
        """Return the slots per second that become free while all are in use."""
        return self.limit / mean_latency

    def partial_grant(self, over_quota: OverQuotaLeaseRequest) -> Grant:
        """Grant units that bring the lease's credits to a whole number of slots."""
        covered_units = max(0.0, over_quota.requested_units - over_quota.excess_units)
        slots = math.floor(covered_units + over_quota.credits + EPSILON)
        return Grant(slots - over_quota.credits)

    def has_credit_expired(self, _acquired_in: int, _refill_index: int) -> bool:
        """Return False: a slot is held until its request ends."""
        return False

    def refundable_units(self, _pending: PendingRequest) -> float:
        """Return 0: a slot is returned to the counter, not to the lease."""
        return 0.0

    def is_reclaimable(self, _credits_left: float) -> bool:
        """Return True: slots in use have to be returned later."""
        return True

    def are_credits_idle(self, _idle_seconds: float) -> bool:
        """Return False: slots are returned when their requests end."""
        return False
