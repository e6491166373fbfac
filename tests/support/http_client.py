"""An HTTP client that sends requests to a gateway under test."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from testbed.fake_server import LOOPBACK
from testbed.http_messages import Message, read_message

if TYPE_CHECKING:
    from gateway.frontend.listener import Listener

# Indexes of the request classes in the settings of `tests.support.policy`.
IDEMPOTENT_CLASS = 0  # GET
KEYED_CLASS = 1  # POST with an Idempotency-Key header
NON_IDEMPOTENT_CLASS = 2  # POST without an Idempotency-Key header


class HttpClient:
    """One connection to a gateway, on which a customer's requests are sent."""

    def __init__(self, listener: Listener, customer: int = 5) -> None:
        self.customer = customer
        server = listener.acceptor.server
        assert server is not None
        self.port = server.sockets[0].getsockname()[1]
        self.request_count = 0

    async def __aenter__(self) -> HttpClient:
        self.reader, self.writer = await asyncio.open_connection(LOOPBACK, self.port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    def encode_request(
        self, class_index: int = 0, timeout_ms: int = 4000, body: bytes = b"", **headers: str
    ) -> bytes:
        """Return the bytes of a request.

        Args:
            class_index: Index of the request class.
            timeout_ms: Request-Timeout in milliseconds.
            body: Body of the request.
            headers: Changed headers, with underscores for hyphens; an empty value removes the header.
        """
        self.request_count += 1
        fields = {
            "Host": "origin.svc",
            "Request-Id": f"{id(self):08x}{self.request_count:08x}",
            "Request-Class": f"class-{class_index}",
            "X-Tier": "plan-0",
            "Request-Timeout": f"{timeout_ms}m",
            "X-Call-Terms": "units=1,spread=3,first=0",
        }
        if class_index == KEYED_CLASS:
            fields["Idempotency-Key"] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
        if class_index != IDEMPOTENT_CLASS:
            fields["Content-Length"] = str(len(body))
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        method = "GET" if class_index == IDEMPOTENT_CLASS else "POST"
        lines = [f"{method} /class-{class_index}?customer={self.customer:016x} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items() if value]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def send(self, data: bytes) -> Message:
        """Send bytes and return the next response."""
        self.writer.write(data)
        return await read_message(self.reader)

    async def send_request(
        self, class_index: int = 0, timeout_ms: int = 4000, body: bytes = b"", **headers: str
    ) -> Message:
        """Send a request and return the next response; the arguments are those of `encode_request`."""
        return await self.send(self.encode_request(class_index, timeout_ms, body, **headers))
