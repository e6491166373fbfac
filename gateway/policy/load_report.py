"""The load that an endpoint has reported."""

from __future__ import annotations

import math
from dataclasses import dataclass

REPORT_LIFETIME_SECONDS = 1.5  # after which the mean load of all endpoints is the better estimate


@dataclass(slots=True, eq=False)
class LoadReport:
    """The newest load report of one endpoint.

    Attributes:
        load: Requests that it was working on, or its queue length plus its utilization.
        reported_at: Unix time at which the report arrived, in seconds.
    """

    load: float = 0.0
    reported_at: float = -math.inf

    def record(self, load: float, now: float) -> None:
        """Replace the report by a newer one."""
        self.load = load
        self.reported_at = now

    def estimate(self, now: float, mean_load: float) -> float:
        """Return the reported load, or the mean load of all endpoints where the report is old."""
        if now - self.reported_at < REPORT_LIFETIME_SECONDS:
            return self.load
        return mean_load
