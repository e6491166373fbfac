"""Creates the quotas and ledgers of a plan's customers.  No other module distinguishes kinds of quota."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gateway.policy.concurrency_ledger import ConcurrencyLedger
from gateway.policy.context import stable_hash
from gateway.policy.quota import ConcurrencyQuota, LeaseKey, Quota, QuotaKind, RateQuota
from gateway.policy.rate_ledger import RateLedger

if TYPE_CHECKING:
    from gateway.policy.counter_ledger import CounterLedger
    from gateway.policy.events import Request
    from gateway.policy.settings import Plan, Settings

# Window length of a rate quota; long, as gateways see each other's leases late near a window's boundary.
WINDOW_SECONDS = 20.0


def quota_kinds(plan: Plan) -> list[QuotaKind]:
    """Return the kinds of quota that a plan has."""
    kinds = []
    if plan.rate > 0:
        kinds.append(QuotaKind.RATE)
    if plan.max_concurrency > 0:
        kinds.append(QuotaKind.CONCURRENCY)
    return kinds


def make_quota(request: Request, kind: QuotaKind, settings: Settings) -> Quota:
    """Return the quota of one kind for the customer of a request."""
    plan = settings.plans[request.plan_index]
    key = LeaseKey(request.customer, kind)
    set_size = max(1, min(request.gateway_set_size, settings.gateway_count))
    phase_fraction = stable_hash(request.customer) / 2**64
    if kind is QuotaKind.CONCURRENCY:
        limit = float(plan.max_concurrency)
        length = 2 * max(request_class.deadline for request_class in settings.classes)
        return ConcurrencyQuota(key, plan, set_size, limit, limit, length, length, phase_fraction * length)
    limit = max_lease_units(plan)
    phase = phase_fraction * WINDOW_SECONDS
    return RateQuota(key, plan, set_size, limit, plan.burst, WINDOW_SECONDS, limit / plan.rate, phase)


def max_lease_units(plan: Plan) -> float:
    """Return the most units of one lease of a rate quota: a burst, in whole units.

    For a plan with a ceiling it is at most a quarter of the ceiling's burst, so that two leases of that
    size and as many units again that the local quota admits stay within that burst.
    """
    max_units = plan.burst
    if plan.ceiling_rate:
        max_units = min(plan.burst, plan.ceiling_burst / 4)
    return max(1.0, math.floor(max_units))


def make_ledger(quota: Quota) -> CounterLedger:
    """Return an empty ledger for a quota."""
    if quota.key.kind is QuotaKind.CONCURRENCY:
        return ConcurrencyLedger(quota)
    return RateLedger(quota)
