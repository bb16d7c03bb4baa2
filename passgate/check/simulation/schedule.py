"""Schedules of the faults of one run: typed, generated from a seed and stored as JSON.

>>> generate_schedule(7) == generate_schedule(7)
True
>>> decode_schedule(encode_schedule(generate_schedule(7))) == generate_schedule(7)
True
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec

from passgate.emulator.engine_events import SwapFailure
from passgate.emulator.faults import (
    AnyFault,
    AppCrash,
    AppSlow,
    ConnectionsLost,
    EngineCrash,
    EngineSlow,
    EngineSwapFailure,
    LogLosesAnswers,
    LogOutage,
    LogReaderBehind,
    LogSlow,
    MachineLeaves,
    MachineListOutage,
    StoreOutage,
    ZoneCut,
)

ZONES = ("a", "b", "c")
DAEMONS = ("a-1", "b-1", "c-1")
ENGINES = ("engine-0", "engine-1", "engine-2", "engine-3")
APPS = ("app-0", "app-1", "app-2")

FIRST_FAULT_S = 4.0
LAST_FAULT_S = 22.0
MAX_FAULTS = 4
"""Most faults in a schedule of mixed faults."""
MAX_FAULT_DURATION_S = 12.0


class DaemonFault(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of the faults of daemons."""

    at_s: float
    """Seconds since the start of the workload."""
    daemons: tuple[str, ...]


class DaemonKill(DaemonFault, frozen=True, tag="daemon_kill"):
    """Daemons are killed and started again."""

    restart_after_s: float


class DaemonPause(DaemonFault, frozen=True, tag="daemon_pause"):
    """Daemons are paused and resumed, and keep their state."""

    duration_s: float


class DaemonStop(DaemonFault, frozen=True, tag="daemon_stop"):
    """Daemons are shut down gracefully and started again."""

    restart_after_s: float


class ClientAnswersLost(msgspec.Struct, frozen=True, tag="client_answers_lost", kw_only=True):
    """Each answer to a caller or trainer is lost with a probability."""

    at_s: float
    probability: float
    duration_s: float


AnyScheduledFault = DaemonKill | DaemonPause | DaemonStop | ClientAnswersLost | AnyFault


class Schedule(msgspec.Struct, frozen=True, kw_only=True):
    """Seed and faults of one run."""

    seed: int
    faults: tuple[AnyScheduledFault, ...] = ()

    def fault_names(self) -> list[str]:
        """Return the different kinds of the faults, sorted."""
        return sorted({fault_name(fault) for fault in self.faults})


def fault_name(fault: AnyScheduledFault) -> str:
    """Return the kind of a fault, with the suffix "_all" if it affects all daemons.

    >>> fault_name(DaemonKill(at_s=5.0, daemons=("a-1",), restart_after_s=1.0))
    'daemon_kill'
    >>> fault_name(DaemonKill(at_s=5.0, daemons=DAEMONS, restart_after_s=1.0))
    'daemon_kill_all'
    """
    name = str(fault.__struct_config__.tag)
    affects_all = isinstance(fault, DaemonFault) and len(fault.daemons) == len(DAEMONS)
    return f"{name}_all" if affects_all else name


def encode_schedule(schedule: Schedule) -> bytes:
    """Return a schedule as JSON."""
    return msgspec.json.encode(schedule)


def decode_schedule(text: bytes | str) -> Schedule:
    """Return the schedule of a JSON text; raises ``msgspec.MsgspecError``."""
    return msgspec.json.decode(text, type=Schedule)


def generate_schedule(seed: int, only: str = "") -> Schedule:
    """Return the schedule of a seed: one to ``MAX_FAULTS`` mixed faults, or two of the kind ``only``.

    Faults may overlap, and the same fault may occur twice.
    """
    random = Random(f"schedule/{seed}")
    if only:
        makers = [FAULT_MAKER_BY_KIND[only]] * 2
    else:
        names = random.choices(sorted(FAULT_MAKER_BY_KIND), k=random.randint(1, MAX_FAULTS))
        makers = [FAULT_MAKER_BY_KIND[name] for name in names]
    faults = [make(random, _random_time_s(random)) for make in makers]
    return Schedule(seed=seed, faults=tuple(sorted(faults, key=lambda fault: fault.at_s)))


