"""Exponential backoff between attempts to connect."""

from __future__ import annotations


class Backoff:
    """The delay before the next attempt: it doubles from a minimum up to a maximum, both in seconds."""

    __slots__ = ("_max_seconds", "_min_seconds", "seconds")

    def __init__(self, min_seconds: float, max_seconds: float) -> None:
        self._min_seconds = min_seconds
        self._max_seconds = max_seconds
        self.seconds = min_seconds  # the current delay

    def lengthen(self) -> None:
        """Double the delay, up to the maximum."""
        self.seconds = min(self._max_seconds, 2 * self.seconds)

    def reset(self) -> None:
        """Return to the minimum."""
        self.seconds = self._min_seconds
