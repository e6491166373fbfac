"""Reports: a table and a plot out of a result."""

from __future__ import annotations

from pathlib import Path

import matplotlib
from matplotlib import pyplot
from matplotlib.axes import Axes

from scaletest.result import Result, fit

matplotlib.use("Agg")  # draws into files: no display is needed
PLOT_SIZE_INCHES = (12, 7)
PLOT_DPI = 90


def table(result: Result) -> str:
    """Return a result as Markdown, one row a figure: its value at each size, slope, residual, exponent."""
    sizes = [f"{point.endpoints:,} / {point.gateways}" for point in result.points]
    lines = [
        f"Slope `{result.scenario.name}`: commit {result.commit}, seed {result.scenario.seed}, "
        f"{result.scenario.repeats} repeats, {result.machine.cores} cores, load {result.machine.load:.1f}, "
        f"Python {result.machine.python}, {result.at:%Y-%m-%d %H:%M} UTC. Sizes are endpoints / gateways.",
        "",
        "| figure | " + " | ".join(sizes) + " | slope an endpoint | residual | exponent |",
        "| --- |" + " --- |" * (len(sizes) + 3),
    ]
    lines.extend(_table_row(result, figure) for figure in result.units)
    return "\n".join(lines) + "\n"


def _table_row(result: Result, figure: str) -> str:
    line = fit(result.points, figure)
    cells = [f"{point.figures[figure]:.4g}" for point in result.points]
    cells += [f"{line.slope:.3g}", f"{line.residual:.0%}", f"{line.exponent:.2f}"]
    return f"| {figure}: {result.units[figure]} | " + " | ".join(cells) + " |"


def plot(result: Result, path: Path) -> None:
    """Write a PNG with one diagram a figure, over the endpoints, with the line through it."""
    figures = list(result.units)
    drawing, axes = pyplot.subplots(2, (len(figures) + 1) // 2, figsize=PLOT_SIZE_INCHES, squeeze=False)
    for axis in axes.flat[len(figures) :]:
        axis.set_visible(False)
    for axis, figure in zip(axes.flat, figures, strict=False):
        _plot_figure(axis, result, figure)
    drawing.suptitle(f"{result.scenario.name}, commit {result.commit}")
    drawing.tight_layout()
    drawing.savefig(path, dpi=PLOT_DPI)
    pyplot.close(drawing)


def _plot_figure(axis: Axes, result: Result, figure: str) -> None:
    line = fit(result.points, figure)
    endpoints = [point.endpoints for point in result.points]
    axis.plot(endpoints, [point.figures[figure] for point in result.points], "o")
    axis.plot(endpoints, [line.slope * count + line.intercept for count in endpoints], "--")
    axis.set_title(figure)
    axis.set_xlabel("endpoints")
    axis.set_ylabel(result.units[figure], fontsize=7)
    axis.set_ylim(bottom=0)
