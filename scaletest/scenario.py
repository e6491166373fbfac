"""Scenarios: TOML files that say what an experiment measures, checked before anything runs."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

SCENARIOS = Path(__file__).parent / "scenarios"  # those that come with the tool, by name
LEAST_SIZES = 4  # of a slope: fewer do not tell a line from a curve
MOST_SERVERS, MOST_DOORS = 50_000, 5_000  # beyond the size to design for, and within one machine's memory


class ScenarioError(ValueError):
    """A scenario that cannot be run; the text is one plain line."""


class Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Size(Strict):
    """A fleet: so many catalogue servers, and front doors that share them."""

    servers: Annotated[int, Field(ge=1, le=MOST_SERVERS)]
    doors: Annotated[int, Field(ge=1, le=MOST_DOORS)]


class Scenario(Strict):
    """A slope: one figure after another, measured at each size."""

    name: str
    seed: Annotated[int, Field(ge=0)]
    repeats: Annotated[int, Field(ge=1, le=10_000)]  # of each measurement at each size; the median counts
    services: Annotated[int, Field(ge=1)]  # the servers are dealt out over them, as the cells of the list
    zones: Annotated[int, Field(ge=1, le=100)]
    sizes: Annotated[tuple[Size, ...], Field(min_length=LEAST_SIZES)]

    @model_validator(mode="after")
    def grows(self) -> Scenario:
        servers = [size.servers for size in self.sizes]
        if servers != sorted(set(servers)):
            raise ValueError("sizes have to grow in servers")
        return self


def load(name: str) -> Scenario:
    """The scenario of that name, or in that file.  Raises ScenarioError."""
    path = Path(name) if name.endswith(".toml") else SCENARIOS / f"{name}.toml"
    try:
        return Scenario.model_validate(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    except ValidationError as error:
        found = error.errors()[0]
        where = ".".join(str(part) for part in found["loc"]) or "scenario"
        raise ScenarioError(f"{path}: {where}: {found['msg']}") from None
