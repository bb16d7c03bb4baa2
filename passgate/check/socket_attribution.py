"""Leads starts on back ends back to the callers' requests that caused them.

A back end knows passgate's identifier only.  An answer, also a refusal, names
that identifier to the caller; for requests without any answer the daemon and the
digest of the work decide.

>>> asked = AppInvoked(time_s=1.0, request_id="orders-1-0", daemon="a-1", expected_digest="d")
>>> run = SeenRun(time_s=1.1, request_id="a-1-7f~1", replica_id="app-0", work="d")
>>> [event.request_id for event in attribute_runs([run], [asked], {})]
['orders-1-0']
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from passgate.check.events import AnyEvent, AppInvoked, BackendRunStarted, GenerateInvoked
from passgate.emulator.admin_messages import SeenRun
from passgate.emulator.run_feed import generate_work

RETRY_MARK = "~"
"""Separates a request's identifier from the number of a further attempt on a back end."""

Invocation = AppInvoked | GenerateInvoked


def attribute_runs(
    runs: Iterable[SeenRun], events: Sequence[AnyEvent], answered: Mapping[str, str]
) -> list[BackendRunStarted]:
    """Return one event for each start, under the caller's identifier where there is one.

    Args:
        runs: starts as the back ends saw them.
        events: what callers recorded.
        answered: callers' identifiers of answered requests, by passgate's identifier.
    """
    unanswered = _unanswered(events, set(answered.values()))
    known = dict(answered)
    started = []
    for run in runs:
        base = run.request_id.split(RETRY_MARK)[0]
        if base not in known:
            known[base] = _asked_for(run, base, unanswered) or base
        event = BackendRunStarted(time_s=run.time_s, request_id=known[base], replica_id=run.replica_id)
        started.append(event)
    return started


def _unanswered(events: Sequence[AnyEvent], answered: set[str]) -> dict[tuple[str, str], list[Invocation]]:
    waiting: dict[tuple[str, str], list[Invocation]] = defaultdict(list)
    for event in events:
        if isinstance(event, AppInvoked | GenerateInvoked) and event.request_id not in answered:
            waiting[event.daemon, _work(event)].append(event)
    return waiting


def _work(event: Invocation) -> str:
    if isinstance(event, AppInvoked):
        return event.expected_digest
    return generate_work(event.model, event.prompt, event.seed)


def _asked_for(run: SeenRun, base: str, unanswered: dict[tuple[str, str], list[Invocation]]) -> str:
    """Return the last unanswered request for this work that went to the daemon before the start."""
    daemon = base.rpartition("-")[0]
    asked = [event for event in unanswered.get((daemon, run.work), []) if event.time_s <= run.time_s]
    return asked[-1].request_id if asked else ""
