"""Slow start: how many attempts may go to endpoints that are warming up."""

from __future__ import annotations

from dataclasses import dataclass, field

from gateway.policy.context import DECAY_SECONDS, EPSILON, Context
from gateway.policy.moving_average import DecayingSum
from gateway.policy.token_bucket import TokenBucket

BUDGET_FRACTION = 0.7  # of the load that an endpoint surely bears, as the work per request varies
MIN_BUDGET = 4.0  # requests of all gateways in a window: an endpoint may warm up by serving only


@dataclass(slots=True, eq=False)
class SlowStartBudget:
    """This gateway's part of the attempts that one endpoint may get while it warms up.

    Attributes:
        bucket: A token for each attempt that may start.
    """

    bucket: TokenBucket = field(default_factory=TokenBucket)

    @property
    def is_initialized(self) -> bool:
        """Whether the endpoint has had a budget before."""
        return self.bucket.updated_at != 0.0

    def reset(self, tokens: float, now: float) -> None:
        """Begin again with a number of attempts, for an endpoint that has started."""
        self.bucket.reset(tokens, now)

    def allows_attempt(self, now: float, rate: float, capacity: float) -> bool:
        """Return whether an attempt may start, at a rate in attempts a second and a capacity in attempts."""
        return self.bucket.refill(now, rate, capacity) >= 1.0

    def record_attempt(self) -> None:
        """Take one attempt out of the budget."""
        self.bucket.consume(1.0)


class SlowStart:
    """Computes the budget of each warming endpoint from the attempts that warm endpoints get."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.rules = context.settings.rules
        self.warm_attempts = DecayingSum(DECAY_SECONDS)

    def capacity_fraction(self, started_at: float) -> float:
        """Return the fraction of its capacity that an endpoint surely has, by when it started."""
        duration = self.rules.slow_start_time
        if started_at <= 0 or duration <= 0:
            return 1.0
        age = self.context.now - started_at
        if age >= duration:
            return 1.0
        initial = self.rules.cold_capacity_fraction
        return initial + (1 - initial) * max(0.0, age) / duration

    def reset_budget(self, budget: SlowStartBudget) -> None:
        """Begin an endpoint's budget with less than an attempt, at random: gateways must not send at once."""
        budget.reset(self.context.random.random(), self.context.now)

    def allows_attempt(
        self, budget: SlowStartBudget, capacity_fraction: float, subset_size: int, ready_count: int
    ) -> bool:
        """Return whether a warming endpoint's budget allows this gateway an attempt.

        Half of the budget may be used at once; the other half accrues over the window.
        """
        rules = self.rules
        now = self.context.now
        window = rules.cold_overload_window
        warm_rate = self.warm_attempts.rate(now)
        sustained = BUDGET_FRACTION * rules.cold_overload_multiple * capacity_fraction * warm_rate
        sharing_gateways = max(1.0, self.context.gateway_count * subset_size / max(1, ready_count))
        attempts = max(sustained * window / max(1, subset_size), MIN_BUDGET / sharing_gateways)
        rate = attempts / 2 / max(EPSILON, window)
        return budget.allows_attempt(now, rate, capacity=max(1.0, attempts / 2))

    def record_attempt(self, budget: SlowStartBudget, started_at: float) -> None:
        """Count an attempt at an endpoint: into its budget while it warms up, else into the warm rate."""
        if self.capacity_fraction(started_at) < 1:
            budget.record_attempt()
        else:
            self.warm_attempts.record(self.context.now)
