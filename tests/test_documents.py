"""Checks that files named in documents exist, and that the architecture page names every policy module."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "gateway"
ARCHITECTURE = ROOT / "docs" / "ARCHITECTURE.md"
DOCUMENTS = [
    ROOT / "README.md",
    ROOT / "CONTRIBUTING.md",
    *sorted((ROOT / "docs").glob("*.md")),
]
QUOTED = re.compile(r"`([^`\n]+)`")
FILE_PATH = re.compile(r"[a-z_0-9./-]+\.(py|toml|md|json|png)|[a-z_0-9./-]+/")


def quoted_paths(text: str) -> set[str]:
    """Return the paths of files and folders that a document has in back quotes."""
    return {quoted for quoted in QUOTED.findall(text) if FILE_PATH.fullmatch(quoted)}


def path_exists(path: str) -> bool:
    """Return whether a path exists, relative to the root or, as in the architecture page, to `gateway/`."""
    return (ROOT / path).exists() or (PACKAGE / path).exists()


@pytest.mark.parametrize("document", DOCUMENTS, ids=lambda path: path.name)
def test_paths_in_a_document_exist(document: Path) -> None:
    paths = quoted_paths(document.read_text(encoding="utf-8"))
    assert {path for path in paths if not path_exists(path)} == set()


def test_a_path_that_does_not_exist_is_reported() -> None:
    text = "`policy/engine.py`, `gateway/nowhere/` and `policy/no_module.py`, but not `Policy.handle`"
    missing = {path for path in quoted_paths(text) if not path_exists(path)}
    assert missing == {"gateway/nowhere/", "policy/no_module.py"}


def test_the_section_on_state_names_every_module_of_the_policy() -> None:
    text = ARCHITECTURE.read_text(encoding="utf-8")
    section = text.split("## Who owns which state")[1].split("\n## ")[0]
    modules = {f"policy/{path.name}" for path in (PACKAGE / "policy").glob("*.py")}
    assert modules - {"policy/__init__.py"} - quoted_paths(section) == set()


@pytest.mark.parametrize("package", ["counter", "discovery", "driver", "frontend", "upstream"])
def test_the_architecture_page_names_a_module_of_every_package(package: str) -> None:
    paths = quoted_paths(ARCHITECTURE.read_text(encoding="utf-8"))
    assert any(path.startswith(f"{package}/") and path.endswith(".py") for path in paths)
