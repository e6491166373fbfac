"""Command line of `python -m scaletest`: `slope NAME`, then `report`; `soak`."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated, NoReturn

import structlog
import typer

from scaletest import membership, report, result
from scaletest.scenario import ScaletestError, load_scenario
from scaletest.soak import command as soak_command
from scaletest.soak.script import draw_script

RESULTS_FOLDER = Path("results")
EXPERIMENTS = {"membership": membership.EXPERIMENT}  # by the name of the scenario
EXIT_VIOLATION = 1
EXIT_UNUSABLE_INPUT = 2
MIN_SOAK_SECONDS = 10.0
MAX_SOAK_GATEWAYS = 16

app = typer.Typer(add_completion=False, no_args_is_help=True, help=__doc__)


def fail(text: str) -> NoReturn:
    """Print one line to standard error and exit."""
    typer.echo(f"scaletest: {' '.join(text.split())}", err=True)
    raise typer.Exit(EXIT_UNUSABLE_INPUT)


@app.command(name="slope")
def run_experiment(
    name: Annotated[
        str, typer.Argument(help="name of a scenario that comes with the tool, or path of a .toml file")
    ],
    out: Annotated[Path, typer.Option(help="folder for the result")] = RESULTS_FOLDER,
) -> None:
    """Run an experiment at all sizes of its scenario and save the result."""
    try:
        scenario = load_scenario(name)
    except ScaletestError as error:
        fail(str(error))
    if scenario.name not in EXPERIMENTS:
        fail(f"there is no experiment {scenario.name}; the experiments are: {', '.join(EXPERIMENTS)}")
    measured = EXPERIMENTS[scenario.name].run(scenario)
    typer.echo(result.save(measured, out))


@app.command(name="report")
def write_report(
    file: Annotated[Path | None, typer.Argument(help="result file; the newest result if omitted")] = None,
    results: Annotated[Path, typer.Option(help="folder with results")] = RESULTS_FOLDER,
) -> None:
    """Write the table and the plot of a result to files next to it, and print the table."""
    path = file or newest_result(results)
    try:
        saved = result.read(path)
    except ScaletestError as error:
        fail(str(error))
    text = report.format_table(saved)
    path.with_suffix(".md").write_text(text, encoding="utf-8")
    report.write_plot(saved, path.with_suffix(".png"))
    typer.echo(text)


@app.command(name="soak")
def run_soaks(  # each is an option of the command
    seed: Annotated[int, typer.Option(min=0, help="the first seed")] = 1,
    seconds: Annotated[float, typer.Option(min=MIN_SOAK_SECONDS, help="how long requests are sent")] = 60.0,
    gateways: Annotated[int, typer.Option(min=1, max=MAX_SOAK_GATEWAYS, help="gateway processes")] = 3,
    count: Annotated[int, typer.Option(min=1, help="number of seeds, one after another")] = 1,
    *,
    print_only: Annotated[bool, typer.Option("--print", help="print the scripts and run nothing")] = False,
) -> None:
    """Run gateways between stand-ins that misbehave as a seed says; exit with 1 if a rule is broken."""
    failed: list[int] = []
    for number in range(seed, seed + count):
        if print_only:
            typer.echo("\n".join(draw_script(number, seconds, gateways).lines()))
        elif not soak_command.run_seed(number, seconds, gateways, typer.echo):
            failed.append(number)
    if failed:
        typer.echo(f"{len(failed)} of {count} seeds failed: {failed}")
        raise typer.Exit(EXIT_VIOLATION)


def newest_result(folder: Path) -> Path:
    """Return the most recently written result of a folder; exit if there is none."""
    files = list(folder.glob("*.json"))
    if not files:
        fail(f"there is no result in {folder}")
    return max(files, key=lambda path: path.stat().st_mtime)


if __name__ == "__main__":
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    app()
