"""Errors of endpoint discovery."""

from __future__ import annotations


class DiscoveryError(Exception):
    """Base of the errors of endpoint discovery."""


class MalformedUpdateError(DiscoveryError, ValueError):
    """An endpoint list or a delta is malformed; the text names the fault and the value."""


class MalformedEndpointError(MalformedUpdateError):
    """One endpoint of an update is malformed; the other endpoints of the update are still used."""
