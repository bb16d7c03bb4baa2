"""One scenario in virtual time: real daemons over the emulated world, measured.

The same scenario, policy, fault set and seed give the same measures, bit for bit.

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
from passgate.emulator.callers import Callers
from passgate.emulator.ledger import RunLedger
from passgate.emulator.parameters import DeploymentParameters
from passgate.emulator.tally import Tally
from passgate.emulator.world import EmulatedWorld
from passgate.errors import PassgateError
from passgate.lab.fault_sets import find_faults
from passgate.lab.measures import LatencySummary, RunMeasures, SeriesPoint
from passgate.lab.scenario import PolicyChoice, Scenario, find_policy, load_scenario, scenario_parameters
from passgate.peers.memory_transport import LinkDelays, MemoryNetwork
from passgate.rollout.types import RolloutSettings
from passgate.schema import MachineInfo, MachineRole
from passgate.server.rollouts import RolloutService
from passgate.settings import Settings

__all__ = ["VirtualRun", "load_scenario", "run_scenario"]

SETUP_TIMEOUT_S = 5.0
SERIES_INTERVAL_S = 5.0
DRAIN_S = 30.0
"""Time that open interactive calls get after the last arrival."""
STALENESS_PERCENTILE = 99


def run_scenario(
    scenario: Scenario, policy: str, fault: str, seed: int, duration_s: float | None = None
) -> RunMeasures:
    """Run a scenario and return its measures; raises SettingsError for unknown names."""
    if duration_s is not None:
        scenario = msgspec.structs.replace(scenario, duration_s=duration_s)
    return run_virtual(VirtualRun(scenario, find_policy(policy), fault, seed).measure())


class RunFailed(PassgateError):
    """A run left a failure that nothing handled."""

    code = "run_failed"


class LabProcess(SimulatedProcess):
    """A simulated daemon under one policy of the laboratory."""

    def __init__(self, policy: PolicyChoice, *arguments: object) -> None:
        self._policy = policy
        super().__init__(*arguments)
        self._use_swap_mode()

    def _settings(self, seeds: tuple[str, ...]) -> Settings:
        return msgspec.structs.replace(super()._settings(seeds), policy=self._policy.routing)

    def _use_swap_mode(self) -> None:
        parts = self.parts
        parts.rollouts = RolloutService(
            parts.outside.engine,
            parts.leases,
            parts.configuration,
            parts.directory,
            Random(f"{self.name}/rollouts"),
            RolloutSettings(swap_mode=self._policy.swap_mode),
        )


class VirtualRun(SimulatedRun):
    """Builds and runs one scenario; use it inside a virtual loop."""

    def __init__(self, scenario: Scenario, policy: PolicyChoice, fault: str, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        self.fault = fault
        self.parameters: DeploymentParameters = scenario_parameters(scenario)
        self.daemon_zones = _daemon_zones(self.parameters)
        names = tuple(self.daemon_zones)
        faults = find_faults(fault, self.parameters, names, scenario.duration_s)
        super().__init__(Schedule(seed=seed, faults=faults), RunLimits(calls_s=scenario.duration_s))
        self._runs = dict.fromkeys(names, 0)
        self._series: list[SeriesPoint] = []
        self._hits_before = (0, 0)

    async def measure(self) -> RunMeasures:
        """Run to the end and return the measures."""
        await self._build()
        started_s = monotonic_s()
        callers = Callers(self.parameters, self._service_for, self.world.publish, self.schedule.seed)
        sampler = self.spawn(self._sample_series(callers, started_s))
        self.faults.start(self.schedule.faults)
        tally = await callers.run(self.scenario.duration_s, DRAIN_S)
        sampler.cancel()
        if self.unhandled:
            raise RunFailed(f"the run left failures unhandled: {self.unhandled[0]}")
        measures = self._measures(tally)
        await self._close()
        return measures

    # --- building ---------------------------------------------------------------------

    async def _build(self) -> None:
        self.world = EmulatedWorld(self.parameters, self.schedule.seed, RunLedger())
        delays = LinkDelays(between_zones_s=self.parameters.network.between_zones_s)
        self.peers = MemoryNetwork(self.world.random("peers"), delays)
        await self._configure()
        for name, zone in self.daemon_zones.items():
            address = peer_address(name)
            machine = MachineInfo(machine_id=name, role=MachineRole.DAEMON, address=address, zone=zone)
            self.world.machine_list.register(machine)
            self.start_daemon(name)
        self.faults = SimulatedFaults(self)
        await self._until_ready()

    def start_daemon(self, name: str) -> None:
        """Start a new run of a daemon."""
        self._runs[name] += 1
        seeds = tuple(peer_address(other) for other in self.daemon_zones if other != name)
        process = LabProcess(
            self.policy,
            name,
            self.daemon_zones[name],
            self._runs[name],
            self.world,
            self.peers,
            seeds,
            lambda machines: None,
        )
        self.processes[name] = process
        process.start()

    # --- measuring ---------------------------------------------------------------------

    async def _sample_series(self, callers: Callers, started_s: float) -> None:
        while True:
            await asyncio.sleep(SERIES_INTERVAL_S)
            self._series.append(self._series_point(callers, monotonic_s() - started_s))

    def _series_point(self, callers: Callers, at_s: float) -> SeriesPoint:
        queued = sum(process.parts.dispatcher.queued for process in self.processes.values())
        reports = [engine.model.load_report(monotonic_s()) for engine in self.world.engines.values()]
        used = sum(report.kv_used_tokens for report in reports)
        capacity = sum(report.kv_capacity_tokens for report in reports)
        return SeriesPoint(
            at_s=round(at_s, 3),
            queued_requests=queued,
            kv_used_share=used / capacity if capacity else 0.0,
            cache_hit_share=self._cache_hit_share(),
            samples_delivered=sum(trainer.tally.delivered for trainer in callers.trainers),
            newest_version=max((trainer.version for trainer in callers.trainers), default=0),
        )

    def _cache_hit_share(self) -> float:
        counters = [engine.model.counters for engine in self.world.engines.values()]
        hits = sum(counter.cache_hit_tokens for counter in counters)
        prefilled = sum(counter.prefilled_tokens for counter in counters)
        new_hits, new_prefilled = hits - self._hits_before[0], prefilled - self._hits_before[1]
        self._hits_before = (hits, prefilled)
        return new_hits / (new_hits + new_prefilled) if new_hits else 0.0

    def _measures(self, tally: Tally) -> RunMeasures:
        trainers, arrivals = tally.trainers, tally.arrivals
        latencies = [latency for arrival in arrivals for latency in arrival.latencies_s]
        staleness = numpy.repeat(*_staleness(tally))
        arrived = sum(arrival.arrived for arrival in arrivals)
        late = sum(arrival.late + arrival.given_up for arrival in arrivals)
        tokens = sum(
            process.parts.dispatcher.counters.generated_tokens for process in self.processes.values()
        )
        not_run_that_ran = sum(len(arrival.not_run_that_ran(self.world.ledger)) for arrival in arrivals)
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
            interactive=LatencySummary.of(latencies),
            lot_time=LatencySummary.of([time_s for trainer in trainers for time_s in trainer.lot_times_s]),
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
            violations=tally.violations(self.world.ledger),
            app_busy_shares=self._app_busy_shares(),
            series=tuple(self._series),
        )

    def _app_busy_shares(self) -> tuple[float, ...]:
        workers_s = self.parameters.apps.app.concurrency * self.scenario.duration_s
        return tuple(round(app.model.counters.busy_s / workers_s, 4) for app in self.world.apps.values())


def _daemon_zones(parameters: DeploymentParameters) -> dict[str, str]:
    """Return daemon names, a letter per zone and a number, with their zones.

    >>> from passgate.emulator.parameters import load_deployment
    >>> _daemon_zones(load_deployment("olhar"))
    {'a-1': 'caruaru', 'b-1': 'campina', 'c-1': 'garanhuns'}
    """
    return {
        f"{chr(ord('a') + index)}-{number}": zone
        for index, zone in enumerate(parameters.zones)
        for number in range(1, parameters.daemons_per_zone + 1)
    }


def _staleness(tally: Tally) -> tuple[list[int], list[int]]:
    """Return the observed values and how often each was seen."""
    pairs = [pair for trainer in tally.trainers for pair in sorted(trainer.staleness.items())]
    return [value for value, _ in pairs], [count for _, count in pairs]
