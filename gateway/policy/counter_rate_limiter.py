"""How many calls a gateway makes to the counter: part of the decisions, see gateway/policy/engine.py."""

from __future__ import annotations

import math

from gateway.policy.events import CounterReply, Outcome
from gateway.policy.settings import Settings

PACE = 800.0  # counter calls a second to begin with, by all gateways
PACE_LEAST = 60.0  # while it answers nothing: enough to see it come back
PACE_UP = 0.25  # part by which the pace grows in a second of quick answers while it binds
PACE_CUT = 0.88  # factor on the pace for each call that fails or takes half its time-out
SAVED = 0.1  # seconds' worth of calls that may be saved up
FAILING = 0.1  # weight of the newest call in the share that fails


class CounterRateLimiter:
    """Calls are paced by their answers: up slowly, down when one is turned away or slow, as a crowded
    counter's are; after a silence doubling back to half.  A connection that breaks fails its calls at
    once and says nothing of how many the counter bears, until most fail: then it is away.  Slowing down
    for each would leave all to the local shares, where one call in twelve fails by chance.  It would do
    harm with a counter that resets connections to say that it is full.
    """

    def __init__(self, settings: Settings, start: float) -> None:
        self.on, self.timeout = settings.has_counter, settings.counter_timeout
        self.peers = max(1, settings.gateway_count)
        self.pace = PACE / self.peers if self.on else 0.0
        self.steady, self.cut_at = self.pace, 0.0  # pace before the counter's trouble; its last cut
        self.raised_at = math.inf  # its last quick answer
        self.left, self.left_at = 1 + start, 0.0
        self.failing = 0.0  # share of the calls that get no answer, smoothed

    @property
    def away(self) -> bool:
        """Whether it is of no use to ask.  One that turns calls away is crowded, and it is there."""
        return self.failing > 0.5

    def judge(self, now: float, event: CounterReply) -> None:
        good, slow = event.outcome is Outcome.OK, event.elapsed >= self.timeout / 2
        crowded = event.outcome is Outcome.OVERLOADED
        self.failing += FAILING * ((not good and not crowded) - self.failing)
        if good and not slow:
            if self.pace < self.steady / 2:
                self.pace *= 2
            elif self.budget(now) < 1.0:
                # By time, not by answer: of many gateways each hears few answers.
                self.pace *= 1 + PACE_UP * min(1.0, max(0.0, now - self.raised_at))
                self.steady = max(self.steady, self.pace)
            self.raised_at = now
        elif not (self.away or slow or crowded):
            return
        elif now - self.cut_at > 2 * self.timeout:
            self.pace = max(PACE_LEAST / self.peers, self.pace * PACE_CUT ** (1 + self.away))
            self.steady, self.cut_at = self.steady if self.away else self.pace, now

    def called(self, now: float) -> None:
        self.left, self.left_at = self.budget(now) - 1, now

    def budget(self, now: float) -> float:
        """Calls that may be made now."""
        return min(2 + self.pace * SAVED, self.left + (now - self.left_at) * self.pace)

    def may_call(self, now: float) -> bool:
        return self.on and self.budget(now) >= 1.0

    def spare(self, now: float) -> bool:
        """Whether there are calls enough for those that only refine a decision."""
        return self.budget(now) > 1 + self.pace * SAVED / 2