def _random_time_s(random: Random) -> float:
    return round(random.uniform(FIRST_FAULT_S, LAST_FAULT_S), 3)


def _random_duration_s(random: Random) -> float:
    return round(random.uniform(0.2, MAX_FAULT_DURATION_S), 3)


def _random_daemon(random: Random) -> tuple[str, ...]:
    return (random.choice(DAEMONS),)


def _random_restart_s(random: Random) -> float:
    return round(random.uniform(0.1, 5.0), 3)


FaultMaker = Callable[[Random, float], AnyScheduledFault]
"""Returns a random fault that starts at the given time in seconds."""

FAULT_MAKER_BY_KIND: dict[str, FaultMaker] = {
    "daemon_kill": lambda r, at_s: DaemonKill(
        at_s=at_s, daemons=_random_daemon(r), restart_after_s=_random_restart_s(r)
    ),
    "daemon_kill_all": lambda r, at_s: DaemonKill(
        at_s=at_s, daemons=DAEMONS, restart_after_s=_random_restart_s(r)
    ),
    "daemon_pause": lambda r, at_s: DaemonPause(
        at_s=at_s, daemons=_random_daemon(r), duration_s=_random_duration_s(r)
    ),
    "daemon_stop": lambda r, at_s: DaemonStop(
        at_s=at_s, daemons=_random_daemon(r), restart_after_s=_random_restart_s(r)
    ),
    "client_answers_lost": lambda r, at_s: ClientAnswersLost(
        at_s=at_s, probability=r.choice((0.2, 0.5)), duration_s=_random_duration_s(r)
    ),
    "engine_crash": lambda r, at_s: EngineCrash(at_s, r.choice(ENGINES), _random_restart_s(r)),
    "engine_slow": lambda r, at_s: EngineSlow(at_s, r.choice(ENGINES), 20.0, _random_duration_s(r)),
    "engine_swap_failure": lambda r, at_s: EngineSwapFailure(
        at_s, r.choice(ENGINES), r.choice(list(SwapFailure)), r.randint(1, 3)
    ),
    "app_crash": lambda r, at_s: AppCrash(at_s, r.choice(APPS), _random_restart_s(r)),
    "app_slow": lambda r, at_s: AppSlow(at_s, r.choice(APPS), 20.0, _random_duration_s(r)),
    "machine_leaves": lambda r, at_s: MachineLeaves(at_s, r.choice((ENGINES[0], APPS[0])), 10.0),
    "log_outage": lambda r, at_s: LogOutage(at_s, _random_duration_s(r), r.random() < 0.5),
    "log_slow": lambda r, at_s: LogSlow(at_s, r.choice((0.5, 2.0, 6.0)), _random_duration_s(r)),
    "log_loses_answers": lambda r, at_s: LogLosesAnswers(
        at_s, r.choice((0.3, 0.9)), _random_duration_s(r), r.random() < 0.5
    ),
    "log_reader_behind": lambda r, at_s: LogReaderBehind(
        at_s, r.choice(ZONES), r.choice((1.0, 5.0)), _random_duration_s(r)
    ),
    "zone_cut": lambda r, at_s: ZoneCut(at_s, r.choice(ZONES), _random_duration_s(r)),
    "connections_lost": lambda r, at_s: ConnectionsLost(at_s, r.choice((0.05, 0.3)), _random_duration_s(r)),
    "store_outage": lambda r, at_s: StoreOutage(at_s, _random_duration_s(r)),
    "machine_list_outage": lambda r, at_s: MachineListOutage(at_s, _random_duration_s(r)),
}
