"""Fixtures of the tests of the process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from pathlib import Path


@pytest.fixture
def config_path(tmp_path: Path) -> Path:
    """Return the path of the program's configuration file, which the test has to write."""
    return tmp_path / "config.json"
