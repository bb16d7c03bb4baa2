"""Faults of the emulated external systems, applied at given times of a run.

Faults of passgate's own daemons, such as a kill or a pause, are in ``passgate.check.simulation``.

>>> decode_faults(b'[{"type": "engine_crash", "at_s": 5, "replica": "modelos-0"}]')
[EngineCrash(at_s=5.0, replica='modelos-0', restart_after_s=20.0)]
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from passgate.emulator.engine_events import SwapFailure
from passgate.emulator.network import PLATFORM_ZONE
from passgate.emulator.world import EmulatedWorld
from passgate.errors import SettingsError


class Fault(msgspec.Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Base class of all faults."""

    at_s: float
    """When the fault begins, after the start of the schedule."""


class EngineCrash(Fault, frozen=True, tag="engine_crash"):
    """An engine's process crashes and restarts with its boot version of the weights."""

    replica: str
    restart_after_s: float = 20.0


class EngineSlow(Fault, frozen=True, tag="engine_slow"):
    """For ``duration_s``, an engine's steps take ``factor`` times as long."""

    replica: str
    factor: float
    duration_s: float


class EngineSwapFailure(Fault, frozen=True, tag="engine_swap_failure"):
    """The next ``count`` weight loads of an engine fail."""

    replica: str
    failure: SwapFailure
    count: int = 1


class AppCrash(Fault, frozen=True, tag="app_crash"):
    """An application replica's process crashes and restarts."""

    replica: str
    restart_after_s: float = 5.0


class AppSlow(Fault, frozen=True, tag="app_slow"):
    """For ``duration_s``, an application replica's service times are ``factor`` times as long."""

    replica: str
    factor: float
    duration_s: float


class MachineLeaves(Fault, frozen=True, tag="machine_leaves"):
    """The machine list marks a back end as leaving; it stops ``notice_s`` later."""

    replica: str
    notice_s: float = 30.0
    return_after_s: float | None = None
    """Time from its stop until a new process with the same name replaces it; None for never."""


class LogOutage(Fault, frozen=True, tag="log_outage"):
    """The log is down for ``duration_s``."""

    duration_s: float
    hangs: bool = False
    """Appends time out instead of being refused; reads are refused in either case."""


class LogSlow(Fault, frozen=True, tag="log_slow"):
    """For ``duration_s``, every append and read of the log takes ``extra_s`` longer."""

    extra_s: float
    duration_s: float


class LogLosesAnswers(Fault, frozen=True, tag="log_loses_answers"):
    """For ``duration_s``, an append takes effect but its answer is lost, with a probability per append."""

    probability: float
    duration_s: float
    partial: bool = False
    """An append whose answer is lost may write only its first records, or none."""


class LogReaderBehind(Fault, frozen=True, tag="log_reader_behind"):
    """For ``duration_s``, some reads of a zone are served by a replica that is ``lag_s`` behind."""

    zone: str
    lag_s: float
    duration_s: float


class ZoneCut(Fault, frozen=True, tag="zone_cut"):
    """Network partition of a zone from all others, and with ``platform`` from the platform too.

    Callers still reach the zone.
    """

    zone: str
    duration_s: float
    platform: bool = True


class LinkCut(Fault, frozen=True, tag="link_cut"):
    """Network partition between two zones; ``platform`` and ``clients`` count as zones."""

    first: str
    second: str
    duration_s: float


class ConnectionsLost(Fault, frozen=True, tag="connections_lost"):
    """For ``duration_s``, connections break with a probability per answer, or per chunk of a stream."""

    probability: float
    duration_s: float


class StoreOutage(Fault, frozen=True, tag="store_outage"):
    """The weight store is unavailable for ``duration_s``."""

    duration_s: float


class MachineListOutage(Fault, frozen=True, tag="machine_list_outage"):
    """The machine list can not be read for ``duration_s``."""

    duration_s: float


AnyFault = (
    EngineCrash
    | EngineSlow
    | EngineSwapFailure
    | AppCrash
    | AppSlow
    | MachineLeaves
    | LogOutage
    | LogSlow
    | LogLosesAnswers
    | LogReaderBehind
    | ZoneCut
    | LinkCut
    | ConnectionsLost
    | StoreOutage
    | MachineListOutage
)

NEVER_RESTART_S = 1e9


def decode_faults(text: bytes) -> list[AnyFault]:
    """Return the faults of a JSON list; raises SettingsError if it is invalid."""
    try:
        return msgspec.json.decode(text, type=list[AnyFault])
    except msgspec.MsgspecError as error:
        raise SettingsError(f"invalid list of faults: {error}") from error


