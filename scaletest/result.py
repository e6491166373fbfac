"""Results of runs, which are saved as JSON files, and lines fitted to their figures."""

from __future__ import annotations

import os
import platform
import subprocess
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import numpy as np
import psutil
from pydantic import AliasChoices, BaseModel, Field, ValidationError

from scaletest.scenario import ScaletestError, Scenario, StrictModel

MIN_FIGURE = 1e-12  # replaces 0 in logarithms and as a divisor


class ResultError(ScaletestError):
    """Raised for a file that is not a valid result; the message has the name of the file and the fault."""


class Measurement(StrictModel):
    """The figures that were measured at one size, by name.

    Older files have the keys `servers` for endpoints and `doors` for gateways.
    """

    endpoints: Annotated[int, Field(validation_alias=AliasChoices("endpoints", "servers"))]
    gateways: Annotated[int, Field(validation_alias=AliasChoices("gateways", "doors"))]
    figures: dict[str, float]


class Machine(StrictModel):
    """The machine on which an experiment was run."""

    cores: int
    memory_mb: int
    python: str
    load: float  # load average of the minute before the run; other load increases the measured times


class Result(StrictModel):
    """The result of one run of an experiment."""

    scenario: Scenario
    at: datetime  # start time of the run
    commit: str  # followed by "+" if tracked files had uncommitted changes
    machine: Machine
    units: dict[str, str]  # by the name of the figure
    points: tuple[Measurement, ...]


class Fit(BaseModel):
    """A line fitted to a figure as a function of the number of endpoints, and the exponent of its growth."""

    slope: float  # in the unit of the figure per endpoint
    intercept: float
    residual: float  # root mean square error of the line, as a fraction of the figure's mean
    exponent: float  # slope of the line fitted to the logarithms: 1 is linear growth, 2 is quadratic


def current_machine() -> Machine:
    """Return the hardware, Python version and load average of this machine."""
    return Machine(
        cores=os.cpu_count() or 1,
        memory_mb=psutil.virtual_memory().total >> 20,
        python=platform.python_version(),
        load=os.getloadavg()[0],
    )


def current_commit(folder: Path = Path(__file__).parent) -> str:
    """Return the commit of the running code, or "unknown" outside a repository.

    Untracked files do not count as changes, because runs write their results to untracked files.
    """

    def git(*arguments: str) -> str:
        run = subprocess.run(["git", *arguments], cwd=folder, capture_output=True, text=True, check=True)
        return run.stdout.strip()

    try:
        changed = git("status", "--porcelain", "--untracked-files=no")
        return git("rev-parse", "--short=12", "HEAD") + ("+" if changed else "")
    except (OSError, subprocess.CalledProcessError):
        return "unknown"


def fit(measurements: tuple[Measurement, ...], figure: str) -> Fit:
    """Fit a line to a figure over all sizes by least squares, and determine the exponent of its growth."""
    endpoints = np.array([measurement.endpoints for measurement in measurements], dtype=float)
    values = np.array([measurement.figures[figure] for measurement in measurements])
    slope, intercept = np.polyfit(endpoints, values, 1)
    errors = values - (slope * endpoints + intercept)
    exponent, _ = np.polyfit(np.log(endpoints), np.log(np.maximum(values, MIN_FIGURE)), 1)
    mean = max(abs(float(values.mean())), MIN_FIGURE)
    residual = float(np.sqrt(np.mean(errors**2)) / mean)
    return Fit(slope=float(slope), intercept=float(intercept), residual=residual, exponent=float(exponent))


def save(result: Result, folder: Path) -> Path:
    """Write a result to a new file in a folder, which is created if it does not exist; return the path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{result.scenario.name}-{result.at:%Y%m%dT%H%M%S}.json"
    path.write_text(result.model_dump_json(indent=1) + "\n", encoding="utf-8")
    return path


def read(path: Path) -> Result:
    """Read a saved result, including results of earlier versions.

    Raises:
        ResultError: The file cannot be read or is not a valid result.
    """
    try:
        return Result.model_validate_json(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, ValidationError) as error:
        raise ResultError(f"{path}: {str(error).splitlines()[0]}") from None


def utc_now() -> datetime:
    """Return the current time in UTC."""
    return datetime.now(UTC)
