"""Encodes responses to clients."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gateway.driver.open_request import Response

if TYPE_CHECKING:
    from gateway.frontend.errors import FrontendError

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def encode_response(response: Response, *, close: bool) -> bytes:
    """Return the bytes of a response; ``close`` adds the header ``Connection: close``."""
    head = (
        f"HTTP/1.1 {response.status} {REASONS[response.status]}\r\nContent-Length: {len(response.body)}\r\n"
    )
    if response.retry_after > 0:
        head += f"Retry-After: {response.retry_after:.3f}\r\n"
    if close:
        head += "Connection: close\r\n"
    if response.content_type:
        return head.encode() + b"Content-Type: " + response.content_type + b"\r\n\r\n" + response.body
    return head.encode() + b"\r\n" + response.body


def error_response(error: FrontendError) -> Response:
    """Return the response for an error, with the error's message as its body."""
    return Response(error.status, f"{error}\n".encode(), retry_after=error.retry_after)
