"""Scenarios: TOML files that say what an experiment measures, checked before anything runs."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import AliasChoices, BaseModel, ConfigDict, Field, ValidationError, model_validator

SCENARIOS = Path(__file__).parent / "scenarios"  # those that come with the tool, by name
MIN_SIZES = 4  # a slope of fewer sizes does not distinguish a line from a curve
MAX_ENDPOINTS = 50_000  # above the planned size, and within the memory of one machine
MAX_GATEWAYS = 5_000  # above the planned size


class ScaletestError(ValueError):
    """Base of the errors that this package raises; the text is one plain line."""


class ScenarioError(ScaletestError):
    """Raised for a scenario that cannot be run; the text names its file and what is wrong in it."""


class StrictModel(BaseModel):
    """A frozen record that rejects unknown keys in its file."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Size(StrictModel):
    """The size of a fleet in endpoints and gateways.  Older files call them `servers` and `doors`."""

    endpoints: Annotated[
        int, Field(ge=1, le=MAX_ENDPOINTS, validation_alias=AliasChoices("endpoints", "servers"))
    ]
    gateways: Annotated[int, Field(ge=1, le=MAX_GATEWAYS, validation_alias=AliasChoices("gateways", "doors"))]


class Scenario(StrictModel):
    """The sizes at which the figures of a slope are measured, and how."""

    name: str
    seed: Annotated[int, Field(ge=0)]
    repeats: Annotated[int, Field(ge=1, le=10_000)]  # of a measurement, whose median is the figure
    services: Annotated[int, Field(ge=1)]  # cells of the endpoint list that the endpoints are spread over
    zones: Annotated[int, Field(ge=1, le=100)]
    sizes: Annotated[tuple[Size, ...], Field(min_length=MIN_SIZES)]

    @model_validator(mode="after")
    def check_that_sizes_grow(self) -> Scenario:
        """Reject sizes that do not grow in endpoints from each size to the next."""
        endpoints = [size.endpoints for size in self.sizes]
        if endpoints != sorted(set(endpoints)):
            raise ValueError("sizes have to grow in endpoints")
        return self


def load(name: str) -> Scenario:
    """Return the scenario that comes with the tool under a name, or the one in a `.toml` file.

    Raises:
        ScenarioError: The scenario does not exist or cannot be run.
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
