"""The newest load report of an endpoint."""

from __future__ import annotations

import math
from dataclasses import dataclass

REPORT_LIFETIME_SECONDS = 1.5  # beyond this age, the mean load of all endpoints is the better estimate


@dataclass(slots=True, eq=False)
class LoadReport:
    """The newest load report of one endpoint.

    Attributes:
        load: Requests in progress at the endpoint.  Without that column, queue length plus utilization; for
            an empty report, the mean load plus 1.
        reported_at: Unix time at which the report arrived, in seconds.
    """

    load: float = 0.0
    reported_at: float = -math.inf

    def record(self, load: float, now: float) -> None:
        """Replace the report by one that has just arrived."""
        self.load = load
        self.reported_at = now

    def estimate(self, now: float, mean_load: float) -> float:
        """Return the reported load, or the mean load of all endpoints if the report is too old."""
        if now - self.reported_at < REPORT_LIFETIME_SECONDS:
            return self.load
        return mean_load
