"""How one gateway tracks a quota's total at the counter, and the units that it has not reported yet."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gateway.policy.context import EPSILON

if TYPE_CHECKING:
    from gateway.policy.lease_request import LeaseRequest
    from gateway.policy.quota import Quota

MIN_LOST_UNITS = 0.01  # units; a total that is low by less than this may only have been rounded


@dataclass(slots=True)
class TotalUpdate:
    """The total of the current window, as reported by a successful counter call.

    Attributes:
        total: Units that all gateways have added in the window, this call included.
        amount: Units that this call added; below 0 if it subtracted units.
        in_flight_units: Units that this gateway's later calls add, which are still in flight.
        received_at: Unix time of the reply, in seconds.
        is_first_in_window: Whether it is a rate quota's first total of this window.
    """

    total: float
    amount: float
    in_flight_units: float
    received_at: float
    is_first_in_window: bool


@dataclass(slots=True)
class LeaseBatch:
    """The units that a lease requests next from the counter.

    Attributes:
        units: Units to lease.
        overflow_units: Units that accrued while the quota was full.  They are lost, so they are added to the
            total as if they had been leased.
    """

    units: float
    overflow_units: float = 0.0


@dataclass(slots=True)
class Denial:
    """How long a customer's requests are rejected after the quota denied a lease.

    Attributes:
        delay: Seconds until the missing units should be available.
        is_contended: Whether other gateways are likely to request the next unit too.
    """

    delay: float
    is_contended: bool = False


@dataclass(slots=True)
class CounterLedger(ABC):
    """This gateway's view of a quota's total in the current window; amounts in units, or in slots.

    The counter keeps one total for each quota and window, to which all gateways add what they lease.

    Attributes:
        quota: The quota.
        window_index: Index of the current window; -1 before the first one.
        estimated_total: The last total that the counter reported, plus this gateway's calls in flight.
        confirmed_units: Least total to expect: the units that this gateway's successful calls have added.
        unreported_units: Units that this gateway has yet to add to the total; below 0, units to subtract.
        synchronized: Whether the counter has reported a total in this window.
        synchronized_at: Unix time of the last reported total, in seconds.
    """

    quota: Quota
    window_index: int = -1
    estimated_total: float = 0.0
    confirmed_units: float = 0.0
    unreported_units: float = 0.0
    synchronized: bool = False
    synchronized_at: float = -math.inf

    def record_call(self, amount: float) -> None:
        """Include the amount of a call that is being sent in the estimated total."""
        self.estimated_total += amount

    def defer_report(self, units: float) -> None:
        """Record units that a later call must add to the total."""
        self.unreported_units += units

    def pop_unreported_units(self) -> float:
        """Return the unreported units and set them to 0, for a call that adds them now."""
        units = self.unreported_units
        self.unreported_units = 0.0
        return units

    def revert_call(self, amount: float, obsolete_units: float) -> None:
        """Undo a call that had no effect: a later call adds its amount, less the units no longer needed."""
        self.estimated_total -= amount
        self.unreported_units += amount - obsolete_units

    def reconcile(self, update: TotalUpdate) -> bool:
        """Adopt a reported total; return whether the counter has lost units that this gateway added."""
        self.confirmed_units += update.amount
        has_lost_units = self.confirmed_units - update.total > MIN_LOST_UNITS
        if has_lost_units:
            self.unreported_units += self._units_to_restore(update)
            self.confirmed_units = update.total
        elif update.total > EPSILON:
            self._deduplicate_carry_over(update)
        self.synchronized = True
        self.synchronized_at = update.received_at
        self.estimated_total = update.total + update.in_flight_units
        return has_lost_units

    def _start_window(self, window_index: int, unreported_units: float) -> None:
        """Reset the ledger to an empty window, to whose total these units have yet to be added."""
        self.window_index = window_index
        self.estimated_total = 0.0
        self.confirmed_units = 0.0
        self.unreported_units = unreported_units
        self.synchronized = False

    @abstractmethod
    def open_window(self, window_index: int, credits_left: float, slots_in_use: int) -> None:
        """Start a window: the lease's unspent credits expire, and its slots in use move to the new total."""

    @abstractmethod
    def record_lost_reply(self, request: LeaseRequest) -> None:
        """Account for a lease request that timed out: the counter has probably added its units."""

    @abstractmethod
    def _units_to_restore(self, update: TotalUpdate) -> float:
        """Return the units to add again after the counter has lost part of the total."""

    @abstractmethod
    def _deduplicate_carry_over(self, update: TotalUpdate) -> None:
        """Prevent double counting of units that several gateways carry over into the same window."""

    @abstractmethod
    def correct_total(self, request: LeaseRequest, update: TotalUpdate) -> float:
        """Check the total after a lease request; return the units that a call should add now to correct it.

        The units are recorded as unreported, so a later call adds them if the caller makes no call now.
        """

    @abstractmethod
    def may_report_units(self) -> bool:
        """Return whether a call may add the unreported units now; if not, a total must be known first."""

    @abstractmethod
    def overdue_units(self) -> float:
        """Return the unreported units that should be added now, before the next lease request."""

    @abstractmethod
    def next_batch(self, batch_size: float, now: float) -> LeaseBatch:
        """Return the units to request next, given the batch size that the lease has learned."""

    @abstractmethod
    def excess_units(self, now: float) -> float:
        """Return the units by which the total exceeds the quota; below 0, the units left."""

    @abstractmethod
    def quota_utilization(self, now: float) -> float:
        """Return the fraction of the quota that is in use, by the estimated total."""

    @abstractmethod
    def is_scarce(self, now: float) -> bool:
        """Return whether little of the quota is left, so that other gateways may need idle credits."""

    @abstractmethod
    def is_half_available(self, now: float) -> bool:
        """Return whether at least half the quota is available, by a recent total."""

    @abstractmethod
    def is_grant_ratio_current(self, now: float) -> bool:
        """Return whether the lease's past grants still indicate how much of the quota is left."""

    @abstractmethod
    def denial(self, needed_units: float, credits_left: float, spendable: float, now: float) -> Denial:
        """Return how long to reject requests after a denied lease.

        Args:
            needed_units: Units that the next request needs.
            credits_left: Credits of the lease, including those that cannot be spent yet.
            spendable: Credits that can be spent now.
            now: Unix time, in seconds.
        """
