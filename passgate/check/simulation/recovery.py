"""Measures the virtual time from a fault to normal service by periodic probes.

Each probe is a call to an application, a generate request, a lot of one sample or a
configuration change, through the daemons in turn.  Service has recovered at the first
probe that starts after the last abnormal one.  A probe is abnormal if it fails or takes
longer than ``MAX_NORMAL_S_BY_SERVICE``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator

import msgspec

from passgate.check.simulation.run import RunLimits, SimulatedRun
from passgate.check.simulation.schedule import APPS, DAEMONS, ENGINES, AnyScheduledFault, DaemonKill, Schedule
from passgate.check.simulation.service import SimulatedService
from passgate.clock import monotonic_s, run_virtual
from passgate.emulator.faults import AppCrash, EngineCrash, LogOutage, ZoneCut
from passgate.errors import PassgateError
from passgate.records import PromptSpec
from passgate.schema import AppRequest, GenerateRequest
from passgate.state.lot_types import LotRequest

FAULT_AT_S = 10.0
OBSERVED_S = 60.0
PROBE_PERIOD_S = 0.25
RESTART_S = 2.0
ENGINE_RESTART_S = 5.0
OUTAGE_S = 10.0
PROBE_DEADLINE_S = 20.0

MAX_NORMAL_S_BY_SERVICE = {"app": 0.5, "generate": 1.5, "lot": 3.0, "configuration": 0.5}
"""Longest duration of a normal probe by service."""

SCENARIOS: dict[str, tuple[AnyScheduledFault, ...]] = {
    "one daemon killed": (DaemonKill(at_s=FAULT_AT_S, daemons=DAEMONS[:1], restart_after_s=RESTART_S),),
    "one zone lost": (
        DaemonKill(at_s=FAULT_AT_S, daemons=DAEMONS[:1], restart_after_s=OUTAGE_S),
        ZoneCut(FAULT_AT_S, "a", OUTAGE_S),
        EngineCrash(FAULT_AT_S, ENGINES[0], OUTAGE_S),
        EngineCrash(FAULT_AT_S, ENGINES[3], OUTAGE_S),
        AppCrash(FAULT_AT_S, APPS[0], OUTAGE_S),
    ),
    "one zone cut off": (ZoneCut(FAULT_AT_S, "a", OUTAGE_S),),
    "all daemons killed": (DaemonKill(at_s=FAULT_AT_S, daemons=DAEMONS, restart_after_s=RESTART_S),),
    "one engine crashed": (EngineCrash(FAULT_AT_S, ENGINES[1], ENGINE_RESTART_S),),
    "log down": (LogOutage(FAULT_AT_S, OUTAGE_S),),
    "log down, hanging": (LogOutage(FAULT_AT_S, OUTAGE_S, True),),
}


class RecoveryResult(msgspec.Struct, frozen=True, kw_only=True):
    """Recovery of one service after one fault, over several seeds."""

    fault: str
    service: str
    fault_lasts_s: float
    probes: int
    abnormal: int
    """Number of probes that failed or were slow."""
    recovered_s: tuple[float, ...]
    """By seed, the time from the start of the fault to recovery; 0 if no probe was abnormal."""


class _Probe(msgspec.Struct, frozen=True):
    service: str
    started_s: float
    """Seconds since the first probe."""
    is_normal: bool


def measure(seeds: int) -> Iterator[RecoveryResult]:
    """Yield a result for every scenario and service, over the first ``seeds`` seeds."""
    for name, faults in SCENARIOS.items():
        runs = [
            run_virtual(_RecoveryRun(Schedule(seed=seed, faults=faults)).run_probes())
            for seed in range(seeds)
        ]
        for service in MAX_NORMAL_S_BY_SERVICE:
            yield _make_result(name, faults, service, runs)


def format_line(result: RecoveryResult) -> str:
    """Return a result as one line of a table."""
    times = " ".join(f"{seconds:6.2f}" for seconds in result.recovered_s)
    return (
        f"{result.fault:20} lasts {result.fault_lasts_s:4.1f} s  {result.service:14} "
        f"recovered after {times} s  abnormal {result.abnormal}/{result.probes}"
    )


def _make_result(
    name: str, faults: tuple[AnyScheduledFault, ...], service: str, runs: list[list[_Probe]]
) -> RecoveryResult:
    probes_by_seed = [[probe for probe in probes if probe.service == service] for probes in runs]
    return RecoveryResult(
        fault=name,
        service=service,
        fault_lasts_s=max(_duration_s(fault) for fault in faults),
        probes=sum(map(len, probes_by_seed)),
        abnormal=sum(not probe.is_normal for probes in probes_by_seed for probe in probes),
        recovered_s=tuple(_recovered_s(probes) for probes in probes_by_seed),
    )


def _duration_s(fault: AnyScheduledFault) -> float:
    return getattr(fault, "duration_s", None) or getattr(fault, "restart_after_s", 0.0)


def _recovered_s(probes: list[_Probe]) -> float:
    """Return the time from the fault to the first probe after the last abnormal one.

    Without such a probe the service counts as recovered at the end of the observation.
    """
    abnormal = [probe.started_s for probe in probes if not probe.is_normal]
    if not abnormal:
        return 0.0
    later = [probe.started_s for probe in probes if probe.started_s > max(abnormal)]
    return round(min(later, default=OBSERVED_S) - FAULT_AT_S, 2)


class _RecoveryRun(SimulatedRun):
    """A simulated run whose only callers are probes."""

    def __init__(self, schedule: Schedule) -> None:
        super().__init__(schedule, RunLimits())
        self._probes: list[_Probe] = []
        self._started_s = 0.0

    async def run_probes(self) -> list[_Probe]:
        """Run to the end and return the probes that could still be open when the fault started."""
        await self.run()
        return [probe for probe in self._probes if probe.started_s >= FAULT_AT_S - PROBE_DEADLINE_S]

    async def _run_workload(self) -> None:
        self._started_s = monotonic_s()
        service = self._make_service("probes")
        model = self.world.parameters.engines.models[0]
        self.faults.start(self.schedule.faults)
        open_probes = []
        number = 0
        while monotonic_s() < self._started_s + OBSERVED_S:
            number += 1
            for name, call in _make_calls(service, model.name, number).items():
                open_probes.append(asyncio.ensure_future(self._probe(name, call)))
            await asyncio.sleep(PROBE_PERIOD_S)
        await asyncio.gather(*open_probes)

    async def _probe(self, name: str, call: Callable[[], Awaitable[object]]) -> None:
        started_s = monotonic_s()
        try:
            async with asyncio.timeout(PROBE_DEADLINE_S):
                await call()
            failed = False
        except (PassgateError, TimeoutError):
            failed = True
        is_normal = not failed and monotonic_s() - started_s <= MAX_NORMAL_S_BY_SERVICE[name]
        self._probes.append(_Probe(name, started_s - self._started_s, is_normal))


def _make_calls(
    service: SimulatedService, model: str, number: int
) -> dict[str, Callable[[], Awaitable[object]]]:
    """Return one call by service; ``number`` makes the identifiers unique."""
    app = AppRequest(
        request_id=f"probe-{number}",
        caller="probe",
        pool="app",
        method="POST",
        path="/",
        body=b"{}",
        deadline_s=monotonic_s() + PROBE_DEADLINE_S,
    )
    generate = GenerateRequest(
        request_id=f"probe-{number}",
        caller="probe",
        pool=model,
        model=model,
        prompt=(number,),
        max_tokens=16,
        priority_class="interactive",
        deadline_s=monotonic_s() + PROBE_DEADLINE_S,
    )
    return {
        "app": lambda: service.call_app(app),
        "generate": lambda: service.generate(generate),
        "lot": lambda: _collect_sample(service, model, f"probe-{number}"),
        "configuration": lambda: service.change_class("probe"),
    }


async def _collect_sample(service: SimulatedService, model: str, lot_id: str) -> None:
    prompts = (PromptSpec(prompt=(1, 2), max_tokens=8),)
    request = LotRequest(caller="probe", pool=model, model=model, staleness_bound=1, prompts=prompts)
    await service.open_lot(request, lot_id)
    cursor = 0
    while True:
        page = await service.read_lot(lot_id, cursor, 1, PROBE_DEADLINE_S, 0)
        cursor = page.next_cursor
        if page.samples:
            await service.acknowledge(lot_id, [page.samples[0].sample_id])
            return
