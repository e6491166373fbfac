"""The rate limit for log records."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gateway.log_setup import MAX_RECORDS_PER_SECOND, LogRateLimit

if TYPE_CHECKING:
    import pytest

RECORD = logging.LogRecord("gateway", logging.ERROR, __file__, 1, "an error", None, None)


def test_rate_limit_drops_excess_records_until_the_next_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = 7.0
    monkeypatch.setattr("gateway.log_setup.time.monotonic", lambda: now)
    limit = LogRateLimit()
    results = []
    for number in range(100):
        now = 7.0 + number / 100
        results.append(limit.filter(RECORD))
    assert results == [True] * MAX_RECORDS_PER_SECOND + [False] * (100 - MAX_RECORDS_PER_SECOND)
    now = 8.0
    assert limit.filter(RECORD)
