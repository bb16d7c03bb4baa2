"""Finds the callers' requests that caused runs on back ends.

A back end knows only passgate's identifier of a request.  An answer or refusal tells
the caller that identifier; a request without any answer is matched by its daemon and
the digest of its work.

>>> invocation = AppInvoked(time_s=1.0, request_id="orders-1-0", daemon="a-1", expected_digest="d")
>>> run = RunStart(time_s=1.1, request_id="a-1-7f~1", replica_id="app-0", work="d")
>>> [event.request_id for event in attribute_runs([run], [invocation], {})]
['orders-1-0']
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from passgate.check.events import AnyEvent, AppInvoked, BackendRunStarted, GenerateInvoked
from passgate.emulator.admin_messages import RunStart
from passgate.emulator.run_feed import generate_work_digest

ATTEMPT_SEPARATOR = "~"
"""Separates passgate's identifier of a request from the number of a further attempt on a back end."""

Invocation = AppInvoked | GenerateInvoked


def attribute_runs(
    runs: Iterable[RunStart], events: Sequence[AnyEvent], caller_id_by_passgate_id: Mapping[str, str]
) -> list[BackendRunStarted]:
    """Return one event for each run, under the caller's identifier if it is known, else passgate's.

    Args:
        runs: starts of requests as back ends recorded them.
        events: events that callers recorded.
        answered: callers' identifiers of answered requests by passgate's identifiers.
    """
    unanswered_by_work = _unanswered_by_work(events, set(caller_id_by_passgate_id.values()))
    known_ids = dict(caller_id_by_passgate_id)
    started = []
    for run in runs:
        passgate_id = run.request_id.split(ATTEMPT_SEPARATOR)[0]
        if passgate_id not in known_ids:
            known_ids[passgate_id] = _find_caller_id(run, passgate_id, unanswered_by_work) or passgate_id
        event = BackendRunStarted(
            time_s=run.time_s, request_id=known_ids[passgate_id], replica_id=run.replica_id
        )
        started.append(event)
    return started


def _unanswered_by_work(
    events: Sequence[AnyEvent], answered_ids: set[str]
) -> dict[tuple[str, str], list[Invocation]]:
    invocations_by_work: dict[tuple[str, str], list[Invocation]] = defaultdict(list)
    for event in events:
        if isinstance(event, AppInvoked | GenerateInvoked) and event.request_id not in answered_ids:
            invocations_by_work[event.daemon, _work_of(event)].append(event)
    return invocations_by_work


def _work_of(event: Invocation) -> str:
    if isinstance(event, AppInvoked):
        return event.expected_digest
    return generate_work_digest(event.model, event.prompt, event.seed)


def _find_caller_id(
    run: RunStart, passgate_id: str, unanswered_by_work: dict[tuple[str, str], list[Invocation]]
) -> str:
    """Return the caller's identifier of the last unanswered request for the run's work, or "".

    Only requests that the caller had sent to the run's daemon before the run count.
    """
    daemon = passgate_id.rpartition("-")[0]
    earlier = [
        event for event in unanswered_by_work.get((daemon, run.work), []) if event.time_s <= run.time_s
    ]
    return earlier[-1].request_id if earlier else ""
