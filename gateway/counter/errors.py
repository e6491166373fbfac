"""Errors of the counter's client."""

from __future__ import annotations


class CounterError(Exception):
    """Base of the errors of the counter's client."""


class MalformedReplyError(CounterError):
    """The bytes are no reply to the oldest call; what follows them cannot be matched to calls."""
