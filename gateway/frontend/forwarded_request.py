"""Encodes a client's request for an endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gateway.frontend import request_headers

if TYPE_CHECKING:
    from gateway.frontend.request_reader import ReceivedRequest

# Hop-by-hop headers, and headers that the gateway sets or answers itself.
NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        request_headers.CONTENT_LENGTH,
        b"expect",
        request_headers.TIMEOUT,
    }
)
MIN_TIMEOUT_MILLISECONDS = 1


class ForwardedRequest:
    """A client's request without its hop-by-hop headers; all but the timeout is encoded only once."""

    __slots__ = ("_body", "_head")

    def __init__(self, request: ReceivedRequest) -> None:
        head = b"%s %s HTTP/1.1\r\n" % (request.method, request.target)
        head += b"".join(
            b"%s: %s\r\n" % (name, value) for name, value in request.headers if name not in NOT_FORWARDED
        )
        if request.method == b"POST" or request.body:
            head += b"Content-Length: %d\r\n" % len(request.body)
        self._head = head
        self._body = request.body

    def encode(self, timeout: float) -> bytes:
        """Return the bytes to send for an attempt with this timeout in seconds."""
        milliseconds = max(MIN_TIMEOUT_MILLISECONDS, int(timeout * 1000))
        return b"%sRequest-Timeout: %dm\r\n\r\n%s" % (self._head, milliseconds, self._body)
