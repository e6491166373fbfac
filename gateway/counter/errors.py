"""Errors of the counter client."""

from __future__ import annotations


class CounterError(Exception):
    """Base of the errors of the counter client."""


class MalformedReplyError(CounterError):
    """The bytes are not a reply to the oldest call; later replies cannot be matched to calls."""
