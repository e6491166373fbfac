"""Outlier detection: an endpoint's latency, its failures, and the classes to which it does not respond.

An outlier is not ejected for a fixed time.  Its expected latency, or its load for one class, is raised, so
that other endpoints are preferred until that penalty has expired.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from gateway.policy.context import DECAY_SECONDS, LATENCY_WEIGHT
from gateway.policy.moving_average import MovingAverage, decay_factor

if TYPE_CHECKING:
    from collections.abc import Iterable

INITIAL_LATENCY_SECONDS = 0.3  # assumed before the first response
OUTLIER_FACTOR = 2.5  # multiple of the mean latency at which an endpoint is an outlier and an attempt is hung
# A failed connection raises an endpoint's latency to this multiple of the mean.  For requests of a class
# to which the endpoint is unresponsive, its load is multiplied by this.
EJECTION_FACTOR = 8.0
UNRESPONSIVE_LIFETIME_SECONDS = 2 * DECAY_SECONDS  # time after which a detection expires


def initial_latency_average() -> MovingAverage:
    """Return a latency average in seconds for an endpoint that has not responded yet."""
    return MovingAverage(INITIAL_LATENCY_SECONDS, LATENCY_WEIGHT)


@dataclass(slots=True, eq=False)
class OutlierDetector:
    """Detects from the outcomes of one endpoint's attempts whether it is slow, failing or unresponsive.

    Attributes:
        latency: Average latency in seconds; a failure counts as a slow response.
        last_response_at: Unix time of the endpoint's last successful response or last reset, in seconds.
        last_response_by_class: Unix time of its last successful response to each class, by class index.
        last_outcome_at: Unix time at which an attempt at this endpoint last ended, in seconds.
        unresponsive_classes: Unix time in seconds at which the endpoint was last found not to respond to
            a class, by class index.
    """

    latency: MovingAverage = field(default_factory=initial_latency_average)
    last_response_at: float = 0.0
    last_response_by_class: dict[int, float] = field(default_factory=dict)
    last_outcome_at: float = 0.0
    unresponsive_classes: dict[int, float] = field(default_factory=dict)

    def reset(self, latency: float, now: float) -> None:
        """Set the average to an assumed latency in seconds, because the endpoint has started or restarted."""
        self.latency.reset(latency)
        self.last_response_at = now

    def record_outcome(self, latency: float, now: float) -> None:
        """Record the latency in seconds of an attempt that has ended."""
        self.last_outcome_at = now
        self.latency.record(latency)

    def record_response(self, class_index: int, now: float) -> None:
        """Record a successful response to a request of a class."""
        self.unresponsive_classes.pop(class_index, None)
        self.last_response_at = now
        self.last_response_by_class[class_index] = now

    def eject(self, mean_latency: float) -> None:
        """Raise the latency, so that other endpoints are preferred, because a connection has failed."""
        self.latency.reset(max(self.latency.value, EJECTION_FACTOR * mean_latency))

    def is_outlier(self, mean_latency: float) -> bool:
        """Return whether this endpoint is much slower than the mean of all endpoints."""
        return self.latency.value >= OUTLIER_FACTOR * mean_latency

    def expected_latency(self, now: float, mean_latency: float, started_at: Iterable[float]) -> float:
        """Return the latency in seconds to expect: at least the time for which attempts have had no response.

        While no attempt ends at this endpoint, a latency above the mean decays towards the mean.

        Args:
            now: Unix time in seconds.
            mean_latency: Mean latency of all endpoints, in seconds.
            started_at: Unix times at which the attempts in flight started, in seconds; oldest first.
        """
        latency = self.latency.value
        if latency > mean_latency:
            factor = decay_factor(self.last_outcome_at, now, DECAY_SECONDS)
            decayed = mean_latency + (latency - mean_latency) * factor
            if decayed < latency:
                latency = decayed
        waiting_since = next(iter(started_at), now)
        if waiting_since < self.last_response_at:
            waiting_since = self.last_response_at
        waiting_time = now - waiting_since
        return waiting_time if waiting_time > latency else latency

    def detect_unresponsive(self, class_index: int, started_at: float, timeout: float, now: float) -> bool:
        """Return, and record, whether the endpoint has not responded to a class for at least the timeout.

        Classes are recorded separately: responses to one class would hide that another class gets none.

        Args:
            class_index: Index of the request's class.
            started_at: Unix time at which an attempt of the class started, in seconds.
            timeout: Seconds without a response after which the endpoint counts as unresponsive.
            now: Unix time in seconds.
        """
        last_response_at = self.last_response_by_class.get(class_index, 0.0)
        unresponsive = now - max(started_at, last_response_at) >= timeout
        if unresponsive:
            self.unresponsive_classes[class_index] = now
        return unresponsive

    def is_unresponsive(self, class_index: int, now: float) -> bool:
        """Return whether the endpoint was recently found not to respond to a class."""
        detected_at = self.unresponsive_classes.get(class_index)
        return detected_at is not None and now - detected_at < UNRESPONSIVE_LIFETIME_SECONDS
