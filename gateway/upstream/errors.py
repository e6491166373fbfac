"""Exceptions of the connections to endpoints."""

from __future__ import annotations


class UpstreamError(Exception):
    """Base class of all exceptions that this package defines."""


class MalformedResponseError(UpstreamError):
    """An endpoint sent an invalid HTTP/1.1 response, or one that exceeds a size limit."""
