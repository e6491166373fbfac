"""What the parts of one policy share: settings, time, random numbers, emitted actions, common constants."""

from __future__ import annotations

import random
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gateway.policy.actions import Action
    from gateway.policy.settings import Settings

TICK_SECONDS = 0.025  # period of the timer while a request waits
DEADLINE_MARGIN_SECONDS = 0.03  # kept free before a deadline or the end of a deduplication window
EPSILON = 1e-4  # units; totals of the counter come back with seven digits
LATENCY_WEIGHT = 0.1  # of the newest latency in a moving average
REPORT_WEIGHT = 0.3  # of the newest grant or load report, and of reported against own attempts in flight
LATENCY_TARGET_FRACTION = 0.5  # of a class's latency objective that is aimed at
DECAY_SECONDS = 5.0  # time constant with which an observed load or an outlier's latency fades


class Context:
    """What the engine builds once and hands to every part.

    Attributes:
        settings: Settings of the deployment.
        random: Generator of all random numbers of this policy.
        gateway_count: Gateways of the fleet, at least 1.
        now: Unix time of the event that is being handled, in seconds.
        actions: Actions emitted for that event so far, in order.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.gateway_count = max(1, settings.gateway_count)
        self.now = 0.0
        self.actions: list[Action] = []

    def begin_event(self, now: float) -> None:
        """Begin to collect the actions of an event that comes at a Unix time in seconds."""
        self.now = now
        self.actions = []


def stable_hash(*parts: int) -> int:
    """Return a 64-bit hash that is the same at every gateway."""
    digest = blake2b(repr(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "little")
