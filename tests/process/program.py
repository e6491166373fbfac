"""Runs the gateway program as a separate process, for tests of its start, signals and descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import sys
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from testbed.fake_server import LOOPBACK
from testbed.free_ports import free_port
from testbed.http_messages import read_message

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CONNECT_POLL_SECONDS = 0.01


class RunningProgram(NamedTuple):
    """The program's process and the port on which it listens."""

    process: asyncio.subprocess.Process
    port: int


@contextlib.asynccontextmanager
async def running_program(config_path: Path, max_sockets: int | None = None) -> AsyncIterator[RunningProgram]:
    """Run the program, which listens by the time this yields unless it has exited.

    Args:
        config_path: The configuration file.
        max_sockets: Limit of the system on the program's descriptors; None for the limit of the test process.
    """
    port = free_port()
    env = dict(os.environ) | {"NODE_CONFIG": str(config_path), "NODE_LISTEN": f"{LOOPBACK}:{port}"}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "gateway", env=env, stderr=asyncio.subprocess.PIPE
    )
    if max_sockets is not None:
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (max_sockets, max_sockets))
    try:
        await _wait_until_listening(process, port)
        yield RunningProgram(process, port)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def _wait_until_listening(process: asyncio.subprocess.Process, port: int) -> None:
    """Wait until the program listens or has exited."""
    while process.returncode is None:
        try:
            _, writer = await asyncio.open_connection(LOOPBACK, port)
        except OSError:
            await asyncio.sleep(CONNECT_POLL_SECONDS)
        else:
            writer.close()
            return


async def readiness_status(port: int) -> int:
    """Return the HTTP status of the program's readiness check."""
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    status = (await read_message(reader)).status
    writer.close()
    return status


def open_descriptors(process: asyncio.subprocess.Process) -> int:
    """Return how many descriptors the program has open."""
    return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))


def peak_memory_mb(process: asyncio.subprocess.Process) -> float:
    """Return the largest resident memory that the program has had, in megabytes."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    (kilobytes,) = (line.split()[1] for line in status.splitlines() if line.startswith("VmHWM"))
    return int(kilobytes) / 1024
