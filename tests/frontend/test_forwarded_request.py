"""The bytes of a request as it goes to an endpoint."""

from __future__ import annotations

import pytest

from gateway.frontend.forwarded_request import ForwardedRequest
from gateway.frontend.request_reader import ReceivedRequest


def received(method: bytes, body: bytes = b"") -> ReceivedRequest:
    headers = [
        (b"host", b"x"),
        (b"connection", b"close"),
        (b"request-timeout", b"9m"),
        (b"content-length", b"7"),
    ]
    return ReceivedRequest(method, b"/a?b=c", headers, body, keep_alive=True, started_at=0.0)


@pytest.mark.parametrize(
    ("request_received", "encoded"),
    [
        pytest.param(
            received(b"GET"),
            b"GET /a?b=c HTTP/1.1\r\nhost: x\r\nRequest-Timeout: 1500m\r\n\r\n",
            id="GET",
        ),
        pytest.param(
            received(b"POST", b"some"),
            b"POST /a?b=c HTTP/1.1\r\nhost: x\r\nContent-Length: 4\r\nRequest-Timeout: 1500m\r\n\r\nsome",
            id="POST",
        ),
        pytest.param(
            received(b"POST"),
            b"POST /a?b=c HTTP/1.1\r\nhost: x\r\nContent-Length: 0\r\nRequest-Timeout: 1500m\r\n\r\n",
            id="POST without a body",
        ),
    ],
)
def test_headers_of_the_connection_are_replaced(request_received: ReceivedRequest, encoded: bytes) -> None:
    assert ForwardedRequest(request_received).encode(1.5) == encoded


def test_the_timeout_is_at_least_a_millisecond() -> None:
    assert b"Request-Timeout: 1m\r\n" in ForwardedRequest(received(b"GET")).encode(0.0001)
