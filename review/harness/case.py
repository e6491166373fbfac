"""Runs a case: the processes and stand-ins that all cases need, its verdict and its end."""

from __future__ import annotations

import asyncio
import os
import selectors
import signal
import sys
import tempfile
import traceback
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING, Any

from harness.gateway import Gateway, free_port
from harness.platform import Counter, Discovery
from harness.record import Record
from harness.settings import KIND, Addresses, host, write_configuration

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from harness.servers import Server

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit statuses
LONGEST_SECONDS = 112.0
STALL_POLL_SECONDS = 0.02
MAX_STALL_SECONDS = 0.3  # beyond this, the stand-ins may be at fault and not the gateway


class CouldNotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Case:
    """One run of a case.

    Attributes:
        trouble: Whether the disruption is played; `TROUBLE=0` turns it off.
        record: What was sent, answered and run.
        folder: A temporary folder.
        violations: What broke the rule.
        longest_stall: The longest time, in seconds, for which the stand-ins did not run.
        discovery: The agent of discovery.
        counter: The counter.
    """

    def __init__(self, record: Record, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = record
        self.folder = folder
        self.violations: list[str] = []
        self.longest_stall = 0.0
        self.discovery = Discovery(record)
        self.counter = Counter()
        self.stack = AsyncExitStack()

    def break_rule(self, text: str) -> None:
        """Record that the rule was broken."""
        self.violations.append(text)
        self.record.write("judge", f"BROKEN: {text}")

    async def start_platform(self, servers: Sequence[Server]) -> list[dict[str, Any]]:
        """Start the servers, the counter and discovery; return the entries of the servers in the list."""
        for server in servers:
            await server.start()
        hosts = [host(server.name, server.port) for server in servers]
        await self.counter.start()
        await self.discovery.start(hosts)
        return hosts

    async def start_gateway(self, known: list[dict[str, Any]], kind: str = KIND) -> Gateway:
        """Start a gateway that has the list `known` from before; it ends with the case."""
        gateway = Gateway("n0", self.folder, free_port(), self.record)
        self.write_configuration(gateway, known, kind)
        self.stack.push_async_callback(gateway.end)
        await gateway.start(self.discovery.port)
        return gateway

    def write_configuration(self, gateway: Gateway, known: list[dict[str, Any]], kind: str = KIND) -> None:
        """Write the configuration file that the gateway's next process reads."""
        addresses = Addresses(gateway.port, self.discovery.port, self.counter.port)
        write_configuration(gateway.config, addresses, known, kind)


async def _watch_stalls(case: Case) -> None:
    """Raise the longest time for which the stand-ins did not run, as the machine was busy."""
    loop = asyncio.get_running_loop()
    while True:
        started_at = loop.time()
        await asyncio.sleep(STALL_POLL_SECONDS)
        case.longest_stall = max(case.longest_stall, loop.time() - started_at - STALL_POLL_SECONDS)


async def _play(play: Callable[[Case], Awaitable[None]], case: Case) -> int:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(LONGEST_SECONDS), case.stack:
            stalls = asyncio.create_task(_watch_stalls(case))
            await play(case)
            stalls.cancel()
    except CouldNotRunError as error:
        case.record.write("judge", f"could not run: {error}")
        return COULD_NOT_RUN
    except (Exception, asyncio.CancelledError):
        case.record.write("judge", f"could not run: {traceback.format_exc()}")
        return COULD_NOT_RUN
    case.record.write("judge", f"longest stall of the stand-ins: {case.longest_stall:.3f} s")
    if case.longest_stall > MAX_STALL_SECONDS:
        return COULD_NOT_RUN
    return BROKEN if case.violations else HELD


def _new_loop() -> asyncio.AbstractEventLoop:
    # `select` takes its timeout in microseconds; `epoll` would make the timers of the stand-ins 1 ms late.
    loop = asyncio.SelectorEventLoop(selectors.SelectSelector())
    loop.set_exception_handler(lambda _loop, _context: None)  # connections that end while they are served
    return loop


def run(file: str, play: Callable[[Case], Awaitable[None]]) -> None:
    """Play a case whose script is `file`, write `record.txt` beside it, and exit with the verdict."""
    record = Record(Path(file).resolve().parent / "record.txt")
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=_new_loop) as runner:
        case = Case(record, Path(folder))
        status = runner.run(_play(play, case))
    verdict = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[status]
    trouble = "with" if case.trouble else "without"
    text = f"{verdict}, {trouble} the disruption; violations: {len(case.violations)}"
    record.write("judge", text)
    record.close()
    sys.stdout.write(f"{text}\n")
    sys.stdout.flush()
    os._exit(status)
