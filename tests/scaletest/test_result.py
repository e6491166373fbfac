"""Tests of results: fits to figures, results of earlier versions, and the recorded commit."""

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

from scaletest import report, result
from scaletest.result import Measurement

COMMIT_LENGTH = 12
SAVED_RESULTS = sorted((Path(__file__).parents[2] / "results").glob("*.json"))


@pytest.fixture
def measurements() -> tuple[Measurement, ...]:
    """Measurements of two figures, which are a linear and a quadratic function of the endpoints."""
    return tuple(
        Measurement(
            endpoints=count, gateways=1, figures={"line": 3 + 0.5 * count, "square": float(count * count)}
        )
        for count in (100, 200, 400, 800)
    )


def test_a_line_is_fitted_to_a_linear_figure(measurements: tuple[Measurement, ...]) -> None:
    line = result.fit(measurements, "line")
    assert line.slope == pytest.approx(0.5)
    assert line.intercept == pytest.approx(3)
    assert line.residual < 1e-9


def test_the_exponent_of_a_quadratic_figure_is_found(measurements: tuple[Measurement, ...]) -> None:
    square = result.fit(measurements, "square")
    assert square.residual > 0.1
    assert square.exponent == pytest.approx(2)


@pytest.fixture
def repository(tmp_path: Path) -> Path:
    """A folder with a Git repository that has one committed file."""
    folder = tmp_path / "repository"
    folder.mkdir()
    (folder / "module.py").write_text("")
    identity = ["-c", "user.name=x", "-c", "user.email=x@example.org"]
    for arguments in (["init", "-q"], ["add", "module.py"], [*identity, "commit", "-qm", "one"]):
        subprocess.run(["git", *arguments], cwd=folder, check=True)
    return folder


def test_the_commit_is_unknown_outside_a_repository(tmp_path: Path) -> None:
    assert result.current_commit(tmp_path) == "unknown"


def test_the_commit_is_marked_if_tracked_files_have_changed(repository: Path) -> None:
    (repository / "result.json").write_text("{}")  # result of an earlier run, which is not tracked
    commit = result.current_commit(repository)
    assert len(commit) == COMMIT_LENGTH
    (repository / "module.py").write_text("x = 1")
    assert result.current_commit(repository) == commit + "+"


# Guards against rejecting results of earlier versions, which have the keys `servers` and `doors`.
@pytest.mark.parametrize("path", SAVED_RESULTS, ids=lambda path: path.stem)
def test_results_of_earlier_versions_can_be_read_and_reported(path: Path) -> None:
    saved = result.read(path)
    assert [measurement.endpoints for measurement in saved.points] == [
        size.endpoints for size in saved.scenario.sizes
    ]
    assert saved.points[-1].gateways == 850
    assert "13,000 / 850" in report.format_table(saved)
