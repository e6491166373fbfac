"""Errors that end in a response to the client: the status is the type's, the text is sent as the body."""

from __future__ import annotations

from typing import ClassVar


class FrontendError(Exception):
    """Base of the errors for which a client gets a response of this side's own."""

    status: ClassVar[int]
    retry_after: ClassVar[float] = 0.0  # seconds; 0 leaves the header out


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
    """A request with this Request-Id is still open."""

    status = 409


class BodyTooLargeError(FrontendError):
    """The body exceeds the limit of the protocol."""

    status = 413


class UnavailableError(FrontendError):
    """The request was rejected without having run, for a limit of this process or its end."""

    status = 503
    retry_after = 1.0
