"""Scenarios of the laboratory, read from one YAML file each, and its named policies.

>>> load_scenario("olhar").deployment
'olhar'
>>> sorted(POLICY_NAMES)[:3]
['current', 'fewest_requests', 'fifo']
"""

from __future__ import annotations

from pathlib import Path

import msgspec
import yaml

from passgate.emulator.parameters import DeploymentParameters, load_deployment
from passgate.errors import SettingsError
from passgate.rollout.swap_modes import SWAP_MODES
from passgate.routing.policies import POLICIES

_SCENARIOS = Path(__file__).parent / "scenarios"

SWAP_POLICIES = {
    f"swap_{mode}" if not mode.startswith("swap") else mode: mode
    for mode in SWAP_MODES
    if mode != "swap_running"
}
"""Baselines of weight swaps: current routing with another swap mode."""
POLICY_NAMES = (*POLICIES, *SWAP_POLICIES)


class Scenario(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One experiment: a deployment, how long it runs, and how busy it is."""

    name: str
    deployment: str
    """Name or path of the emulator's deployment file."""
    duration_s: float = 300.0
    """Virtual seconds in which callers work."""
    surge: bool = False
    """Multiply open arrivals by their season's factor for the whole run."""
    load: float = 1.0
    """Further factor on open arrivals."""
    daemons_per_zone: int = 1


class PolicyChoice(msgspec.Struct, frozen=True, kw_only=True):
    """What a policy name of the laboratory stands for."""

    name: str
    routing: str
    swap_mode: str = "swap_running"


def load_scenario(name_or_path: str) -> Scenario:
    """Read a scenario by its short name or file path; raises SettingsError."""
    path = Path(name_or_path)
    if not path.suffix:
        path = _SCENARIOS / f"{name_or_path}.yaml"
    known = ", ".join(scenario_names())
    try:
        return msgspec.convert(yaml.safe_load(path.read_text()), Scenario)
    except OSError as error:
        raise SettingsError(f"no scenario {name_or_path!r}", key="scenario", expected=known) from error
    except (msgspec.ValidationError, yaml.YAMLError) as error:
        raise SettingsError(f"bad scenario: {error}", file=path) from error


def scenario_names() -> list[str]:
    """Return the names of the committed scenarios."""
    return sorted(path.stem for path in _SCENARIOS.glob("*.yaml"))


def find_policy(name: str) -> PolicyChoice:
    """Return what a policy name stands for; raises SettingsError."""
    if name in POLICIES:
        return PolicyChoice(name=name, routing=name)
    if name in SWAP_POLICIES:
        return PolicyChoice(name=name, routing="current", swap_mode=SWAP_POLICIES[name])
    raise SettingsError(f"no policy {name!r}", key="policy", expected=", ".join(POLICY_NAMES))


def scenario_parameters(scenario: Scenario) -> DeploymentParameters:
    """Return the deployment's parameters with the scenario's arrivals."""
    parameters = load_deployment(scenario.deployment)
    arrivals = tuple(
        msgspec.structs.replace(
            stream,
            rate_per_s=stream.rate_per_s * scenario.load * (stream.surge_factor if scenario.surge else 1.0),
            surge_start_s=0.0,
            surge_end_s=0.0,
        )
        for stream in parameters.arrivals
    )
    return msgspec.structs.replace(parameters, arrivals=arrivals, daemons_per_zone=scenario.daemons_per_zone)
