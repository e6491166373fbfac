"""The request as it goes to an endpoint."""

from __future__ import annotations

from gateway.frontend.request_reader import ReceivedRequest

NOT_FORWARDED = frozenset(  # hop-by-hop headers, and those that are written anew
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer"
    b" transfer-encoding upgrade expect content-length request-timeout".split()
)


class ForwardedRequest:
    """A client's request without what concerns its connection alone."""

    __slots__ = ("body", "head")

    def __init__(self, request: ReceivedRequest) -> None:
        head = b"%s %s HTTP/1.1\r\n" % (request.method, request.target) + b"".join(
            b"%s: %s\r\n" % header for header in request.headers if header[0] not in NOT_FORWARDED
        )
        if request.method == b"POST" or request.body:
            head += b"Content-Length: %d\r\n" % len(request.body)
        self.head, self.body = head, request.body

    def encode(self, time_remaining: float) -> bytes:
        """Return the bytes for an attempt that has this many seconds."""
        milliseconds = max(1, int(time_remaining * 1000))
        return b"%sRequest-Timeout: %dm\r\n\r\n%s" % (self.head, milliseconds, self.body)
