"""Local quotas: the part of a quota that a gateway may admit without the counter."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gateway.policy.context import EPSILON, Context

if TYPE_CHECKING:
    from gateway.policy.concurrency_limiter import ConcurrencyLimiter
    from gateway.policy.counter_rate_limiter import CounterRateLimiter
    from gateway.policy.lease import Lease

MAX_ENDPOINT_UTILIZATION = 0.8  # above this, local tokens are used only without a counter


class LocalAdmission:
    """Manages the local tokens of each lease, which accrue at a fraction of the quota's rate."""

    def __init__(
        self, context: Context, rate_limiter: CounterRateLimiter, limiter: ConcurrencyLimiter
    ) -> None:
        self.context = context
        self.rate_limiter = rate_limiter
        self.limiter = limiter

    def initialize_tokens(self, lease: Lease, plan_grant_ratio: float, *, is_retry: bool) -> None:
        """Give a new lease one local token or none, at random.

        It gets no more than one, as the gateway may have just restarted.  If each gateway's local quota is
        less than a unit, a fraction of the gateways thus admits one request; this fraction rises with the
        grant ratio of the plan's leases.  A retry gets no token, as the request was just rejected.
        """
        fraction = self.local_quota_fraction(lease, plan_grant_ratio)
        has_token = self.context.random.random() < fraction * lease.quota.limit and not is_retry
        lease.local_tokens.reset(1.0 if has_token else 0.0, self.context.now)

    def local_quota_fraction(self, lease: Lease, plan_grant_ratio: float = 0.0) -> float:
        """Return the fraction of a quota that this gateway may admit by itself, from 1/gateways to 1.

        For a plan with a ceiling it is 1/gateways.  Otherwise it rises with the grant ratio, and falls with
        the cost of exceeding the quota, by the critical ratio cost/(1 + cost).

        Args:
            lease: The lease.
            plan_grant_ratio: Grant ratio of all leases of the plan, used if that of the lease is out of date.
        """
        quota = lease.quota
        plan = quota.plan
        ratio = 1.0
        if not plan.ceiling_rate:
            grant_ratio = plan_grant_ratio
            if lease.ledger.is_grant_ratio_current(self.context.now):
                grant_ratio = lease.grants.ratio.value
            ratio = plan.over_quota_cost / (1 + plan.over_quota_cost)
            ratio *= 1 - grant_ratio
        return 1 / (1 + (quota.gateway_set_size - 1) * ratio)

    def _refill(self, lease: Lease) -> float:
        """Refill the local tokens of a lease and return them."""
        quota = lease.quota
        fraction = self.local_quota_fraction(lease)
        rate = quota.accrual_rate(self.limiter.mean_latency)
        capacity = max(1.0, fraction * quota.burst)
        return lease.local_tokens.refill(self.context.now, rate, capacity, fraction)

    def spend(self, lease: Lease, units: float) -> None:
        """Consume local tokens for units that a request spends, whether the counter granted them or not."""
        self._refill(lease)
        lease.local_tokens.consume(units, -lease.quota.limit)

    def has_tokens(self, lease: Lease, units: float) -> bool:
        """Return whether local tokens cover the units.

        At high utilization of the endpoints, local tokens are used only while the counter is unavailable.
        """
        if not self.rate_limiter.is_unavailable and self.limiter.utilization() > MAX_ENDPOINT_UTILIZATION:
            return False
        return self._refill(lease) + EPSILON >= units

    def should_skip_counter_call(self, lease: Lease, units: float) -> bool:
        """Return whether to admit by local tokens, to leave scarce calls to quotas with fewer units left."""
        if not lease.ledger.is_half_available(self.context.now) or self.rate_limiter.has_headroom():
            return False
        return self.has_tokens(lease, units)