class FaultSchedule:
    """Begins the faults of an emulated world at their times and ends them.

    Overlapping network partitions, and overlapping outages of the log, last until the last one ends.  Of
    other overlapping faults of one kind, the first that ends resets the value.
    """

    def __init__(self, world: EmulatedWorld, faults: Iterable[AnyFault]) -> None:
        self.faults = sorted(faults, key=lambda fault: fault.at_s)
        self._world = world
        self._timers: list[asyncio.TimerHandle] = []
        self._active_log_outages = 0
        self._active_cuts_by_link: dict[tuple[str, str], int] = {}

    def start(self) -> None:
        """Schedule all faults, relative to now.

        Raises:
            SettingsError: a fault names an unknown replica; none is scheduled then.
        """
        for fault in self.faults:
            self._check_replica(fault)
        for fault in self.faults:
            self._schedule(fault.at_s, lambda fault=fault: self.apply(fault))

    def close(self) -> None:
        """Cancel faults that have not begun; faults that have begun are not ended."""
        for timer in self._timers:
            timer.cancel()

    def apply(self, fault: AnyFault) -> None:
        """Begin a fault now, whatever its ``at_s``, and schedule its end."""
        match fault:
            case EngineCrash():
                self._world.engines[fault.replica].crash(fault.restart_after_s)
            case EngineSlow():
                self._slow_down(self._world.engines[fault.replica].set_slow_factor, fault)
            case EngineSwapFailure():
                self._world.engines[fault.replica].model.arm_swap_failure(fault.failure, fault.count)
            case AppCrash():
                self._world.apps[fault.replica].crash(fault.restart_after_s)
            case AppSlow():
                self._slow_down(self._world.apps[fault.replica].set_slow_factor, fault)
            case MachineLeaves():
                self._start_leaving(fault)
            case ZoneCut():
                self._cut_zone(fault)
            case LinkCut():
                self._cut_link(fault.first, fault.second, fault.duration_s)
            case ConnectionsLost():
                self._set_temporarily(self._world.network, "connection_loss", fault.probability, 0.0, fault)
            case StoreOutage():
                self._set_temporarily(self._world.store, "available", False, True, fault)
            case MachineListOutage():
                self._set_temporarily(self._world.machine_list, "available", False, True, fault)
            case _:
                self._apply_to_log(fault)

    def _apply_to_log(self, fault: AnyFault) -> None:
        faults = self._world.log.faults
        match fault:
            case LogOutage():
                self._begin_outage(fault)
            case LogSlow():
                self._set_temporarily(faults, "extra_s", fault.extra_s, 0.0, fault)
            case LogLosesAnswers():
                faults.partial_appends = fault.partial
                self._set_temporarily(faults, "lost_answers", fault.probability, 0.0, fault)
            case LogReaderBehind():
                faults.reader_lag_s[fault.zone] = fault.lag_s
                self._schedule(fault.duration_s, lambda: faults.reader_lag_s.pop(fault.zone, None))

    def _begin_outage(self, fault: LogOutage) -> None:
        self._active_log_outages += 1
        self._world.log.faults.down = True
        self._world.log.faults.hangs = fault.hangs
        self._schedule(fault.duration_s, self._end_outage)

    def _end_outage(self) -> None:
        self._active_log_outages -= 1
        self._world.log.faults.down = self._active_log_outages > 0

    def _start_leaving(self, fault: MachineLeaves) -> None:
        self._world.machine_list.mark_leaving(fault.replica)
        self._schedule(fault.notice_s, lambda: self._stop_machine(fault))

    def _stop_machine(self, fault: MachineLeaves) -> None:
        world = self._world
        backend = world.engines.get(fault.replica) or world.apps[fault.replica]
        backend.crash(NEVER_RESTART_S if fault.return_after_s is None else fault.return_after_s)
        world.machine_list.mark_gone(fault.replica)
        if fault.return_after_s is not None:
            self._schedule(fault.return_after_s, lambda: world.machine_list.mark_live(fault.replica))

    def _cut_zone(self, fault: ZoneCut) -> None:
        others = [zone for zone in self._world.parameters.zones if zone != fault.zone]
        if fault.platform:
            others.append(PLATFORM_ZONE)
        for other in others:
            self._cut_link(fault.zone, other, fault.duration_s)

    def _cut_link(self, first: str, second: str, duration_s: float) -> None:
        link = (min(first, second), max(first, second))
        self._active_cuts_by_link[link] = self._active_cuts_by_link.get(link, 0) + 1
        self._world.network.cut(first, second)
        self._schedule(duration_s, lambda: self._heal_link(link))

    def _heal_link(self, link: tuple[str, str]) -> None:
        self._active_cuts_by_link[link] -= 1
        if self._active_cuts_by_link[link] == 0:
            self._world.network.heal(*link)

    def _slow_down(self, set_factor: Callable[[float], None], fault: EngineSlow | AppSlow) -> None:
        set_factor(fault.factor)
        self._schedule(fault.duration_s, lambda: set_factor(1.0))

    def _set_temporarily(self, target: object, name: str, value: object, default: object, fault) -> None:
        setattr(target, name, value)
        self._schedule(fault.duration_s, lambda: setattr(target, name, default))

    def _schedule(self, delay_s: float, action: Callable[[], object]) -> None:
        self._timers.append(asyncio.get_running_loop().call_later(delay_s, action))

    def _check_replica(self, fault: AnyFault) -> None:
        replica = getattr(fault, "replica", None)
        known_replicas = [*self._world.engines, *self._world.apps]
        if replica is not None and replica not in known_replicas:
            raise SettingsError(f"no replica {replica}", key="replica", expected=", ".join(known_replicas))
