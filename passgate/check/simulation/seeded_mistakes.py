"""Seeded mistakes, by which the simulated runs and checks are themselves tested.

Each mistake replaces one function of the running code during a run.  Some run with the
mistake must then violate the named guarantee.
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
from passgate.routing.execution import ExecutionHistory
from passgate.routing.replica_directory import ReplicaDirectory
from passgate.routing.stream_assembler import StreamAssembler
from passgate.schema import MachineState
from passgate.server.daemon import Daemon
from passgate.state import claim_state, configuration_state
from passgate.state.claim_state import ClaimState, ClaimStatus
from passgate.state.configuration import ConfigurationService
from passgate.state.lot_state import LotHeader
from passgate.state.lots import LotService
from passgate.state.projection import Accepted


class SeededMistake(msgspec.Struct, frozen=True, kw_only=True):
    """One function of the running code and its incorrect replacement."""

    name: str
    description: str
    guarantee: str
    """Guarantee that some run must violate."""
    target: Any
    """Class or module whose attribute is replaced."""
    attribute: str
    replacement: Any
    fault_kind: str = ""
    """The one kind of fault in the runs; mixed faults if empty."""
    extra_faults: tuple[AnyScheduledFault, ...] = ()
    """Faults that are added to every run."""


class MistakeResult(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a mistake was found, and in which run."""

    name: str
    guarantee: str = msgspec.field(name="promise")
    found: bool
    runs: int
    """Number of runs up to the violation, or of all runs."""
    message: str = ""


def _grant_every_claim(state: ClaimState, offset: int, writer: str, body: Any) -> tuple[ClaimState, Accepted]:
    return ClaimState(ClaimStatus.CLAIMED, body.request_digest, writer, body.holder), Accepted(offset)


def _report_not_run(execution: ExecutionHistory, error: PassgateError) -> PassgateError:
    error.execution = ExecutionStatus.NOT_RUN
    return error


def _apply_machines_as_live(directory: ReplicaDirectory, machines: Any, now_s: float) -> None:
    live = [msgspec.structs.replace(machine, state=MachineState.LIVE) for machine in machines]
    _apply_machines(directory, live, now_s)


_apply_machines = ReplicaDirectory.apply_machines


async def _finish_at_once(*arguments: Any) -> bool:
    return True


def _append_with_first_version(assembler: StreamAssembler, start: int, end: int, version: int) -> None:
    first_version = assembler.spans[0].version if assembler.spans else version
    _append_span(assembler, start, end, first_version)


_append_span = StreamAssembler._append_span


def _put_without_expectation(current: Any, offset: int, record: Any) -> Any:
    body = msgspec.structs.replace(record.body, expected_revision=None)
    stored, decision = _transition(current, offset, msgspec.structs.replace(record, body=body))
    is_put = stored is not None and current is not None
    unadvanced = msgspec.structs.replace(stored, revision=current.revision) if is_put else stored
    return unadvanced, decision


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
        description="all tokens of a stream are attributed to its first version",
        guarantee="true_versions",
        target=StreamAssembler,
        attribute="_append_span",
        replacement=_append_with_first_version,
    ),
    SeededMistake(
        name="claim_always_granted",
        description="a claim is granted although another one is in effect",
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
        target=ExecutionHistory,
        attribute="apply_status",
        replacement=_report_not_run,
        fault_kind="connections_lost",
    ),
    SeededMistake(
        name="leaving_ignored",
        description="the machine list's reports of leaving are ignored",
        guarantee="leaving",
        target=ReplicaDirectory,
        attribute="apply_machines",
        replacement=_apply_machines_as_live,
        fault_kind="machine_leaves",
    ),
    SeededMistake(
        name="stop_without_waiting",
        description="a graceful shutdown does not wait for requests",
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
        description="a change is applied without comparing its expected revision",
        guarantee="configuration",
        target=configuration_state,
        attribute="transition",
        replacement=_put_without_expectation,
    ),
    SeededMistake(
        name="no_takeover",
        description="no daemon takes over a lot when its keeper dies",
        guarantee="exactly_once",
        target=LotService,
        attribute="_ensure_keeper",
        replacement=_ensure_no_keeper,
        fault_kind="daemon_kill_all",
    ),
)

RELATED_PATCHES = {"stop_without_waiting": ((Daemon, "_release_ownership"),)}
"""By mistake, further functions that it disables, as each would prevent the violation."""


@contextlib.contextmanager
def apply_mistake(mistake: SeededMistake) -> Iterator[None]:
    """Replace the functions of a mistake while the context is open."""
    with contextlib.ExitStack() as patches:
        patches.enter_context(mock.patch.object(mistake.target, mistake.attribute, mistake.replacement))
        for target, attribute in RELATED_PATCHES.get(mistake.name, ()):
            patches.enter_context(mock.patch.object(target, attribute, _finish_at_once))
        yield


def _make_schedule(mistake: SeededMistake, seed: int) -> Schedule:
    schedule = generate_schedule(seed, mistake.fault_kind)
    return msgspec.structs.replace(schedule, faults=(*schedule.faults, *mistake.extra_faults))


def search_violation(mistake: SeededMistake, runs: int, limits: RunLimits | None = None) -> MistakeResult:
    """Run up to ``runs`` schedules with the mistake, until one violates its guarantee."""
    with apply_mistake(mistake):
        for seed in range(runs):
            outcome = simulate(_make_schedule(mistake, seed), limits)
            shortest = {
                verdict.guarantee: verdict.shortest_violation for verdict in outcome.verdict.guarantees
            }
            violation = shortest[mistake.guarantee]
            if violation is not None:
                return MistakeResult(
                    name=mistake.name,
                    guarantee=mistake.guarantee,
                    found=True,
                    runs=seed + 1,
                    message=violation.message,
                )
    return MistakeResult(name=mistake.name, guarantee=mistake.guarantee, found=False, runs=runs)
