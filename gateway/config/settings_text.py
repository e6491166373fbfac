"""Converts the nested settings of the configuration into the settings text, with one path=value per line."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


def format_setting(value: object) -> str:
    """Format a JSON value for the settings text."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def flatten(value: object, path: str = "") -> Iterator[str]:
    """Yield the path=value lines of nested settings, as the settings parser expects them."""
    if isinstance(value, dict):
        for key, child in value.items():
            child_path = f"{path}.{key}" if path else str(key)
            yield from flatten(child, child_path)
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        yield f"{path}.count={len(value)}"
        for index, child in enumerate(value):
            yield from flatten(child, f"{path}.{index}")
    elif isinstance(value, list):
        yield f"{path}=" + ",".join(map(format_setting, value))
    elif value is not None:
        yield f"{path}={format_setting(value)}"
