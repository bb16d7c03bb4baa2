"""Runs one scenario in virtual time and returns its measures.

The daemons are real, their external systems emulated.  Two runs of the same scenario, policy, fault set
and seed have identical measures.

>>> run = run_scenario(load_scenario("olhar"), "current", "calm", seed=1, duration_s=5.0)
>>> run.policy, run.violations
('current', 0)
"""

from __future__ import annotations

import asyncio
from random import Random

import msgspec
import numpy

from passgate.check.simulation.faults import SimulatedFaults
from passgate.check.simulation.process import SimulatedProcess, peer_address
from passgate.check.simulation.run import RunLimits, SimulatedRun
from passgate.check.simulation.schedule import Schedule
from passgate.clock import monotonic_s, run_virtual
from passgate.emulator.caller_outcomes import CallerOutcomes
from passgate.emulator.callers import Callers
from passgate.emulator.parameters import DeploymentParameters
from passgate.emulator.run_recorder import RunRecorder
from passgate.emulator.world import EmulatedWorld
from passgate.errors import PassgateError
from passgate.lab.fault_sets import build_faults
from passgate.lab.measures import LatencySummary, RunMeasures, SeriesPoint
from passgate.lab.scenario import LabPolicy, Scenario, find_policy, load_scenario, scenario_parameters
from passgate.peers.memory_transport import LinkDelays, MemoryNetwork
from passgate.rollout.types import RolloutSettings
from passgate.schema import MachineInfo, MachineRole
from passgate.server.rollouts import RolloutService
from passgate.settings import Settings

__all__ = ["ScenarioRun", "load_scenario", "run_scenario"]

SETUP_TIMEOUT_S = 5.0
SERIES_INTERVAL_S = 5.0
"""Time between two points of a run's series."""
OPEN_CALL_TIMEOUT_S = 30.0
"""Longest wait for open interactive calls after the last arrival."""
STALENESS_PERCENTILE = 99


def run_scenario(
    scenario: Scenario, policy: str, fault: str, seed: int, duration_s: float | None = None
) -> RunMeasures:
    """Run a scenario and return its measures.

    Args:
        scenario: the scenario.
        policy: name of a policy.
        fault: name of a fault set.
        seed: seed of all random draws.
        duration_s: length of the run in virtual seconds; with None, that of the scenario.

    Raises:
        SettingsError: the policy, the fault set or the deployment is unknown.
        RunFailed: an exception was not handled during the run.
    """
    if duration_s is not None:
        scenario = msgspec.structs.replace(scenario, duration_s=duration_s)
    return run_virtual(ScenarioRun(scenario, find_policy(policy), fault, seed).measure())


class RunFailed(PassgateError):
    """An exception was raised during a run that nothing handled."""

    code = "run_failed"


class LabDaemonProcess(SimulatedProcess):
    """Simulated process of a daemon that uses a given routing policy and swap mode."""

    def __init__(self, policy: LabPolicy, *arguments: object) -> None:
        self._policy = policy
        super().__init__(*arguments)  # reads the settings, so the policy is set before
        self._apply_swap_mode()

    def _settings(self, seeds: tuple[str, ...]) -> Settings:
        return msgspec.structs.replace(super()._settings(seeds), policy=self._policy.routing)

    def _apply_swap_mode(self) -> None:
        """Replace the daemon's rollout service, as the swap mode is not a setting of a daemon."""
        parts = self.components
        parts.rollouts = RolloutService(
            parts.external.engine,
            parts.leases,
            parts.configuration,
            parts.directory,
            Random(f"{self.name}/rollouts"),
            RolloutSettings(swap_mode=self._policy.swap_mode),
        )


