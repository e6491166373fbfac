"""Tests of the command line: running an experiment, reporting a result, and invalid results."""

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
    """Run the small scenario, and return the path of the result."""
    folder = tmp_path_factory.mktemp("results")
    scenario = write_scenario(tmp_path_factory.mktemp("scenario") / "scenario.toml")
    run = CliRunner().invoke(app, ["slope", scenario, "--out", str(folder)])
    assert run.exit_code == 0, run.output
    (path,) = folder.glob("*.json")
    return path


# Guards against a saved result that lacks sizes of its scenario or figures of its experiment.
def test_an_experiment_is_run_and_its_result_saved(result_path: Path) -> None:
    saved = result.read(result_path)
    assert isinstance(saved.scenario, Scenario)
    assert saved.scenario.seed == SMALL_SCENARIO_SEED
    assert [measurement.endpoints for measurement in saved.points] == SMALL_SCENARIO_ENDPOINTS
    for measurement in saved.points:
        assert set(measurement.figures) == set(membership.UNITS)
        assert min(measurement.figures.values()) > 0
    assert result.fit(saved.points, "list").exponent == pytest.approx(1, abs=0.05)


# Guards against results that the report command cannot read.
def test_a_saved_result_is_reported(result_path: Path) -> None:
    reported = CliRunner().invoke(app, ["report", "--results", str(result_path.parent)])
    assert reported.exit_code == 0, reported.output
    first, second = [measurement.figures["list"] for measurement in result.read(result_path).points][:2]
    assert f"{first:.4g} | {second:.4g}" in reported.stdout
    assert result_path.with_suffix(".md").read_text() + "\n" == reported.stdout
    assert result_path.with_suffix(".png").read_bytes().startswith(PNG_SIGNATURE)


@pytest.mark.parametrize(
    "content",
    [
        pytest.param(None, id="missing file"),
        pytest.param("{", id="invalid JSON"),
        pytest.param("{}", id="missing fields"),
    ],
)
def test_a_report_without_a_valid_result_exits_with_one_line(content: str | None, tmp_path: Path) -> None:
    if content is not None:
        (tmp_path / "result.json").write_text(content)
    run = CliRunner().invoke(app, ["report", "--results", str(tmp_path)])
    assert run.exit_code == EXIT_UNUSABLE_INPUT
    assert len(run.stderr.splitlines()) == 1
