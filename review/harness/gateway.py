"""Runs one gateway as a process of its own, by the `run` command of the deploy file."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from harness.record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_SECONDS = 20.0


def free_port() -> int:
    """Return a free port of the loopback address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class Gateway:
    """One gateway process; `/bin/sh -c` starts it from the root, as the deployment page says."""

    def __init__(self, name: str, folder: Path, port: int, record: Record) -> None:
        self.name = name
        self.port = port
        self.config = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self._folder = folder
        self._record = record
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, discovery: int) -> None:
        """Start the process."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        temporary = self._folder / f"{self.name}.tmp"
        temporary.mkdir(exist_ok=True)
        env = dict(os.environ) | {
            "NODE_NAME": self.name,
            "NODE_LISTEN": f"127.0.0.1:{self.port}",
            "NODE_DISCOVERY": f"127.0.0.1:{discovery}",
            "NODE_CONFIG": str(self.config),
            "TMPDIR": str(temporary),
        }
        env.pop("PYTHONPATH", None)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._record.write(self.name, f"started, pid {self.process.pid}, port {self.port}")

    async def ready(self, seconds: float = READY_SECONDS) -> bool:
        """Wait until `GET /-/ready` has answered 200; return whether it has."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + seconds
        while loop.time() < give_up_at and self.process is not None and self.process.returncode is None:
            if await ready_status(self.port) == 200:  # noqa: PLR2004
                self._record.write(self.name, "answered GET /-/ready with 200")
                return True
            await asyncio.sleep(0.02)
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self.process is not None and self.process.returncode is None:
            self._record.write(self.name, f"gets {number.name}")
            self.process.send_signal(number)

    async def end(self) -> None:
        """End the process by SIGKILL, if it still runs, and put its log into the record."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            status = await self.process.wait()
            self._record.write(self.name, f"ended with status {status}")
        if self.log.exists():
            for line in self.log.read_text(encoding="utf-8", errors="replace").splitlines()[:60]:
                self._record.write(self.name, f"log: {line}")


async def ready_status(port: int) -> int:
    """Return the status of the readiness check, or 0 if there is no answer."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                return int(head.split()[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
