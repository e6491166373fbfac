"""Experiments: figures that are measured at each size of a scenario."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from scaletest import result

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from scaletest.result import Measurement, Result
    from scaletest.scenario import Scenario, Size


@dataclass(frozen=True, slots=True)
class Experiment:
    """Defines the figures of an experiment and measures them.

    Attributes:
        units: The unit of each figure, by the figure's name.
        measure: Measures all figures at one size of a scenario.
    """

    units: Mapping[str, str]
    measure: Callable[[Size, Scenario], Measurement]

    def run(self, scenario: Scenario) -> Result:
        """Measure the figures at all sizes of a scenario, one size after another."""
        started_at = result.utc_now()
        machine = result.current_machine()
        commit = result.current_commit()
        points = tuple(self.measure(size, scenario) for size in scenario.sizes)
        return result.Result(
            scenario=scenario,
            at=started_at,
            commit=commit,
            machine=machine,
            units=dict(self.units),
            points=points,
        )
