"""The calls to the counter that are in flight, and what each reply means for a lease."""

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
from gateway.policy.quota import Grant, OverQuotaLease

if TYPE_CHECKING:
    from gateway.policy.counter_rate_limiter import CounterRateLimiter
    from gateway.policy.lease import Lease
    from gateway.policy.settings import Plan

MIN_CORRECTION = 0.02  # units; a total that is wrong by less is corrected by the next request
EXPIRY_SECONDS = 60.0  # after which the counter forgets a window's total
INITIAL_GRANT_RATIO = 0.5  # of a plan's leases, before the first reply


class LeaseResult(Enum):
    """What a reply means for the lease that was requested."""

    EXPIRED = auto()  # the call's window has ended
    GRANTED = auto()  # in full
    DENIED = auto()  # at least in part
    REPORTED = auto()  # the call only added units, and requested none
    REJECTED = auto()  # the counter is overloaded and surely added nothing
    NO_REPLY = auto()  # the counter may have added the units


@dataclass(slots=True)
class LeaseReply:
    """A reply to a call that requested a lease.

    Attributes:
        lease: The lease.
        result: What the reply means for it.
        is_first_in_window: Whether what others have added in this window was not known before.
    """

    lease: Lease
    result: LeaseResult
    is_first_in_window: bool


@dataclass(slots=True)
class PendingCall:
    """A call in flight that adds to the total of a lease's window.

    Attributes:
        lease: The lease.
        window_index: Number of the window.
        amount: Units that the call adds; below 0 for a return.
        is_adjustment: Whether the call returns or corrects units, and is no request for a lease.
    """

    lease: Lease
    window_index: int
    amount: float
    is_adjustment: bool


class CounterCalls:
    """Requests, reports and returns units by calls to the counter.

    Replies to the calls of one name come in their order.  `Admission` requests leases and acts on replies;
    `LeaseTable` returns what is no longer needed.

    Attributes:
        calls_in_flight: The calls in flight by the counter's name, oldest first.
        plan_grant_ratios: Average of the requests that were granted in full, by the plan's name.
    """

    def __init__(self, context: Context, rate_limiter: CounterRateLimiter) -> None:
        self.context = context
        self.rate_limiter = rate_limiter
        self.calls_in_flight: dict[int, deque[PendingCall]] = {}
        self.plan_grant_ratios = {
            plan.name: MovingAverage(INITIAL_GRANT_RATIO, LATENCY_WEIGHT) for plan in context.settings.plans
        }

    def grant_ratio(self, plan: Plan) -> float:
        """Return the part of a plan's requests for units that were granted in full, from 0 to 1."""
        return self.plan_grant_ratios[plan.name].value

    def request_lease(self, lease: Lease) -> None:
        """Request a batch, unless a request is in flight, for which further waiters wait too."""
        if lease.request.in_flight:
            return
        ledger = lease.ledger
        needed = lease.awaited_units() - lease.credits
        batch = ledger.next_batch(lease.sizer.batch_size, self.context.now)
        amount = max(needed, 1.0, batch.units)
        lease.request.mark_sent(amount, batch.overflow_units)
        # What others have added in this window is known with the first reply: see `report_carry_over`.
        if ledger.may_report_units():
            amount = amount + ledger.pop_unreported_units() + batch.overflow_units
        self._add(lease, amount, is_adjustment=False)

    def report_carry_over(self, lease: Lease) -> None:
        """Add what the quota lacked at the window's edge and its overflow since, if nobody has."""
        units = lease.ledger.unreported_units + lease.request.overflow_units
        # A unit or more cannot wait for calls to spare: each gateway that requests it would be granted it.
        is_urgent = abs(units) >= 1
        if is_urgent or (abs(units) >= MIN_CORRECTION and self.rate_limiter.may_call()):
            lease.ledger.pop_unreported_units()
            lease.request.mark_carry_over_sent()
            self._add(lease, units, is_adjustment=False)

    def return_units(self, lease: Lease, units: float) -> None:
        """Take units off the total."""
        if units > EPSILON:
            self._add(lease, -units, is_adjustment=True)

    def return_slots(self, lease: Lease, slots: float) -> None:
        """Take the slots of an ended request off the total, or off what is still to be added to it."""
        if not self.rate_limiter.may_call() or lease.ledger.unreported_units > 0:
            lease.ledger.defer_report(-slots)
        else:
            self.return_units(lease, slots)

    def report_overdue_units(self, lease: Lease) -> None:
        """Add unreported units that should not wait for the next request."""
        self._add(lease, lease.ledger.pop_unreported_units(), is_adjustment=True)

    def _add(self, lease: Lease, amount: float, *, is_adjustment: bool) -> None:
        window_index = lease.ledger.window_index
        name = lease.quota.counter_name(window_index)
        call = PendingCall(lease, window_index, amount, is_adjustment)
        self.calls_in_flight.setdefault(name, deque()).append(call)
        lease.ledger.record_call(amount)
        expiry = min(EXPIRY_SECONDS, 4 * lease.quota.window_length)
        self.context.actions.append(AddToCounter(name, amount, expiry))
        self.rate_limiter.record_call()

    def handle_reply(self, reply: CounterReply) -> LeaseReply | None:
        """Account for the oldest call of that name; return what the reply means if it requested a lease."""
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
            total = TotalUpdate(
                reply.total, call.amount, in_flight_units, self.context.now, is_first_in_window
            )
            self._reconcile(call, total)
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
        """Return what a reply in the lease's current window means, and keep what it grants."""
        if outcome.never_ran:
            return LeaseResult.REJECTED
        if outcome is not Outcome.OK:
            return LeaseResult.NO_REPLY
        if not lease.request.requested_units:
            return LeaseResult.REPORTED
        return LeaseResult.GRANTED if self._apply_grant(lease) else LeaseResult.DENIED

    def _reconcile(self, call: PendingCall, total: TotalUpdate) -> None:
        """Take over a total of the current window, and correct it if it is wrong by much."""
        lease = call.lease
        if lease.ledger.reconcile(total):
            self.context.actions.append(Log(f"counter-lost customer={lease.quota.key.customer}"))
        if call.is_adjustment:
            return
        units = lease.ledger.correct_total(lease.request, total)
        if units <= -1 or (abs(units) >= MIN_CORRECTION and self.rate_limiter.may_call()):
            self._add(lease, lease.ledger.pop_unreported_units(), is_adjustment=True)

    def _apply_grant(self, lease: Lease) -> bool:
        """Keep what the quota grants of the requested units, return the rest; return whether it was all."""
        now = self.context.now
        requested = lease.request.requested_units
        excess_units = max(0.0, lease.ledger.excess_units(now))
        all_granted = excess_units <= EPSILON
        if all_granted:
            grant = Grant(max(0.0, requested - excess_units))
        else:
            over_quota = OverQuotaLease(requested, excess_units, lease.credits, lease.usage.is_frequent)
            grant = lease.quota.partial_grant(over_quota)
        self.return_units(lease, requested - grant.units)
        lease.add_grant(grant, now, all_granted=all_granted)
        self.plan_grant_ratios[lease.quota.plan.name].record(float(all_granted))
        return all_granted
