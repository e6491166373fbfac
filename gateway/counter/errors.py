"""What can be wrong with what the counter sends."""

from __future__ import annotations


class CounterError(Exception):
    """Base of the errors of the counter's client."""


class MalformedReplyError(CounterError):
    """Bytes that are no reply to the oldest call; what follows them cannot be matched to calls."""
