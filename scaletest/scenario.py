"""Scenarios: TOML files that say what an experiment measures, checked before anything runs."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import AliasChoices, BaseModel, ConfigDict, Field, ValidationError, model_validator

SCENARIOS = Path(__file__).parent / "scenarios"  # those that come with the tool, by name
MIN_SIZES = 4  # of a slope: fewer do not tell a line from a curve
MAX_ENDPOINTS = 50_000  # beyond the size to design for, and within one machine's memory
MAX_GATEWAYS = 5_000  # likewise


class ScaletestError(ValueError):
    """Base of what this package raises; the text is one plain line."""


class ScenarioError(ScaletestError):
    """A scenario that cannot be run; the text names its file and what is wrong there."""


class StrictModel(BaseModel):
    """A frozen record whose file form has no keys but its own."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Size(StrictModel):
    """A fleet: its endpoints, and the gateways that share them.  Older files say `servers` and `doors`."""

    endpoints: Annotated[
        int, Field(ge=1, le=MAX_ENDPOINTS, validation_alias=AliasChoices("endpoints", "servers"))
    ]
    gateways: Annotated[int, Field(ge=1, le=MAX_GATEWAYS, validation_alias=AliasChoices("gateways", "doors"))]


class Scenario(StrictModel):
    """A slope: one figure after another, measured at each size."""

    name: str
    seed: Annotated[int, Field(ge=0)]
    repeats: Annotated[int, Field(ge=1, le=10_000)]  # of each measurement at each size; the median counts
    services: Annotated[int, Field(ge=1)]  # the endpoints are dealt out over them, as cells of the list
    zones: Annotated[int, Field(ge=1, le=100)]
    sizes: Annotated[tuple[Size, ...], Field(min_length=MIN_SIZES)]

    @model_validator(mode="after")
    def check_that_sizes_grow(self) -> Scenario:
        """Refuse sizes whose numbers of endpoints do not grow from one to the next."""
        endpoints = [size.endpoints for size in self.sizes]
        if endpoints != sorted(set(endpoints)):
            raise ValueError("sizes have to grow in endpoints")
        return self


def load(name: str) -> Scenario:
    """Return the scenario of that name, or the one in that `.toml` file.

    Raises:
        ScenarioError: there is none, or it cannot be run.
    """
    path = Path(name) if name.endswith(".toml") else SCENARIOS / f"{name}.toml"
    try:
        return Scenario.model_validate(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    except ValidationError as error:
        first_error = error.errors()[0]
        location = ".".join(str(part) for part in first_error["loc"]) or "scenario"
        raise ScenarioError(f"{path}: {location}: {first_error['msg']}") from None
