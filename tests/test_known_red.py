"""Tests of KNOWN-RED.txt: only listed tests are deselected, and an invalid file fails the run."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TESTS_FOLDER = Path(__file__).parent
KNOWN_RED_FILES = ("__init__.py", "conftest.py", "support/__init__.py", "support/known_red.py")
SAMPLE_TESTS = """
import pytest
def test_good(): pass
def test_bad(): assert False
@pytest.mark.parametrize("number", [1, 2])
def test_some(number): assert number == 1
"""
FAILING_TEST = "tests/test_sample.py::test_bad"
PARAMETRISED_TEST = "tests/test_sample.py::test_some"
OTHER_FIELDS = "pytest -k sample, seed 7 | assert False | issue 8"
USAGE_ERROR = 4  # exit status of pytest


def run_pytest(path: Path, known_red: str | None, *args: str) -> tuple[int, str]:
    """Run pytest on the sample tests with a KNOWN-RED.txt; return its exit status and output."""
    for name in KNOWN_RED_FILES:
        (path / "tests" / name).parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(TESTS_FOLDER / name, path / "tests" / name)
    (path / "tests" / "test_sample.py").write_text(SAMPLE_TESTS)
    (path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    if known_red is not None:
        (path / "KNOWN-RED.txt").write_text(known_red)
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *args]
    run = subprocess.run(command, cwd=path, capture_output=True, text=True, timeout=60, check=False)
    return run.returncode, run.stdout + run.stderr


@pytest.mark.parametrize(
    ("known_red", "status", "message"),
    [
        pytest.param(None, 1, "2 failed, 2 passed", id="no file"),
        pytest.param("", 1, "2 failed, 2 passed", id="empty file"),
        pytest.param(
            f"{FAILING_TEST} | {OTHER_FIELDS}\n{PARAMETRISED_TEST}[2] | {OTHER_FIELDS}\n",
            0,
            "2 passed, 2 deselected",
            id="test and case",
        ),
        pytest.param(
            f"{FAILING_TEST} | {OTHER_FIELDS}\n",
            1,
            "1 failed, 2 passed, 1 deselected",
            id="one of two failing tests",
        ),
        pytest.param(
            f"{FAILING_TEST} | {OTHER_FIELDS}\n{PARAMETRISED_TEST} | {OTHER_FIELDS}\n",
            0,
            "1 passed, 3 deselected",
            id="test and all cases",
        ),
        pytest.param(
            f"{FAILING_TEST} | {OTHER_FIELDS}\n{PARAMETRISED_TEST}[3] | {OTHER_FIELDS}\n",
            USAGE_ERROR,
            f"entry matches no test: {PARAMETRISED_TEST}[3]",
            id="unknown test",
        ),
        pytest.param(
            f"bench day {FAILING_TEST} | {OTHER_FIELDS}\n",
            USAGE_ERROR,
            f"entry matches no test: bench day {FAILING_TEST}",
            id="test called a bench day",
        ),
        pytest.param(
            f"bench day | {OTHER_FIELDS}\n",
            USAGE_ERROR,
            "entry matches no test: bench day",
            id="bench day without a name",
        ),
        pytest.param(f"{FAILING_TEST}\n", USAGE_ERROR, "not of the form", id="only a test"),
        pytest.param(
            f"{FAILING_TEST} | a cause | issue 8\n", USAGE_ERROR, "not of the form", id="three fields"
        ),
        pytest.param(
            f"{FAILING_TEST} | {OTHER_FIELDS} | more\n", USAGE_ERROR, "not of the form", id="five fields"
        ),
        pytest.param(f" | {OTHER_FIELDS}\n", USAGE_ERROR, "field TEST is empty:", id="empty test"),
        pytest.param(
            f"{FAILING_TEST} | | assert False | issue 8\n",
            USAGE_ERROR,
            "field COMMAND AND SEED is empty:",
            id="empty command",
        ),
        pytest.param(
            f"{FAILING_TEST} | pytest | | issue 8\n",
            USAGE_ERROR,
            "field WHAT WAS SEEN is empty:",
            id="empty what was seen",
        ),
        pytest.param(
            f"{FAILING_TEST} | pytest | assert False |\n",
            USAGE_ERROR,
            "field ISSUE is empty:",
            id="empty issue",
        ),
        pytest.param(
            "".join(f"{PARAMETRISED_TEST}[{number}] | {OTHER_FIELDS}\n" for number in range(4)),
            USAGE_ERROR,
            "4 entries; the maximum is 3",
            id="four entries",
        ),
    ],
)
def test_only_listed_tests_are_deselected(
    known_red: str | None, status: int, message: str, tmp_path: Path
) -> None:
    exit_status, output = run_pytest(tmp_path, known_red)
    assert exit_status == status, output
    assert message in output
    if status == 0:
        assert all(f"deselected: {line}" in output for line in (known_red or "").splitlines())


def test_a_file_can_be_run_while_a_test_of_another_file_is_listed(tmp_path: Path) -> None:
    known_red = f"tests/test_other.py::test_x | {OTHER_FIELDS}\n"
    exit_status, output = run_pytest(tmp_path, known_red, "tests/test_sample.py", "-k", "good")
    assert exit_status == 0
    assert "1 passed" in output


def test_an_entry_for_a_bench_day_is_printed_and_deselects_nothing(tmp_path: Path) -> None:
    entry = f"bench day soak | {OTHER_FIELDS}"
    exit_status, output = run_pytest(tmp_path, f"{entry}\n")
    assert exit_status == 1
    assert "2 failed, 2 passed" in output
    assert f"known red, not run here: {entry}" in output
