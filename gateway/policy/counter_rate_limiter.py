"""How many calls a gateway makes to the counter."""

import math

from gateway.policy.context import Context
from gateway.policy.events import CounterReply, Outcome

INITIAL_CALLS_PER_SECOND = 800.0  # of all gateways together
MIN_CALLS_PER_SECOND = 60.0  # of all gateways, while the counter fails: enough to notice its recovery
GROWTH_PER_SECOND = 0.25  # fraction by which the rate grows in a second of fast replies while it binds
BACKOFF_FACTOR = 0.88  # on the rate, for a call that fails or takes half its timeout
BURST_SECONDS = 0.1  # seconds' worth of calls that may be saved up
FAILURE_WEIGHT = 0.1  # of the newest call in the failure ratio


class CounterRateLimiter:
    """Limits the rate of counter calls by AIMD: up slowly, down when a call is rejected or slow."""

    # A broken connection counts only once most calls fail.  Does harm where resets are a sign of overload.

    def __init__(self, context: Context) -> None:
        settings, self.context = context.settings, context
        self.enabled, self.timeout = settings.has_counter, settings.counter_timeout
        self.rate = INITIAL_CALLS_PER_SECOND / context.gateway_count if self.enabled else 0.0
        self.stable_rate = self.rate  # before an outage
        self.lowered_at, self.last_fast_reply_at = 0.0, math.inf
        self.tokens, self.tokens_at = 1 + context.random.random(), 0.0
        self.failure_ratio = 0.0  # of calls without a reply, smoothed

    @property
    def is_unavailable(self) -> bool:
        """Whether most calls get no reply.  A counter that rejects calls is overloaded but available."""
        return self.failure_ratio > 0.5

    def record_reply(self, reply: CounterReply) -> None:
        """Adapt the rate to the outcome of a call."""
        now, lowest = self.context.now, MIN_CALLS_PER_SECOND / self.context.gateway_count
        succeeded, slow = reply.outcome is Outcome.OK, reply.elapsed >= self.timeout / 2
        overloaded = reply.outcome is Outcome.OVERLOADED
        self.failure_ratio += FAILURE_WEIGHT * ((not succeeded and not overloaded) - self.failure_ratio)
        if succeeded and not slow:
            if self.rate < self.stable_rate / 2:
                self.rate *= 2
            elif self._available_calls() < 1.0:
                # By time, not by reply: of many gateways each gets few replies.
                self.rate *= 1 + GROWTH_PER_SECOND * min(1.0, max(0.0, now - self.last_fast_reply_at))
                self.stable_rate = max(self.stable_rate, self.rate)
            self.last_fast_reply_at = now
        elif (self.is_unavailable or slow or overloaded) and now - self.lowered_at > 2 * self.timeout:
            self.rate = max(lowest, self.rate * BACKOFF_FACTOR ** (1 + self.is_unavailable))
            self.lowered_at = now
            if not self.is_unavailable:
                self.stable_rate = self.rate

    def record_call(self) -> None:
        """Count a call that is made."""
        self.tokens, self.tokens_at = self._available_calls() - 1, self.context.now

    def _available_calls(self) -> float:
        accrued = self.tokens + (self.context.now - self.tokens_at) * self.rate
        return min(2 + self.rate * BURST_SECONDS, accrued)

    def may_call(self) -> bool:
        """Whether a call may be made now."""
        return self.enabled and self._available_calls() >= 1.0

    def has_headroom(self) -> bool:
        """Whether calls are left for those that only refine a decision."""
        return self._available_calls() > 1 + self.rate * BURST_SECONDS / 2
