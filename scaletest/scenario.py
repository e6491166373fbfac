"""Scenarios: TOML files that configure an experiment and are validated before it runs."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import AliasChoices, BaseModel, ConfigDict, Field, ValidationError, model_validator

SCENARIOS_FOLDER = Path(__file__).parent / "scenarios"  # the scenarios that come with the tool
MIN_SIZES = 4  # fewer sizes do not show whether growth is linear
MAX_ENDPOINTS = 50_000  # exceeds the planned size and fits into the memory of one machine
MAX_GATEWAYS = 5_000  # exceeds the planned size


class ScaletestError(ValueError):
    """Base class of the exceptions of this package; the message is a single line."""


class ScenarioError(ScaletestError):
    """Raised for an invalid or missing scenario; the message has the name of the file and the fault."""


class StrictModel(BaseModel):
    """Base class of immutable models that reject unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Size(StrictModel):
    """The number of endpoints and gateways of a fleet.

    Older files have the keys `servers` for endpoints and `doors` for gateways.
    """

    endpoints: Annotated[
        int, Field(ge=1, le=MAX_ENDPOINTS, validation_alias=AliasChoices("endpoints", "servers"))
    ]
    gateways: Annotated[int, Field(ge=1, le=MAX_GATEWAYS, validation_alias=AliasChoices("gateways", "doors"))]


class Scenario(StrictModel):
    """The configuration of an experiment: the sizes at which it measures its figures, and how."""

    name: str
    seed: Annotated[int, Field(ge=0)]
    repeats: Annotated[int, Field(ge=1, le=10_000)]  # repeats of each measurement; the figure is their median
    services: Annotated[int, Field(ge=1)]  # number of cells over which the endpoints are distributed
    zones: Annotated[int, Field(ge=1, le=100)]
    sizes: Annotated[tuple[Size, ...], Field(min_length=MIN_SIZES)]

    @model_validator(mode="after")
    def check_sizes_increase(self) -> Scenario:
        """Reject sizes whose numbers of endpoints do not increase from each size to the next."""
        endpoints = [size.endpoints for size in self.sizes]
        if endpoints != sorted(set(endpoints)):
            raise ValueError("the endpoints of the sizes must increase")
        return self


def load_scenario(name: str) -> Scenario:
    """Load a scenario that comes with the tool by its name, or any scenario by the path of its `.toml` file.

    Raises:
        ScenarioError: The scenario does not exist or is invalid.
    """
    path = Path(name) if name.endswith(".toml") else SCENARIOS_FOLDER / f"{name}.toml"
    try:
        return Scenario.model_validate(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    except ValidationError as error:
        first_error = error.errors()[0]
        location = ".".join(str(part) for part in first_error["loc"]) or "scenario"
        raise ScenarioError(f"{path}: {location}: {first_error['msg']}") from None
