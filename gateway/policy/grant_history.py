"""The grants and denials of a lease's requests for units, and when the lease may request units again."""

from __future__ import annotations

from dataclasses import dataclass, field

from gateway.policy.context import REPORT_WEIGHT
from gateway.policy.moving_average import MovingAverage


def _new_grant_ratio() -> MovingAverage:
    return MovingAverage(1.0, REPORT_WEIGHT)


@dataclass(slots=True)
class GrantHistory:
    """The grants and denials of one lease.

    Attributes:
        ratio: Moving average of the fraction of requests granted in full, from 0 to 1.
        consecutive_denials: Contended denials since the last request granted in full, up to a limit.
        denied_until: Unix time until which client requests are rejected, in seconds.
        retry_at: Earliest Unix time of the next call after the counter rejected one, in seconds.
    """

    ratio: MovingAverage = field(default_factory=_new_grant_ratio)
    consecutive_denials: int = 0
    denied_until: float = 0.0
    retry_at: float = 0.0

    def record(self, *, all_granted: bool) -> None:
        """Record the reply to one request for units."""
        self.ratio.record(float(all_granted))
        if all_granted:
            self.consecutive_denials = 0

    def record_denial(self, limit: int) -> None:
        """Count one more denial, up to a limit."""
        self.consecutive_denials = min(self.consecutive_denials + 1, limit)

    def deny_until(self, time: float) -> None:
        """Record that client requests are rejected until a Unix time in seconds."""
        self.denied_until = time

    def clear_denial(self) -> None:
        """Record that client requests are no longer rejected."""
        self.denied_until = 0.0

    def postpone_call(self, time: float) -> None:
        """Allow the next call from a Unix time in seconds on."""
        self.retry_at = time
