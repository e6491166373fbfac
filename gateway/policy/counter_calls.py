"""Counter calls: requests for leases, returns and corrections, and how replies change leases."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

from gateway.policy.actions import AddToCounter, Log
from gateway.policy.context import EPSILON, LATENCY_WEIGHT, Context
from gateway.policy.counter_ledger import TotalUpdate
from gateway.policy.events import CounterReply, Outcome
from gateway.policy.moving_average import MovingAverage
from gateway.policy.quota import Grant, OverQuotaLeaseRequest

if TYPE_CHECKING:
    from gateway.policy.counter_rate_limiter import CounterRateLimiter
    from gateway.policy.lease import Lease
    from gateway.policy.settings import Plan

MIN_CORRECTION = 0.02  # units; smaller errors of a total wait for the next lease request
MAX_EXPIRY_SECONDS = 60.0  # longest time for which the counter keeps the total of a window
INITIAL_GRANT_RATIO = 0.5  # grant ratio of a plan before the first reply to its lease requests


class LeaseResult(Enum):
    """The result of a lease request."""

    EXPIRED = auto()  # the window of the call has ended
    GRANTED = auto()  # all requested units were granted
    DENIED = auto()  # some or all of the requested units were denied
    REPORTED = auto()  # the call reported a carry-over and requested no units
    REJECTED = auto()  # the counter or the connection failed the call before it added anything
    NO_REPLY = auto()  # the call failed, but the counter may have added the units


@dataclass(slots=True)
class LeaseReply:
    """The reply to a lease request.

    Attributes:
        lease: The lease.
        result: The result of the request.
        is_first_in_window: Whether a rate quota had no total of the current window before this reply.
    """

    lease: Lease
    result: LeaseResult
    is_first_in_window: bool


@dataclass(slots=True)
class PendingCall:
    """A counter call in flight, which adds an amount to a window's total.

    Attributes:
        lease: The lease that the call is made for.
        window_index: Index of the window.
        amount: Units that the call adds; below 0 if it subtracts units.
        is_adjustment: Whether the call only returns or corrects units.  Other calls are lease requests, of
            which each lease has at most one in flight.
    """

    lease: Lease
    window_index: int
    amount: float
    is_adjustment: bool


class CounterCalls:
    """Makes the counter calls of all leases, and applies the replies to them.

    Replies to calls of the same name arrive in the order of the calls.  `Admission` requests leases and acts
    on the replies; `LeaseTable` returns slots and idle credits.

    Attributes:
        calls_in_flight: The calls in flight, oldest first, by the name of the total at the counter.
        plan_grant_ratios: Moving average of the fraction of lease requests granted in full, by plan name.
    """

    def __init__(self, context: Context, rate_limiter: CounterRateLimiter) -> None:
        self.context = context
        self.rate_limiter = rate_limiter
        self.calls_in_flight: dict[int, deque[PendingCall]] = {}
        self.plan_grant_ratios = {
            plan.name: MovingAverage(INITIAL_GRANT_RATIO, LATENCY_WEIGHT) for plan in context.settings.plans
        }

    def grant_ratio(self, plan: Plan) -> float:
        """Return the fraction of a plan's lease requests that were granted in full, from 0 to 1."""
        return self.plan_grant_ratios[plan.name].value

    def request_lease(self, lease: Lease) -> None:
        """Request a batch of units; if a request is in flight already, all waiters wait for its reply."""
        if lease.request.in_flight:
            return
        ledger = lease.ledger
        needed = lease.awaited_units() - lease.credits
        batch = ledger.next_batch(lease.sizer.batch_size, self.context.now)
        amount = max(needed, 1.0, batch.units)
        lease.request.mark_sent(amount, batch.overflow_units)
        # Before the first total in a window, it is unknown whether other gateways have already added the
        # carry-over and the overflow; `report_carry_over` adds them once that total is known.
        if ledger.may_report_units():
            amount = amount + ledger.pop_unreported_units() + batch.overflow_units
        self._add(lease, amount, is_adjustment=False)

    def report_carry_over(self, lease: Lease) -> None:
        """Add the deficit carried over into the window and the overflow since, unless another gateway did."""
        units = lease.ledger.unreported_units + lease.request.overflow_units
        # A unit or more is reported even if the rate limiter allows no call: until it is in the total, each
        # gateway that requests this unit is granted it.
        is_urgent = abs(units) >= 1
        if is_urgent or (abs(units) >= MIN_CORRECTION and self.rate_limiter.may_call()):
            lease.ledger.pop_unreported_units()
            lease.request.mark_carry_over_sent()
            self._add(lease, units, is_adjustment=False)

    def return_units(self, lease: Lease, units: float) -> None:
        """Subtract units from the total."""
        if units > EPSILON:
            self._add(lease, -units, is_adjustment=True)

    def return_slots(self, lease: Lease, slots: float) -> None:
        """Subtract the slots of an ended request from the total, or from the unreported units."""
        if not self.rate_limiter.may_call() or lease.ledger.unreported_units > 0:
            lease.ledger.defer_report(-slots)
        else:
            self.return_units(lease, slots)

    def report_overdue_units(self, lease: Lease) -> None:
        """Add the unreported units now, without waiting for the next lease request."""
        self._add(lease, lease.ledger.pop_unreported_units(), is_adjustment=True)

    def settle(self, lease: Lease) -> None:
        """Subtract the credits of an evicted lease, and add its unreported units if the total is known."""
        units = -lease.pop_credits()
        if lease.ledger.may_report_units():
            units += lease.ledger.pop_unreported_units()
        if abs(units) > EPSILON:
            self._add(lease, units, is_adjustment=True)

    def _add(self, lease: Lease, amount: float, *, is_adjustment: bool) -> None:
        window_index = lease.ledger.window_index
        name = lease.quota.counter_name(window_index)
        call = PendingCall(lease, window_index, amount, is_adjustment)
        self.calls_in_flight.setdefault(name, deque()).append(call)
        lease.ledger.record_call(amount)
        expiry = min(MAX_EXPIRY_SECONDS, 4 * lease.quota.window_length)
        self.context.actions.append(AddToCounter(name, amount, expiry))
        self.rate_limiter.record_call()

    def handle_reply(self, reply: CounterReply) -> LeaseReply | None:
        """Apply a reply to the oldest call of its name; return the result if it was a lease request."""
        call = self._pop_oldest_call(reply.name)
        if call is None:
            return None
        lease = call.lease
        self.rate_limiter.record_reply(reply)
        lease.roll_window(self.context.now)
        is_current = call.window_index == lease.ledger.window_index
        is_first_in_window = not lease.ledger.may_report_units()
        if is_current and reply.outcome is Outcome.OK:
            in_flight_units = sum(later.amount for later in self.calls_in_flight.get(reply.name, ()))
            update = TotalUpdate(
                reply.total, call.amount, in_flight_units, self.context.now, is_first_in_window
            )
            self._reconcile(call, update)
        elif is_current:
            lease.handle_failed_call(call.amount, reply.outcome, is_adjustment=call.is_adjustment)
        if call.is_adjustment:
            return None
        lease.request.mark_finished()
        result = self._apply_outcome(lease, reply.outcome) if is_current else LeaseResult.EXPIRED
        return LeaseReply(lease, result, is_first_in_window)

    def _pop_oldest_call(self, name: int) -> PendingCall | None:
        calls_in_flight = self.calls_in_flight.get(name)
        if not calls_in_flight:
            return None
        call = calls_in_flight.popleft()
        if not calls_in_flight:
            del self.calls_in_flight[name]
        return call

    def _apply_outcome(self, lease: Lease, outcome: Outcome) -> LeaseResult:
        """Return the result of a lease request in the current window, and add granted units to the lease."""
        if outcome.never_ran:
            return LeaseResult.REJECTED
        if outcome is not Outcome.OK:
            return LeaseResult.NO_REPLY
        if not lease.request.requested_units:
            return LeaseResult.REPORTED
        return LeaseResult.GRANTED if self._apply_grant(lease) else LeaseResult.DENIED

    def _reconcile(self, call: PendingCall, update: TotalUpdate) -> None:
        """Adopt a total of the current window; correct it now if it is a unit too high or calls are left."""
        lease = call.lease
        if lease.ledger.reconcile(update):
            self.context.actions.append(Log(f"counter-lost customer={lease.quota.key.customer}"))
        if call.is_adjustment:
            return
        units = lease.ledger.correct_total(lease.request, update)
        if units <= -1 or (abs(units) >= MIN_CORRECTION and self.rate_limiter.may_call()):
            self._add(lease, lease.ledger.pop_unreported_units(), is_adjustment=True)

    def _apply_grant(self, lease: Lease) -> bool:
        """Add the granted units to the lease and subtract the others from the total.

        Returns:
            Whether all requested units were granted.
        """
        now = self.context.now
        requested = lease.request.requested_units
        excess_units = max(0.0, lease.ledger.excess_units(now))
        all_granted = excess_units <= EPSILON
        if all_granted:
            grant = Grant(max(0.0, requested - excess_units))
        else:
            over_quota = OverQuotaLeaseRequest(
                requested, excess_units, lease.credits, lease.usage.is_frequent
            )
            grant = lease.quota.partial_grant(over_quota)
        self.return_units(lease, requested - grant.units)
        lease.add_grant(grant, now, all_granted=all_granted)
        self.plan_grant_ratios[lease.quota.plan.name].record(float(all_granted))
        return all_granted
