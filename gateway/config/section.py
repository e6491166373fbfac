"""Typed look-ups in the JSON objects of the configuration."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, TypeVar

from gateway.config.errors import ConfigError, InvalidValueError, MissingKeyError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

Converted = TypeVar("Converted")


class Section:
    """One object of the configuration; errors name a key with its path."""

    def __init__(self, values: Mapping[str, Any], path: str = "") -> None:
        self._values = values
        self._path = path

    def required(self, key: str, convert: Callable[[Any], Converted]) -> Converted:
        """Return the converted value of a key.

        Raises:
            MissingKeyError: There is no such key.
            InvalidValueError: The value cannot be converted.
        """
        if key not in self._values:
            raise MissingKeyError(self._path + key)
        return self.convert(key, self._values[key], convert)

    def convert(self, key: str, value: object, convert: Callable[[Any], Converted]) -> Converted:
        """Return a converted value, which need not be of this section; an error names it by `key`.

        Raises:
            InvalidValueError: The value cannot be converted.
        """
        try:
            return convert(value)
        except (TypeError, ValueError) as error:
            raise InvalidValueError(self._path + key, error) from None

    def section(self, key: str) -> Section:
        """Return the object under a key, which must be there."""
        return Section(self.required(key, check_object), f"{self._path}{key}.")

    def optional(self, key: str, default: Any = None) -> Any:
        """Return the value of a key as it is, or `default` if there is none."""
        return self._values.get(key, default)


def check_object(value: object) -> dict[str, Any]:
    """Return the value, which has to be a JSON object.

    Raises:
        TypeError: It is of another type.
    """
    if not isinstance(value, dict):
        raise TypeError(f"not an object but of type {type(value).__name__}")
    return value


def parse_root(text: str) -> Section:
    """Return the outermost object of the configuration file.

    Raises:
        ConfigError: The text is not a JSON object.
    """
    try:
        return Section(check_object(json.loads(text)))
    except (TypeError, ValueError) as error:
        raise ConfigError(f"not a JSON object: {error}") from None
