"""Runs a scenario over a range of one of its parameters.

>>> sweep_values("load", "0.5,1")
[0.5, 1.0]
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from passgate.errors import SettingsError
from passgate.lab.batch import RunOrder
from passgate.lab.scenario import Scenario

SWEPT = ("load", "duration_s", "daemons_per_zone")


def sweep_values(parameter: str, values: str) -> list[float]:
    """Return the numbers of a comma-separated list; raises SettingsError."""
    if parameter not in SWEPT:
        raise SettingsError(f"{parameter!r} can not be swept", key=parameter, expected=", ".join(SWEPT))
    try:
        return [float(value) for value in values.split(",")]
    except ValueError:
        raise SettingsError(f"bad values {values!r}", key="values", expected="numbers, as 0.5,1,2") from None


def sweep_orders(
    scenario: Scenario, parameter: str, values: Sequence[float], policy: str, fault: str, seeds: int
) -> list[RunOrder]:
    """Return the runs of a sweep, one scenario per value."""
    return [
        RunOrder(scenario=_with(scenario, parameter, value), policy=policy, fault=fault, seed=seed)
        for value in values
        for seed in range(1, seeds + 1)
    ]


def _with(scenario: Scenario, parameter: str, value: float) -> Scenario:
    whole = int(value) if parameter == "daemons_per_zone" else value
    changed = msgspec.structs.replace(scenario, **{parameter: whole})
    return msgspec.structs.replace(changed, name=f"{scenario.name} {parameter}={value:g}")
