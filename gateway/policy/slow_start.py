"""Slow start: what may be sent to endpoints that are warming up."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gateway.policy.context import DECAY_SECONDS, EPSILON, Context

if TYPE_CHECKING:
    from gateway.policy.endpoints import Endpoint

BUDGET_FRACTION = 0.7  # of the allowed load that is used: the work per request varies
MIN_BUDGET = 4.0  # requests of all gateways in a window: an endpoint may warm up by serving only


class SlowStart:
    """Keeps this gateway's part of each warming endpoint's budget."""

    def __init__(self, context: Context) -> None:
        self.context, self.rules = context, context.settings.rules
        self.warm_attempts, self.warm_attempts_at = 0.0, 0.0  # at other endpoints, a decaying sum

    def slow_start_fraction(self, endpoint: Endpoint) -> float:
        """The fraction of its capacity that an endpoint surely has by now."""
        started_at, duration = endpoint.record.started_at, self.rules.slow_start_time
        if started_at <= 0 or duration <= 0 or (age := self.context.now - started_at) >= duration:
            return 1.0
        coldest = self.rules.cold_capacity_fraction
        return coldest + (1 - coldest) * max(0.0, age) / duration

    def reset(self, endpoint: Endpoint) -> None:
        """Begin the budget of an endpoint that has started, at random: not all gateways send at once."""
        endpoint.slow_start_tokens = self.context.random.random()
        endpoint.slow_start_tokens_at = self.context.now

    def has_slow_start_budget(self, endpoint: Endpoint, subset_size: int, ready_count: int) -> bool:
        """Whether this gateway's part of a budget, half at once and half as it flows in, allows a request."""
        rules, now, window = self.rules, self.context.now, self.rules.cold_overload_window
        rate = self.warm_attempts * math.exp((self.warm_attempts_at - now) / DECAY_SECONDS) / DECAY_SECONDS
        budget = BUDGET_FRACTION * rules.cold_overload_multiple * self.slow_start_fraction(endpoint) * rate
        sharers = max(1.0, self.context.gateway_count * subset_size / max(1, ready_count))
        budget = max(budget * window / max(1, subset_size), MIN_BUDGET / sharers)
        flow = budget / 2 / max(EPSILON, window)
        tokens = endpoint.slow_start_tokens + (now - endpoint.slow_start_tokens_at) * flow
        endpoint.slow_start_tokens, endpoint.slow_start_tokens_at = min(max(1.0, budget / 2), tokens), now
        return endpoint.slow_start_tokens >= 1.0

    def record_attempt(self, endpoint: Endpoint) -> None:
        """Take an attempt from a warming endpoint's budget, or count it into the rate at warm ones."""
        if self.slow_start_fraction(endpoint) < 1:
            endpoint.slow_start_tokens -= 1
        else:
            decay = math.exp((self.warm_attempts_at - self.context.now) / DECAY_SECONDS)
            self.warm_attempts, self.warm_attempts_at = self.warm_attempts * decay + 1, self.context.now
