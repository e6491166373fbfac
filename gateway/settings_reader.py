"""Typed access to the settings text, which has one path=value per line."""

from __future__ import annotations

import math
from enum import Enum
from typing import TypeVar

Member = TypeVar("Member", bound=Enum)


class SettingsError(ValueError):
    """A setting is missing or malformed; the text names its key and value.

    Attributes:
        key: The path of the setting.
        value: The malformed value; None if the setting is missing.
    """

    def __init__(self, key: str, value: str | None = None, requirement: str = "") -> None:
        invalid = f"setting {key} must be {requirement}, got {value!r}"
        super().__init__(f"missing setting {key}" if value is None else invalid)
        self.key = key
        self.value = value


class SettingsReader:
    """Typed access to the path=value lines.

    Each method raises `SettingsError` if the value is malformed, or if the setting is missing and has no
    default.
    """

    def __init__(self, text: str) -> None:
        self._values: dict[str, str] = {}
        for line in text.splitlines():
            key, separator, value = line.partition("=")
            if separator:
                self._values[key.strip()] = value.strip()

    def keys_with_prefix(self, prefix: str) -> list[str]:
        """Return the keys with a prefix, in the order of their lines."""
        return [key for key in self._values if key.startswith(prefix)]

    def text(self, key: str, default: str | None = None) -> str:
        """Return the value as text."""
        value = self._values.get(key, default)
        if value is None:
            raise SettingsError(key)
        return value

    def name(self, key: str) -> str:
        """Return the value as a name that can be sent in a header."""
        value = self.text(key)
        try:
            value.encode()
        except UnicodeEncodeError:
            raise SettingsError(key, value, "a text that can be encoded") from None
        return value

    def number(self, key: str, default: float | None = None) -> float:
        """Return the value as a finite number."""
        default_text = None if default is None else repr(default)
        value = self.text(key, default_text)
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not math.isfinite(number):
            raise SettingsError(key, value, "a finite number")
        return number

    def integer(self, key: str, default: int | None = None) -> int:
        """Return the value as an integer, which may be written as a float without a fraction."""
        number = self.number(key, default)
        if not number.is_integer():
            raise SettingsError(key, self._values[key], "an integer")
        return int(number)

    def boolean(self, key: str, *, default: bool | None = None) -> bool:
        """Return the value as a boolean, written as ``true`` or ``false``."""
        default_text = None if default is None else str(default).lower()
        value = self.text(key, default_text)
        if value not in ("true", "false"):
            raise SettingsError(key, value, "true or false")
        return value == "true"

    def names(self, key: str) -> tuple[str, ...]:
        """Return the names of a comma-separated list, which is empty if the setting is missing."""
        return tuple(name for name in self._values.get(key, "").split(",") if name)

    def member(self, kind: type[Member], key: str, default: str | None = None) -> Member:
        """Return the member of an enumeration with this value."""
        value = self.text(key, default)
        try:
            return kind(value)
        except ValueError:
            names = ", ".join(str(member.value) for member in kind)
            raise SettingsError(key, value, f"one of {names}") from None
