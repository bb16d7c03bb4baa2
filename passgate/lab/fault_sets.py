"""Named sets of faults for scenarios of any deployment; times are shares of the run.

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

FaultMaker = Callable[[DeploymentParameters, tuple[str, ...], float], list[AnyScheduledFault]]
"""Returns the faults for a deployment, its daemons' names and a duration in seconds."""


def _calm(parameters: DeploymentParameters, daemons: tuple[str, ...], duration_s: float) -> list:
    return []


def _engine_crash(parameters: DeploymentParameters, daemons: tuple[str, ...], duration_s: float) -> list:
    return [
        EngineCrash(duration_s * 0.3, _engine(parameters, 0)),
        EngineCrash(duration_s * 0.6, _engine(parameters, 1)),
    ]


def _engine_slow(parameters: DeploymentParameters, daemons: tuple[str, ...], duration_s: float) -> list:
    return [EngineSlow(duration_s * 0.2, _engine(parameters, 0), 4.0, duration_s * 0.5)]


def _swap_failure(parameters: DeploymentParameters, daemons: tuple[str, ...], duration_s: float) -> list:
    return [EngineSwapFailure(duration_s * 0.1, _engine(parameters, 0), SwapFailure.LOSES_WEIGHTS, 3)]


def _app_crash(parameters: DeploymentParameters, daemons: tuple[str, ...], duration_s: float) -> list:
    return [AppCrash(duration_s * 0.4, f"{parameters.apps.name}-0")]


def _leave(parameters: DeploymentParameters, daemons: tuple[str, ...], duration_s: float) -> list:
    return [MachineLeaves(duration_s * 0.4, _engine(parameters, 0))]


def _log_outage(parameters: DeploymentParameters, daemons: tuple[str, ...], duration_s: float) -> list:
    return [
        LogOutage(duration_s * 0.3, duration_s * 0.1),
        LogOutage(duration_s * 0.6, duration_s * 0.1, True),
    ]


def _log_lossy(parameters: DeploymentParameters, daemons: tuple[str, ...], duration_s: float) -> list:
    return [LogLosesAnswers(duration_s * 0.2, 0.3, duration_s * 0.4, True)]


def _zone_cut(parameters: DeploymentParameters, daemons: tuple[str, ...], duration_s: float) -> list:
    return [ZoneCut(duration_s * 0.4, parameters.zones[-1], duration_s * 0.1)]


def _connections_lost(parameters: DeploymentParameters, daemons: tuple[str, ...], duration_s: float) -> list:
    return [ConnectionsLost(duration_s * 0.3, 0.01, duration_s * 0.3)]


def _daemon_kill(parameters: DeploymentParameters, daemons: tuple[str, ...], duration_s: float) -> list:
    return [DaemonKill(at_s=duration_s * 0.4, daemons=daemons[:1], restart_after_s=5.0)]


def _daemon_kill_all(parameters: DeploymentParameters, daemons: tuple[str, ...], duration_s: float) -> list:
    return [DaemonKill(at_s=duration_s * 0.4, daemons=daemons, restart_after_s=5.0)]


def _daemon_pause(parameters: DeploymentParameters, daemons: tuple[str, ...], duration_s: float) -> list:
    return [DaemonPause(at_s=duration_s * 0.4, daemons=daemons[:1], duration_s=15.0)]


def _daemon_stop(parameters: DeploymentParameters, daemons: tuple[str, ...], duration_s: float) -> list:
    return [DaemonStop(at_s=duration_s * 0.4, daemons=daemons[:1], restart_after_s=2.0)]


def _mixed(parameters: DeploymentParameters, daemons: tuple[str, ...], duration_s: float) -> list:
    makers = (_engine_crash, _log_outage, _daemon_kill, _zone_cut)
    return [fault for make in makers for fault in make(parameters, daemons, duration_s)]


FAULT_SETS: dict[str, FaultMaker] = {
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
"""Fault sets by name."""


def find_faults(
    name: str, parameters: DeploymentParameters, daemons: tuple[str, ...], duration_s: float
) -> tuple[AnyScheduledFault, ...]:
    """Return the faults of a named set, in order of time; raises SettingsError."""
    maker = FAULT_SETS.get(name)
    if maker is None:
        raise SettingsError(f"no fault set {name!r}", key="fault", expected=", ".join(FAULT_SETS))
    return tuple(sorted(maker(parameters, daemons, duration_s), key=lambda fault: fault.at_s))


def _engine(parameters: DeploymentParameters, index: int) -> str:
    return f"{parameters.engines.name}-{index}"
