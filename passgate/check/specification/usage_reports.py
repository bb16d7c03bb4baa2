"""Specification of usage reports; see :mod:`passgate.duties.usage_reporter`.

Two daemons claim leadership, count requests, and commit and send the report of one window.  Claims and
commits reach the log at any later time; counts reach it at once, because only their order relative to commits
matters.  Each daemon reads the log at its own pace, and the platform executes calls at any later time and in
any order.

Leases are not modelled: a daemon may send whenever it reads itself as leader.  A claim is accepted only while
the leader has appended nothing since its own claim, so the leader no longer changes once a report is
committed.

Invariant: ``one_report`` (the platform never accepts two different reports of the window).

Liveness: from every state, the log can reach its largest length.
"""

from __future__ import annotations

import functools
from typing import NamedTuple

from minicheck import Protocol

from passgate.check.specification.model_checker import Action, Mutant, Specification
from passgate.duties.usage_projection import UsageProjection
from passgate.jobs.records import Batch, LeaderClaimed, UsageCommitted, UsageCounted
from passgate.versions.leadership_projection import LeadershipProjection

DAEMON_COUNT = 2
MAX_RECORDS = 5
"""Most records on the log."""
MAX_CALLS_IN_FLIGHT = 2
"""Most calls in flight at once."""
WINDOW = 1
TENANT = "t"
CLAIM, COUNT, COMMIT = "claim", "count", "commit"


class ModelRecord(NamedTuple):
    """One record, in flight or on the log."""

    writer: int
    """Index of the daemon that wrote it."""
    kind: str
    """``CLAIM``, ``COUNT`` or ``COMMIT``."""
    value: int = 0
    """Fence that a claim names, or number of requests that a commit reports; not used in a count."""


class ReportCall(NamedTuple):
    """A call with a report, in flight to the platform."""

    fence: int
    request_count: int


class Daemon(NamedTuple):
    """What one daemon knows."""

    applied_count: int = 0
    """Number of records of the log that were read."""
    in_flight: ModelRecord | None = None
    """Record that it has sent and that has not reached the log."""


class Platform(NamedTuple):
    """What the platform has received."""

    highest_fence: int = -1
    accepted_request_counts: tuple[int, ...] = ()
    """The different numbers of requests in reports of the window that it has accepted."""


class UsageReportModelState(NamedTuple):
    """State of the model; initially daemon 0 is the leader and both daemons know it."""

    log: tuple[ModelRecord, ...] = (ModelRecord(writer=0, kind=CLAIM, value=-1),)
    daemons: tuple[Daemon, ...] = (Daemon(applied_count=1), Daemon(applied_count=1))
    calls_in_flight: tuple[ReportCall, ...] = ()
    platform: Platform = Platform()


class _LastCommitProjection(UsageProjection):
    """Mutant: a later commit of a window replaces the first."""

    def _commit(self, entry: UsageCommitted) -> None:
        self.last_committed_window = None
        super()._commit(entry)


class _PrefixView(NamedTuple):
    """The projections of a prefix of the log."""

    leadership: LeadershipProjection
    usage: UsageProjection
    counted_requests: int
    """Requests of the window that were counted, including late ones."""


