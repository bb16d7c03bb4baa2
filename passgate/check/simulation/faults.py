"""Injects the faults of a schedule into a simulated run, and ends them."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from passgate.check.events import DaemonCut, DaemonKilled, DaemonReconnected, StopFinished, StopRequested
from passgate.check.simulation.schedule import (
    DAEMONS,
    AnyScheduledFault,
    ClientAnswersLost,
    DaemonKill,
    DaemonPause,
    DaemonStop,
)
from passgate.clock import monotonic_s
from passgate.emulator.faults import FaultSchedule, LogOutage, ZoneCut

if TYPE_CHECKING:
    from passgate.check.simulation.run import SimulatedRun


class SimulatedFaults:
    """Faults of one run; those of external systems are injected by the emulator."""

    def __init__(self, run: SimulatedRun) -> None:
        self._run = run
        self._external_faults = FaultSchedule(run.world, ())
        self._timers: list[asyncio.TimerHandle] = []
        self._cut_count_by_zone: Counter[str] = Counter()
        self._disconnect_count_by_daemon: Counter[str] = Counter()
        """Number of current faults by which a daemon can not read the log."""
        self._pauses: Counter[str] = Counter()

    def start(self, faults: Iterable[AnyScheduledFault]) -> None:
        """Schedule all faults, with times relative to now."""
        for fault in faults:
            self._schedule(fault.at_s, self.apply, fault)

    def close(self) -> None:
        """Cancel all scheduled starts and ends of faults."""
        self._external_faults.close()
        for timer in self._timers:
            timer.cancel()

    def record_if_disconnected(self, daemon: str) -> None:
        """Record that a daemon which has just started can not read the log, if a fault prevents it."""
        if self._disconnect_count_by_daemon[daemon]:
            self._run.record(DaemonCut(time_s=monotonic_s(), daemon=daemon))

    def apply(self, fault: AnyScheduledFault) -> None:
        """Start a fault now and schedule its end."""
        match fault:
            case DaemonKill():
                self._spawn_for_running(fault.daemons, self._kill, fault.restart_after_s)
            case DaemonStop():
                self._spawn_for_running(fault.daemons, self._stop, fault.restart_after_s)
            case DaemonPause():
                for name in fault.daemons:
                    self._pause(name, fault.duration_s)
            case ClientAnswersLost():
                self._run.link.answer_loss_probability = fault.probability
                self._schedule(fault.duration_s, self._end_answer_loss)
            case _:
                self._apply_external(fault)

    def _apply_external(self, fault: Any) -> None:
        self._external_faults.apply(fault)
        if isinstance(fault, ZoneCut):
            self._cut_peers(fault.zone, fault.duration_s)
            self._disconnect([name for name in DAEMONS if name[0] == fault.zone], fault.duration_s)
        elif isinstance(fault, LogOutage):
            self._disconnect(DAEMONS, fault.duration_s)

    # --- daemons -----------------------------------------------------------------------

    def _spawn_for_running(
        self, names: Iterable[str], action: Callable[[str, float], Any], after_s: float
    ) -> None:
        for name in names:
            process = self._run.processes[name]
            if not process.ended.done() and not process.stopping:
                self._run.spawn(action(name, after_s))

    async def _kill(self, name: str, restart_after_s: float) -> None:
        self._run.record(DaemonKilled(time_s=monotonic_s(), daemon=name))
        await self._run.processes[name].kill()
        await self._restart(name, restart_after_s)

    async def _stop(self, name: str, restart_after_s: float) -> None:
        process = self._run.processes[name]
        self._run.record(StopRequested(time_s=monotonic_s(), daemon=name))
        await process.stop()
        self._run.record(StopFinished(time_s=monotonic_s(), daemon=name))
        await self._restart(name, restart_after_s)

    async def _restart(self, name: str, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self._run.start_daemon(name)

    def _pause(self, name: str, duration_s: float) -> None:
        process = self._run.processes[name]
        process.pause()
        self._disconnect([name], duration_s)
        self._schedule(duration_s, process.resume)

    def _end_answer_loss(self) -> None:
        self._run.link.answer_loss_probability = 0.0

    # --- connections -----------------------------------------------------------------------

    def _cut_peers(self, zone: str, duration_s: float) -> None:
        self._cut_count_by_zone[zone] += 1
        self._update_peer_partition()
        self._schedule(duration_s, self._heal_peers, zone)

    def _heal_peers(self, zone: str) -> None:
        self._cut_count_by_zone[zone] -= 1
        self._update_peer_partition()

    def _update_peer_partition(self) -> None:
        cut_zones = {zone for zone, count in self._cut_count_by_zone.items() if count}
        self._run.peers.cut(lambda address, zone: zone if zone in cut_zones else "")

    def _disconnect(self, names: Iterable[str], duration_s: float) -> None:
        for name in names:
            self._disconnect_count_by_daemon[name] += 1
            if self._disconnect_count_by_daemon[name] == 1:
                self._run.record(DaemonCut(time_s=monotonic_s(), daemon=name))
        self._schedule(duration_s, self._reconnect, tuple(names))

    def _reconnect(self, names: Iterable[str]) -> None:
        for name in names:
            self._disconnect_count_by_daemon[name] -= 1
            if self._disconnect_count_by_daemon[name] == 0 and self._run.processes[name].is_ready:
                self._run.record(DaemonReconnected(time_s=monotonic_s(), daemon=name))

    def _schedule(self, delay_s: float, action: Callable[..., object], *arguments: object) -> None:
        timer = asyncio.get_running_loop().call_later(delay_s, lambda: action(*arguments))
        self._timers.append(timer)
