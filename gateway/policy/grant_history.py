"""How a lease's requests have fared, and when it may make the next one."""

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
        ratio: Average of the requests that were granted in full, from 0 to 1.
        consecutive_denials: Denials since the last such request, up to a limit.
        denied_until: Unix time until which requests are rejected, in seconds.
        retry_at: Earliest Unix time of the next call after the counter rejected one, in seconds.
    """

    ratio: MovingAverage = field(default_factory=_new_grant_ratio)
    consecutive_denials: int = 0
    denied_until: float = 0.0
    retry_at: float = 0.0

    def record(self, *, all_granted: bool) -> None:
        """Include the reply to one request."""
        self.ratio.record(float(all_granted))
        if all_granted:
            self.consecutive_denials = 0

    def record_denial(self, limit: int) -> None:
        """Count one more denial, up to a limit."""
        self.consecutive_denials = min(self.consecutive_denials + 1, limit)

    def deny_until(self, time: float) -> None:
        """Reject requests until a Unix time."""
        self.denied_until = time

    def clear_denial(self) -> None:
        """Reject no more requests."""
        self.denied_until = 0.0

    def postpone_call(self, time: float) -> None:
        """Make no call before a Unix time."""
        self.retry_at = time
