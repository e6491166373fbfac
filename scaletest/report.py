"""Reports: the table and the plot of a result."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import matplotlib
from matplotlib import pyplot

from scaletest.result import Result, fit

if TYPE_CHECKING:
    from pathlib import Path

    from matplotlib.axes import Axes

matplotlib.use("Agg")  # draws to files and needs no display
PLOT_SIZE_INCHES = (12, 7)
PLOT_DPI = 90
PLOT_ROWS = 2  # rows of diagrams
UNIT_FONT_SIZE = 7  # points
FIT_COLUMNS = ("slope per endpoint", "residual", "exponent")


def format_table(result: Result) -> str:
    """Return a result as a Markdown table: for each figure, its value at each size and its fit."""
    sizes = [f"{measurement.endpoints:,} / {measurement.gateways}" for measurement in result.points]
    columns = ["figure", *sizes, *FIT_COLUMNS]
    lines = [
        _description(result),
        "",
        "| " + " | ".join(columns) + " |",
        "|" + " --- |" * len(columns),
    ]
    lines.extend(_table_row(result, figure) for figure in result.units)
    return "\n".join(lines) + "\n"


def _description(result: Result) -> str:
    """Return the line above the table, which describes the run and the machine."""
    return (
        f"Experiment `{result.scenario.name}`: commit {result.commit}, seed {result.scenario.seed}, "
        f"{result.scenario.repeats} repeats, {result.machine.cores} cores, load {result.machine.load:.1f}, "
        f"Python {result.machine.python}, {result.at:%Y-%m-%d %H:%M} UTC. Sizes are endpoints / gateways."
    )


def _table_row(result: Result, figure: str) -> str:
    fitted = fit(result.points, figure)
    values = [f"{measurement.figures[figure]:.4g}" for measurement in result.points]
    cells = [
        f"{figure}: {result.units[figure]}",
        *values,
        f"{fitted.slope:.3g}",
        f"{fitted.residual:.0%}",
        f"{fitted.exponent:.2f}",
    ]
    return "| " + " | ".join(cells) + " |"


def write_plot(result: Result, path: Path) -> None:
    """Write a PNG file that shows each figure by the number of endpoints, with its fitted line."""
    figures = list(result.units)
    columns = math.ceil(len(figures) / PLOT_ROWS)
    drawing, axes = pyplot.subplots(PLOT_ROWS, columns, figsize=PLOT_SIZE_INCHES, squeeze=False)
    for axis in axes.flat[len(figures) :]:
        axis.set_visible(False)
    for axis, figure in zip(axes.flat, figures, strict=False):
        _plot_figure(axis, result, figure)
    drawing.suptitle(f"{result.scenario.name}, commit {result.commit}")
    drawing.tight_layout()
    drawing.savefig(path, dpi=PLOT_DPI)
    pyplot.close(drawing)


def _plot_figure(axis: Axes, result: Result, figure: str) -> None:
    fitted = fit(result.points, figure)
    endpoints = [measurement.endpoints for measurement in result.points]
    axis.plot(endpoints, [measurement.figures[figure] for measurement in result.points], "o")
    axis.plot(endpoints, [fitted.slope * count + fitted.intercept for count in endpoints], "--")
    axis.set_title(figure)
    axis.set_xlabel("endpoints")
    axis.set_ylabel(result.units[figure], fontsize=UNIT_FONT_SIZE)
    axis.set_ylim(bottom=0)
