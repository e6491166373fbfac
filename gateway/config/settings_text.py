"""Converts the nested settings of the configuration into the settings text, one path=value a line."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


def format_setting(value: object) -> str:
    """Return a JSON value as the settings text has it."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def flatten(value: object, path: str = "") -> Iterator[str]:
    """Yield nested settings as the path=value lines that the settings parser reads."""
    if isinstance(value, dict):
        for key, inner in value.items():
            inner_path = f"{path}.{key}" if path else str(key)
            yield from flatten(inner, inner_path)
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        yield f"{path}.count={len(value)}"
        for index, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{index}")
    elif isinstance(value, list):
        yield f"{path}=" + ",".join(map(format_setting, value))
    elif value is not None:
        yield f"{path}={format_setting(value)}"
