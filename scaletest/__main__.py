"""The command line: `python -m scaletest slope NAME`, then `python -m scaletest report`."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated, NoReturn

import structlog
import typer

from scaletest import membership, report, result
from scaletest.scenario import ScaletestError, load

RESULTS = Path("results")
SLOPES = {"membership": membership}  # by the scenario's name
EXIT_UNUSABLE_INPUT = 2

app = typer.Typer(add_completion=False, no_args_is_help=True, help=__doc__)


def fail(text: str) -> NoReturn:
    """End the program with one line on standard error."""
    typer.echo(f"scaletest: {' '.join(text.split())}", err=True)
    raise typer.Exit(EXIT_UNUSABLE_INPUT)


@app.command()
def slope(
    name: Annotated[str, typer.Argument(help="a scenario that comes with the tool, or a file of its form")],
    out: Annotated[Path, typer.Option(help="the folder for the result")] = RESULTS,
) -> None:
    """Measure a slope at all sizes of its scenario and save the result."""
    try:
        scenario = load(name)
    except ScaletestError as error:
        fail(str(error))
    if scenario.name not in SLOPES:
        fail(f"no slope is called {scenario.name}; there is {', '.join(SLOPES)}")
    kind = SLOPES[scenario.name]
    began, machine, commit = result.now(), result.current_machine(), result.current_commit()
    points = tuple(kind.measure(size, scenario) for size in scenario.sizes)
    run = result.Result(
        scenario=scenario, at=began, commit=commit, machine=machine, units=kind.FIGURES, points=points
    )
    typer.echo(result.save(run, out))


@app.command(name="report")
def write_report(
    file: Annotated[Path | None, typer.Argument(help="a result; the newest one where none is named")] = None,
    results: Annotated[Path, typer.Option(help="the folder with results")] = RESULTS,
) -> None:
    """Write a result's table and plot beside it, and print the table."""
    files = [file] if file else sorted(results.glob("*.json"), key=lambda path: path.stat().st_mtime)
    if not files:
        fail(f"no result in {results}")
    newest = files[-1]
    try:
        run = result.read(newest)
    except ScaletestError as error:
        fail(str(error))
    text = report.table(run)
    newest.with_suffix(".md").write_text(text, encoding="utf-8")
    report.plot(run, newest.with_suffix(".png"))
    typer.echo(text)


if __name__ == "__main__":
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    app()
