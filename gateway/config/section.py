"""Typed access to the JSON objects of the configuration."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, TypeVar

from gateway.config.errors import ConfigError, InvalidValueError, MissingKeyError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

Converted = TypeVar("Converted")


class ConfigSection:
    """One JSON object of the configuration; errors name the full path of a key."""

    def __init__(self, values: Mapping[str, Any], path: str = "") -> None:
        self._values = values
        self._path = path

    def required(self, key: str, convert: Callable[[Any], Converted]) -> Converted:
        """Return the converted value of a key.

        Raises:
            MissingKeyError: The key is missing.
            InvalidValueError: The value cannot be converted.
        """
        if key not in self._values:
            raise MissingKeyError(self._path + key)
        return self.convert(key, self._values[key], convert)

    def convert(self, key: str, value: object, convert: Callable[[Any], Converted]) -> Converted:
        """Convert a value, which may be an environment variable or a default; an error names it by `key`.

        Raises:
            InvalidValueError: The value cannot be converted.
        """
        try:
            return convert(value)
        except (TypeError, ValueError, OverflowError) as error:
            raise InvalidValueError(self._path + key, error) from None

    def subsection(self, key: str) -> ConfigSection:
        """Return the object under a required key."""
        return ConfigSection(self.required(key, check_object), f"{self._path}{key}.")

    def optional(self, key: str, default: Any = None) -> Any:
        """Return the unconverted value of a key, or `default` if the key is missing."""
        return self._values.get(key, default)


def check_object(value: object) -> dict[str, Any]:
    """Return the value if it is a JSON object.

    Raises:
        TypeError: The value is of another type.
    """
    if not isinstance(value, dict):
        raise TypeError(f"expected a JSON object, got {type(value).__name__}")
    return value


def parse_root(text: str) -> ConfigSection:
    """Parse the text of the configuration file into its top-level object.

    Raises:
        ConfigError: The text is not a JSON object.
    """
    try:
        return ConfigSection(check_object(json.loads(text)))
    except (TypeError, ValueError, RecursionError) as error:
        raise ConfigError(f"cannot parse the configuration file: {error}") from None
