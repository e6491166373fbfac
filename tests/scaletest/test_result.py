"""Results: fits through their figures, files of earlier runs, and the commit that they name."""

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

from scaletest import report, result
from scaletest.result import Point


def test_a_fit_finds_a_line_and_how_steep_a_curve_is() -> None:
    counts = (100, 200, 400, 800)
    points = tuple(
        Point(endpoints=n, gateways=1, figures={"line": 3 + 0.5 * n, "square": float(n * n)}) for n in counts
    )
    line, square = result.fit(points, "line"), result.fit(points, "square")
    assert line.slope == pytest.approx(0.5)
    assert line.intercept == pytest.approx(3)
    assert line.residual < 1e-9
    assert square.residual > 0.1
    assert square.exponent == pytest.approx(2)


def test_a_commit_is_told_with_whether_its_files_were_changed(tmp_path: Path) -> None:
    assert result.current_commit(tmp_path) == "unknown"
    identity = ["-c", "user.name=x", "-c", "user.email=x@example.org"]
    (tmp_path / "it.py").write_text("")
    for words in (["init", "-q"], ["add", "it.py"], [*identity, "commit", "-qm", "one"]):
        subprocess.run(["git", *words], cwd=tmp_path, check=True)
    (tmp_path / "result.json").write_text("{}")  # a run before left it
    clean = result.current_commit(tmp_path)
    assert len(clean) == 12
    (tmp_path / "it.py").write_text("x = 1")
    assert result.current_commit(tmp_path) == clean + "+"


SAVED_RESULTS = sorted((Path(__file__).parents[2] / "results").glob("*.json"))


# Forces a result of an earlier version: its sizes are called servers and doors there.
@pytest.mark.parametrize("path", SAVED_RESULTS, ids=lambda path: path.stem)
def test_results_of_earlier_versions_are_still_read_and_reported(path: Path) -> None:
    saved = result.read(path)
    assert [point.endpoints for point in saved.points] == [size.endpoints for size in saved.scenario.sizes]
    assert saved.points[-1].gateways == 850
    assert "13,000 / 850" in report.table(saved)
