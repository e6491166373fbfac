"""The bytes of a request as it is sent to an endpoint."""

from __future__ import annotations

import pytest

from gateway.frontend.forwarded_request import ForwardedRequest
from gateway.frontend.request_reader import ReceivedRequest


def make_request(method: bytes, body: bytes = b"") -> ReceivedRequest:
    headers = [
        (b"host", b"x"),
        (b"connection", b"close"),
        (b"request-timeout", b"9m"),
        (b"content-length", b"7"),
    ]
    return ReceivedRequest(method, b"/a?b=c", headers, body, keep_alive=True, started_at=0.0)


@pytest.mark.parametrize(
    ("client_request", "encoded"),
    [
        pytest.param(
            make_request(b"GET"),
            b"GET /a?b=c HTTP/1.1\r\nhost: x\r\nRequest-Timeout: 1500m\r\n\r\n",
            id="GET",
        ),
        pytest.param(
            make_request(b"POST", b"some"),
            b"POST /a?b=c HTTP/1.1\r\nhost: x\r\nContent-Length: 4\r\nRequest-Timeout: 1500m\r\n\r\nsome",
            id="POST",
        ),
        pytest.param(
            make_request(b"POST"),
            b"POST /a?b=c HTTP/1.1\r\nhost: x\r\nContent-Length: 0\r\nRequest-Timeout: 1500m\r\n\r\n",
            id="POST without a body",
        ),
    ],
)
def test_hop_by_hop_headers_are_removed_and_headers_of_the_gateway_replaced(
    client_request: ReceivedRequest, encoded: bytes
) -> None:
    assert ForwardedRequest(client_request).encode(1.5) == encoded


def test_timeout_is_at_least_one_millisecond() -> None:
    assert b"Request-Timeout: 1m\r\n" in ForwardedRequest(make_request(b"GET")).encode(0.0001)
