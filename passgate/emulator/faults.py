"""Typed faults of the outside systems, applied at set times of a run.

Faults of passgate's own daemons (kill, pause) belong to the laboratory.

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
    """Base of all faults."""

    at_s: float
    """Seconds after the schedule's start."""


class EngineCrash(Fault, frozen=True, tag="engine_crash"):
    """An engine process dies and comes back with its boot version."""

    replica: str
    restart_after_s: float = 20.0


class EngineSlow(Fault, frozen=True, tag="engine_slow"):
    """An engine's steps take longer for a while."""

    replica: str
    factor: float
    duration_s: float


class EngineSwapFailure(Fault, frozen=True, tag="engine_swap_failure"):
    """The next weight loads of an engine fail."""

    replica: str
    failure: SwapFailure
    count: int = 1


class AppCrash(Fault, frozen=True, tag="app_crash"):
    """An application replica dies and comes back."""

    replica: str
    restart_after_s: float = 5.0


class AppSlow(Fault, frozen=True, tag="app_slow"):
    """An application replica's service times are longer for a while."""

    replica: str
    factor: float
    duration_s: float


class MachineLeaves(Fault, frozen=True, tag="machine_leaves"):
    """The platform says that a back end is leaving; it goes after its notice, perhaps to be replaced."""

    replica: str
    notice_s: float = 30.0
    return_after_s: float | None = None
    """When a new process under the same name takes its place, after it went; None for never."""


class LogOutage(Fault, frozen=True, tag="log_outage"):
    """The log is down for a while."""

    duration_s: float
    hangs: bool = False
    """Requests time out instead of being refused."""


class LogSlow(Fault, frozen=True, tag="log_slow"):
    """Every append and read of the log takes longer for a while."""

    extra_s: float
    duration_s: float


class LogLosesAnswers(Fault, frozen=True, tag="log_loses_answers"):
    """Answers to appends are lost after their effect for a while."""

    probability: float
    duration_s: float
    partial: bool = False
    """Only some of an append's records may have been written."""


class LogReaderBehind(Fault, frozen=True, tag="log_reader_behind"):
    """Reads of one zone are at times served by a lagging replica."""

    zone: str
    lag_s: float
    duration_s: float


class ZoneCut(Fault, frozen=True, tag="zone_cut"):
    """A zone is cut off from all others, and with ``platform`` from the platform too."""

    zone: str
    duration_s: float
    platform: bool = True


class LinkCut(Fault, frozen=True, tag="link_cut"):
    """Two zones are cut off from each other; ``platform`` and ``clients`` count as zones."""

    first: str
    second: str
    duration_s: float


class ConnectionsLost(Fault, frozen=True, tag="connections_lost"):
    """Answers lose their connection with a probability per piece for a while."""

    probability: float
    duration_s: float


class StoreOutage(Fault, frozen=True, tag="store_outage"):
    """The weight store is down for a while."""

    duration_s: float


class MachineListOutage(Fault, frozen=True, tag="machine_list_outage"):
    """The machine list can not be read for a while."""

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

FOR_EVER_S = 1e9


def decode_faults(text: bytes) -> list[AnyFault]:
    """Return the faults of a JSON list; raises SettingsError."""
    try:
        return msgspec.json.decode(text, type=list[AnyFault])
    except msgspec.MsgspecError as error:
        raise SettingsError(f"bad list of faults: {error}") from error


