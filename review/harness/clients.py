"""A stand-in of a client: sends one request at a time on a connection, as the protocol page says."""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from harness.record import Record

ANSWER_GRACE_SECONDS = 0.55  # half a second, in which an answer only earns nothing, and the slack of 50 ms


@dataclass(slots=True)
class Answer:
    """What a client got for a request.

    Attributes:
        status: The status; 0 if the connection ended or the time was up without a whole answer.
        body: The body.
        seconds: Seconds from the request's last byte to the answer's.
        why: Why there is no status.
    """

    request_id: str
    status: int
    body: bytes
    seconds: float
    why: str = ""


@dataclass
class Client:
    """Sends requests of one customer to one gateway, on one connection that it keeps."""

    name: str
    port: int
    customer: int
    record: Record

    def __post_init__(self) -> None:
        self._numbers = itertools.count(1)
        self._prefix = random.getrandbits(32)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    def build(self, request_class: str, seconds: float, key: str = "") -> tuple[str, bytes]:
        """Return the id and the bytes of a request, which is a `POST` if it has a key."""
        request_id = f"{self._prefix:08x}{next(self._numbers):08x}"
        lines = [
            f"{'POST' if key else 'GET'} /{request_class}?customer={self.customer:016x} HTTP/1.1",
            "Host: origin.svc",
            f"Request-Id: {request_id}",
            f"Request-Class: {request_class}",
            "X-Tier: stor",
            f"Request-Timeout: {int(seconds * 1000)}m",
            "X-Call-Terms: units=1,spread=1,first=0",
        ]
        if key:
            lines += [f"Idempotency-Key: {key}", "Content-Length: 0"]
        return request_id, "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def connect(self) -> None:
        """Connect, unless the connection of the last request is still open."""
        if self._writer is None or self._writer.is_closing() or self._reader.at_eof():
            self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self.port)

    async def ask(self, request_id: str, request: bytes, seconds: float) -> Answer:
        """Send a request and wait for its answer, until its time and the grace are over."""
        loop = asyncio.get_running_loop()
        try:
            await self.connect()
        except OSError as error:
            return self._done(Answer(request_id, 0, b"", 0.0, f"could not connect: {error}"))
        assert self._writer is not None
        self._writer.write(request)
        sent_at = loop.time()
        self.record.write(self.name, f"sent {request_id}")
        try:
            async with asyncio.timeout(seconds + ANSWER_GRACE_SECONDS):
                status, body = await self._read_answer()
        except TimeoutError:
            self.close()
            return self._done(Answer(request_id, 0, b"", loop.time() - sent_at, "no answer in time"))
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            return self._done(
                Answer(request_id, 0, b"", loop.time() - sent_at, f"connection ended: {type(error).__name__}")
            )
        return self._done(Answer(request_id, status, body, loop.time() - sent_at))

    async def _read_answer(self) -> tuple[int, bytes]:
        assert self._reader is not None
        head = await self._reader.readuntil(b"\r\n\r\n")
        text = head.decode("latin-1").lower()
        size = int(text.split("content-length:")[1].split("\r\n")[0])
        body = await self._reader.readexactly(size)
        if "connection: close" in text:
            self.close()
        return int(text.split()[1]), body

    def _done(self, answer: Answer) -> Answer:
        shown = answer.body.decode("latin-1")[:60]
        text = f"{answer.status} {shown!r}" if answer.status else answer.why
        self.record.write(self.name, f"got for {answer.request_id}: {text}, after {answer.seconds:.3f} s")
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None
