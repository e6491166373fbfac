"""Exponentially weighted moving averages: by sample, and sums that decay over time."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class MovingAverage:
    """An average in which the newest sample has a constant weight.

    Attributes:
        value: The average; before the first sample, an assumed value.
        weight: Weight of the newest sample, from 0 to 1.
    """

    value: float
    weight: float

    def record(self, sample: float) -> None:
        """Include one more sample."""
        self.value += self.weight * (sample - self.value)

    def reset(self, value: float) -> None:
        """Begin again with an assumed value."""
        self.value = value


def decay_factor(since: float, now: float, time_constant: float) -> float:
    """Return the factor by which an observation made at `since` has decayed `now`; all in seconds."""
    return math.exp((since - now) / time_constant)


@dataclass(slots=True)
class DecayingSum:
    """A sum of events of which each counts less the longer ago it was.

    Attributes:
        time_constant: Seconds in which an event's weight falls by the factor e.
        value: The sum at `updated_at`.
        updated_at: Unix time of the last event, in seconds.
    """

    time_constant: float
    value: float = 0.0
    updated_at: float = 0.0

    def rate(self, now: float) -> float:
        """Return the events a second that the sum stands for now."""
        return self.value * decay_factor(self.updated_at, now, self.time_constant) / self.time_constant

    def record(self, now: float) -> None:
        """Count one event."""
        self.value = self.value * decay_factor(self.updated_at, now, self.time_constant) + 1
        self.updated_at = now
