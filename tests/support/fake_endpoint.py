"""A fake endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.support.fake_server import FakeServer
from tests.support.http_messages import Message, http_response, read_message

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

CLOSED_WITHOUT_RESPONSE = b""


def respond_with(body: bytes) -> Callable[[Message], bytes]:
    """Return an `answer` that responds to each request with a body."""
    return lambda _: http_response(body=body)


def respond_done(_message: Message) -> bytes:
    """Respond with the body "done"."""
    return http_response(body=b"done")


def send_no_response(_message: Message) -> None:
    """Respond to no request."""


@dataclass
class FakeEndpoint(FakeServer):
    """Answers each request with what `answer` makes of it; None keeps silent."""

    answer: Callable[[Message], bytes | None] = respond_done
    requests: list[Message] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests until a response announces the close."""
        while True:
            message = await read_message(reader)
            self.requests.append(message)
            response = self.answer(message)
            if response is not None:
                writer.write(response)
                if b"Connection: close" in response or response == CLOSED_WITHOUT_RESPONSE:
                    return
