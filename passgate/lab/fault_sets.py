"""Named sets of faults that fit any deployment; most of their times are shares of the run's duration.

>>> sorted(FAULT_SETS)[:2]
['app_crash', 'calm']
"""

from __future__ import annotations

from collections.abc import Callable

from passgate.check.simulation.schedule import AnyScheduledFault, DaemonKill, DaemonPause, DaemonStop
from passgate.emulator.engine_events import SwapFailure
from passgate.emulator.faults import (
    AppCrash,
    ConnectionsLost,
    EngineCrash,
    EngineSlow,
    EngineSwapFailure,
    LogLosesAnswers,
    LogOutage,
    MachineLeaves,
    ZoneCut,
)
from passgate.emulator.parameters import DeploymentParameters
from passgate.errors import SettingsError

FaultSetBuilder = Callable[[DeploymentParameters, tuple[str, ...], float], list[AnyScheduledFault]]
"""Returns the faults for a deployment, its daemons' identifiers and the duration of the run in seconds."""


def _calm(parameters: DeploymentParameters, daemon_ids: tuple[str, ...], duration_s: float) -> list:
    return []


def _engine_crash(parameters: DeploymentParameters, daemon_ids: tuple[str, ...], duration_s: float) -> list:
    return [
        EngineCrash(duration_s * 0.3, _engine_id(parameters, 0)),
        EngineCrash(duration_s * 0.6, _engine_id(parameters, 1)),
    ]


def _engine_slow(parameters: DeploymentParameters, daemon_ids: tuple[str, ...], duration_s: float) -> list:
    return [EngineSlow(duration_s * 0.2, _engine_id(parameters, 0), 4.0, duration_s * 0.5)]


def _swap_failure(parameters: DeploymentParameters, daemon_ids: tuple[str, ...], duration_s: float) -> list:
    return [EngineSwapFailure(duration_s * 0.1, _engine_id(parameters, 0), SwapFailure.LOSES_WEIGHTS, 3)]


def _app_crash(parameters: DeploymentParameters, daemon_ids: tuple[str, ...], duration_s: float) -> list:
    return [AppCrash(duration_s * 0.4, f"{parameters.apps.name}-0")]


def _leave(parameters: DeploymentParameters, daemon_ids: tuple[str, ...], duration_s: float) -> list:
    return [MachineLeaves(duration_s * 0.4, _engine_id(parameters, 0))]


def _log_outage(parameters: DeploymentParameters, daemon_ids: tuple[str, ...], duration_s: float) -> list:
    return [
        LogOutage(duration_s * 0.3, duration_s * 0.1),
        LogOutage(duration_s * 0.6, duration_s * 0.1, True),
    ]


def _log_lossy(parameters: DeploymentParameters, daemon_ids: tuple[str, ...], duration_s: float) -> list:
    return [LogLosesAnswers(duration_s * 0.2, 0.3, duration_s * 0.4, True)]


def _zone_cut(parameters: DeploymentParameters, daemon_ids: tuple[str, ...], duration_s: float) -> list:
    return [ZoneCut(duration_s * 0.4, parameters.zones[-1], duration_s * 0.1)]


def _connections_lost(
    parameters: DeploymentParameters, daemon_ids: tuple[str, ...], duration_s: float
) -> list:
    return [ConnectionsLost(duration_s * 0.3, 0.01, duration_s * 0.3)]


def _daemon_kill(parameters: DeploymentParameters, daemon_ids: tuple[str, ...], duration_s: float) -> list:
    return [DaemonKill(at_s=duration_s * 0.4, daemons=daemon_ids[:1], restart_after_s=5.0)]


def _daemon_kill_all(
    parameters: DeploymentParameters, daemon_ids: tuple[str, ...], duration_s: float
) -> list:
    return [DaemonKill(at_s=duration_s * 0.4, daemons=daemon_ids, restart_after_s=5.0)]


def _daemon_pause(parameters: DeploymentParameters, daemon_ids: tuple[str, ...], duration_s: float) -> list:
    return [DaemonPause(at_s=duration_s * 0.4, daemons=daemon_ids[:1], duration_s=15.0)]


def _daemon_stop(parameters: DeploymentParameters, daemon_ids: tuple[str, ...], duration_s: float) -> list:
    return [DaemonStop(at_s=duration_s * 0.4, daemons=daemon_ids[:1], restart_after_s=2.0)]


def _mixed(parameters: DeploymentParameters, daemon_ids: tuple[str, ...], duration_s: float) -> list:
    builders = (_engine_crash, _log_outage, _daemon_kill, _zone_cut)
    return [fault for build in builders for fault in build(parameters, daemon_ids, duration_s)]


FAULT_SETS: dict[str, FaultSetBuilder] = {
    "calm": _calm,
    "engine_crash": _engine_crash,
    "engine_slow": _engine_slow,
    "swap_failure": _swap_failure,
    "app_crash": _app_crash,
    "leave": _leave,
    "log_outage": _log_outage,
    "log_lossy": _log_lossy,
    "zone_cut": _zone_cut,
    "connections_lost": _connections_lost,
    "daemon_kill": _daemon_kill,
    "daemon_kill_all": _daemon_kill_all,
    "daemon_pause": _daemon_pause,
    "daemon_stop": _daemon_stop,
    "mixed": _mixed,
}
"""Name of each fault set, as given on the command line, to the function that builds it."""


def build_faults(
    name: str, parameters: DeploymentParameters, daemon_ids: tuple[str, ...], duration_s: float
) -> tuple[AnyScheduledFault, ...]:
    """Return the faults of a set in the order of their times; raises SettingsError for an unknown name."""
    build = FAULT_SETS.get(name)
    if build is None:
        raise SettingsError(f"no fault set is named {name!r}", key="fault", expected=", ".join(FAULT_SETS))
    return tuple(sorted(build(parameters, daemon_ids, duration_s), key=lambda fault: fault.at_s))


def _engine_id(parameters: DeploymentParameters, index: int) -> str:
    return f"{parameters.engines.name}-{index}"
