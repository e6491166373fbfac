"""Errors of endpoint discovery."""

from __future__ import annotations


class DiscoveryError(Exception):
    """Base of all errors raised in this package."""


class MalformedUpdateError(DiscoveryError, ValueError):
    """An endpoint list or a delta cannot be read; the text says what is wrong."""


class MalformedEndpointError(MalformedUpdateError):
    """One endpoint of an update cannot be read; the others of that update still can."""
