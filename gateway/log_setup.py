"""Set-up of logging, with a rate limit for log records."""

from __future__ import annotations

import logging
import time
from typing import TextIO

LOG_FORMAT = "%(levelname)s %(name)s: %(message)s"
MAX_RECORDS_PER_SECOND = 50  # an error logged for every request must not fill the disk


class LogRateLimit(logging.Filter):
    """Drops all log records beyond the first ``MAX_RECORDS_PER_SECOND`` in each second."""

    def __init__(self) -> None:
        super().__init__()
        self._second = 0  # the current second of the monotonic clock
        self._record_count = 0  # in the current second

    def filter(self, _record: logging.LogRecord) -> bool:
        """Return whether the record is within the limit for the current second."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._record_count = 0
        self._record_count += 1
        return self._record_count <= MAX_RECORDS_PER_SECOND


def configure_logging(stream: TextIO) -> None:
    """Log records of level INFO and above to a stream, within the rate limit."""
    logging.basicConfig(stream=stream, level=logging.INFO, format=LOG_FORMAT)
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateLimit())
