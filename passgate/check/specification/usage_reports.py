"""Specification of usage reports, on the running code's folds.

Two daemons claim the lead, count, commit the report of one window and send it.  Each record
is on its way for any time, each daemon reads at its own pace, and each call to the platform
may be carried out at any later time, after newer ones.  No lease is modelled: whoever reads
itself as leader may send, so the property holds by fences and commits alone.

Property: ``one_report`` (the platform never accepts two reports of the window that
differ).  A count is on the log at once, as only the order of counts and commits matters.
"""

from __future__ import annotations

import functools
from typing import NamedTuple

from minicheck import Protocol

from passgate.check.specification.kernel import Mutant, Specification, Step
from passgate.duties.usage_projection import UsageProjection
from passgate.jobs.records import Batch, LeaderClaimed, UsageCommitted, UsageCounted
from passgate.versions.leadership_projection import LeadershipProjection

DAEMONS = 2
MAX_RECORDS = 5
MAX_CALLS = 2
"""Calls that are on their way at once."""
WINDOW = 1
TENANT = "t"
CLAIM, COUNT, COMMIT = "claim", "count", "commit"


class Entry(NamedTuple):
    """One record, on its way or on the log."""

    writer: int
    kind: str
    value: int = 0
    """Fence that a claim names, or requests that a commit reports."""


class Call(NamedTuple):
    """A report on its way to the platform."""

    fence: int
    requests: int


class Daemon(NamedTuple):
    """What one daemon knows."""

    applied: int = 0
    pending: Entry | None = None


class Platform(NamedTuple):
    """What the platform has seen."""

    fence: int = -1
    accepted: tuple[int, ...] = ()
    """Different numbers of requests that it has accepted for the window."""


class ReportModelState(NamedTuple):
    """State of the specification; at first daemon 0 leads and all know it."""

    log: tuple[Entry, ...] = (Entry(writer=0, kind=CLAIM, value=-1),)
    daemons: tuple[Daemon, ...] = (Daemon(applied=1), Daemon(applied=1))
    calls: tuple[Call, ...] = ()
    platform: Platform = Platform()


class _LastCommitFold(UsageProjection):
    """Mutant: a later commit of a window replaces the first."""

    def _commit(self, entry: UsageCommitted) -> None:
        self.last_committed_window = None
        super()._commit(entry)


class _View(NamedTuple):
    """The folds of a prefix of the log."""

    lead: LeadershipProjection
    usage: UsageProjection
    counted: int
    """Requests of the window that were counted, late ones too."""


