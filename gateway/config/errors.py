"""Errors of the process configuration."""

from __future__ import annotations


class ConfigError(ValueError):
    """The configuration is invalid or cannot be used; the text names the fault."""


class MissingKeyError(ConfigError):
    """A required key is missing.

    Attributes:
        key: The path of the key.
    """

    def __init__(self, key: str) -> None:
        super().__init__(f"missing key {key!r}")
        self.key = key


class InvalidValueError(ConfigError):
    """The value of a key is invalid.

    Attributes:
        key: The path of the key.
        problem: What is wrong, including the value.
    """

    def __init__(self, key: str, problem: object) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = str(problem)
