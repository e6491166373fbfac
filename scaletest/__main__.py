"""The command line: `python -m scaletest slope NAME`, then `python -m scaletest report`."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated, NoReturn

import structlog
import typer

from scaletest import membership, report, result
from scaletest.scenario import ScenarioError, load

RESULTS = Path("results")
SLOPES = {"membership": membership}  # by the scenario's name

app = typer.Typer(add_completion=False, no_args_is_help=True, help=__doc__)


def fail(text: str) -> NoReturn:
    typer.echo(f"scaletest: {' '.join(text.split())}", err=True)
    raise typer.Exit(2)


@app.command()
def slope(
    name: Annotated[str, typer.Argument(help="a scenario that comes with the tool, or a file of its form")],
    out: Annotated[Path, typer.Option(help="the folder for the result")] = RESULTS,
) -> None:
    """Measure a slope at all sizes of its scenario and save the result."""
    try:
        scenario = load(name)
    except ScenarioError as error:
        fail(str(error))
    if scenario.name not in SLOPES:
        fail(f"no slope is called {scenario.name}; there is {', '.join(SLOPES)}")
    kind, began, machine, commit = SLOPES[scenario.name], result.now(), result.machine(), result.commit()
    points = tuple(kind.measure(size, scenario) for size in scenario.sizes)
    made = result.Result(
        scenario=scenario, at=began, commit=commit, machine=machine, units=kind.FIGURES, points=points
    )
    typer.echo(result.save(made, out))


@app.command(name="report")
def write_report(
    file: Annotated[Path | None, typer.Argument(help="a result; the newest one where none is named")] = None,
    results: Annotated[Path, typer.Option(help="the folder with results")] = RESULTS,
) -> None:
    """Write a result's table and plot beside it, and print the table."""
    found = [file] if file else sorted(results.glob("*.json"), key=lambda path: path.stat().st_mtime)
    if not found:
        fail(f"no result in {results}")
    try:
        made = result.read(found[-1])
    except ScenarioError as error:
        fail(str(error))
    text = report.table(made)
    found[-1].with_suffix(".md").write_text(text, encoding="utf-8")
    report.plot(made, found[-1].with_suffix(".png"))
    typer.echo(text)


if __name__ == "__main__":
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    app()
