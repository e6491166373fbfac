"""Logging set-up of the process, with a limit on the rate of log records."""

from __future__ import annotations

import logging
import time
from typing import TextIO

LOG_FORMAT = "%(levelname)s %(name)s: %(message)s"
MAX_RECORDS_PER_SECOND = 50  # an error that comes with every request must not fill the disk


class LogRateLimit(logging.Filter):
    """Drops the log records of each second beyond the first ``MAX_RECORDS_PER_SECOND``."""

    def __init__(self) -> None:
        super().__init__()
        self._second = 0  # the second of the monotonic clock whose records are counted
        self._record_count = 0

    def filter(self, _record: logging.LogRecord) -> bool:
        """Return whether the record is within the limit of its second."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._record_count = 0
        self._record_count += 1
        return self._record_count <= MAX_RECORDS_PER_SECOND


def configure_logging(stream: TextIO) -> None:
    """Write the log records of all modules, from level INFO on and within the rate limit, to a stream."""
    logging.basicConfig(stream=stream, level=logging.INFO, format=LOG_FORMAT)
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateLimit())
