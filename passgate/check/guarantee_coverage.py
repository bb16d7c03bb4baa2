"""Finds the guarantees that a history tested; any other is reported as "not observed".

Only events that could have shown a violation count.  A page whose trainer is still on
its first version, for example, can not be too stale.

>>> observations([])["staleness"]
()
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from passgate.check import operation_checks, request_checks, sample_checks
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
"""Returns the times of the events that could have shown a violation of one guarantee."""


def observations(events: Sequence[AnyEvent]) -> dict[str, tuple[float, ...]]:
    """Return by guarantee the times of the events that could have shown a violation."""
    return {guarantee: tuple(observer(events)) for guarantee, observer in OBSERVERS.items()}


def _output_times(events: Sequence[AnyEvent]) -> list[float]:
    pages = [event.time_s for event in events if isinstance(event, PageReceived) and event.samples]
    return pages + [event.time_s for event in events if isinstance(event, GenerateCompleted)]


def _answer_times(events: Sequence[AnyEvent]) -> list[float]:
    apps = [event.time_s for event in events if isinstance(event, AppCompleted)]
    return apps + _output_times(events)


def _bounded_page_times(events: Sequence[AnyEvent]) -> list[float]:
    """Return the times of pages for whose trainer the first version would be too old."""
    bound_by_lot = {
        event.lot_id: event.staleness_bound for event in events if isinstance(event, LotSubmitted)
    }
    return [
        event.time_s
        for event in events
        if isinstance(event, PageReceived)
        and event.samples
        and event.lot_id in bound_by_lot
        and event.trainer_version - bound_by_lot[event.lot_id] > FIRST_VERSION
    ]


def _required_page_times(events: Sequence[AnyEvent]) -> list[float]:
    """Return the times of pages of lots that had to become complete."""
    is_closed = any(isinstance(event, HistoryClosed) for event in events)
    finished = {event.lot_id for event in events if isinstance(event, PageReceived) and event.finished}
    abandoned = {event.lot_id for event in events if isinstance(event, LotAbandoned)}
    lots = {event.lot_id for event in events if isinstance(event, LotSubmitted)} - abandoned
    required = lots if is_closed else lots & finished
    return [
        event.time_s
        for event in events
        if isinstance(event, PageReceived) and event.samples and event.lot_id in required
    ]


def _refusal_times(events: Sequence[AnyEvent]) -> list[float]:
    """Return the times of refusals as not run; none if the history has no runs of back ends."""
    if not any(isinstance(event, BackendRunStarted) for event in events):
        return []
    return [
        event.time_s
        for event in events
        if isinstance(event, RequestFailed) and event.execution is ExecutionStatus.NOT_RUN
    ]


def _single_run_times(events: Sequence[AnyEvent]) -> list[float]:
    """Return the times of runs of requests that are not repeatable."""
    single_run_ids = {
        event.request_id
        for event in events
        if isinstance(event, AppInvoked | GenerateInvoked) and not event.repeatable
    }
    return [
        event.time_s
        for event in events
        if isinstance(event, BackendRunStarted) and event.request_id in single_run_ids
    ]


def _leaving_times(events: Sequence[AnyEvent]) -> list[float]:
    """Return the times of reports of leaving after whose grace period any back end still started work."""
    run_times = [event.time_s for event in events if isinstance(event, BackendRunStarted)]
    last_s = max(run_times, default=0.0)
    grace_s = operation_checks.LEAVING_GRACE_S
    return [
        event.time_s
        for event in events
        if isinstance(event, BackendLeaving) and last_s > event.time_s + grace_s
    ]


def _shutdown_request_end_times(events: Sequence[AnyEvent]) -> list[float]:
    """Return the times of the ends of requests to daemons that were shutting down gracefully."""
    daemon_by_request: dict[str, str] = {}
    stopping: set[str] = set()
    end_times = []
    for event in events:
        if isinstance(event, AppInvoked | GenerateInvoked):
            daemon_by_request[event.request_id] = event.daemon
        elif isinstance(event, StopRequested):
            stopping.add(event.daemon)
        elif isinstance(event, StopFinished | DaemonKilled):
            stopping.discard(event.daemon)
        elif isinstance(event, _REQUEST_ENDS) and daemon_by_request.pop(event.request_id, "") in stopping:
            end_times.append(event.time_s)
    return end_times


_REQUEST_ENDS = AppCompleted | GenerateCompleted | RequestFailed | RequestCutOff | RequestAbandoned


def _adopted_change_times(events: Sequence[AnyEvent]) -> list[float]:
    """Return the times of accepted changes whose revision, or a later one, some daemon reported."""
    reports = [event for event in events if isinstance(event, ConfigurationInForce)]
    newest = max((report.revision for report in reports), default=0)
    return [
        event.time_s
        for event in events
        if isinstance(event, ConfigurationAccepted) and event.revision <= newest
    ]


OBSERVERS: dict[str, Observer] = {
    sample_checks.CORRECT_VERSIONS: _output_times,
    sample_checks.STALENESS: _bounded_page_times,
    sample_checks.EXACTLY_ONCE: _required_page_times,
    request_checks.COMPLETE_ANSWER: _answer_times,
    request_checks.NOT_RUN: _refusal_times,
    request_checks.AT_MOST_ONCE: _single_run_times,
    operation_checks.LEAVING: _leaving_times,
    operation_checks.GRACEFUL_SHUTDOWN: _shutdown_request_end_times,
    operation_checks.CONFIGURATION: _adopted_change_times,
}
