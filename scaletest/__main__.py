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
SLOPES = {"membership": membership.SLOPE}  # by the name of their scenario
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
    measured = SLOPES[scenario.name].run(scenario)
    typer.echo(result.save(measured, out))


@app.command(name="report")
def write_report(
    file: Annotated[Path | None, typer.Argument(help="a result; the newest one where none is named")] = None,
    results: Annotated[Path, typer.Option(help="the folder with results")] = RESULTS,
) -> None:
    """Write a result's table and plot beside it, and print the table."""
    path = file or newest_result(results)
    try:
        saved = result.read(path)
    except ScaletestError as error:
        fail(str(error))
    text = report.table(saved)
    path.with_suffix(".md").write_text(text, encoding="utf-8")
    report.plot(saved, path.with_suffix(".png"))
    typer.echo(text)


def newest_result(folder: Path) -> Path:
    """Return the result of a folder that was written last; end the program where there is none."""
    files = list(folder.glob("*.json"))
    if not files:
        fail(f"no result in {folder}")
    return max(files, key=lambda path: path.stat().st_mtime)


if __name__ == "__main__":
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    app()
