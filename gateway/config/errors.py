"""Errors of the process configuration."""

from __future__ import annotations


class ConfigError(ValueError):
    """A configuration that cannot be served; the text is one plain line."""


class MissingKeyError(ConfigError):
    """A required key is missing; `key` is its path."""

    def __init__(self, key: str) -> None:
        super().__init__(f"missing {key!r}")
        self.key = key


class InvalidValueError(ConfigError):
    """The value of a key is invalid; `key` is its path, and `problem` tells why, and which value it has."""

    def __init__(self, key: str, problem: object) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = str(problem)
