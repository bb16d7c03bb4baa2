"""Faults of a run over sockets: each begins, waits for what it must show, and ends.

Every wait is for a condition and has a limit, after which the run fails with
:class:`FaultNotShown` instead of being judged as if the fault had happened.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import os
import signal
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING

import msgspec

from passgate.check.events import (
    BackendLeaving,
    DaemonCut,
    DaemonKilled,
    DaemonReconnected,
    StopFinished,
    StopRequested,
)
from passgate.clock import monotonic_s
from passgate.emulator.admin_messages import FaultKind
from passgate.errors import PassgateError, VerificationFailed

if TYPE_CHECKING:
    from passgate.check.socket_run import SocketRun

POLL_S = 0.05
MS_PER_S = 1000
WATCH_TIMEOUT_S = 3.0
KILLED_FOR_S = 0.5
DEAD_LIMIT_S = 30.0
BACK_LIMIT_S = 30.0
RACES = 4
RACERS = 6
LOG_OUTAGE_S = 3.0
LOG_SLOW_BY_S = 2.0
LOG_SLOW_S = 6.0
LOST_ANSWERS = 4
LOST_ANSWERS_LIMIT_S = 10.0
CRASHED_FOR_S = 2.0
AFTER_LEAVING_S = 7.0
"""Longer than the time in which a leaving back end may still get work."""
TOGETHER = "+"
"""Joins the names of faults that happen at once."""
DEAD = "dead"
LEFT = "left"
ALIVE = "alive"
RUN_MARK = "/"
"""Separates a daemon's name from the number of its run in the identifier of a member."""


class FaultNotShown(VerificationFailed):
    """A fault did not come about in its time; details name the ``fault``."""

    code = "fault_not_shown"


class FaultNote(msgspec.Struct, frozen=True, kw_only=True):
    """One fault of a run as it happened."""

    fault: str
    target: str
    from_s: float
    """Seconds since the callers began."""
    until_s: float
    """When the tool saw its end."""
    figures: dict[str, float] = {}
    """What was measured, by target and name with its unit."""


