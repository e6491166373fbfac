"""Errors of the connections to endpoints."""

from __future__ import annotations


class UpstreamError(Exception):
    """Base of all errors raised in this package."""


class MalformedResponseError(UpstreamError):
    """The bytes from an endpoint are not a valid HTTP/1.1 response, or exceed a size limit."""
