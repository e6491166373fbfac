"""Tests as coroutines on the event loop that serves."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, ParamSpec

import uvloop

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MAX_TEST_SECONDS = 20
POLL_SECONDS = 0.002

P = ParamSpec("P")


def run(test: Awaitable[None]) -> None:
    """Run one test on the loop that serves, bounded in time."""

    async def bounded() -> None:
        async with asyncio.timeout(MAX_TEST_SECONDS):
            await test

    uvloop.run(bounded())


def async_test(test: Callable[P, Awaitable[None]]) -> Callable[P, None]:
    """Make a test of a coroutine; it runs on the event loop that serves, bounded in time."""

    @functools.wraps(test)
    def run_on_loop(*args: P.args, **kwargs: P.kwargs) -> None:
        run(test(*args, **kwargs))

    return run_on_loop


async def until(condition: Callable[[], object]) -> None:
    """Wait for a condition; the test's own time limit ends the wait for one that never holds."""
    while not condition():  # noqa: ASYNC110  # what is waited for has no event of its own
        await asyncio.sleep(POLL_SECONDS)
