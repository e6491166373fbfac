"""The gateway program as a process of its own, for tests of its start, signals and descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path

from tests.support.sockets import read_message


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


@contextlib.asynccontextmanager
async def running_program(
    config_path: Path, max_sockets: int | None = None
) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    """The program, once it listens, and its port; ``max_sockets`` limits its descriptors."""
    port = free_port()
    env = dict(os.environ) | {"NODE_CONFIG": str(config_path), "NODE_LISTEN": f"127.0.0.1:{port}"}
    program = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "gateway", env=env, stderr=asyncio.subprocess.PIPE
    )
    if max_sockets is not None:
        resource.prlimit(program.pid, resource.RLIMIT_NOFILE, (max_sockets, max_sockets))
    try:
        while program.returncode is None:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                break
            except OSError:
                await asyncio.sleep(0.01)
        yield program, port
    finally:
        if program.returncode is None:
            program.kill()
            await program.wait()


async def readiness_status(port: int) -> int:
    """The status of the program's readiness check."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    status = (await read_message(reader)).status
    writer.close()
    return status


def open_descriptors(program: asyncio.subprocess.Process) -> int:
    """How many descriptors the program has open."""
    return len(os.listdir(f"/proc/{program.pid}/fd"))
