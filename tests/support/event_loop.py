"""Runs coroutines as tests on uvloop, the event loop of the gateway."""

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
    """Run a test on the gateway's event loop, with a time limit."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(MAX_TEST_SECONDS):
            await test

    uvloop.run(run_with_timeout())


def async_test(test: Callable[P, Awaitable[None]]) -> Callable[P, None]:
    """Turn a coroutine function into a test that runs on the gateway's event loop, with a time limit."""

    @functools.wraps(test)
    def run_on_loop(*args: P.args, **kwargs: P.kwargs) -> None:
        run(test(*args, **kwargs))

    return run_on_loop


async def until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds; if it never does, the test's time limit ends the wait."""
    while not condition():  # noqa: ASYNC110  # the condition has no event to wait for
        await asyncio.sleep(POLL_SECONDS)
