"""Reading and writing of HTTP messages by the test client and the fake servers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


@dataclass
class Message:
    """A request or a response; header names are in lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start_line.split()[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start_line.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body, if any, has the length in Content-Length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = head.split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start_line, headers, body)


def http_response(status: int = 200, body: bytes = b"", **headers: str) -> bytes:
    """Return the bytes of a response; underscores in header names become hyphens."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
