"""Builds the runs of a scenario with several values of one of its parameters.

>>> parse_sweep_values("load", "0.5,1")
[0.5, 1.0]
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from passgate.errors import SettingsError
from passgate.lab.batch import RunSpec
from passgate.lab.scenario import Scenario

SWEEPABLE_PARAMETERS = ("load", "duration_s", "daemons_per_zone")


def parse_sweep_values(parameter: str, text: str) -> list[float]:
    """Return the numbers of a comma-separated list.

    Raises SettingsError if the parameter can't be swept or a value is not a number.
    """
    if parameter not in SWEEPABLE_PARAMETERS:
        raise SettingsError(
            f"{parameter!r} can't be swept",
            key=parameter,
            expected=", ".join(SWEEPABLE_PARAMETERS),
        )
    try:
        return [float(value) for value in text.split(",")]
    except ValueError:
        raise SettingsError(
            f"invalid values {text!r}", key="values", expected="numbers such as 0.5,1,2"
        ) from None


def sweep_specs(
    scenario: Scenario, parameter: str, values: Sequence[float], policy: str, fault: str, seed_count: int
) -> list[RunSpec]:
    """Return the runs of a sweep: for each value, seeds from 1 to ``seed_count``."""
    return [
        RunSpec(scenario=_with_value(scenario, parameter, value), policy=policy, fault=fault, seed=seed)
        for value in values
        for seed in range(1, seed_count + 1)
    ]


def _with_value(scenario: Scenario, parameter: str, value: float) -> Scenario:
    """Return the scenario with a value, which becomes part of its name."""
    typed_value = int(value) if parameter == "daemons_per_zone" else value
    changed = msgspec.structs.replace(scenario, **{parameter: typed_value})
    return msgspec.structs.replace(changed, name=f"{scenario.name} {parameter}={value:g}")
