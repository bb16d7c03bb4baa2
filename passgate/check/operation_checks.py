"""Checks of the guarantees on operations: leaving back ends, graceful shutdowns, configuration."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from passgate.check.events import (
    AnyEvent,
    AppInvoked,
    BackendLeaving,
    BackendRunStarted,
    ConfigurationAccepted,
    ConfigurationInForce,
    ConfigurationInvoked,
    ConfigurationObject,
    ConfigurationRefused,
    DaemonCut,
    DaemonKilled,
    DaemonReconnected,
    DaemonStarted,
    GenerateInvoked,
    RequestCutOff,
    StopFinished,
    StopRequested,
)
from passgate.check.history import Violation

LEAVING = "leaving"
GRACEFUL_SHUTDOWN = "planned_stop"
CONFIGURATION = "configuration"

LEAVING_GRACE_S = 5.0
"""Time after the first report of leaving in which a back end may still start new work."""

MAX_ADOPTION_S = 19.0
"""Longest time until a daemon applies a change, from the change's acceptance or its own reconnection."""


def check_leaving(events: Sequence[AnyEvent], grace_s: float = LEAVING_GRACE_S) -> list[Violation]:
    """Find work that a leaving back end started after the grace period."""
    violations = []
    report_by_replica: dict[tuple[str, int], BackendLeaving] = {}
    for event in events:
        if isinstance(event, BackendLeaving):
            report_by_replica.setdefault((event.replica_id, event.generation), event)
        elif isinstance(event, BackendRunStarted):
            report = report_by_replica.get((event.replica_id, event.generation))
            if report is not None and event.time_s > report.time_s + grace_s:
                late_s = event.time_s - report.time_s
                message = (
                    f"{event.replica_id} started {event.request_id} {late_s:.1f} s after reporting leaving"
                )
                violations.append(
                    Violation(guarantee=LEAVING, rule="new_work", message=message, excerpt=(report, event))
                )
    return violations


def check_graceful_shutdown(events: Sequence[AnyEvent]) -> list[Violation]:
    """Find requests that a daemon cut off in a graceful shutdown; a kill ends the shutdown."""
    violations = []
    invocation_by_id: dict[str, GenerateInvoked | AppInvoked] = {}
    stops: dict[str, StopRequested] = {}
    for event in events:
        if isinstance(event, GenerateInvoked | AppInvoked):
            invocation_by_id[event.request_id] = event
        elif isinstance(event, StopRequested):
            stops[event.daemon] = event
        elif isinstance(event, DaemonKilled | DaemonStarted):
            stops.pop(event.daemon, None)
        elif isinstance(event, RequestCutOff) and event.request_id in invocation_by_id:
            invocation = invocation_by_id[event.request_id]
            if invocation.daemon in stops:
                violations.append(_make_cut_off_violation(stops[invocation.daemon], invocation, event))
    return violations


def _make_cut_off_violation(
    stop: StopRequested, invocation: GenerateInvoked | AppInvoked, cut: RequestCutOff
) -> Violation:
    first, second = sorted((stop, invocation), key=lambda event: event.time_s)
    return Violation(
        guarantee=GRACEFUL_SHUTDOWN,
        rule="cut_off",
        message=f"{cut.request_id} was cut off by the graceful shutdown of {stop.daemon}",
        excerpt=(first, second, cut),
    )


def check_configuration(
    events: Sequence[AnyEvent], max_adoption_s: float = MAX_ADOPTION_S
) -> list[Violation]:
    """Find accepted changes that a daemon lacks, applies late or reverts, and false conflicts."""
    return [
        *_find_reversions(events),
        *_find_differences(events),
        *_find_lost_changes(events),
        *_find_false_conflicts(events),
        *_find_late_adoptions(events, max_adoption_s),
    ]


def _make_violation(rule: str, message: str, *excerpt: AnyEvent) -> Violation:
    return Violation(guarantee=CONFIGURATION, rule=rule, message=message, excerpt=excerpt)


def _reports(events: Sequence[AnyEvent]) -> list[ConfigurationInForce]:
    return [event for event in events if isinstance(event, ConfigurationInForce)]


def _find_reversions(events: Sequence[AnyEvent]) -> Iterable[Violation]:
    """Find daemons whose revision went back, also over a restart."""
    newest_by_daemon: dict[str, ConfigurationInForce] = {}
    for report in _reports(events):
        known = newest_by_daemon.get(report.daemon)
        if known is not None and report.revision < known.revision:
            message = f"{report.daemon} went from revision {known.revision} to {report.revision}"
            yield _make_violation("monotonic", message, known, report)
        else:
            newest_by_daemon[report.daemon] = report


