"""The command line: a slope is measured, saved and reported; a file that holds no result ends it."""

from __future__ import annotations

from pathlib import Path

import pytest
from typer.testing import CliRunner

from scaletest import membership, result
from scaletest.__main__ import app
from scaletest.scenario import Scenario
from tests.support.scenarios import write_scenario


# Guards the tool as a whole: what a slope saves, a report reads; its figures are those measured.
def test_a_slope_is_measured_saved_and_reported(tmp_path: Path) -> None:
    runner, folder = CliRunner(), tmp_path / "results"
    run = runner.invoke(app, ["slope", write_scenario(tmp_path / "it.toml"), "--out", str(folder)])
    assert run.exit_code == 0, run.output
    (path,) = folder.glob("*.json")
    saved = result.read(path)
    assert isinstance(saved.scenario, Scenario)
    assert saved.scenario.seed == 7
    assert [point.endpoints for point in saved.points] == [20, 40, 80, 160]
    for point in saved.points:
        assert set(point.figures) == set(membership.FIGURES)
        assert min(point.figures.values()) > 0
    list_bytes = [point.figures["list"] for point in saved.points]
    assert result.fit(saved.points, "list").exponent == pytest.approx(1, abs=0.05)
    reported = runner.invoke(app, ["report", "--results", str(folder)])
    assert reported.exit_code == 0, reported.output
    assert f"{list_bytes[0]:.4g} | {list_bytes[1]:.4g}" in reported.stdout
    assert path.with_suffix(".md").read_text() + "\n" == reported.stdout
    assert path.with_suffix(".png").read_bytes().startswith(b"\x89PNG")


@pytest.mark.parametrize("content", [None, "{", "{}"])
def test_a_report_on_no_result_ends_with_one_line(content: str | None, tmp_path: Path) -> None:
    if content is not None:
        (tmp_path / "it.json").write_text(content)
    run = CliRunner().invoke(app, ["report", "--results", str(tmp_path)])
    assert run.exit_code == 2
    assert len(run.stderr.splitlines()) == 1
