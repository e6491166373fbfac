"""Reports: a table and a plot out of a result."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")  # no display is needed
from matplotlib import pyplot

from scaletest.result import Fit, Result, fit


def table(result: Result) -> str:
    """Markdown: a row a figure, with its value at each size, the slope and what the line misses it by."""
    sizes = [f"{point.servers:,} / {point.doors}" for point in result.points]
    lines = [
        f"Slope `{result.scenario.name}`: commit {result.commit}, seed {result.scenario.seed}, "
        f"{result.scenario.repeats} repeats, {result.machine.cores} cores, load {result.machine.load:.1f}, "
        f"Python {result.machine.python}, {result.at:%Y-%m-%d %H:%M} UTC. Sizes are servers / front doors.",
        "",
        "| figure | " + " | ".join(sizes) + " | a server more | residual | exponent |",
        "| --- |" + " --- |" * (len(sizes) + 3),
    ]
    for figure, unit in result.units.items():
        found: Fit = fit(result.points, figure)
        values = [f"{point.figures[figure]:.4g}" for point in result.points]
        ends = [f"{found.slope:.3g}", f"{found.residual:.0%}", f"{found.exponent:.2f}"]
        lines.append(f"| {figure}: {unit} | " + " | ".join(values + ends) + " |")
    return "\n".join(lines) + "\n"


def plot(result: Result, path: Path) -> None:
    """A picture a figure, over the servers, with the line through it."""
    figures = list(result.units)
    drawing, axes = pyplot.subplots(2, (len(figures) + 1) // 2, figsize=(12, 7), squeeze=False)
    servers = [point.servers for point in result.points]
    for axis in axes.flat[len(figures) :]:
        axis.set_visible(False)
    for axis, figure in zip(axes.flat, figures, strict=False):
        found = fit(result.points, figure)
        axis.plot(servers, [point.figures[figure] for point in result.points], "o")
        axis.plot(servers, [found.slope * count + found.at_none for count in servers], "--")
        axis.set_title(figure)
        axis.set_xlabel("servers")
        axis.set_ylabel(result.units[figure], fontsize=7)
        axis.set_ylim(bottom=0)
    drawing.suptitle(f"{result.scenario.name}, commit {result.commit}")
    drawing.tight_layout()
    drawing.savefig(path, dpi=90)
    pyplot.close(drawing)
