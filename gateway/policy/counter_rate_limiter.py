"""The rate at which one gateway calls the counter."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gateway.policy.events import CounterReply, Outcome
from gateway.policy.moving_average import MovingAverage
from gateway.policy.token_bucket import TokenBucket

if TYPE_CHECKING:
    from gateway.policy.context import Context

INITIAL_CALLS_PER_SECOND = 800.0  # of all gateways together
MIN_CALLS_PER_SECOND = 60.0  # of all gateways, while the counter fails: enough to notice its recovery
GROWTH_PER_SECOND = 0.25  # fraction by which the rate grows in a second of fast replies, if it is the limit
BACKOFF_FACTOR = 0.88  # on the rate, for a call that fails or takes half its timeout
BURST_SECONDS = 0.1  # seconds whose calls may be saved up
FAILURE_WEIGHT = 0.1  # of the newest call in the failure ratio
UNAVAILABLE_RATIO = 0.5  # failure ratio above which the counter counts as unavailable


class CounterRateLimiter:
    """Limits the rate of counter calls by AIMD: slow growth, and backoff when a call is rejected or slow.

    A broken connection counts only once most calls fail.

    Attributes:
        enabled: Whether there is a counter.
        rate: Calls a second that this gateway may make.
        failure_ratio: Fraction of the calls that got no reply.
        call_tokens: The calls that may be made now.
    """

    def __init__(self, context: Context) -> None:
        settings = context.settings
        self.context = context
        self.enabled = settings.has_counter
        self.timeout = settings.counter_timeout
        self.rate = INITIAL_CALLS_PER_SECOND / context.gateway_count if self.enabled else 0.0
        self.failure_ratio = MovingAverage(0.0, FAILURE_WEIGHT)
        self.call_tokens = TokenBucket(1 + context.random.random())
        self._stable_rate = self.rate  # before an outage
        self._last_decrease_at = 0.0
        self._last_fast_reply_at = math.inf

    @property
    def is_unavailable(self) -> bool:
        """Whether most calls get no reply.  A counter that rejects calls is overloaded but available."""
        return self.failure_ratio.value > UNAVAILABLE_RATIO

    def record_reply(self, reply: CounterReply) -> None:
        """Adapt the rate to the outcome of a call."""
        succeeded = reply.outcome is Outcome.OK
        overloaded = reply.outcome is Outcome.OVERLOADED
        slow = reply.elapsed >= self.timeout / 2
        self.failure_ratio.record(float(not succeeded and not overloaded))
        if succeeded and not slow:
            self._increase_rate()
        elif self.is_unavailable or slow or overloaded:
            self._decrease_rate()

    def _increase_rate(self) -> None:
        """Double the rate up to half of that before an outage; then grow by time while it is the limit."""
        now = self.context.now
        if self.rate < self._stable_rate / 2:
            self.rate *= 2
        elif self._available_calls() < 1.0:
            # By time, not by reply: of many gateways each gets few replies.
            seconds = min(1.0, max(0.0, now - self._last_fast_reply_at))
            self.rate *= 1 + GROWTH_PER_SECOND * seconds
            self._stable_rate = max(self._stable_rate, self.rate)
        self._last_fast_reply_at = now

    def _decrease_rate(self) -> None:
        """Back off once for the calls that were in flight together, and twice as far without replies."""
        now = self.context.now
        if now - self._last_decrease_at <= 2 * self.timeout:
            return
        min_rate = MIN_CALLS_PER_SECOND / self.context.gateway_count
        exponent = 2 if self.is_unavailable else 1
        self.rate = max(min_rate, self.rate * BACKOFF_FACTOR**exponent)
        self._last_decrease_at = now
        if not self.is_unavailable:
            self._stable_rate = self.rate

    def record_call(self) -> None:
        """Count a call that is made."""
        self.call_tokens.refill(self.context.now, self.rate, 2 + self.rate * BURST_SECONDS)
        self.call_tokens.consume(1)

    def _available_calls(self) -> float:
        return self.call_tokens.available(self.context.now, self.rate, 2 + self.rate * BURST_SECONDS)

    def may_call(self) -> bool:
        """Return whether a call may be made now."""
        # The bucket's capacity is above the one call that this is about.
        return self.enabled and self.call_tokens.available(self.context.now, self.rate, math.inf) >= 1.0

    def has_headroom(self) -> bool:
        """Return whether calls are left for those that only refine a decision."""
        return self._available_calls() > 1 + self.rate * BURST_SECONDS / 2
