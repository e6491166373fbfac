"""Tests of scenarios: those that come with the tool are valid, and invalid ones are reported."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from typer.testing import CliRunner

from scaletest.__main__ import EXIT_UNUSABLE_INPUT, app
from scaletest.scenario import MAX_ENDPOINTS, SCENARIOS_FOLDER, ScenarioError, load_scenario
from tests.support.scenarios import write_scenario

if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize("name", sorted(path.stem for path in SCENARIOS_FOLDER.glob("*.toml")))
def test_the_scenarios_that_come_with_the_tool_are_valid(name: str) -> None:
    assert load_scenario(name).name == name


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        pytest.param("seed = 7", "", "seed: Field required", id="missing seed"),
        pytest.param("seed = 7", "seed = -7", "seed: Input should be greater", id="negative seed"),
        pytest.param("seed = 7", "seed = 7\nspeed = 1", "speed: Extra inputs", id="unknown key"),
        pytest.param(
            "{ endpoints = 160, gateways = 5 },", "", "sizes: Tuple should have at least 4", id="three sizes"
        ),
        pytest.param(
            "endpoints = 160",
            "endpoints = 80",
            "the endpoints of the sizes must increase",
            id="repeated size",
        ),
        pytest.param(
            "endpoints = 160",
            f"endpoints = {MAX_ENDPOINTS + 1}",
            "sizes.3.endpoints: Input should be less",
            id="too many endpoints",
        ),
        pytest.param("seed = 7", "seed =", "Invalid value", id="invalid TOML"),
    ],
)
def test_an_invalid_scenario_is_rejected_with_one_line(
    old: str, new: str, message: str, tmp_path: Path
) -> None:
    name = write_scenario(tmp_path / "scenario.toml", old, new)
    with pytest.raises(ScenarioError, match=message):
        load_scenario(name)
    results = tmp_path / "results"
    run = CliRunner().invoke(app, ["slope", name, "--out", str(results)])
    assert run.exit_code == EXIT_UNUSABLE_INPUT
    assert len(run.stderr.splitlines()) == 1
    assert message in run.stderr
    assert not results.exists()


@pytest.mark.parametrize(
    "name",
    [pytest.param("nothing", id="name"), pytest.param("/nowhere/scenario.toml", id="file")],
)
def test_a_missing_scenario_is_rejected_with_one_line(name: str) -> None:
    run = CliRunner().invoke(app, ["slope", name])
    assert run.exit_code == EXIT_UNUSABLE_INPUT
    assert len(run.stderr.splitlines()) == 1
