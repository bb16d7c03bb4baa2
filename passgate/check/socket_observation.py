"""Which promises a history put to the test: a promise without evidence is "not observed".

Each count is of events that a broken promise would have shown up in, not of
events of the right kind alone: a page whose trainer is still on its first
version, for example, can not be too stale.

>>> observations([])["staleness"]
()
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from passgate.check import judges_operations, judges_requests, judges_samples
from passgate.check.events import (
    AnyEvent,
    AppCompleted,
    AppInvoked,
    BackendLeaving,
    BackendRunStarted,
    ConfigurationAccepted,
    ConfigurationInForce,
    DaemonKilled,
    GenerateCompleted,
    GenerateInvoked,
    HistoryClosed,
    LotAbandoned,
    LotSubmitted,
    PageReceived,
    RequestAbandoned,
    RequestCutOff,
    RequestFailed,
    StopFinished,
    StopRequested,
)
from passgate.errors import ExecutionStatus

FIRST_VERSION = 1

Observer = Callable[[Sequence[AnyEvent]], list[float]]


def observations(events: Sequence[AnyEvent]) -> dict[str, tuple[float, ...]]:
    """Return for each promise the times of the events by which it could be judged."""
    return {promise: tuple(observer(events)) for promise, observer in OBSERVERS.items()}


def _outputs(events: Sequence[AnyEvent]) -> list[float]:
    pages = [event.time_s for event in events if isinstance(event, PageReceived) and event.samples]
    return pages + [event.time_s for event in events if isinstance(event, GenerateCompleted)]


def _answers(events: Sequence[AnyEvent]) -> list[float]:
    apps = [event.time_s for event in events if isinstance(event, AppCompleted)]
    return apps + _outputs(events)


def _stale_pages(events: Sequence[AnyEvent]) -> list[float]:
    """Pages whose trainer is so far ahead that the first version would be too old."""
    bounds = {event.lot_id: event.staleness_bound for event in events if isinstance(event, LotSubmitted)}
    return [
        event.time_s
        for event in events
        if isinstance(event, PageReceived)
        and event.samples
        and event.lot_id in bounds
        and event.trainer_version - bounds[event.lot_id] > FIRST_VERSION
    ]


def _owed_pages(events: Sequence[AnyEvent]) -> list[float]:
    """Pages of lots that had to become whole."""
    is_closed = any(isinstance(event, HistoryClosed) for event in events)
    finished = {event.lot_id for event in events if isinstance(event, PageReceived) and event.finished}
    abandoned = {event.lot_id for event in events if isinstance(event, LotAbandoned)}
    lots = {event.lot_id for event in events if isinstance(event, LotSubmitted)} - abandoned
    owed = lots if is_closed else lots & finished
    return [
        event.time_s
        for event in events
        if isinstance(event, PageReceived) and event.samples and event.lot_id in owed
    ]


def _refusals(events: Sequence[AnyEvent]) -> list[float]:
    """Refusals as not run, when starts on back ends are known at all."""
    if not any(isinstance(event, BackendRunStarted) for event in events):
        return []
    return [
        event.time_s
        for event in events
        if isinstance(event, RequestFailed) and event.execution is ExecutionStatus.NOT_RUN
    ]


def _single_runs(events: Sequence[AnyEvent]) -> list[float]:
    """Starts of requests that may start once only."""
    single = {
        event.request_id
        for event in events
        if isinstance(event, AppInvoked | GenerateInvoked) and not event.repeatable
    }
    return [
        event.time_s
        for event in events
        if isinstance(event, BackendRunStarted) and event.request_id in single
    ]


def _words_of_leaving(events: Sequence[AnyEvent]) -> list[float]:
    """Words of leaving after whose grace period other back ends still got work."""
    starts = [event.time_s for event in events if isinstance(event, BackendRunStarted)]
    last_s = max(starts, default=0.0)
    grace_s = judges_operations.LEAVING_GRACE_S
    return [
        event.time_s
        for event in events
        if isinstance(event, BackendLeaving) and last_s > event.time_s + grace_s
    ]


def _stopped_requests(events: Sequence[AnyEvent]) -> list[float]:
    """Ends of requests that a daemon held, or was sent, while it stopped by plan."""
    open_on: dict[str, str] = {}
    stopping: set[str] = set()
    seen = []
    for event in events:
        if isinstance(event, AppInvoked | GenerateInvoked):
            open_on[event.request_id] = event.daemon
        elif isinstance(event, StopRequested):
            stopping.add(event.daemon)
        elif isinstance(event, StopFinished | DaemonKilled):
            stopping.discard(event.daemon)
        elif isinstance(event, _ENDS) and open_on.pop(event.request_id, "") in stopping:
            seen.append(event.time_s)
    return seen


_ENDS = AppCompleted | GenerateCompleted | RequestFailed | RequestCutOff | RequestAbandoned


def _adopted_changes(events: Sequence[AnyEvent]) -> list[float]:
    """Accepted changes that some daemon reported later, so that a loss would be seen."""
    reports = [event for event in events if isinstance(event, ConfigurationInForce)]
    newest = max((report.revision for report in reports), default=0)
    return [
        event.time_s
        for event in events
        if isinstance(event, ConfigurationAccepted) and event.revision <= newest
    ]


OBSERVERS: dict[str, Observer] = {
    judges_samples.TRUE_VERSIONS: _outputs,
    judges_samples.STALENESS: _stale_pages,
    judges_samples.EXACTLY_ONCE: _owed_pages,
    judges_requests.WHOLE_ANSWER: _answers,
    judges_requests.NOT_RUN: _refusals,
    judges_requests.AT_MOST_ONCE: _single_runs,
    judges_operations.LEAVING: _words_of_leaving,
    judges_operations.PLANNED_STOP: _stopped_requests,
    judges_operations.CONFIGURATION: _adopted_changes,
}
