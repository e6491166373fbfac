"""KNOWN-RED.txt: only named tests are deselected; it cannot grow, or name a test that does not exist."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TESTS_FOLDER = Path(__file__).parent
READER_FILES = ("__init__.py", "conftest.py", "support/__init__.py", "support/known_red.py")
SAMPLE_TESTS = """
import pytest
def test_good(): pass
def test_bad(): assert False
@pytest.mark.parametrize("number", [1, 2])
def test_some(number): assert number == 1
"""
BAD = "tests/test_it.py::test_bad"
SOME = "tests/test_it.py::test_some"
REST = "pytest -k it, seed 7 | assert False | issue 8"  # the fields behind the test's name
USAGE_ERROR = 4  # the exit status of pytest


def run_pytest(path: Path, known_red: str | None, *args: str) -> tuple[int, str]:
    """Run pytest on the sample tests with that KNOWN-RED.txt; return its exit status and output."""
    for name in READER_FILES:
        (path / "tests" / name).parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(TESTS_FOLDER / name, path / "tests" / name)
    (path / "tests" / "test_it.py").write_text(SAMPLE_TESTS)
    (path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    if known_red is not None:
        (path / "KNOWN-RED.txt").write_text(known_red)
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *args]
    run = subprocess.run(command, cwd=path, capture_output=True, text=True, timeout=60, check=False)
    return run.returncode, run.stdout + run.stderr


@pytest.mark.parametrize(
    ("known_red", "status", "says"),
    [
        pytest.param(None, 1, "2 failed, 2 passed", id="no file"),
        pytest.param("", 1, "2 failed, 2 passed", id="empty file"),
        pytest.param(
            f"{BAD} | {REST}\n{SOME}[2] | {REST}\n", 0, "2 passed, 2 deselected", id="a test and a case"
        ),
        pytest.param(f"{BAD} | {REST}\n", 1, "1 failed, 2 passed, 1 deselected", id="one of two"),
        pytest.param(
            f"{BAD} | {REST}\n{SOME} | {REST}\n", 0, "1 passed, 3 deselected", id="a test and all cases"
        ),
        pytest.param(
            f"{BAD} | {REST}\n{SOME}[3] | {REST}\n", USAGE_ERROR, f"names no test: {SOME}[3]", id="no test"
        ),
        pytest.param(f"{BAD}\n", USAGE_ERROR, "not of the form", id="a name alone"),
        pytest.param(f"{BAD} | a cause | issue 8\n", USAGE_ERROR, "not of the form", id="three fields"),
        pytest.param(f"{BAD} | {REST} | more\n", USAGE_ERROR, "not of the form", id="five fields"),
        pytest.param(f" | {REST}\n", USAGE_ERROR, "no test:", id="empty test"),
        pytest.param(
            f"{BAD} | | assert False | issue 8\n", USAGE_ERROR, "no command and seed:", id="empty command"
        ),
        pytest.param(f"{BAD} | pytest | | issue 8\n", USAGE_ERROR, "no what was seen:", id="empty sight"),
        pytest.param(f"{BAD} | pytest | assert False |\n", USAGE_ERROR, "no issue:", id="empty issue"),
        pytest.param(
            "".join(f"{SOME}[{number}] | {REST}\n" for number in range(4)),
            USAGE_ERROR,
            "4 lines; 3 at most",
            id="four entries",
        ),
    ],
)
def test_only_named_tests_are_deselected(
    known_red: str | None, status: int, says: str, tmp_path: Path
) -> None:
    returned, printed = run_pytest(tmp_path, known_red)
    assert returned == status, printed
    assert says in printed
    if status == 0:
        assert all(f"deselected: {line}" in printed for line in (known_red or "").splitlines())


def test_one_file_can_be_run_while_tests_of_others_are_named(tmp_path: Path) -> None:
    known_red = f"tests/test_other.py::test_x | {REST}\n"
    returned, printed = run_pytest(tmp_path, known_red, "tests/test_it.py", "-k", "good")
    assert returned == 0
    assert "1 passed" in printed
