"""Faults of a run over sockets.

A fault whose effect has to be observed waits for it.  If the effect does not appear in
time, the run fails with :class:`FaultNotShown`, as its history would otherwise be checked
as if the fault had happened.
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

POLL_INTERVAL_S = 0.05
MS_PER_S = 1000
WATCH_TIMEOUT_S = 3.0
"""Timeout of one query for the daemons that a daemon knows."""
RESTART_DELAY_S = 0.5
"""Time between the end of a killed daemon and its new start."""
DEAD_TIMEOUT_S = 30.0
"""Longest wait until all peers see a frozen daemon as dead."""
ALIVE_TIMEOUT_S = 30.0
"""Longest wait until all peers see a resumed daemon as alive."""
RACES = 4
RACERS = 6
"""Operators that create the same object at the same time in each race."""
LOG_OUTAGE_S = 3.0
LOG_DELAY_S = 2.0
LOG_DELAY_DURATION_S = 6.0
LOST_ANSWERS = 4
LOST_ANSWERS_TIMEOUT_S = 10.0
ENGINE_DOWN_S = 2.0
LEAVING_OBSERVED_S = 7.0
"""Time for which calls go on after back ends report leaving; longer than the grace period of the check."""
SIMULTANEOUS_SEPARATOR = "+"
"""Separates the names of faults that are injected together."""
DEAD = "dead"
LEFT = "left"
ALIVE = "alive"
INCARNATION_SEPARATOR = "/"
"""Separates a daemon's name from its incarnation in the identifier of a member."""


class FaultNotShown(VerificationFailed):
    """The effect of a fault was not observed in time; the details name the ``fault``."""

    code = "fault_not_shown"


class FaultRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One fault of a run, with its times and measurements."""

    fault: str
    """Name of the fault; names of faults injected together are joined by ``+``."""
    target: str
    from_s: float
    """Start, in seconds since the callers started."""
    until_s: float
    """End, in seconds since the callers started."""
    figures: dict[str, float] = {}
    """Measurements by ``"<target> <name with unit>"``."""


class SocketFaults:
    """Injects faults into a run; faults of a kind of target take the targets in turn."""

    def __init__(self, run: SocketRun) -> None:
        self._run = run
        self.records: list[FaultRecord] = []
        self._turn_count = run.seed
        """Grows with each fault and so chooses the next target; the seed sets the first one."""
        self._disconnect_count_by_zone: Counter[str] = Counter()
        """Number of current faults by which the daemon of a zone can not read the log."""

    async def apply(self, fault: str) -> None:
        """Inject one fault, or several together, and record it; raises FaultNotShown.

        >>> split_simultaneous("daemon_kill+log_outage")
        ['daemon_kill', 'log_outage']
        """
        from_s = monotonic_s()
        outcomes = await asyncio.gather(*(FAULTS[name](self) for name in split_simultaneous(fault)))
        figures = {f"{target} {name}": value for target, values in outcomes for name, value in values.items()}
        record = FaultRecord(
            fault=fault,
            target=", ".join(target for target, _ in outcomes),
            from_s=math.floor(MS_PER_S * (from_s - self._run.started_s)) / MS_PER_S,
            until_s=round(monotonic_s() - self._run.started_s, 3),
            figures={name: round(value, 3) for name, value in figures.items()},
        )
        self.records.append(record)

    def record_if_disconnected(self, zone: str) -> None:
        """Record that a daemon which has just started can not read the log, if a fault prevents it."""
        if self._disconnect_count_by_zone[zone]:
            self._run.record(DaemonCut(time_s=monotonic_s(), daemon=self._run.daemon_name(zone)))

    def _record_disconnects(self, zones: Iterable[str]) -> None:
        for zone in zones:
            self._disconnect_count_by_zone[zone] += 1
            if self._disconnect_count_by_zone[zone] == 1:
                self._run.record(DaemonCut(time_s=monotonic_s(), daemon=self._run.daemon_name(zone)))

    def _record_reconnects(self, zones: Iterable[str]) -> None:
        for zone in zones:
            self._disconnect_count_by_zone[zone] -= 1
            if self._disconnect_count_by_zone[zone] == 0 and zone in self._run.serving_zones:
                self._run.record(DaemonReconnected(time_s=monotonic_s(), daemon=self._run.daemon_name(zone)))

    # --- daemons -----------------------------------------------------------------------

    async def kill_daemon(self) -> FaultOutcome:
        """Kill a daemon, start it again and measure the time until it is ready."""
        run, zone = self._run, self._next_zone()
        run.record(DaemonKilled(time_s=monotonic_s(), daemon=run.daemon_name(zone)))
        run.stop_watching(zone)
        await run.processes.daemon_by_zone[zone].kill()
        await asyncio.sleep(RESTART_DELAY_S)
        restarted_s = monotonic_s()
        await run.start_daemon(zone)
        return run.daemon_name(zone), {"ready_s": monotonic_s() - restarted_s}

    async def stop_daemon(self) -> FaultOutcome:
        """Shut a daemon down gracefully while it has work, record its exit code and start it again."""
        run, zone = self._run, self._next_zone()
        started_s = monotonic_s()
        run.record(StopRequested(time_s=started_s, daemon=run.daemon_name(zone)))
        run.stop_watching(zone)
        code = await run.processes.daemon_by_zone[zone].stop()
        run.record(StopFinished(time_s=monotonic_s(), daemon=run.daemon_name(zone)))
        run.exit_codes.append(code)
        stopped_s = monotonic_s() - started_s
        await run.start_daemon(zone)
        return run.daemon_name(zone), {"stop_s": stopped_s}

    async def freeze_daemon(self) -> FaultOutcome:
        """Pause a daemon's process until its peers declare it dead, and resume it."""
        run, zone = self._run, self._next_zone()
        started_s = monotonic_s()
        process_id = run.processes.daemon_by_zone[zone].process_id
        self._record_disconnects([zone])
        os.kill(process_id, signal.SIGSTOP)
        try:
            await self._wait_for_member_state("daemon_freeze", zone, DEAD, DEAD_TIMEOUT_S)
            dead_s = monotonic_s() - started_s
        finally:
            os.kill(process_id, signal.SIGCONT)
        resumed_s = monotonic_s()
        self._record_reconnects([zone])
        await self._wait_for_member_state("daemon_freeze", zone, ALIVE, ALIVE_TIMEOUT_S)
        figures = {"declared_dead_s": dead_s, "alive_again_s": monotonic_s() - resumed_s}
        return run.daemon_name(zone), figures

    async def _wait_for_member_state(self, fault: str, zone: str, state: str, timeout_s: float) -> None:
        """Wait until all other daemons see the daemon of a zone in a state; raises FaultNotShown."""

        async def is_seen_by_all() -> bool:
            others = [other for other in self._run.processes.daemon_by_zone if other != zone]
            return all([await self._member_state(zone, other) == state for other in others])

        await _wait_until(is_seen_by_all, timeout_s, fault)

    async def _member_state(self, zone: str, seen_by: str) -> str:
        """Return the state of a zone's daemon as another daemon reports it, or "" without an answer.

        A daemon without any incarnation, or with only ended ones, counts as dead.
        """
        try:
            async with asyncio.timeout(WATCH_TIMEOUT_S):
                watch = await self._run.operator_client(seen_by).watch()
        except (PassgateError, TimeoutError):
            return ""
        daemon = self._run.daemon_name(zone)
        views = [view for view in watch.daemons if view.daemon_id.split(INCARNATION_SEPARATOR)[0] == daemon]
        states = {view.member_state for view in views}
        return DEAD if states <= {DEAD, LEFT} else min(states)

    def _next_zone(self) -> str:
        zones = self._run.parameters.zones
        self._turn_count += 1
        return zones[self._turn_count % len(zones)]

    # --- log ---------------------------------------------------------------------------

    async def interrupt_log(self) -> FaultOutcome:
        """Make the log refuse all calls for ``LOG_OUTAGE_S``."""
        run = self._run
        self._record_disconnects(run.parameters.zones)
        await run.admin.inject(FaultKind.LOG_DOWN)
        await asyncio.sleep(LOG_OUTAGE_S)
        await run.admin.inject(FaultKind.LOG_DOWN, value=0.0)
        self._record_reconnects(run.parameters.zones)
        return "log", {}

    async def slow_log(self) -> FaultOutcome:
        """Delay all calls to the log by ``LOG_DELAY_S`` for ``LOG_DELAY_DURATION_S``."""
        await self._run.admin.inject(FaultKind.LOG_SLOW, value=LOG_DELAY_S)
        await asyncio.sleep(LOG_DELAY_DURATION_S)
        await self._run.admin.inject(FaultKind.LOG_SLOW, value=0.0)
        return "log", {"slower_s": LOG_DELAY_S}

    async def lose_log_answers(self) -> FaultOutcome:
        """Lose the answers of the next ``LOST_ANSWERS`` appends, which take effect, and wait for them."""
        run = self._run
        target_count = (await run.admin.state("-")).log.appends + LOST_ANSWERS
        await run.admin.inject(FaultKind.LOG_LOSE_ANSWERS, value=LOST_ANSWERS)

        async def are_answers_lost() -> bool:
            return (await run.admin.state("-")).log.appends >= target_count

        await _wait_until(are_answers_lost, LOST_ANSWERS_TIMEOUT_S, "log_loses_answers")
        return "log", {"answers_lost": LOST_ANSWERS}

    # --- back ends -----------------------------------------------------------------------

    async def crash_engine(self) -> FaultOutcome:
        """Crash an engine, which loses all its work, and wait for the time after which it restarts."""
        run = self._run
        target = f"{run.parameters.engines.name}-{self._turn_count % run.parameters.engines.replicas}"
        self._turn_count += 1
        await run.admin.inject(FaultKind.CRASH, target, ENGINE_DOWN_S)
        await asyncio.sleep(ENGINE_DOWN_S)
        return target, {}

    async def mark_machines_leaving(self) -> FaultOutcome:
        """Mark an application replica and an engine as leaving while calls continue."""
        run = self._run
        targets = [f"{run.parameters.apps.name}-0", f"{run.parameters.engines.name}-0"]
        for target in targets:
            run.record(BackendLeaving(time_s=monotonic_s(), replica_id=target))
            await run.admin.inject(FaultKind.LEAVE, target)
        await asyncio.sleep(LEAVING_OBSERVED_S)
        return " ".join(targets), {}

    # --- operators -----------------------------------------------------------------------

    async def race_operators(self) -> FaultOutcome:
        """Make operators create the same object at the same time through different daemons."""
        run = self._run
        for race in range(RACES):
            clients = run.serving_clients()
            name = f"raced-{race}"
            racers = [run.make_operator(f"racer-{number}") for number in range(RACERS)]
            pairs = zip(racers, itertools.cycle(clients), strict=False)
            await asyncio.gather(*(racer.create_object(client, name) for racer, client in pairs))
        return "operators", {"races": RACES, "racers": RACERS}


