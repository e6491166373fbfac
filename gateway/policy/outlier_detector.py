"""Outlier detection: an endpoint's latency, its failures, and the classes that it leaves without a response.

An outlier is not ejected for a fixed time.  Its latency, or its load for one class, counts for more, so that
other endpoints are preferred until it has faded.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from gateway.policy.context import DECAY_SECONDS, LATENCY_WEIGHT
from gateway.policy.moving_average import MovingAverage, decay

INITIAL_LATENCY_SECONDS = 0.3  # assumed before the first response
OUTLIER_FACTOR = 2.5  # on the mean latency, from which an endpoint is slow and an attempt is hanging
EJECTION_FACTOR = 8.0  # on the mean latency, for a failed connection; on the load, for a silent class
SILENCE_LIFETIME_SECONDS = 2 * DECAY_SECONDS  # for which an endpoint is avoided for a silent class


def initial_latency_average() -> MovingAverage:
    """Return the average latency in seconds of an endpoint that has not responded yet."""
    return MovingAverage(INITIAL_LATENCY_SECONDS, LATENCY_WEIGHT)


@dataclass(slots=True, eq=False)
class OutlierDetector:
    """What the outcomes of one endpoint's attempts say of it.

    Attributes:
        latency: Average latency in seconds; failures count as slow.
        last_response_at: Unix time of its last successful response, in seconds.
        last_response_by_class: The same by class index.
        last_outcome_at: Unix time at which an attempt last ended there, in seconds.
        silent_classes: When each class index was last found without a response, in seconds of Unix time.
    """

    latency: MovingAverage = field(default_factory=initial_latency_average)
    last_response_at: float = 0.0
    last_response_by_class: dict[int, float] = field(default_factory=dict)
    last_outcome_at: float = 0.0
    silent_classes: dict[int, float] = field(default_factory=dict)

    def reset(self, latency: float, now: float) -> None:
        """Begin again with an assumed latency, for an endpoint that has started."""
        self.latency.reset(latency)
        self.last_response_at = now

    def record_outcome(self, latency: float, now: float) -> None:
        """Record that an attempt has ended, with its latency in seconds."""
        self.last_outcome_at = now
        self.latency.record(latency)

    def record_response(self, class_index: int, now: float) -> None:
        """Record a successful response to a request of a class."""
        self.silent_classes.pop(class_index, None)
        self.last_response_at = now
        self.last_response_by_class[class_index] = now

    def eject(self, mean_latency: float) -> None:
        """Make other endpoints preferred at once, as a connection to this one has failed."""
        self.latency.reset(max(self.latency.value, EJECTION_FACTOR * mean_latency))

    def is_outlier(self, mean_latency: float) -> bool:
        """Return whether this endpoint is much slower than the mean of all."""
        return self.latency.value >= OUTLIER_FACTOR * mean_latency

    def expected_latency(self, now: float, mean_latency: float, oldest_attempt_at: float) -> float:
        """Return the latency in seconds to expect: at least the time for which attempts got no response.

        A latency above the mean fades to it while no attempt ends there.

        Args:
            now: Unix time in seconds.
            mean_latency: Mean latency of all endpoints, in seconds.
            oldest_attempt_at: Unix time at which the oldest attempt in flight started; `now` without one.
        """
        latency = self.latency.value
        if latency > mean_latency:
            fade = decay(self.last_outcome_at, now, DECAY_SECONDS)
            latency = min(latency, mean_latency + (latency - mean_latency) * fade)
        silent_since = self.last_response_at
        if oldest_attempt_at > silent_since:
            silent_since = oldest_attempt_at
        silence = now - silent_since
        return silence if silence > latency else latency

    def response_gap(self, class_index: int, since: float, now: float) -> float:
        """Return for how many seconds after `since` the class has got no response."""
        last_response_at = self.last_response_by_class.get(class_index, 0.0)
        return now - max(since, last_response_at)

    def mark_silent(self, class_index: int, now: float) -> None:
        """Record that requests of a class get no response, though those of other classes may."""
        self.silent_classes[class_index] = now

    def is_silent(self, class_index: int, now: float) -> bool:
        """Return whether requests of a class were left without a response lately."""
        marked_at = self.silent_classes.get(class_index)
        return marked_at is not None and now - marked_at < SILENCE_LIFETIME_SECONDS
