"""Slow start: limits the attempts at endpoints that are warming up."""

from __future__ import annotations

from dataclasses import dataclass, field

from gateway.policy.context import DECAY_SECONDS, EPSILON, Context
from gateway.policy.moving_average import DecayingSum
from gateway.policy.token_bucket import TokenBucket

BUDGET_FRACTION = 0.7  # of the load that may crash a warming endpoint, as the work per request varies
MIN_BUDGET = 4.0  # requests per window from all gateways, as some endpoints warm up only by serving requests


@dataclass(slots=True, eq=False)
class SlowStartBudget:
    """This gateway's share of the attempts that one endpoint may get while it warms up.

    Attributes:
        bucket: Holds one token for each attempt that may start.
    """

    bucket: TokenBucket = field(default_factory=TokenBucket)

    @property
    def is_initialized(self) -> bool:
        """Whether the budget has been reset before, as it is when an endpoint is first listed."""
        return self.bucket.updated_at != 0.0

    def reset(self, tokens: float, now: float) -> None:
        """Set the budget to a number of attempts, for an endpoint that has started or restarted."""
        self.bucket.reset(tokens, now)

    def allows_attempt(self, now: float, rate: float, capacity: float) -> bool:
        """Refill the bucket and return whether an attempt may start.

        Args:
            now: Unix time in seconds.
            rate: Attempts a second that accrue.
            capacity: Attempts that may be saved up.
        """
        return self.bucket.refill(now, rate, capacity) >= 1.0

    def record_attempt(self) -> None:
        """Deduct one attempt from the budget."""
        self.bucket.consume(1.0)


class SlowStart:
    """Computes the budget of each warming endpoint from the rate of attempts at warm endpoints.

    Attributes:
        warm_attempts: Decaying count of this gateway's attempts at warm endpoints.
    """

    def __init__(self, context: Context) -> None:
        self.context = context
        self.rules = context.settings.rules
        self.warm_attempts = DecayingSum(DECAY_SECONDS)

    def capacity_fraction(self, started_at: float) -> float:
        """Return the fraction of its full capacity that an endpoint has at least, given its start time."""
        duration = self.rules.slow_start_time
        if started_at <= 0 or duration <= 0:
            return 1.0
        age = self.context.now - started_at
        if age >= duration:
            return 1.0
        initial = self.rules.cold_capacity_fraction
        return initial + (1 - initial) * max(0.0, age) / duration

    def reset_budget(self, budget: SlowStartBudget) -> None:
        """Set a budget to a random part of one attempt, so that gateways do not all send at the same time."""
        budget.reset(self.context.random.random(), self.context.now)

    def allows_attempt(
        self, budget: SlowStartBudget, capacity_fraction: float, subset_size: int, ready_count: int
    ) -> bool:
        """Return whether a warming endpoint's budget allows this gateway an attempt.

        Half of the budget of an overload window may be used at once; the other half accrues over the window.
        """
        rules = self.rules
        now = self.context.now
        window = rules.cold_overload_window
        warm_rate = self.warm_attempts.rate(now)
        safe_rate = BUDGET_FRACTION * rules.cold_overload_multiple * capacity_fraction * warm_rate
        sharing_gateways = max(1.0, self.context.gateway_count * subset_size / max(1, ready_count))
        window_budget = max(safe_rate * window / max(1, subset_size), MIN_BUDGET / sharing_gateways)
        rate = window_budget / 2 / max(EPSILON, window)
        return budget.allows_attempt(now, rate, capacity=max(1.0, window_budget / 2))

    def record_attempt(self, budget: SlowStartBudget, started_at: float) -> None:
        """Count an attempt: against the budget if the endpoint is warming up, else into `warm_attempts`."""
        if self.capacity_fraction(started_at) < 1:
            budget.record_attempt()
        else:
            self.warm_attempts.record(self.context.now)
