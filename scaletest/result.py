"""Results: JSON files with the figures of a run and what they depend on, and fits through the figures."""

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

MIN_FIGURE = 1e-12  # replaces a figure of 0, which has no logarithm and cannot be a divisor


class ResultError(ScaletestError):
    """Raised for a file that holds no result; the text names the file and what is wrong in it."""


class Point(StrictModel):
    """The figures measured at one size, by name.  Older files call the sizes `servers` and `doors`."""

    endpoints: Annotated[int, Field(validation_alias=AliasChoices("endpoints", "servers"))]
    gateways: Annotated[int, Field(validation_alias=AliasChoices("gateways", "doors"))]
    figures: dict[str, float]


class Machine(StrictModel):
    """The machine that a run was made on."""

    cores: int
    memory_mb: int
    python: str
    load: float  # average of the last minute before the run; other work makes the measured times longer


class Result(StrictModel):
    """The result of one run of a slope."""

    scenario: Scenario
    at: datetime  # time at which the run began
    commit: str  # followed by "+" where tracked files had changed since
    machine: Machine
    units: dict[str, str]  # by the name of the figure
    points: tuple[Point, ...]


class Fit(BaseModel):
    """A line fitted to a figure by endpoints, and the power of the endpoints with which it grows."""

    slope: float  # figure's unit for each endpoint
    intercept: float
    residual: float  # root mean square of the errors, as a fraction of the figure's mean
    exponent: float


def current_machine() -> Machine:
    """Describe this machine and how busy it is."""
    return Machine(
        cores=os.cpu_count() or 1,
        memory_mb=psutil.virtual_memory().total >> 20,
        python=platform.python_version(),
        load=os.getloadavg()[0],
    )


def current_commit(here: Path = Path(__file__).parent) -> str:
    """Return the commit of the running code, or "unknown" outside a repository.

    Untracked files do not count as changes, because runs leave their results there.
    """

    def git(*words: str) -> str:
        run = subprocess.run(["git", *words], cwd=here, capture_output=True, text=True, check=True)
        return run.stdout.strip()

    try:
        changed = git("status", "--porcelain", "--untracked-files=no")
        return git("rev-parse", "--short=12", "HEAD") + ("+" if changed else "")
    except (OSError, subprocess.CalledProcessError):
        return "unknown"


def fit(points: tuple[Point, ...], figure: str) -> Fit:
    """Fit a line to a figure over all sizes by least squares."""
    endpoints = np.array([point.endpoints for point in points], dtype=float)
    values = np.array([point.figures[figure] for point in points])
    slope, intercept = np.polyfit(endpoints, values, 1)
    errors = values - (slope * endpoints + intercept)
    exponent, _ = np.polyfit(np.log(endpoints), np.log(np.maximum(values, MIN_FIGURE)), 1)
    mean = max(abs(float(values.mean())), MIN_FIGURE)
    residual = float(np.sqrt(np.mean(errors**2)) / mean)
    return Fit(slope=float(slope), intercept=float(intercept), residual=residual, exponent=float(exponent))


def save(result: Result, folder: Path) -> Path:
    """Write a result to a new file of a folder, which is created if needed, and return the file's path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{result.scenario.name}-{result.at:%Y%m%dT%H%M%S}.json"
    path.write_text(result.model_dump_json(indent=1) + "\n", encoding="utf-8")
    return path


def read(path: Path) -> Result:
    """Read a saved result, also one of an earlier version.

    Raises:
        ResultError: The file cannot be read or holds no result.
    """
    try:
        return Result.model_validate_json(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, ValidationError) as error:
        raise ResultError(f"{path}: {str(error).splitlines()[0]}") from None


def now() -> datetime:
    """Return the current time in UTC."""
    return datetime.now(UTC)
