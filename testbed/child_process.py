"""Runs a module of the testbed in a process of its own, which does not delay the parent's event loop.

The child ends at the end of its standard input, so it does not outlive its parent.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from types import TracebackType

STOP_SECONDS = 5.0  # for a child to end after its input, before it is killed
MAX_LINE_BYTES = 1 << 26  # of a child's output


class ChildProcess(contextlib.AbstractAsyncContextManager["ChildProcess"]):
    """A child that runs a module; it exchanges lines of text with its parent."""

    def __init__(self, module: str, *arguments: str) -> None:
        self._module = module
        self._arguments = arguments

    async def __aenter__(self) -> ChildProcess:
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self._module,
            *self._arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
        )
        return self

    async def __aexit__(
        self,
        _type: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        self.close_input()
        try:
            async with asyncio.timeout(STOP_SECONDS):
                await self._process.communicate()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()

    def write_line(self, line: str) -> None:
        """Send a line to the child's standard input."""
        assert self._process.stdin is not None
        self._process.stdin.write(f"{line}\n".encode())

    async def read_line(self) -> str:
        """Return the next line of the child's standard output; empty once it has ended."""
        assert self._process.stdout is not None
        return (await self._process.stdout.readline()).decode().rstrip("\n")

    def close_input(self) -> None:
        """Ask the child to end, by the end of its standard input."""
        assert self._process.stdin is not None
        self._process.stdin.close()


async def open_input() -> asyncio.StreamReader:
    """Return a reader of this process's standard input."""
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def input_lines() -> AsyncIterator[str]:
    """Yield the lines that the parent sends, until the end of standard input."""
    reader = await open_input()
    while line := await reader.readline():
        yield line.decode().rstrip("\n")


async def serve_commands(handle: Callable[[str], str | None]) -> None:
    """Pass each line of standard input to a handler, and print what it returns, until the input ends."""
    async for line in input_lines():
        reply = handle(line)
        if reply is not None:
            print(reply, flush=True)  # noqa: T201