def _find_differences(events: Sequence[AnyEvent]) -> Iterable[Violation]:
    """Find daemons that have different objects at the same revision."""
    first_by_revision: dict[int, ConfigurationInForce] = {}
    for report in _reports(events):
        known = first_by_revision.setdefault(report.revision, report)
        if known.objects != report.objects:
            message = f"{known.daemon} and {report.daemon} differ at revision {report.revision}"
            yield _make_violation("same_everywhere", message, known, report)


def _find_lost_changes(events: Sequence[AnyEvent]) -> Iterable[Violation]:
    """Find daemons at or past an accepted revision that have neither its value nor a later one.

    An absent object counts as lost only if no operator sent a deletion of it.
    """
    accepted = [event for event in events if isinstance(event, ConfigurationAccepted)]
    deleted_names = {
        event.name for event in events if isinstance(event, ConfigurationInvoked) and not event.value
    }
    for report in _reports(events):
        object_by_name = {item.name: item for item in report.objects}
        for change in accepted:
            if change.revision > report.revision:
                continue
            if _is_lost(change, object_by_name.get(change.name), deleted_names):
                message = f"{report.daemon} lacks {change.name} of revision {change.revision}"
                yield _make_violation("accepted_stays", message, change, report)


def _is_lost(
    change: ConfigurationAccepted, applied: ConfigurationObject | None, deleted_names: set[str]
) -> bool:
    if applied is None:
        return bool(change.value) and change.name not in deleted_names
    if applied.revision == change.revision:
        return applied.value != change.value
    return applied.revision < change.revision


def _find_false_conflicts(events: Sequence[AnyEvent]) -> Iterable[Violation]:
    """Find conflicts that name the expected revision, or one that the object never had."""
    revisions_by_name: dict[str, set[int]] = defaultdict(set)
    for event in events:
        if isinstance(event, ConfigurationAccepted):
            revisions_by_name[event.name].add(event.revision)
        elif isinstance(event, ConfigurationInForce):
            for item in event.objects:
                revisions_by_name[item.name].add(item.revision)
    for event in events:
        if not isinstance(event, ConfigurationRefused):
            continue
        if event.winning_revision == event.expected_revision:
            yield _make_violation("true_conflict", f"{event.name}: refused without a conflict", event)
        elif event.winning_revision and event.winning_revision not in revisions_by_name[event.name]:
            message = f"{event.name}: refused for revision {event.winning_revision}, which never existed"
            yield _make_violation("true_conflict", message, event)


def _find_late_adoptions(events: Sequence[AnyEvent], max_adoption_s: float) -> Iterable[Violation]:
    """Find accepted changes that a daemon connected to the log did not apply in time."""
    end_s = max((event.time_s for event in events), default=0.0)
    for change in events:
        if not isinstance(change, ConfigurationAccepted):
            continue
        for daemon, start in _find_adoption_starts(events, change).items():
            deadline_s = start.time_s + max_adoption_s
            started_s = start.time_s if isinstance(start, DaemonStarted) else 0.0
            if deadline_s > end_s or _has_adopted(events, daemon, change.revision, started_s, deadline_s):
                continue
            message = f"{daemon} had not applied revision {change.revision} after {max_adoption_s:g} s"
            excerpt = (change,) if start is change else (change, start)
            yield _make_violation("in_force", message, *excerpt)


def _find_adoption_starts(events: Sequence[AnyEvent], change: ConfigurationAccepted) -> dict[str, AnyEvent]:
    """Return for each daemon the event from which its time to apply a change is counted.

    That is the change itself, or the daemon's later start or reconnection.  Daemons that are
    ended or disconnected at the end of the history are left out.
    """
    start_by_daemon: dict[str, AnyEvent] = {}
    absent: set[str] = set()
    for event in events:
        if isinstance(event, DaemonStarted | DaemonReconnected):
            absent.discard(event.daemon)
            start_by_daemon[event.daemon] = event if event.time_s >= change.time_s else change
        elif isinstance(event, DaemonKilled | StopRequested | StopFinished | DaemonCut):
            absent.add(event.daemon)
    return {daemon: event for daemon, event in start_by_daemon.items() if daemon not in absent}


def _has_adopted(
    events: Sequence[AnyEvent], daemon: str, revision: int, since_s: float, deadline_s: float
) -> bool:
    return any(
        report.daemon == daemon and report.revision >= revision and since_s <= report.time_s <= deadline_s
        for report in _reports(events)
    )