class SocketFaults:
    """Carries out faults one after the other; ``target`` moves on with each."""

    def __init__(self, run: SocketRun) -> None:
        self._run = run
        self.notes: list[FaultNote] = []
        self._turn = run.seed
        self._deaf: Counter[str] = Counter()
        """Number of faults that keep the daemon of each zone from hearing the log."""

    async def apply(self, fault: str) -> None:
        """Carry out one fault, or several at once; raises FaultNotShown.

        >>> parts_of("daemon_kill+log_outage")
        ['daemon_kill', 'log_outage']
        """
        from_s = monotonic_s()
        outcomes = await asyncio.gather(*(FAULTS[part](self) for part in parts_of(fault)))
        figures = {f"{target} {name}": value for target, values in outcomes for name, value in values.items()}
        note = FaultNote(
            fault=fault,
            target=", ".join(target for target, _ in outcomes),
            from_s=math.floor(MS_PER_S * (from_s - self._run.started_s)) / MS_PER_S,
            until_s=round(monotonic_s() - self._run.started_s, 3),
            figures={name: round(value, 3) for name, value in figures.items()},
        )
        self.notes.append(note)

    def note_started(self, zone: str) -> None:
        """Record that a daemon which has just started can not hear the log."""
        if self._deaf[zone]:
            self._run.record(DaemonCut(time_s=monotonic_s(), daemon=self._run.daemon(zone)))

    def _deafen(self, zones: Iterable[str]) -> None:
        for zone in zones:
            self._deaf[zone] += 1
            if self._deaf[zone] == 1:
                self._run.record(DaemonCut(time_s=monotonic_s(), daemon=self._run.daemon(zone)))

    def _hear(self, zones: Iterable[str]) -> None:
        for zone in zones:
            self._deaf[zone] -= 1
            if self._deaf[zone] == 0 and zone in self._run.serving:
                self._run.record(DaemonReconnected(time_s=monotonic_s(), daemon=self._run.daemon(zone)))

    # --- daemons -----------------------------------------------------------------------

    async def kill(self) -> Outcome:
        """Kill a daemon and start it again."""
        run, zone = self._run, self._next_zone()
        run.record(DaemonKilled(time_s=monotonic_s(), daemon=run.daemon(zone)))
        run.end_watch(zone)
        await run.processes.daemons[zone].kill()
        await asyncio.sleep(KILLED_FOR_S)
        restarted_s = monotonic_s()
        await run.start_daemon(zone)
        return run.daemon(zone), {"ready_s": monotonic_s() - restarted_s}

    async def stop(self) -> Outcome:
        """Stop a daemon by plan while it has work, check its exit code, and start it again."""
        run, zone = self._run, self._next_zone()
        begin_s = monotonic_s()
        run.record(StopRequested(time_s=begin_s, daemon=run.daemon(zone)))
        run.end_watch(zone)
        code = await run.processes.daemons[zone].stop()
        run.record(StopFinished(time_s=monotonic_s(), daemon=run.daemon(zone)))
        run.exit_codes.append(code)
        stopped_s = monotonic_s() - begin_s
        await run.start_daemon(zone)
        return run.daemon(zone), {"stop_s": stopped_s}

    async def freeze(self) -> Outcome:
        """Stand a daemon still until its peers declare it dead, and let it go on."""
        run, zone = self._run, self._next_zone()
        begin_s = monotonic_s()
        process_id = run.processes.daemons[zone].process_id
        self._deafen([zone])
        os.kill(process_id, signal.SIGSTOP)
        try:
            await self._until_seen("daemon_freeze", zone, DEAD, DEAD_LIMIT_S)
            dead_s = monotonic_s() - begin_s
        finally:
            os.kill(process_id, signal.SIGCONT)
        resumed_s = monotonic_s()
        self._hear([zone])
        await self._until_seen("daemon_freeze", zone, ALIVE, BACK_LIMIT_S)
        figures = {"declared_dead_s": dead_s, "alive_again_s": monotonic_s() - resumed_s}
        return run.daemon(zone), figures

    async def _until_seen(self, fault: str, zone: str, state: str, limit_s: float) -> None:
        """Wait until all other daemons hold a daemon as dead or alive."""

        async def is_seen() -> bool:
            others = [other for other in self._run.processes.daemons if other != zone]
            return all([await self._state_of(zone, other) == state for other in others])

        await _until(is_seen, limit_s, fault)

    async def _state_of(self, zone: str, seen_by: str) -> str:
        try:
            async with asyncio.timeout(WATCH_TIMEOUT_S):
                watch = await self._run.operator_client(seen_by).watch()
        except (PassgateError, TimeoutError):
            return ""
        daemon = self._run.daemon(zone)
        views = [view for view in watch.daemons if view.daemon_id.split(RUN_MARK)[0] == daemon]
        states = {view.member_state for view in views}
        return DEAD if states <= {DEAD, LEFT} else min(states)

    def _next_zone(self) -> str:
        zones = self._run.parameters.zones
        self._turn += 1
        return zones[self._turn % len(zones)]

    # --- log ---------------------------------------------------------------------------

    async def log_outage(self) -> Outcome:
        """Let the log refuse everything for a while."""
        run = self._run
        self._deafen(run.parameters.zones)
        await run.admin.inject(FaultKind.LOG_DOWN)
        await asyncio.sleep(LOG_OUTAGE_S)
        await run.admin.inject(FaultKind.LOG_DOWN, value=0.0)
        self._hear(run.parameters.zones)
        return "log", {}

    async def log_slow(self) -> Outcome:
        """Let the log take longer for a while."""
        await self._run.admin.inject(FaultKind.LOG_SLOW, value=LOG_SLOW_BY_S)
        await asyncio.sleep(LOG_SLOW_S)
        await self._run.admin.inject(FaultKind.LOG_SLOW, value=0.0)
        return "log", {"slower_s": LOG_SLOW_BY_S}

    async def log_loses_answers(self) -> Outcome:
        """Let appends take effect whose answers are lost, and wait until so many were made."""
        run = self._run
        wanted = (await run.admin.state("-")).log.appends + LOST_ANSWERS
        await run.admin.inject(FaultKind.LOG_LOSE_ANSWERS, value=LOST_ANSWERS)

        async def are_lost() -> bool:
            return (await run.admin.state("-")).log.appends >= wanted

        await _until(are_lost, LOST_ANSWERS_LIMIT_S, "log_loses_answers")
        return "log", {"answers_lost": LOST_ANSWERS}

    # --- back ends -----------------------------------------------------------------------

    async def engine_crash(self) -> Outcome:
        """Crash an engine, which loses all its work, and wait until it listens again."""
        run = self._run
        target = f"{run.parameters.engines.name}-{self._turn % run.parameters.engines.replicas}"
        self._turn += 1
        await run.admin.inject(FaultKind.CRASH, target, CRASHED_FOR_S)
        await asyncio.sleep(CRASHED_FOR_S)
        return target, {}

    async def machine_leaves(self) -> Outcome:
        """Mark an application replica and an engine as leaving, while calls go on."""
        run = self._run
        targets = [f"{run.parameters.apps.name}-0", f"{run.parameters.engines.name}-0"]
        for target in targets:
            run.record(BackendLeaving(time_s=monotonic_s(), replica_id=target))
            await run.admin.inject(FaultKind.LEAVE, target)
        await asyncio.sleep(AFTER_LEAVING_S)
        return " ".join(targets), {}

    # --- operators -----------------------------------------------------------------------

    async def operator_race(self) -> Outcome:
        """Let operators replace one revision of one object at the same time through all daemons."""
        run = self._run
        for race in range(RACES):
            clients = run.serving_clients()
            name = f"raced-{race}"
            racers = [run.operator(f"racer-{number}") for number in range(RACERS)]
            pairs = zip(racers, itertools.cycle(clients), strict=False)
            await asyncio.gather(*(racer.create(client, name) for racer, client in pairs))
        return "operators", {"races": RACES, "racers": RACERS}


