"""Scenarios: those that come with the tool can be run, and one that cannot be run says why."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from typer.testing import CliRunner

from scaletest.__main__ import EXIT_UNUSABLE_INPUT, app
from scaletest.scenario import MAX_ENDPOINTS, SCENARIOS, ScenarioError, load
from tests.support.scenarios import write_scenario

if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize("name", sorted(path.stem for path in SCENARIOS.glob("*.toml")))
def test_the_scenarios_that_come_with_the_tool_can_be_run(name: str) -> None:
    assert load(name).name == name


@pytest.mark.parametrize(
    ("old", "new", "says"),
    [
        pytest.param("seed = 7", "", "seed: Field required", id="no seed"),
        pytest.param("seed = 7", "seed = -7", "seed: Input should be greater", id="negative seed"),
        pytest.param("seed = 7", "seed = 7\nspeed = 1", "speed: Extra inputs", id="unknown key"),
        pytest.param(
            "{ endpoints = 160, gateways = 5 },", "", "sizes: Tuple should have at least 4", id="three sizes"
        ),
        pytest.param(
            "endpoints = 160", "endpoints = 80", "sizes have to grow in endpoints", id="size that is repeated"
        ),
        pytest.param(
            "endpoints = 160",
            f"endpoints = {MAX_ENDPOINTS + 1}",
            "sizes.3.endpoints: Input should be less",
            id="too many endpoints",
        ),
        pytest.param("seed = 7", "seed =", "Invalid value", id="no TOML"),
    ],
)
def test_a_scenario_that_cannot_be_run_ends_with_one_line(
    old: str, new: str, says: str, tmp_path: Path
) -> None:
    name = write_scenario(tmp_path / "it.toml", old, new)
    with pytest.raises(ScenarioError, match=says):
        load(name)
    results = tmp_path / "results"
    run = CliRunner().invoke(app, ["slope", name, "--out", str(results)])
    assert run.exit_code == EXIT_UNUSABLE_INPUT
    assert len(run.stderr.splitlines()) == 1
    assert says in run.stderr
    assert not results.exists()


@pytest.mark.parametrize(
    "name",
    [pytest.param("nothing", id="name"), pytest.param("/nowhere/it.toml", id="file")],
)
def test_a_scenario_that_is_not_there_ends_with_one_line(name: str) -> None:
    run = CliRunner().invoke(app, ["slope", name])
    assert run.exit_code == EXIT_UNUSABLE_INPUT
    assert len(run.stderr.splitlines()) == 1
