"""HTTP messages as the fakes read and write them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


@dataclass
class Message:
    """A request or a response; the names of its headers are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split()[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body, if any, has its length in a header."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start, headers, body)


def http_response(status: int = 200, body: bytes = b"", **headers: str) -> bytes:
    """Return the bytes of a response; underscores in the names of headers become hyphens."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
