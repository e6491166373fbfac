"""Errors that become error responses: the type decides the status, and the message is the body."""

from __future__ import annotations

from typing import ClassVar


class FrontendError(Exception):
    """Base class of the errors that the gateway reports to the client itself.

    Attributes:
        status: HTTP status of the response.
        retry_after: Seconds after which the client may retry; 0 omits the Retry-After header.
    """

    status: ClassVar[int]
    retry_after: ClassVar[float] = 0.0


class BadRequestError(FrontendError):
    """The request violates HTTP/1.1, the protocol of the service or the settings."""

    status = 400


class UnknownRequestClassError(FrontendError):
    """The path does not name a request class of the settings."""

    status = 404


class RequestTimeoutError(FrontendError):
    """The request was not received completely in time."""

    status = 408


class DuplicateRequestIdError(FrontendError):
    """Another request with the same Request-Id is open, or may have been executed before."""

    status = 409


class BodyTooLargeError(FrontendError):
    """The body is larger than the protocol allows."""

    status = 413


class UnavailableError(FrontendError):
    """The request was not executed, because this process is at a limit or shutting down."""

    status = 503
    retry_after = 1.0
