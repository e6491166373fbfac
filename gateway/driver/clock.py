"""The clock from which the policy gets the time."""

from __future__ import annotations

import time


class UnixClock:
    """A clock of Unix time in seconds that never goes backwards.

    Gateways compute lease windows from this time, so all of them need the same time base.

    Attributes:
        latest: The time that `read` returned last; 0 before the first call.
    """

    __slots__ = ("latest",)

    def __init__(self) -> None:
        self.latest = 0.0

    def read(self) -> float:
        """Return the current time, or the latest returned time if the system clock was set back."""
        self.latest = max(self.latest, time.time())
        return self.latest