Outcome = tuple[str, dict[str, float]]
"""Target of a fault, and what was measured."""

FAULTS: dict[str, Callable[[SocketFaults], Awaitable[Outcome]]] = {
    "daemon_kill": SocketFaults.kill,
    "daemon_freeze": SocketFaults.freeze,
    "daemon_stop": SocketFaults.stop,
    "log_outage": SocketFaults.log_outage,
    "log_slow": SocketFaults.log_slow,
    "log_loses_answers": SocketFaults.log_loses_answers,
    "engine_crash": SocketFaults.engine_crash,
    "machine_leaves": SocketFaults.machine_leaves,
    "operator_race": SocketFaults.operator_race,
}
EXPECTED_S = {
    "daemon_kill": 4.0,
    "daemon_freeze": 10.0,
    "daemon_stop": 6.0,
    "log_outage": 4.0,
    "log_slow": 7.0,
    "log_loses_answers": 3.0,
    "engine_crash": 3.0,
    "machine_leaves": 8.0,
    "operator_race": 2.0,
}
"""About how long each fault takes, for the length of a run."""


def parts_of(fault: str) -> list[str]:
    """Return the faults that happen at once under one name."""
    return fault.split(TOGETHER)


def expected_s(fault: str) -> float:
    """Return about how long a fault, or several at once, take."""
    return max(EXPECTED_S[part] for part in parts_of(fault))


async def _until(condition: Callable[[], Awaitable[bool]], limit_s: float, fault: str) -> None:
    deadline_s = monotonic_s() + limit_s
    while not await condition():
        if monotonic_s() > deadline_s:
            raise FaultNotShown(f"{fault} was not seen in {limit_s:g} s", fault=fault)
        await asyncio.sleep(POLL_S)
