"""The ids of ended requests that must not be executed again."""

from __future__ import annotations

import time

GENERATION_SECONDS = 15.0  # several times the longest deadline
MAX_GENERATION_IDS = 8192


class RecentRequestIds:
    """Remembers ids for at least a generation, unless very many are added.

    Ids are kept in two generations.  Once the newer one is old or full, it becomes the older one, and the ids
    of the older one are forgotten.
    """

    __slots__ = ("_newer", "_older", "_started_at")

    def __init__(self) -> None:
        self._newer: set[bytes] = set()
        self._older: set[bytes] = set()
        self._started_at = time.monotonic()

    def __contains__(self, request_id: bytes) -> bool:
        return request_id in self._newer or request_id in self._older

    def __len__(self) -> int:
        return len(self._newer) + len(self._older)

    def add(self, request_id: bytes) -> None:
        """Remember an id."""
        now = time.monotonic()
        if now - self._started_at >= GENERATION_SECONDS or len(self._newer) >= MAX_GENERATION_IDS:
            self._older = self._newer
            self._newer = set()
            self._started_at = now
        self._newer.add(request_id)
