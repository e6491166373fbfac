"""Typed look-ups in the settings text, which has one path=value a line."""

from __future__ import annotations

import math
from enum import Enum
from typing import TypeVar

Member = TypeVar("Member", bound=Enum)


class SettingsError(ValueError):
    """A setting is missing or malformed; the text names its key and its value.

    Attributes:
        key: The path of the setting.
        value: The malformed value; None where the setting is missing.
    """

    def __init__(self, key: str, value: str | None = None, problem: str = "") -> None:
        text = f"missing setting {key}" if value is None else f"setting {key} {problem}: {value}"
        super().__init__(text)
        self.key = key
        self.value = value


class SettingsReader:
    """Typed look-ups in the path=value lines.

    A look-up raises `SettingsError` if the value is malformed, or if the setting is missing and there is no
    default.
    """

    def __init__(self, text: str) -> None:
        self._values: dict[str, str] = {}
        for line in text.splitlines():
            key, separator, value = line.partition("=")
            if separator:
                self._values[key.strip()] = value.strip()

    def keys_under(self, prefix: str) -> list[str]:
        """Return the keys with a prefix, in the order of their lines."""
        return [key for key in self._values if key.startswith(prefix)]

    def text(self, key: str, default: str | None = None) -> str:
        """Return the value as it stands."""
        value = self._values.get(key, default)
        if value is None:
            raise SettingsError(key)
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
            raise SettingsError(key, value, "is not a number")
        return number

    def integer(self, key: str, default: int | None = None) -> int:
        """Return the value as a number that has no fraction."""
        number = self.number(key, default)
        if not number.is_integer():
            raise SettingsError(key, self._values[key], "is not a whole number")
        return int(number)

    def boolean(self, key: str, *, default: bool | None = None) -> bool:
        """Return whether the value is ``true``; it has to be ``true`` or ``false``."""
        default_text = None if default is None else str(default).lower()
        value = self.text(key, default_text)
        if value not in ("true", "false"):
            raise SettingsError(key, value, "is neither true nor false")
        return value == "true"

    def names(self, key: str) -> tuple[str, ...]:
        """Return the names of a comma-separated list, which is empty if the setting is missing."""
        return tuple(name for name in self._values.get(key, "").split(",") if name)

    def member(self, kind: type[Member], key: str, problem: str, default: str | None = None) -> Member:
        """Return the member of an enumeration that has the value; an error tells the `problem` otherwise."""
        value = self.text(key, default)
        try:
            return kind(value)
        except ValueError:
            raise SettingsError(key, value, problem) from None
