"""Outlier detection: an endpoint's latency, its failures, and the classes that it leaves without a response.

An outlier is not ejected for a fixed time.  Its latency, or its load for one class, counts for more, so that
other endpoints are preferred until it has faded.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from gateway.policy.context import DECAY_SECONDS, LATENCY_WEIGHT
from gateway.policy.moving_average import MovingAverage, decay

if TYPE_CHECKING:
    from collections.abc import Iterable

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

    def expected_latency(self, now: float, mean_latency: float, started_at: Iterable[float]) -> float:
        """Return the latency in seconds to expect: at least the time for which attempts got no response.

        A latency above the mean fades to it while no attempt ends there.

        Args:
            now: Unix time in seconds.
            mean_latency: Mean latency of all endpoints, in seconds.
            started_at: Unix times at which the attempts in flight started, in seconds; oldest first.
        """
        latency = self.latency.value
        if latency > mean_latency:
            fade = decay(self.last_outcome_at, now, DECAY_SECONDS)
            faded = mean_latency + (latency - mean_latency) * fade
            if faded < latency:
                latency = faded
        silent_since = next(iter(started_at), now)
        if silent_since < self.last_response_at:
            silent_since = self.last_response_at
        silence = now - silent_since
        return silence if silence > latency else latency

    def detect_silence(self, class_index: int, started_at: float, longest: float, now: float) -> bool:
        """Record, and return, whether requests of a class have got no response for too long.

        Silence is recorded by class, as responses to the other classes would hide it.

        Args:
            class_index: Class of the request.
            started_at: Unix time at which an attempt of the class started, in seconds.
            longest: Seconds after which the endpoint counts as silent.
            now: Unix time in seconds.
        """
        last_response_at = self.last_response_by_class.get(class_index, 0.0)
        silent = now - max(started_at, last_response_at) >= longest
        if silent:
            self.silent_classes[class_index] = now
        return silent

    def is_silent(self, class_index: int, now: float) -> bool:
        """Return whether requests of a class were left without a response lately."""
        marked_at = self.silent_classes.get(class_index)
        return marked_at is not None and now - marked_at < SILENCE_LIFETIME_SECONDS
