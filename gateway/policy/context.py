"""What the parts of one policy share: settings, time, random numbers, emitted actions, common constants."""

import random
from hashlib import blake2b

from gateway.policy.actions import Action
from gateway.policy.settings import Settings

TICK_SECONDS = 0.025  # period of the timer while a request waits
DEADLINE_MARGIN_SECONDS = 0.03  # kept free before a deadline or the end of a deduplication window
EPSILON = 1e-4  # units; totals of the counter come back with seven digits
LATENCY_WEIGHT = 0.1  # of the newest latency in a moving average
REPORT_WEIGHT = 0.3  # of the newest grant or load report, and of reported against own attempts in flight
TARGET_FRACTION = 0.5  # of a class's latency objective that is aimed at
DECAY_SECONDS = 5.0  # time constant with which an observed load or an outlier's latency fades


class Context:
    """The state that the engine builds once and hands to every part."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.gateway_count = max(1, settings.gateway_count)
        self.now = 0.0  # Unix time of the event being handled, in seconds
        self.actions: list[Action] = []  # emitted for that event so far


def stable_hash(*parts: int) -> int:
    """A 64-bit hash that is the same at every gateway."""
    return int.from_bytes(blake2b(repr(parts).encode(), digest_size=8).digest(), "little")
