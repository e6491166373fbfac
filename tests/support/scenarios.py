"""A small scenario for tests of the scale experiments."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

SMALL_SCENARIO_SEED = 7
SMALL_SCENARIO_ENDPOINTS = [20, 40, 80, 160]
SMALL_SCENARIO = """
name = "membership"
seed = 7
repeats = 4
services = 3
zones = 2
sizes = [
    { endpoints = 20, gateways = 5 }, { endpoints = 40, gateways = 5 }, { endpoints = 80, gateways = 5 },
    { endpoints = 160, gateways = 5 },
]
"""


def write_scenario(path: Path, old: str = "", new: str = "") -> str:
    """Write the small scenario to a file, with `old` replaced by `new`, and return the path of the file."""
    assert old in SMALL_SCENARIO
    path.write_text(SMALL_SCENARIO.replace(old, new))
    return str(path)
