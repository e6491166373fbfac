"""Measures for how long one iteration of the event loop holds up all others."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MAX_HOLD_SECONDS = 0.15  # for which a gateway may be held up


class HoldMeter:
    """Measures the longest processor time of one iteration of the event loop.

    Processor time, unlike the time that passes, does not depend on what else the machine runs.
    """

    def __init__(self) -> None:
        self.longest = 0.0
        self.started_at = time.thread_time()

    def end_iteration(self) -> None:
        """Count the iteration that ends now."""
        now = time.thread_time()
        self.longest = max(self.longest, now - self.started_at)
        self.started_at = now

    async def run(self) -> None:
        """Measure each iteration until cancelled."""
        while True:
            await asyncio.sleep(0)
            self.end_iteration()


@contextlib.asynccontextmanager
async def hold_meter() -> AsyncIterator[HoldMeter]:
    meter = HoldMeter()
    task = asyncio.create_task(meter.run())
    try:
        yield meter
    finally:
        meter.end_iteration()
        task.cancel()
