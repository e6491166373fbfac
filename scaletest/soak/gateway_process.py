"""A gateway of a soak: its processes, one after another, and what happens to them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import psutil

from scaletest.soak.configuration import MAX_SOCKETS
from scaletest.soak.records import ProcessRecord, ResourceSample
from testbed.fake_server import LOOPBACK
from testbed.http_messages import read_message

if TYPE_CHECKING:
    from pathlib import Path

READY_POLL_SECONDS = 0.02
MAX_START_SECONDS = 30.0  # a process that takes longer is ended
EXIT_POLL_SECONDS = 0.005
KILL_MARGIN_SECONDS = 0.7  # SIGKILL follows SIGTERM after the longest deadline and this time
MAX_KILL_DEADLINE_SECONDS = 3.0  # the longest deadline counts as this if it is longer
MEBIBYTE = 1 << 20
OK_STATUS = 200


class GatewayRunner:
    """One gateway, which is started again and again under the same address.

    Attributes:
        index: Index of the gateway.
        port: The port that it listens on.
        config_path: Its configuration file.
        records: A record of each process so far; the last one is the current process.
    """

    def __init__(self, index: int, port: int, folder: Path, longest_deadline: float) -> None:
        self.index = index
        self.port = port
        self.config_path = folder / f"gateway-{index}.json"
        self.records: list[ProcessRecord] = []
        self._folder = folder
        self._kill_after = min(longest_deadline, MAX_KILL_DEADLINE_SECONDS) + KILL_MARGIN_SECONDS
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def current(self) -> ProcessRecord:
        """The record of the current process."""
        return self.records[-1]

    @property
    def is_running(self) -> bool:
        """Whether a process is running."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start a process."""
        log_path = self._folder / f"gateway-{self.index}-{len(self.records)}.log"
        env = dict(os.environ) | {
            "NODE_CONFIG": str(self.config_path),
            "NODE_LISTEN": f"{LOOPBACK}:{self.port}",
        }
        with log_path.open("wb") as log:
            self._process = subprocess.Popen([sys.executable, "-m", "gateway"], env=env, stderr=log)
        resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, (MAX_SOCKETS, MAX_SOCKETS))
        self.records.append(ProcessRecord(self.index, time.monotonic(), str(log_path)))

    async def wait_until_ready(self) -> bool:
        """Wait until the process is ready; return whether it is before it has ended."""
        record = self.current
        while self.is_running and time.monotonic() - record.started_at < MAX_START_SECONDS:
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(1.0):
                    if await self._check_readiness():
                        record.ready_at = time.monotonic()
                        return True
            await asyncio.sleep(READY_POLL_SECONDS)
        return False

    async def _check_readiness(self) -> bool:
        reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: soak\r\n\r\n")
            return (await read_message(reader)).status == OK_STATUS
        finally:
            writer.close()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the current process, and record the first SIGTERM."""
        assert self._process is not None
        record = self.current
        if number is signal.SIGTERM and not record.terminated_at:
            record.terminated_at = time.monotonic()
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process outright."""
        self.current.is_planned_kill = True
        await self._kill_and_wait()

    async def wait_or_kill(self) -> None:
        """Wait until the process has ended after a SIGTERM; kill it at the earliest allowed moment."""
        record = self.current
        while self.is_running:
            if time.monotonic() >= record.terminated_at + self._kill_after:
                await self._kill_and_wait()
                return
            await asyncio.sleep(EXIT_POLL_SECONDS)
        self._record_end()

    async def _kill_and_wait(self) -> None:
        assert self._process is not None
        self.current.killed_at = time.monotonic()
        self._process.kill()
        while self.is_running:  # noqa: ASYNC110  # the end of a process is found by polling
            await asyncio.sleep(EXIT_POLL_SECONDS)
        self._record_end()

    def _record_end(self) -> None:
        assert self._process is not None
        self.current.ended_at = time.monotonic()
        self.current.status = self._process.returncode

    def sample_resources(self) -> None:
        """Record the memory and the descriptors of a process that is ready."""
        record = self.current
        if self._process is None or not self.is_running or not record.ready_at:
            return
        with contextlib.suppress(psutil.Error, OSError):
            process = psutil.Process(self._process.pid)
            memory = process.memory_info().rss / MEBIBYTE
            age = time.monotonic() - record.ready_at
            record.samples.append(ResourceSample(age, memory, process.num_fds()))

    def end(self) -> None:
        """End the process, if one is still running."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