FaultOutcome = tuple[str, dict[str, float]]
"""Target of a fault, and measurements by name with unit."""

FAULTS: dict[str, Callable[[SocketFaults], Awaitable[FaultOutcome]]] = {
    "daemon_kill": SocketFaults.kill_daemon,
    "daemon_freeze": SocketFaults.freeze_daemon,
    "daemon_stop": SocketFaults.stop_daemon,
    "log_outage": SocketFaults.interrupt_log,
    "log_slow": SocketFaults.slow_log,
    "log_loses_answers": SocketFaults.lose_log_answers,
    "engine_crash": SocketFaults.crash_engine,
    "machine_leaves": SocketFaults.mark_machines_leaving,
    "operator_race": SocketFaults.race_operators,
}
EXPECTED_DURATION_S = {
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
"""Approximate time of each fault in seconds, from which the duration of a run is computed."""


def split_simultaneous(fault: str) -> list[str]:
    """Return the names of the faults that are injected together under one name."""
    return fault.split(SIMULTANEOUS_SEPARATOR)


def expected_duration_s(fault: str) -> float:
    """Return the approximate time of a fault, or of several injected together, in seconds."""
    return max(EXPECTED_DURATION_S[name] for name in split_simultaneous(fault))


async def _wait_until(condition: Callable[[], Awaitable[bool]], timeout_s: float, fault: str) -> None:
    deadline_s = monotonic_s() + timeout_s
    while not await condition():
        if monotonic_s() > deadline_s:
            raise FaultNotShown(f"{fault} had no observed effect within {timeout_s:g} s", fault=fault)
        await asyncio.sleep(POLL_INTERVAL_S)
