"""The documents name files that exist, and the architecture page names every module of the policy."""

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


def named_paths(text: str) -> set[str]:
    """Return the files and folders that a document names in back quotes."""
    return {quoted for quoted in QUOTED.findall(text) if FILE_PATH.fullmatch(quoted)}


def is_found(path: str) -> bool:
    """Return whether a path exists in the project, or in `gateway/`, where the architecture page begins."""
    return (ROOT / path).exists() or (PACKAGE / path).exists()


@pytest.mark.parametrize("document", DOCUMENTS, ids=lambda path: path.name)
def test_files_that_a_document_names_exist(document: Path) -> None:
    paths = named_paths(document.read_text(encoding="utf-8"))
    assert {path for path in paths if not is_found(path)} == set()


def test_a_named_file_that_does_not_exist_is_found() -> None:
    text = "`policy/engine.py`, `gateway/nowhere/` and `policy/no_module.py`, but not `Policy.handle`"
    missing = {path for path in named_paths(text) if not is_found(path)}
    assert missing == {"gateway/nowhere/", "policy/no_module.py"}


def test_the_owners_of_state_name_every_module_of_the_policy() -> None:
    text = ARCHITECTURE.read_text(encoding="utf-8")
    section = text.split("## Who owns which state")[1].split("\n## ")[0]
    modules = {f"policy/{path.name}" for path in (PACKAGE / "policy").glob("*.py")}
    assert modules - {"policy/__init__.py"} - named_paths(section) == set()


@pytest.mark.parametrize("package", ["counter", "discovery", "driver", "frontend", "upstream"])
def test_the_architecture_page_names_a_module_of_every_package(package: str) -> None:
    paths = named_paths(ARCHITECTURE.read_text(encoding="utf-8"))
    assert any(path.startswith(f"{package}/") and path.endswith(".py") for path in paths)
