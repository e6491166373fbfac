"""The clock that the policy sees."""

from __future__ import annotations

import time


class UnixClock:
    """A clock of Unix time in seconds, whose time never goes back.

    Lease windows are computed from this time, so all gateways need the same clock.

    Attributes:
        latest: The latest time that was read from the clock; 0 before the first one.
    """

    __slots__ = ("latest",)

    def __init__(self) -> None:
        self.latest = 0.0

    def read(self) -> float:
        """Return the present time, or the latest one if the system's clock was set back."""
        self.latest = max(self.latest, time.time())
        return self.latest
