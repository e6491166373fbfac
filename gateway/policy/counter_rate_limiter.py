"""Rate limiting of one gateway's calls to the counter."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gateway.policy.events import CounterReply, Outcome
from gateway.policy.moving_average import MovingAverage
from gateway.policy.token_bucket import TokenBucket

if TYPE_CHECKING:
    from gateway.policy.context import Context

INITIAL_CALLS_PER_SECOND = 800.0  # all gateways together
MIN_CALLS_PER_SECOND = 60.0  # all gateways together; enough to notice when a failed counter recovers
GROWTH_PER_SECOND = 0.25  # relative growth of the rate with fast replies, while the limit is reached
BACKOFF_FACTOR = 0.88  # on the rate, when a call is rejected or takes half its timeout, or most calls fail
BURST_SECONDS = 0.1  # unused calls accumulate up to the calls of this time, plus two
FAILURE_WEIGHT = 0.1  # weight of the newest call in the failure ratio
UNAVAILABLE_RATIO = 0.5  # failure ratio above which the counter counts as unavailable


class CounterRateLimiter:
    """Limits the rate of counter calls: slow growth, and multiplicative backoff on rejected or slow calls.

    Calls that fail otherwise, as on a broken connection, lower the rate only once most calls fail.

    Attributes:
        enabled: Whether there is a counter.
        rate: Calls per second that this gateway may make.
        failure_ratio: Moving average of the fraction of calls that got no reply.
        call_tokens: The token bucket of calls that may be made now.
    """

    def __init__(self, context: Context) -> None:
        settings = context.settings
        self.context = context
        self.enabled = settings.has_counter
        self.timeout = settings.counter_timeout
        self.rate = INITIAL_CALLS_PER_SECOND / context.gateway_count if self.enabled else 0.0
        self.failure_ratio = MovingAverage(0.0, FAILURE_WEIGHT)
        self.call_tokens = TokenBucket(1 + context.random.random())
        self._stable_rate = self.rate  # last rate while the counter was available
        self._last_decrease_at = 0.0
        self._last_fast_reply_at = math.inf

    @property
    def is_unavailable(self) -> bool:
        """Whether most calls get no reply.  A counter that rejects calls is overloaded, but available."""
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
        """Raise the rate after a fast reply.

        It doubles up to half the rate before an outage, and then grows with time while the limit is reached.
        """
        now = self.context.now
        if self.rate < self._stable_rate / 2:
            self.rate *= 2
        elif self._available_calls() < 1.0:
            # Growth per time, not per reply: in a large deployment each gateway gets few replies.
            seconds = min(1.0, max(0.0, now - self._last_fast_reply_at))
            self.rate *= 1 + GROWTH_PER_SECOND * seconds
            self._stable_rate = max(self._stable_rate, self.rate)
        self._last_fast_reply_at = now

    def _decrease_rate(self) -> None:
        """Back off once for calls in flight together; by the factor squared if the counter is unavailable."""
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
        """Consume a token for a call that is made."""
        self.call_tokens.refill(self.context.now, self.rate, 2 + self.rate * BURST_SECONDS)
        self.call_tokens.consume(1)

    def _available_calls(self) -> float:
        return self.call_tokens.available(self.context.now, self.rate, 2 + self.rate * BURST_SECONDS)

    def may_call(self) -> bool:
        """Return whether a call may be made now."""
        # The capacity does not matter here: it is always more than one call.
        return self.enabled and self.call_tokens.available(self.context.now, self.rate, math.inf) >= 1.0

    def has_headroom(self) -> bool:
        """Return whether enough calls are left for optional ones, which only make decisions more accurate."""
        return self._available_calls() > 1 + self.rate * BURST_SECONDS / 2
