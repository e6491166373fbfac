"""A stand-in of a catalogue server, as the protocol page describes it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

if TYPE_CHECKING:
    from harness.record import Record


@dataclass(slots=True)
class Received:
    """A request that has reached the server whole."""

    request_id: str
    key: str
    target: str
    timeout: str
    at: float


def answer_body(request: Received, server: str) -> bytes:
    """Return the body of the answer that a server makes for a request; it names the request."""
    return f"{request.request_id} by {server}".encode()


def http_answer(body: bytes, status: bytes = b"200 OK", *extra: bytes) -> bytes:
    """Return the bytes of an answer."""
    lines = [b"HTTP/1.1 " + status, b"Content-Length: %d" % len(body), *extra]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


@dataclass
class Server:
    """Runs each request for a time and answers it; subclasses change what it does.

    Attributes:
        name: The host name in discovery's list.
        record: Gets a line for each request that comes and that runs.
        service_seconds: The time that a request runs for.
        latency_seconds: The time that bytes take between the gateway and the server, each way.
        port: The port that it listens on; 0 takes a free one.
        received: All requests that have reached the server whole.
    """

    name: str
    record: Record
    service_seconds: float = 0.06
    latency_seconds: float = 0.0
    port: int = 0
    received: list[Received] = field(default_factory=list)

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Connection(self), "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def handle(self, connection: Connection, request: Received) -> None:
        """Run a request, and answer it."""
        asyncio.get_running_loop().call_later(self.service_seconds, self.answer, connection, request)

    def answer(self, connection: Connection, request: Received) -> None:
        """Answer a request that has run."""
        self.record.write(self.name, f"ran {request.request_id}, answers 200")
        connection.write(http_answer(answer_body(request, self.name)))


class Connection(asyncio.Protocol):
    """One connection to a server; requests on it come one at a time.

    Attributes:
        requests: The number of requests that have come so far.
    """

    def __init__(self, server: Server) -> None:
        self.requests = 0
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast("asyncio.Transport", transport)

    def connection_lost(self, _error: Exception | None) -> None:
        """Forget the transport."""
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Take bytes in once they have crossed the network."""
        self._after_latency(self._take_in, data)

    def write(self, data: bytes) -> None:
        """Send bytes, which reach the gateway once they have crossed the network."""
        self._after_latency(self._put_out, data)

    def _after_latency(self, action: object, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self._server.latency_seconds, action, data)  # type: ignore[arg-type]

    def _put_out(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _take_in(self, data: bytes) -> None:
        """Hand each request to the server once its last byte has come."""
        self._buffer += data
        while (end := self._buffer.find(b"\r\n\r\n")) >= 0:
            head = self._buffer[: end + 4]
            headers = _headers(head)
            size = len(head) + int(headers.get("content-length", "0"))
            if len(self._buffer) < size:
                return
            self._buffer = self._buffer[size:]
            self._received(head.split()[1].decode(), headers)

    def _received(self, target: str, headers: dict[str, str]) -> None:
        if target.startswith("/-/"):
            self.write(http_answer(b"TEXT latency_ms=60.0"))
            return
        server = self._server
        request = Received(
            headers.get("request-id", ""),
            headers.get("idempotency-key", ""),
            target,
            headers.get("request-timeout", ""),
            server.record.now(),
        )
        self.requests += 1
        server.received.append(request)
        server.record.write(server.name, f"got {request.request_id}")
        server.handle(self, request)


def _headers(head: bytes) -> dict[str, str]:
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in pairs}