class ScenarioRun(SimulatedRun):
    """Builds and runs one scenario; use it inside an event loop of virtual time."""

    def __init__(self, scenario: Scenario, policy: LabPolicy, fault: str, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        self.fault = fault
        self.parameters: DeploymentParameters = scenario_parameters(scenario)
        self.zone_by_daemon = _assign_daemon_zones(self.parameters)
        daemon_ids = tuple(self.zone_by_daemon)
        faults = build_faults(fault, self.parameters, daemon_ids, scenario.duration_s)
        super().__init__(Schedule(seed=seed, faults=faults), RunLimits(calls_s=scenario.duration_s))
        self._incarnation_by_daemon = dict.fromkeys(daemon_ids, 0)
        self._series: list[SeriesPoint] = []
        self._last_cache_counts = (0, 0)

    async def measure(self) -> RunMeasures:
        """Run to the end and return the measures; raises RunFailed if an exception was not handled."""
        await self._build()
        started_s = monotonic_s()
        callers = Callers(self.parameters, self._make_service, self.world.publish, self.schedule.seed)
        series_task = self.spawn(self._record_series(callers, started_s))
        self.faults.start(self.schedule.faults)
        outcomes = await callers.run(self.scenario.duration_s, OPEN_CALL_TIMEOUT_S)
        series_task.cancel()
        if self.unhandled:
            raise RunFailed(f"an exception was not handled during the run: {self.unhandled[0]}")
        measures = self._summarize(outcomes)
        await self._close()
        return measures

    # --- building ---------------------------------------------------------------------

    async def _build(self) -> None:
        self.world = EmulatedWorld(self.parameters, self.schedule.seed, RunRecorder())
        delays = LinkDelays(between_zones_s=self.parameters.network.between_zones_s)
        self.peers = MemoryNetwork(self.world.random("peers"), delays)
        await self._configure()
        for name, zone in self.zone_by_daemon.items():
            address = peer_address(name)
            machine = MachineInfo(machine_id=name, role=MachineRole.DAEMON, address=address, zone=zone)
            self.world.machine_list.put_immediately(machine)
            self.start_daemon(name)
        self.faults = SimulatedFaults(self)
        await self._wait_until_ready()

    def start_daemon(self, name: str) -> None:
        """Start a new process of a daemon, which replaces its previous one."""
        self._incarnation_by_daemon[name] += 1
        seeds = tuple(peer_address(other) for other in self.zone_by_daemon if other != name)
        process = LabDaemonProcess(
            self.policy,
            name,
            self.zone_by_daemon[name],
            self._incarnation_by_daemon[name],
            self.world,
            self.peers,
            seeds,
            lambda machines: None,
        )
        self.processes[name] = process
        process.start()

    # --- measuring ---------------------------------------------------------------------

    async def _record_series(self, callers: Callers, started_s: float) -> None:
        """Append a point to the series at fixed intervals until cancelled."""
        while True:
            await asyncio.sleep(SERIES_INTERVAL_S)
            self._series.append(self._series_point(callers, monotonic_s() - started_s))

    def _series_point(self, callers: Callers, at_s: float) -> SeriesPoint:
        queued = sum(process.components.dispatcher.queued_count for process in self.processes.values())
        reports = [engine.model.load_report(monotonic_s()) for engine in self.world.engines.values()]
        used = sum(report.kv_used_tokens for report in reports)
        capacity = sum(report.kv_capacity_tokens for report in reports)
        return SeriesPoint(
            at_s=round(at_s, 3),
            queued_requests=queued,
            kv_used_share=used / capacity if capacity else 0.0,
            cache_hit_share=self._cache_hit_share(),
            samples_delivered=sum(trainer.outcomes.delivered for trainer in callers.trainers),
            newest_version=max((trainer.version for trainer in callers.trainers), default=0),
        )

    def _cache_hit_share(self) -> float:
        """Return the share of prompt tokens found in caches since the previous call."""
        engine_counters = [engine.model.counters for engine in self.world.engines.values()]
        hits = sum(counters.cache_hit_tokens for counters in engine_counters)
        prefilled = sum(counters.prefilled_tokens for counters in engine_counters)
        new_hits, new_prefilled = hits - self._last_cache_counts[0], prefilled - self._last_cache_counts[1]
        self._last_cache_counts = (hits, prefilled)
        return new_hits / (new_hits + new_prefilled) if new_hits else 0.0

    def _summarize(self, outcomes: CallerOutcomes) -> RunMeasures:
        """Return the measures of the finished run."""
        trainers, arrivals = outcomes.trainers, outcomes.arrivals
        latencies = [latency for arrival in arrivals for latency in arrival.latencies_s]
        staleness = numpy.repeat(*_staleness_counts(outcomes))
        arrived = sum(arrival.arrived for arrival in arrivals)
        late = sum(arrival.late + arrival.given_up for arrival in arrivals)
        tokens = sum(
            process.components.dispatcher.counters.generated_tokens for process in self.processes.values()
        )
        not_run_that_ran = sum(len(arrival.not_run_that_ran(self.world.run_recorder)) for arrival in arrivals)
        return RunMeasures(
            scenario=self.scenario.name,
            policy=self.policy.name,
            fault=self.fault,
            seed=self.schedule.seed,
            duration_s=self.scenario.duration_s,
            trainer_idle_share=float(numpy.mean([trainer.idle_share() for trainer in trainers] or [0.0])),
            steps_done=sum(trainer.steps for trainer in trainers),
            staleness_mean=float(staleness.mean()) if staleness.size else 0.0,
            staleness_p99=float(numpy.percentile(staleness, STALENESS_PERCENTILE)) if staleness.size else 0.0,
            interactive=LatencySummary.from_durations(latencies),
            lot_time=LatencySummary.from_durations(
                [time_s for trainer in trainers for time_s in trainer.lot_times_s]
            ),
            samples_delivered=sum(trainer.delivered for trainer in trainers),
            samples_lost=sum(trainer.lost for trainer in trainers),
            samples_doubled=sum(trainer.doubled for trainer in trainers),
            samples_over_staleness=sum(trainer.over_staleness for trainer in trainers),
            answers_wrong=sum(caller.wrong for caller in (*trainers, *arrivals)),
            refused=sum(arrival.refused for arrival in arrivals),
            given_up=sum(arrival.given_up for arrival in arrivals),
            late_share=late / arrived if arrived else 0.0,
            not_run_that_ran=not_run_that_ran,
            goodput_tokens_per_s=tokens / self.scenario.duration_s,
            violations=outcomes.violations(self.world.run_recorder),
            app_busy_shares=self._app_busy_shares(),
            series=tuple(self._series),
        )

    def _app_busy_shares(self) -> tuple[float, ...]:
        worker_time_s = self.parameters.apps.app.concurrency * self.scenario.duration_s
        return tuple(
            round(app.model.counters.total_busy_s / worker_time_s, 4) for app in self.world.apps.values()
        )


def _assign_daemon_zones(parameters: DeploymentParameters) -> dict[str, str]:
    """Return the zone of each daemon; an identifier is a letter for the zone and a number.

    >>> from passgate.emulator.parameters import load_deployment
    >>> _assign_daemon_zones(load_deployment("olhar"))
    {'a-1': 'caruaru', 'b-1': 'campina', 'c-1': 'garanhuns'}
    """
    return {
        f"{chr(ord('a') + index)}-{number}": zone
        for index, zone in enumerate(parameters.zones)
        for number in range(1, parameters.daemons_per_zone + 1)
    }


def _staleness_counts(outcomes: CallerOutcomes) -> tuple[list[int], list[int]]:
    """Return values of staleness and, by the same index, the number of samples with each.

    A value occurs once for each trainer.
    """
    pairs = [pair for trainer in outcomes.trainers for pair in sorted(trainer.staleness.items())]
    return [versions for versions, _ in pairs], [count for _, count in pairs]
