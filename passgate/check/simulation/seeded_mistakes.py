"""Seeded mistakes in the running code, to show that simulated runs would find them.

Each mistake replaces one function of the running code for the time of a run; the
named promise must then be broken in some of the first runs.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any
from unittest import mock

import msgspec

from passgate.check.simulation.run import RunLimits, simulate
from passgate.check.simulation.schedule import APPS, AnyScheduledFault, Schedule, generate_schedule
from passgate.emulator.faults import AppSlow, LogSlow
from passgate.errors import ExecutionStatus, PassgateError
from passgate.routing.execution import ExecutionLedger
from passgate.routing.replica_directory import ReplicaDirectory
from passgate.routing.stream_assembler import StreamAssembler
from passgate.schema import MachineState
from passgate.server.daemon import Daemon
from passgate.state import claim_state, configuration_state
from passgate.state.claim_state import ClaimState, ClaimStatus
from passgate.state.configuration import ConfigurationService
from passgate.state.fold import Accepted
from passgate.state.lot_state import LotHeader
from passgate.state.lots import LotService


class SeededMistake(msgspec.Struct, frozen=True, kw_only=True):
    """One mistake."""

    name: str
    description: str
    guarantee: str
    """Promise that some run must break."""
    target: Any
    attribute: str
    replacement: Any
    fault_kind: str = ""
    """Kind of fault that brings it about."""
    extra_faults: tuple[AnyScheduledFault, ...] = ()
    """Further faults of each run."""


class MistakeResult(msgspec.Struct, frozen=True, kw_only=True):
    """When a mistake was found."""

    name: str
    guarantee: str = msgspec.field(name="promise")
    found: bool
    runs: int
    """Runs until the promise was broken, or all that were made."""
    message: str = ""


def _grant_every_claim(state: ClaimState, offset: int, writer: str, body: Any) -> tuple[ClaimState, Accepted]:
    return ClaimState(ClaimStatus.CLAIMED, body.request_digest, writer, body.holder), Accepted(offset)


def _report_not_run(ledger: ExecutionLedger, error: PassgateError) -> PassgateError:
    error.execution = ExecutionStatus.NOT_RUN
    return error


def _apply_machines_as_live(directory: ReplicaDirectory, machines: Any, now_s: float) -> None:
    live = [msgspec.structs.replace(machine, state=MachineState.LIVE) for machine in machines]
    _apply_machines(directory, live, now_s)


_apply_machines = ReplicaDirectory.apply_machines


async def _finish_at_once(*arguments: Any) -> bool:
    return True


def _append_with_first_version(assembler: StreamAssembler, start: int, end: int, version: int) -> None:
    believed = assembler.spans[0].version if assembler.spans else version
    _append_span(assembler, start, end, believed)


_append_span = StreamAssembler._append_span


def _put_without_expectation(current: Any, offset: int, record: Any) -> Any:
    body = msgspec.structs.replace(record.body, expected_revision=None)
    stored, decision = _transition(current, offset, msgspec.structs.replace(record, body=body))
    is_put = stored is not None and current is not None
    kept = msgspec.structs.replace(stored, revision=current.revision) if is_put else stored
    return kept, decision


_transition = configuration_state.transition


async def _ensure_no_keeper(service: LotService, handle: Any) -> None:
    return None


MISTAKES = (
    SeededMistake(
        name="staleness_unchecked",
        description="no sample counts as stale",
        guarantee="staleness",
        target=LotHeader,
        attribute="is_stale",
        replacement=lambda header, sample, version: False,
    ),
    SeededMistake(
        name="version_by_belief",
        description="the first version of a stream is taken for all of it",
        guarantee="true_versions",
        target=StreamAssembler,
        attribute="_append_span",
        replacement=_append_with_first_version,
    ),
    SeededMistake(
        name="claim_always_granted",
        description="a claim is granted although another one stands",
        guarantee="at_most_once",
        target=claim_state,
        attribute="_claim",
        replacement=_grant_every_claim,
        fault_kind="client_answers_lost",
    ),
    SeededMistake(
        name="always_not_run",
        description="every failure is reported as not run",
        guarantee="not_run",
        target=ExecutionLedger,
        attribute="stamp",
        replacement=_report_not_run,
        fault_kind="connections_lost",
    ),
    SeededMistake(
        name="leaving_ignored",
        description="the machine list's word of leaving is passed over",
        guarantee="leaving",
        target=ReplicaDirectory,
        attribute="apply_machines",
        replacement=_apply_machines_as_live,
        fault_kind="machine_leaves",
    ),
    SeededMistake(
        name="stop_without_waiting",
        description="a planned stop does not wait for requests",
        guarantee="planned_stop",
        target=Daemon,
        attribute="_finish_work",
        replacement=_finish_at_once,
        fault_kind="daemon_stop",
        extra_faults=tuple(AppSlow(4.0, replica, 20.0, 30.0) for replica in APPS),
    ),
    SeededMistake(
        name="serve_before_configured",
        description="a restarted daemon serves before it has the configuration",
        guarantee="configuration",
        target=ConfigurationService,
        attribute="ready_at",
        replacement=lambda service, minimum_revision: True,
        fault_kind="daemon_kill_all",
        extra_faults=(LogSlow(4.0, 6.0, 40.0),),
    ),
    SeededMistake(
        name="revision_not_advanced",
        description="a change overwrites without regard to what its operator read",
        guarantee="configuration",
        target=configuration_state,
        attribute="transition",
        replacement=_put_without_expectation,
    ),
    SeededMistake(
        name="no_takeover",
        description="nobody takes a lot over when its keeper died",
        guarantee="exactly_once",
        target=LotService,
        attribute="_ensure_keeper",
        replacement=_ensure_no_keeper,
        fault_kind="daemon_kill_all",
    ),
)

RELATED_PATCHES = {"stop_without_waiting": ((Daemon, "_hand_over"),)}
"""Further functions that a mistake removes, so that no second safeguard hides it."""


@contextlib.contextmanager
def apply_mistake(mistake: SeededMistake) -> Iterator[None]:
    """Have a mistake in the running code while the context is open."""
    with contextlib.ExitStack() as patches:
        patches.enter_context(mock.patch.object(mistake.target, mistake.attribute, mistake.replacement))
        for target, attribute in RELATED_PATCHES.get(mistake.name, ()):
            patches.enter_context(mock.patch.object(target, attribute, _finish_at_once))
        yield


def _make_schedule(mistake: SeededMistake, seed: int) -> Schedule:
    schedule = generate_schedule(seed, mistake.fault_kind)
    return msgspec.structs.replace(schedule, faults=(*schedule.faults, *mistake.extra_faults))


def search_violation(mistake: SeededMistake, runs: int, limits: RunLimits | None = None) -> MistakeResult:
    """Run schedules until the mistake breaks its promise."""
    with apply_mistake(mistake):
        for seed in range(runs):
            outcome = simulate(_make_schedule(mistake, seed), limits)
            judged = {verdict.guarantee: verdict.shortest_violation for verdict in outcome.verdict.guarantees}
            violation = judged[mistake.guarantee]
            if violation is not None:
                return MistakeResult(
                    name=mistake.name,
                    guarantee=mistake.guarantee,
                    found=True,
                    runs=seed + 1,
                    message=violation.message,
                )
    return MistakeResult(name=mistake.name, guarantee=mistake.guarantee, found=False, runs=runs)
