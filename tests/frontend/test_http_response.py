"""The encoding of responses to clients."""

from __future__ import annotations

import pytest

from gateway.driver.open_request import Response
from gateway.frontend.errors import (
    BadRequestError,
    BodyTooLargeError,
    DuplicateRequestIdError,
    FrontendError,
    RequestTimeoutError,
    UnavailableError,
    UnknownRequestClassError,
)
from gateway.frontend.http_response import encode_response, error_response


@pytest.mark.parametrize(
    ("response", "close", "encoded"),
    [
        pytest.param(
            Response(200), False, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", id="without a body"
        ),
        pytest.param(
            Response(200, b"done", b"text/plain"),
            False,
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Type: text/plain\r\n\r\ndone",
            id="with a body",
        ),
        pytest.param(
            Response(503, retry_after=0.25),
            True,
            (
                b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.250\r\n"
                b"Connection: close\r\n\r\n"
            ),
            id="rejection that closes the connection",
        ),
    ],
)
def test_encoded_response(response: Response, *, close: bool, encoded: bytes) -> None:
    assert encode_response(response, close=close) == encoded


@pytest.mark.parametrize(
    ("error", "status", "retry_after"),
    [
        pytest.param(BadRequestError("x"), 400, 0.0, id="bad request"),
        pytest.param(UnknownRequestClassError("x"), 404, 0.0, id="unknown class"),
        pytest.param(RequestTimeoutError("x"), 408, 0.0, id="timeout"),
        pytest.param(DuplicateRequestIdError("x"), 409, 0.0, id="duplicate id"),
        pytest.param(BodyTooLargeError("x"), 413, 0.0, id="body too large"),
        pytest.param(UnavailableError("x"), 503, 1.0, id="unavailable"),
    ],
)
def test_error_type_decides_the_status(error: FrontendError, status: int, retry_after: float) -> None:
    assert error_response(error) == Response(status, b"x\n", retry_after=retry_after)
