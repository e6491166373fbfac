"""The command line: a slope is measured, saved and reported; a file that holds no result ends it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from typer.testing import CliRunner

from scaletest import membership, result
from scaletest.__main__ import EXIT_UNUSABLE_INPUT, app
from scaletest.scenario import Scenario
from tests.support.scenarios import SMALL_SCENARIO_ENDPOINTS, SMALL_SCENARIO_SEED, write_scenario

if TYPE_CHECKING:
    from pathlib import Path

PNG_SIGNATURE = b"\x89PNG"


@pytest.fixture(scope="module")
def result_path(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The file that a run of the small scenario saves."""
    folder = tmp_path_factory.mktemp("results")
    scenario = write_scenario(tmp_path_factory.mktemp("scenario") / "it.toml")
    run = CliRunner().invoke(app, ["slope", scenario, "--out", str(folder)])
    assert run.exit_code == 0, run.output
    (path,) = folder.glob("*.json")
    return path


# Guards the tool as a whole: the figures that a slope saves are those measured, at the scenario's sizes.
def test_a_slope_is_measured_and_saved(result_path: Path) -> None:
    saved = result.read(result_path)
    assert isinstance(saved.scenario, Scenario)
    assert saved.scenario.seed == SMALL_SCENARIO_SEED
    assert [point.endpoints for point in saved.points] == SMALL_SCENARIO_ENDPOINTS
    for point in saved.points:
        assert set(point.figures) == set(membership.UNITS)
        assert min(point.figures.values()) > 0
    assert result.fit(saved.points, "list").exponent == pytest.approx(1, abs=0.05)


# Guards the tool as a whole: what a slope saves, a report reads.
def test_a_saved_slope_is_reported(result_path: Path) -> None:
    reported = CliRunner().invoke(app, ["report", "--results", str(result_path.parent)])
    assert reported.exit_code == 0, reported.output
    first, second = [point.figures["list"] for point in result.read(result_path).points][:2]
    assert f"{first:.4g} | {second:.4g}" in reported.stdout
    assert result_path.with_suffix(".md").read_text() + "\n" == reported.stdout
    assert result_path.with_suffix(".png").read_bytes().startswith(PNG_SIGNATURE)


@pytest.mark.parametrize(
    "content",
    [
        pytest.param(None, id="no file"),
        pytest.param("{", id="no JSON"),
        pytest.param("{}", id="no fields"),
    ],
)
def test_a_report_on_no_result_ends_with_one_line(content: str | None, tmp_path: Path) -> None:
    if content is not None:
        (tmp_path / "it.json").write_text(content)
    run = CliRunner().invoke(app, ["report", "--results", str(tmp_path)])
    assert run.exit_code == EXIT_UNUSABLE_INPUT
    assert len(run.stderr.splitlines()) == 1
