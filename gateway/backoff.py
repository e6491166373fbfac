"""Exponential backoff between attempts to connect."""

from __future__ import annotations


class Backoff:
    """The delay before the next attempt, in seconds, which doubles from a minimum up to a maximum."""

    __slots__ = ("_max_seconds", "_min_seconds", "seconds")

    def __init__(self, min_seconds: float, max_seconds: float) -> None:
        self._min_seconds = min_seconds
        self._max_seconds = max_seconds
        self.seconds = min_seconds  # the current delay

    def increase(self) -> None:
        """Double the delay, up to the maximum."""
        self.seconds = min(self._max_seconds, 2 * self.seconds)

    def reset(self) -> None:
        """Reset the delay to the minimum."""
        self.seconds = self._min_seconds
