"""The record of a run: what was sent, answered and run, with the seconds since the run began."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """Writes one line for each thing that happens to `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self._started_at

    def write(self, who: str, text: str) -> None:
        """Write a line with the time, who did something, and what."""
        self._file.write(f"{self.now():9.4f} {who:<12} {text}\n")

    def close(self) -> None:
        """Write out the lines that are still buffered."""
        self._file.close()
