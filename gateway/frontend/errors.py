"""Errors for which the gateway itself sends a response: the type gives its status, the text its body."""

from __future__ import annotations

from typing import ClassVar


class FrontendError(Exception):
    """Base of the errors for which the gateway itself sends a response.

    Attributes:
        status: HTTP status of the response.
        retry_after: Seconds after which the client may retry; 0 leaves the header out.
    """

    status: ClassVar[int]
    retry_after: ClassVar[float] = 0.0


class BadRequestError(FrontendError):
    """The request breaks HTTP/1.1, the protocol or the settings."""

    status = 400


class UnknownRequestClassError(FrontendError):
    """The path names no request class of the settings."""

    status = 404


class RequestTimeoutError(FrontendError):
    """The request was not complete in time."""

    status = 408


class DuplicateRequestIdError(FrontendError):
    """Another request with the same Request-Id is open."""

    status = 409


class BodyTooLargeError(FrontendError):
    """The body exceeds the limit of the protocol."""

    status = 413


class UnavailableError(FrontendError):
    """A limit or the end of this process rejects the request, which has not run."""

    status = 503
    retry_after = 1.0
