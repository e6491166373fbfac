"""A fake endpoint: an HTTP server with scripted responses."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from testbed.fake_server import FakeServer
from testbed.http_messages import Message, http_response, read_message

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

CLOSED_WITHOUT_RESPONSE = b""  # makes the endpoint close the connection without a response


def respond_with(body: bytes) -> Callable[[Message], bytes]:
    """Return a `respond` function that responds to each request with a body."""
    return lambda _: http_response(body=body)


def respond_done(_message: Message) -> bytes:
    """Return a response with the body "done"."""
    return http_response(body=b"done")


def send_no_response(_message: Message) -> None:
    """Leave the request without a response."""


@dataclass
class FakeEndpoint(FakeServer):
    """Sends the response that `respond` returns for each request; with None it sends no response.

    Attributes:
        respond: Returns the response to a request.
        requests: All requests that have been received.
    """

    respond: Callable[[Message], bytes | None] = respond_done
    requests: list[Message] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to requests until a response announces or requires that the connection is closed."""
        while True:
            message = await read_message(reader)
            self.requests.append(message)
            response = self.respond(message)
            if response is not None:
                writer.write(response)
                if b"Connection: close" in response or response == CLOSED_WITHOUT_RESPONSE:
                    return
