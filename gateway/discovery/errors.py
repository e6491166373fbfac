"""What can be wrong with what a discovery agent sends."""

from __future__ import annotations


class DiscoveryError(Exception):
    """Base of the errors of endpoint discovery."""


class MalformedUpdateError(DiscoveryError, ValueError):
    """An endpoint list or a change to it that cannot be read; the text says what is wrong."""


class MalformedEndpointError(MalformedUpdateError):
    """One endpoint of an update that cannot be read; the others of that update still can."""