class FaultSchedule:
    """Applies faults to a world at their times, and ends them."""

    def __init__(self, world: EmulatedWorld, faults: Iterable[AnyFault]) -> None:
        self.faults = sorted(faults, key=lambda fault: fault.at_s)
        self._world = world
        self._timers: list[asyncio.TimerHandle] = []
        self._log_outages = 0
        self._cuts: dict[tuple[str, str], int] = {}

    def start(self) -> None:
        """Schedule all faults from now on; names are checked first.

        Raises:
            SettingsError: a fault names an unknown replica.
        """
        for fault in self.faults:
            self._check(fault)
        for fault in self.faults:
            self._later(fault.at_s, lambda fault=fault: self.apply(fault))

    def close(self) -> None:
        """Cancel what has not happened yet."""
        for timer in self._timers:
            timer.cancel()

    def apply(self, fault: AnyFault) -> None:
        """Begin a fault now and schedule its end."""
        match fault:
            case EngineCrash():
                self._world.engines[fault.replica].crash(fault.restart_after_s)
            case EngineSlow():
                self._slow(self._world.engines[fault.replica].set_slow_factor, fault)
            case EngineSwapFailure():
                self._world.engines[fault.replica].model.arm_swap_failure(fault.failure, fault.count)
            case AppCrash():
                self._world.apps[fault.replica].crash(fault.restart_after_s)
            case AppSlow():
                self._slow(self._world.apps[fault.replica].set_slow_factor, fault)
            case MachineLeaves():
                self._leave(fault)
            case ZoneCut():
                self._cut_zone(fault)
            case LinkCut():
                self._cut(fault.first, fault.second, fault.duration_s)
            case ConnectionsLost():
                self._set_for(self._world.network, "connection_loss", fault.probability, 0.0, fault)
            case StoreOutage():
                self._set_for(self._world.store, "available", False, True, fault)
            case MachineListOutage():
                self._set_for(self._world.machine_list, "available", False, True, fault)
            case _:
                self._apply_to_log(fault)

    def _apply_to_log(self, fault: AnyFault) -> None:
        faults = self._world.log.faults
        match fault:
            case LogOutage():
                self._begin_outage(fault)
            case LogSlow():
                self._set_for(faults, "extra_s", fault.extra_s, 0.0, fault)
            case LogLosesAnswers():
                faults.partial_appends = fault.partial
                self._set_for(faults, "lost_answers", fault.probability, 0.0, fault)
            case LogReaderBehind():
                faults.reader_lag_s[fault.zone] = fault.lag_s
                self._later(fault.duration_s, lambda: faults.reader_lag_s.pop(fault.zone, None))

    def _begin_outage(self, fault: LogOutage) -> None:
        self._log_outages += 1
        self._world.log.faults.down = True
        self._world.log.faults.hangs = fault.hangs
        self._later(fault.duration_s, self._end_outage)

    def _end_outage(self) -> None:
        self._log_outages -= 1
        self._world.log.faults.down = self._log_outages > 0

    def _leave(self, fault: MachineLeaves) -> None:
        self._world.machine_list.mark_leaving(fault.replica)
        self._later(fault.notice_s, lambda: self._go(fault))

    def _go(self, fault: MachineLeaves) -> None:
        world = self._world
        backend = world.engines.get(fault.replica) or world.apps[fault.replica]
        backend.crash(FOR_EVER_S if fault.return_after_s is None else fault.return_after_s)
        world.machine_list.mark_gone(fault.replica)
        if fault.return_after_s is not None:
            self._later(fault.return_after_s, lambda: world.machine_list.mark_live(fault.replica))

    def _cut_zone(self, fault: ZoneCut) -> None:
        others = [zone for zone in self._world.parameters.zones if zone != fault.zone]
        if fault.platform:
            others.append(PLATFORM_ZONE)
        for other in others:
            self._cut(fault.zone, other, fault.duration_s)

    def _cut(self, first: str, second: str, duration_s: float) -> None:
        link = (min(first, second), max(first, second))
        self._cuts[link] = self._cuts.get(link, 0) + 1
        self._world.network.cut(first, second)
        self._later(duration_s, lambda: self._heal(link))

    def _heal(self, link: tuple[str, str]) -> None:
        self._cuts[link] -= 1
        if self._cuts[link] == 0:
            self._world.network.heal(*link)

    def _slow(self, set_factor: Callable[[float], None], fault: EngineSlow | AppSlow) -> None:
        set_factor(fault.factor)
        self._later(fault.duration_s, lambda: set_factor(1.0))

    def _set_for(self, target: object, name: str, value: object, normal: object, fault) -> None:
        setattr(target, name, value)
        self._later(fault.duration_s, lambda: setattr(target, name, normal))

    def _later(self, delay_s: float, action: Callable[[], object]) -> None:
        self._timers.append(asyncio.get_running_loop().call_later(delay_s, action))

    def _check(self, fault: AnyFault) -> None:
        replica = getattr(fault, "replica", None)
        known = [*self._world.engines, *self._world.apps]
        if replica is not None and replica not in known:
            raise SettingsError(f"no replica {replica}", key="replica", expected=", ".join(known))
