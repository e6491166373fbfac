"""Scenarios: those that come with the tool can be run, and one that cannot be run says why."""

from __future__ import annotations

from pathlib import Path

import pytest
from typer.testing import CliRunner

from scaletest.__main__ import app
from scaletest.scenario import MAX_ENDPOINTS, SCENARIOS, ScenarioError, load
from tests.support.scenarios import write_scenario


@pytest.mark.parametrize("name", sorted(path.stem for path in SCENARIOS.glob("*.toml")))
def test_the_scenarios_that_come_with_the_tool_can_be_run(name: str) -> None:
    assert load(name).name == name


@pytest.mark.parametrize(
    ("old", "new", "says"),
    [
        ("seed = 7", "", "seed: Field required"),
        ("seed = 7", "seed = -7", "seed: Input should be greater"),
        ("seed = 7", "seed = 7\nspeed = 1", "speed: Extra inputs"),
        ("{ endpoints = 160, gateways = 5 },", "", "sizes: Tuple should have at least 4"),
        ("endpoints = 160", "endpoints = 80", "sizes have to grow in endpoints"),
        ("endpoints = 160", f"endpoints = {MAX_ENDPOINTS + 1}", "sizes.3.endpoints: Input should be less"),
        ("seed = 7", "seed =", "Invalid value"),
    ],
    ids=range(7),
)
def test_a_scenario_that_cannot_be_run_ends_with_one_line(
    old: str, new: str, says: str, tmp_path: Path
) -> None:
    name = write_scenario(tmp_path / "it.toml", old, new)
    with pytest.raises(ScenarioError, match=says):
        load(name)
    run = CliRunner().invoke(app, ["slope", name, "--out", str(tmp_path / "results")])
    assert run.exit_code == 2
    assert len(run.stderr.splitlines()) == 1
    assert says in run.stderr
    assert not (tmp_path / "results").exists()


@pytest.mark.parametrize("name", ["nothing", "/nowhere/it.toml"])
def test_a_scenario_that_is_not_there_ends_with_one_line(name: str) -> None:
    run = CliRunner().invoke(app, ["slope", name])
    assert run.exit_code == 2
    assert len(run.stderr.splitlines()) == 1