class _Model:
    """Transitions and invariants, with mutants applied."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self.mutants = mutants
        self._usage_projection_type: type[UsageProjection] = UsageProjection
        if "last_commit_wins" in mutants:
            self._usage_projection_type = _LastCommitProjection
        self.replay = functools.cache(self._replay)

    def _replay(self, log: tuple[ModelRecord, ...]) -> _PrefixView:
        leadership, usage = LeadershipProjection(), self._usage_projection_type()
        for offset, record in enumerate(log):
            writer = f"d{record.writer}"
            body = _to_log_entry(offset, record)
            leadership.apply(offset, Batch(writer=writer, entries=(body,)), now_s=0.0)
            usage.apply(offset, writer, body, by_leader=leadership.leader == writer)
        return _PrefixView(leadership, usage, sum(record.kind == COUNT for record in log))

    def transitions(self, state: UsageReportModelState) -> list[Action]:
        actions: list[Action] = []
        for index, daemon in enumerate(state.daemons):
            actions += self._daemon_actions(state, index, daemon)
        for index, call in enumerate(state.calls_in_flight):
            remaining = (*state.calls_in_flight[:index], *state.calls_in_flight[index + 1 :])
            actions.append(
                (
                    f"execute({call})",
                    state._replace(calls_in_flight=remaining, platform=_execute_call(state.platform, call)),
                )
            )
        return actions

    def _daemon_actions(self, state: UsageReportModelState, index: int, daemon: Daemon) -> list[Action]:
        actions: list[Action] = []
        view = self.replay(state.log[: daemon.applied_count])
        if daemon.applied_count < len(state.log):
            reader = daemon._replace(applied_count=daemon.applied_count + 1)
            actions.append((f"read({index})", _with_daemon(state, index, reader)))
        if daemon.in_flight is not None:
            if len(state.log) < MAX_RECORDS:
                appended = state._replace(log=(*state.log, daemon.in_flight))
                actions.append(
                    (f"arrive({index})", _with_daemon(appended, index, daemon._replace(in_flight=None)))
                )
        elif len(state.log) < MAX_RECORDS:
            actions.append((f"count({index})", _append_count(state, index)))
            for record in self._next_records(view, index):
                sender = daemon._replace(in_flight=record)
                actions.append((f"{record.kind}({index})", _with_daemon(state, index, sender)))
        actions += self._send_actions(state, view, index)
        return actions

    def _next_records(self, view: _PrefixView, index: int) -> list[ModelRecord]:
        """Return the records that a daemon may send next, apart from counts."""
        if view.leadership.leader != f"d{index}":
            return [ModelRecord(writer=index, kind=CLAIM, value=view.leadership.leader_fence)]
        if view.usage.last_committed_window is None:
            request_count = view.usage.counts_of(WINDOW).get(TENANT, 0)
            return [ModelRecord(writer=index, kind=COMMIT, value=request_count)]
        return []

    def _send_actions(self, state: UsageReportModelState, view: _PrefixView, index: int) -> list[Action]:
        if view.leadership.leader != f"d{index}" or len(state.calls_in_flight) >= MAX_CALLS_IN_FLIGHT:
            return []
        committed = view.usage.unreported_counts_by_window.get(WINDOW)
        in_flight = state.daemons[index].in_flight
        if "send_unconfirmed_commit" in self.mutants and committed is None and in_flight is not None:
            committed = {TENANT: in_flight.value}
        if committed is None and "send_uncommitted" not in self.mutants:
            return []
        uses_current_counts = bool(self.mutants & {"send_current_counts", "send_uncommitted"})
        request_count = (
            view.counted_requests if uses_current_counts or committed is None else committed.get(TENANT, 0)
        )
        call = ReportCall(fence=view.leadership.leader_fence, request_count=request_count)
        if call in state.calls_in_flight:
            return []
        calls_in_flight = tuple(sorted((*state.calls_in_flight, call)))
        return [(f"send({index})", state._replace(calls_in_flight=calls_in_flight))]

    def invariants(self) -> dict:
        return {
            "one_report": lambda fields: len(fields["platform"].accepted_request_counts) <= 1,
        }


def _to_log_entry(offset: int, record: ModelRecord) -> LeaderClaimed | UsageCounted | UsageCommitted:
    if record.kind == CLAIM:
        # ``seen`` names the leader's claim, so a later record of the leader makes this claim fail.
        return LeaderClaimed(leader=f"d{record.writer}", after=record.value, seen=record.value)
    if record.kind == COUNT:
        return UsageCounted(meter=f"d{record.writer}", number=offset, window=WINDOW, counts={TENANT: 1})
    return UsageCommitted(window=WINDOW, counts={TENANT: record.value})


def _append_count(state: UsageReportModelState, index: int) -> UsageReportModelState:
    return state._replace(log=(*state.log, ModelRecord(writer=index, kind=COUNT)))


def _execute_call(platform: Platform, call: ReportCall) -> Platform:
    """Return the platform after a call; it refuses a fence that is lower than one it has received."""
    if call.fence < platform.highest_fence:
        return platform
    accepted = tuple(sorted({*platform.accepted_request_counts, call.request_count}))
    return Platform(highest_fence=call.fence, accepted_request_counts=accepted)


def _with_daemon(state: UsageReportModelState, index: int, daemon: Daemon) -> UsageReportModelState:
    daemons = tuple(daemon if i == index else old for i, old in enumerate(state.daemons))
    return state._replace(daemons=daemons)


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model with the named mutants applied."""
    model = _Model(mutants)
    return Protocol(
        name="usage_reports",
        candidate=False,
        fields=UsageReportModelState._fields,
        initial=UsageReportModelState(),
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda fields: len(fields["log"]) == MAX_RECORDS,
    )


USAGE_REPORTS = Specification(
    name="usage_reports",
    bounds="2 daemons, 1 window, 5 records, 2 calls at once, any record or call late, any daemon reads late",
    build=build,
    mutants=(
        Mutant(
            name="send_current_counts",
            mistake="a leader sends the counts that it has now instead of the committed ones",
            caught_by="one_report",
        ),
        Mutant(
            name="send_uncommitted",
            mistake="a leader sends counts before they are committed",
            caught_by="one_report",
        ),
        Mutant(
            name="last_commit_wins",
            mistake="a later commit of a window replaces the first",
            caught_by="one_report",
        ),
        Mutant(
            name="send_unconfirmed_commit",
            mistake="a leader sends its committed counts before it has read the commit back",
            caught_by="one_report",
        ),
    ),
)
