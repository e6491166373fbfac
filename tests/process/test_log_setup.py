"""The limit on the rate of log records."""

from __future__ import annotations

import logging

from gateway.log_setup import MAX_RECORDS_PER_SECOND, LogRateLimit


def record_at(second: float) -> logging.LogRecord:
    record = logging.LogRecord("gateway", logging.ERROR, __file__, 1, "an error", None, None)
    record.created = second
    return record


def test_records_of_a_second_are_limited_and_the_next_second_starts_anew() -> None:
    limit = LogRateLimit()
    passed = [limit.filter(record_at(7.0 + number / 100)) for number in range(100)]
    assert passed == [True] * MAX_RECORDS_PER_SECOND + [False] * (100 - MAX_RECORDS_PER_SECOND)
    assert limit.filter(record_at(8.0))
