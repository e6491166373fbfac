"""The account of one quota with the counter: what the counter has of a window, and is still to be told."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gateway.policy.context import EPSILON

if TYPE_CHECKING:
    from gateway.policy.lease_request import LeaseRequest
    from gateway.policy.quota import Quota

MIN_LOST_UNITS = 0.01  # by which a total must be too low to count as lost


@dataclass(slots=True)
class TotalUpdate:
    """The counter's reply to a call that added units.

    Attributes:
        total: Units of all gateways in the window, after the call.
        amount: Units that the call added.
        in_flight_units: Units that this gateway's calls in flight behind it add.
        received_at: Unix time of the reply, in seconds.
        is_first_in_window: Whether what others have added in this window was not known before.
    """

    total: float
    amount: float
    in_flight_units: float
    received_at: float
    is_first_in_window: bool


@dataclass(slots=True)
class LeaseBatch:
    """What a lease should request next.

    Attributes:
        units: Units to request.
        overflow_units: Units that accrued while the quota was full, to be added to the total.
    """

    units: float
    overflow_units: float = 0.0


@dataclass(slots=True)
class Denial:
    """How long requests are rejected after a denied lease.

    Attributes:
        delay: Seconds until the quota holds what is missing.
        is_contended: Whether other gateways are likely to request the same unit.
    """

    delay: float
    is_contended: bool = False


@dataclass(slots=True)
class CounterLedger(ABC):
    """What the counter has of a quota's current window; amounts in units, or in slots.

    Attributes:
        quota: The quota.
        window_index: Number of the window; -1 before the first one.
        estimated_total: The window's total as last seen, with this gateway's calls in flight.
        confirmed_units: Units that this gateway added, as far as the counter has confirmed it.
        unreported_units: Units that this gateway has still to add, or to take off if negative.
        synchronized: Whether the counter has replied in this window.
        synchronized_at: Unix time of its last reply, in seconds.
    """

    quota: Quota
    window_index: int = -1
    estimated_total: float = 0.0
    confirmed_units: float = 0.0
    unreported_units: float = 0.0
    synchronized: bool = False
    synchronized_at: float = -math.inf

    def record_call(self, amount: float) -> None:
        """Count the units that a call in flight adds."""
        self.estimated_total += amount

    def defer_report(self, units: float) -> None:
        """Keep units to be added by a later call."""
        self.unreported_units += units

    def pop_unreported_units(self) -> float:
        """Return the units that are still to be added, as a call adds them now."""
        units = self.unreported_units
        self.unreported_units = 0.0
        return units

    def revert_call(self, amount: float, obsolete_units: float) -> None:
        """Keep what a call failed to add for a later one, but for the units that are of no more use."""
        self.estimated_total -= amount
        self.unreported_units += amount - obsolete_units

    def reconcile(self, reply: TotalUpdate) -> bool:
        """Take over a total; return whether the counter had lost units that this gateway added."""
        self.confirmed_units += reply.amount
        has_lost_units = self.confirmed_units - reply.total > MIN_LOST_UNITS
        if has_lost_units:
            self.unreported_units += self._units_to_restore(reply)
            self.confirmed_units = reply.total
        elif reply.total > EPSILON:
            self._deduplicate_carry_over(reply)
        self.synchronized = True
        self.synchronized_at = reply.received_at
        self.estimated_total = reply.total + reply.in_flight_units
        return has_lost_units

    def _start_window(self, window_index: int, unreported_units: float) -> None:
        """Begin an empty window, to which units are to be added."""
        self.window_index = window_index
        self.estimated_total = 0.0
        self.confirmed_units = 0.0
        self.unreported_units = unreported_units
        self.synchronized = False

    @abstractmethod
    def open_window(self, window_index: int, credits_left: float, slots_in_use: int) -> None:
        """Begin a window, in which the lease's unspent credits have expired."""

    @abstractmethod
    def record_lost_reply(self, request: LeaseRequest) -> None:
        """Account for a request that the counter has likely added, without a reply."""

    @abstractmethod
    def _units_to_restore(self, reply: TotalUpdate) -> float:
        """Return the units to add again after the counter has lost some."""

    @abstractmethod
    def _deduplicate_carry_over(self, reply: TotalUpdate) -> None:
        """Take off what another gateway has carried over into this window as well."""

    @abstractmethod
    def correct_total(self, request: LeaseRequest, reply: TotalUpdate) -> float:
        """Return the units to add, as the reply to a request shows that the total is wrong; 0 to leave it."""

    @abstractmethod
    def may_report_units(self) -> bool:
        """Return whether a request may add the unreported units too, before the counter has replied."""

    @abstractmethod
    def overdue_units(self) -> float:
        """Return the unreported units that should not wait for the next request."""

    @abstractmethod
    def next_batch(self, batch_size: float, now: float) -> LeaseBatch:
        """Return what to request, if the lease prefers that many units at once."""

    @abstractmethod
    def excess_units(self, now: float) -> float:
        """Return the units by which the quota is exceeded; below 0 if it is not."""

    @abstractmethod
    def quota_utilization(self, now: float) -> float:
        """Return the fraction of the quota that is in use."""

    @abstractmethod
    def is_scarce(self, now: float) -> bool:
        """Return whether other gateways may need the credits that idle here."""

    @abstractmethod
    def is_half_available(self, now: float) -> bool:
        """Return whether the quota was half full so recently that it can hardly have run dry since."""

    @abstractmethod
    def is_grant_ratio_current(self, now: float) -> bool:
        """Return whether the customer's past grants say how much of the quota is left."""

    @abstractmethod
    def denial(self, needed_units: float, credits_left: float, spendable: float, now: float) -> Denial:
        """Return how long to reject requests after a lease is denied, of which the next needs units."""
