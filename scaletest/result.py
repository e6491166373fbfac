"""Results: JSON files with all that a figure rests on, and the fits through them."""

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

TINY = 1e-12  # in place of a figure of 0, which has no logarithm and cannot divide


class ResultError(ScaletestError):
    """A file that holds no result; the text names it and what is wrong there."""


class Point(StrictModel):
    """What was measured at one size, by figure.  Older files say `servers` and `doors`."""

    endpoints: Annotated[int, Field(validation_alias=AliasChoices("endpoints", "servers"))]
    gateways: Annotated[int, Field(validation_alias=AliasChoices("gateways", "doors"))]
    figures: dict[str, float]


class Machine(StrictModel):
    """The machine that a run was made on."""

    cores: int
    memory_mb: int
    python: str
    load: float  # average of the last minute when the run began: other work makes times longer


class Result(StrictModel):
    """One run of a slope."""

    scenario: Scenario
    at: datetime  # when it began
    commit: str  # with "+" behind it where files were changed since
    machine: Machine
    units: dict[str, str]  # by figure
    points: tuple[Point, ...]


class Fit(BaseModel):
    """A line through a figure over the endpoints, and how the figure grows: ~ endpoints ** exponent."""

    slope: float  # of the figure's unit, an endpoint
    intercept: float
    residual: float  # root of the mean square, as a fraction of the figure's mean
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
    """Return the commit that is run, or "unknown" outside a repository.

    Untracked files do not count as changes: the runs themselves leave some.
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
    """Fit a line through a figure by least squares over the sizes."""
    endpoints = np.array([point.endpoints for point in points], dtype=float)
    values = np.array([point.figures[figure] for point in points])
    slope, intercept = np.polyfit(endpoints, values, 1)
    errors = values - (slope * endpoints + intercept)
    exponent, _ = np.polyfit(np.log(endpoints), np.log(np.maximum(values, TINY)), 1)
    residual = float(np.sqrt(np.mean(errors**2)) / max(abs(float(values.mean())), TINY))
    return Fit(slope=float(slope), intercept=float(intercept), residual=residual, exponent=float(exponent))


def save(result: Result, folder: Path) -> Path:
    """Write a result into a folder, which is made if need be, and return its path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{result.scenario.name}-{result.at:%Y%m%dT%H%M%S}.json"
    path.write_text(result.model_dump_json(indent=1) + "\n", encoding="utf-8")
    return path


def read(path: Path) -> Result:
    """Read a result as it was saved.

    Raises:
        ResultError: the file cannot be read, or holds no result.
    """
    try:
        return Result.model_validate_json(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, ValidationError) as error:
        raise ResultError(f"{path}: {str(error).splitlines()[0]}") from None


def now() -> datetime:
    """Return the present time, in UTC."""
    return datetime.now(UTC)
