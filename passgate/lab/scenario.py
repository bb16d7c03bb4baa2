"""Scenarios, read from one YAML file each, and the named policies under which they are run.

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

_SCENARIO_FOLDER = Path(__file__).parent / "scenarios"

SWAP_MODE_BY_POLICY = {
    f"swap_{mode}" if not mode.startswith("swap") else mode: mode
    for mode in SWAP_MODES
    if mode != "swap_running"
}
"""Name of a policy with current routing to the mode in which it swaps weights."""
POLICY_NAMES = (*POLICIES, *SWAP_MODE_BY_POLICY)


class Scenario(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One experiment: a deployment, its load and its duration."""

    name: str
    deployment: str
    """Name or path of a deployment file of the emulator."""
    duration_s: float = 300.0
    """Virtual seconds in which trainers work and interactive calls arrive."""
    surge: bool = False
    """Whether each stream of interactive calls arrives at its surge rate for the whole run."""
    load: float = 1.0
    """Factor on the arrival rates of interactive calls."""
    daemons_per_zone: int = 1


class LabPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Routing policy and swap mode of one policy name."""

    name: str
    routing: str
    """Key of :data:`passgate.routing.policies.POLICIES`."""
    swap_mode: str = "swap_running"


def load_scenario(name_or_path: str) -> Scenario:
    """Read a scenario by its name or file path; raises SettingsError.

    A path needs a suffix; without one, the argument is the name of a committed scenario.
    """
    path = Path(name_or_path)
    if not path.suffix:
        path = _SCENARIO_FOLDER / f"{name_or_path}.yaml"
    known_names = ", ".join(scenario_names())
    try:
        return msgspec.convert(yaml.safe_load(path.read_text()), Scenario)
    except OSError as error:
        raise SettingsError(
            f"no scenario is named {name_or_path!r}", key="scenario", expected=known_names
        ) from error
    except (msgspec.ValidationError, yaml.YAMLError) as error:
        raise SettingsError(f"invalid scenario: {error}", file=path) from error


def scenario_names() -> list[str]:
    """Return the names of the scenarios in ``passgate/lab/scenarios``."""
    return sorted(path.stem for path in _SCENARIO_FOLDER.glob("*.yaml"))


def find_policy(name: str) -> LabPolicy:
    """Return a policy by its name; raises SettingsError."""
    if name in POLICIES:
        return LabPolicy(name=name, routing=name)
    if name in SWAP_MODE_BY_POLICY:
        return LabPolicy(name=name, routing="current", swap_mode=SWAP_MODE_BY_POLICY[name])
    raise SettingsError(f"no policy is named {name!r}", key="policy", expected=", ".join(POLICY_NAMES))


def scenario_parameters(scenario: Scenario) -> DeploymentParameters:
    """Return the deployment's parameters with the scenario's load and number of daemons.

    Raises SettingsError if the deployment can't be loaded.
    """
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
