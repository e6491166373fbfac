"""State and constants that all parts of one policy share: settings, time, random numbers and actions."""

from __future__ import annotations

import random
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gateway.policy.actions import Action
    from gateway.policy.settings import Settings

TICK_SECONDS = 0.025  # timer period while a request waits
DEADLINE_MARGIN_SECONDS = 0.03  # safety margin before a deadline or the end of a deduplication window
EPSILON = 1e-4  # tolerance for units: the counter reports totals with seven digits
LATENCY_WEIGHT = 0.1  # weight of the newest latency, or of a plan's newest grant, in a moving average
# Weight of the newest grant or load report in a moving average, and of the attempts in flight that an
# endpoint reports relative to those of this gateway.
REPORT_WEIGHT = 0.3
LATENCY_TARGET_FRACTION = 0.5  # latency target, as a fraction of a class's latency objective
DECAY_SECONDS = 5.0  # time constant with which an observed load or an outlier's latency fades


class Context:
    """Shared state, which the engine creates once and passes to each part.

    Attributes:
        settings: Settings of the deployment.
        random: The generator of all random numbers of this policy.
        gateway_count: Number of gateways of the deployment, at least 1.
        now: Unix time of the current event, in seconds.
        actions: Actions emitted for the current event so far, in order.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.gateway_count = max(1, settings.gateway_count)
        self.now = 0.0
        self.actions: list[Action] = []

    def begin_event(self, now: float) -> None:
        """Start an event at a Unix time in seconds, without actions."""
        self.now = now
        self.actions = []


def stable_hash(*parts: int) -> int:
    """Return a 64-bit hash that is the same in each gateway process."""
    digest = blake2b(repr(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "little")