class _Model:
    """Transitions and properties, with mutants built in."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self.mutants = mutants
        self._usage_type: type[UsageProjection] = UsageProjection
        if "last_commit_counts" in mutants:
            self._usage_type = _LastCommitFold
        self.view = functools.cache(self._view)

    def _view(self, log: tuple[Entry, ...]) -> _View:
        lead, usage = LeadershipProjection(), self._usage_type()
        for offset, entry in enumerate(log):
            writer = f"d{entry.writer}"
            body = _body(offset, entry)
            lead.apply(offset, Batch(writer=writer, entries=(body,)), now_s=0.0)
            usage.apply(offset, writer, body, by_leader=lead.leader == writer)
        return _View(lead, usage, sum(entry.kind == COUNT for entry in log))

    def transitions(self, state: ReportModelState) -> list[Step]:
        steps: list[Step] = []
        for number, daemon in enumerate(state.daemons):
            steps += self._steps_of(state, number, daemon)
        for index, call in enumerate(state.calls):
            left = (*state.calls[:index], *state.calls[index + 1 :])
            steps.append(
                (f"carry_out({call})", state._replace(calls=left, platform=_take(state.platform, call)))
            )
        return steps

    def _steps_of(self, state: ReportModelState, number: int, daemon: Daemon) -> list[Step]:
        steps: list[Step] = []
        view = self.view(state.log[: daemon.applied])
        if daemon.applied < len(state.log):
            read = daemon._replace(applied=daemon.applied + 1)
            steps.append((f"read({number})", _with(state, number, read)))
        if daemon.pending is not None:
            if len(state.log) < MAX_RECORDS:
                arrived = state._replace(log=(*state.log, daemon.pending))
                steps.append((f"arrive({number})", _with(arrived, number, daemon._replace(pending=None))))
        elif len(state.log) < MAX_RECORDS:
            steps.append((f"count({number})", _counted(state, number)))
            for entry in self._entries(view, number):
                sent = daemon._replace(pending=entry)
                steps.append((f"{entry.kind}({number})", _with(state, number, sent)))
        steps += self._sends(state, view, number)
        return steps

    def _entries(self, view: _View, number: int) -> list[Entry]:
        """Return what a daemon may send to the log besides counts."""
        if view.lead.leader != f"d{number}":
            return [Entry(writer=number, kind=CLAIM, value=view.lead.leader_fence)]
        if view.usage.last_committed_window is None:
            requests = view.usage.counts_of(WINDOW).get(TENANT, 0)
            return [Entry(writer=number, kind=COMMIT, value=requests)]
        return []

    def _sends(self, state: ReportModelState, view: _View, number: int) -> list[Step]:
        if view.lead.leader != f"d{number}" or len(state.calls) >= MAX_CALLS:
            return []
        committed = view.usage.unreported_counts_by_window.get(WINDOW)
        pending = state.daemons[number].pending
        if "trust_own_commit" in self.mutants and committed is None and pending is not None:
            committed = {TENANT: pending.value}
        if committed is None and "send_uncommitted" not in self.mutants:
            return []
        recounts = bool(self.mutants & {"count_again", "send_uncommitted"})
        requests = view.counted if recounts or committed is None else committed.get(TENANT, 0)
        call = Call(fence=view.lead.leader_fence, requests=requests)
        if call in state.calls:
            return []
        calls = tuple(sorted((*state.calls, call)))
        return [(f"send({number})", state._replace(calls=calls))]

    def invariants(self) -> dict:
        return {
            "one_report": lambda d: len(d["platform"].accepted) <= 1,
        }


def _body(offset: int, entry: Entry) -> LeaderClaimed | UsageCounted | UsageCommitted:
    if entry.kind == CLAIM:
        # No lease is modelled, so a claim always names the leader's last record.
        return LeaderClaimed(leader=f"d{entry.writer}", after=entry.value, seen=entry.value)
    if entry.kind == COUNT:
        return UsageCounted(meter=f"d{entry.writer}", number=offset, window=WINDOW, counts={TENANT: 1})
    return UsageCommitted(window=WINDOW, counts={TENANT: entry.value})


def _counted(state: ReportModelState, number: int) -> ReportModelState:
    return state._replace(log=(*state.log, Entry(writer=number, kind=COUNT)))


def _take(platform: Platform, call: Call) -> Platform:
    """Return the platform after a call: a lower fence than it has seen is refused."""
    if call.fence < platform.fence:
        return platform
    accepted = tuple(sorted({*platform.accepted, call.requests}))
    return Platform(fence=call.fence, accepted=accepted)


def _with(state: ReportModelState, number: int, daemon: Daemon) -> ReportModelState:
    daemons = tuple(daemon if i == number else old for i, old in enumerate(state.daemons))
    return state._replace(daemons=daemons)


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model."""
    model = _Model(mutants)
    return Protocol(
        name="usage_reports",
        candidate=False,
        fields=ReportModelState._fields,
        initial=ReportModelState(),
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda d: len(d["log"]) == MAX_RECORDS,
    )


USAGE_REPORTS = Specification(
    name="usage_reports",
    bounds="2 daemons, 1 window, 5 records, 2 calls at once, any record or call late, any daemon reads late",
    build=build,
    mutants=(
        Mutant(
            name="count_again",
            mistake="the next holder builds the report again from the counts it has",
            caught_by="one_report",
        ),
        Mutant(
            name="send_uncommitted",
            mistake="a holder sends the counts before they are committed",
            caught_by="one_report",
        ),
        Mutant(
            name="last_commit_counts",
            mistake="a later commit of a window replaces the first",
            caught_by="one_report",
        ),
        Mutant(
            name="trust_own_commit",
            mistake="a holder sends its commit before it has read it back",
            caught_by="one_report",
        ),
    ),
)
