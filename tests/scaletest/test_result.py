"""Results: fits to their figures, files of earlier runs, and the commit that they name."""

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

from scaletest import report, result
from scaletest.result import Point

COMMIT_LENGTH = 12
SAVED_RESULTS = sorted((Path(__file__).parents[2] / "results").glob("*.json"))


@pytest.fixture
def points() -> tuple[Point, ...]:
    """Points of two figures: a line, and the square of the endpoints."""
    return tuple(
        Point(endpoints=count, gateways=1, figures={"line": 3 + 0.5 * count, "square": float(count * count)})
        for count in (100, 200, 400, 800)
    )


def test_a_fit_finds_a_line(points: tuple[Point, ...]) -> None:
    line = result.fit(points, "line")
    assert line.slope == pytest.approx(0.5)
    assert line.intercept == pytest.approx(3)
    assert line.residual < 1e-9


def test_a_fit_finds_the_exponent_of_a_curve(points: tuple[Point, ...]) -> None:
    square = result.fit(points, "square")
    assert square.residual > 0.1
    assert square.exponent == pytest.approx(2)


@pytest.fixture
def repository(tmp_path: Path) -> Path:
    """A folder with a Git repository whose one file is committed."""
    folder = tmp_path / "repository"
    folder.mkdir()
    (folder / "it.py").write_text("")
    identity = ["-c", "user.name=x", "-c", "user.email=x@example.org"]
    for arguments in (["init", "-q"], ["add", "it.py"], [*identity, "commit", "-qm", "one"]):
        subprocess.run(["git", *arguments], cwd=folder, check=True)
    return folder


def test_the_commit_is_unknown_outside_a_repository(tmp_path: Path) -> None:
    assert result.current_commit(tmp_path) == "unknown"


def test_a_commit_says_whether_tracked_files_have_changed(repository: Path) -> None:
    (repository / "result.json").write_text("{}")  # an earlier run left it: it is not tracked
    commit = result.current_commit(repository)
    assert len(commit) == COMMIT_LENGTH
    (repository / "it.py").write_text("x = 1")
    assert result.current_commit(repository) == commit + "+"


# Forces a result of an earlier version: it calls its sizes servers and doors.
@pytest.mark.parametrize("path", SAVED_RESULTS, ids=lambda path: path.stem)
def test_results_of_earlier_versions_are_still_read_and_reported(path: Path) -> None:
    saved = result.read(path)
    assert [point.endpoints for point in saved.points] == [size.endpoints for size in saved.scenario.sizes]
    assert saved.points[-1].gateways == 850
    assert "13,000 / 850" in report.table(saved)
