"""Results: JSON files with all that a figure rests on, and the fits through them."""

from __future__ import annotations

import os
import platform
import subprocess
from datetime import UTC, datetime
from pathlib import Path

import numpy as np
import psutil
from pydantic import BaseModel, ConfigDict, ValidationError

from scaletest.scenario import Scenario, ScenarioError


class Point(BaseModel):
    """What was measured at one size, by figure."""

    model_config = ConfigDict(extra="forbid", frozen=True)
    servers: int
    doors: int
    figures: dict[str, float]


class Machine(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)
    cores: int
    memory_mb: int
    python: str
    load: float  # of the last minute, when the run began: others' work makes times longer


class Result(BaseModel):
    """One run of a slope."""

    model_config = ConfigDict(extra="forbid", frozen=True)
    scenario: Scenario
    at: datetime
    commit: str  # with "+" behind it where files were changed since
    machine: Machine
    units: dict[str, str]
    points: tuple[Point, ...]


class Fit(BaseModel):
    """A line through a figure over the servers, and how it grows: figure ~ servers ** exponent."""

    slope: float  # of the figure's unit, a server
    at_none: float
    residual: float  # root of the mean square, as a share of the figure's mean
    exponent: float


def machine() -> Machine:
    return Machine(
        cores=os.cpu_count() or 1,
        memory_mb=psutil.virtual_memory().total >> 20,
        python=platform.python_version(),
        load=os.getloadavg()[0],
    )


def commit(here: Path = Path(__file__).parent) -> str:
    """The commit that is run; "unknown" outside a repository.  New files do not count: a run leaves some."""

    def git(*words: str) -> str:
        done = subprocess.run(["git", *words], cwd=here, capture_output=True, text=True, check=True)
        return done.stdout.strip()

    try:
        changed = git("status", "--porcelain", "--untracked-files=no")
        return git("rev-parse", "--short=12", "HEAD") + ("+" if changed else "")
    except (OSError, subprocess.CalledProcessError):
        return "unknown"


def fit(points: tuple[Point, ...], figure: str) -> Fit:
    """Least squares over the sizes."""
    servers = np.array([point.servers for point in points], dtype=float)
    values = np.array([point.figures[figure] for point in points])
    slope, at_none = np.polyfit(servers, values, 1)
    away = values - (slope * servers + at_none)
    exponent, _ = np.polyfit(np.log(servers), np.log(np.maximum(values, 1e-12)), 1)
    residual = float(np.sqrt(np.mean(away**2)) / max(abs(float(values.mean())), 1e-12))
    return Fit(slope=float(slope), at_none=float(at_none), residual=residual, exponent=float(exponent))


def save(result: Result, folder: Path) -> Path:
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{result.scenario.name}-{result.at:%Y%m%dT%H%M%S}.json"
    path.write_text(result.model_dump_json(indent=1) + "\n", encoding="utf-8")
    return path


def read(path: Path) -> Result:
    """A result as it was saved.  Raises ScenarioError where the file is none."""
    try:
        return Result.model_validate_json(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, ValidationError) as error:
        raise ScenarioError(f"{path}: {str(error).splitlines()[0]}") from None


def now() -> datetime:
    return datetime.now(UTC)
