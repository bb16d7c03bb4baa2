"""Judges of the promises on operations: leaving back ends, planned stops, configuration."""

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
PLANNED_STOP = "planned_stop"
CONFIGURATION = "configuration"

LEAVING_GRACE_S = 5.0
"""Longest time after the first word of leaving in which new work may still arrive."""

IN_FORCE_WITHIN_S = 19.0
"""Longest time from acceptance, or from the end of a daemon's cut, until it is in force."""


def judge_leaving(events: Sequence[AnyEvent], grace_s: float = LEAVING_GRACE_S) -> list[Violation]:
    """A back end that is leaving starts no new work after the grace period."""
    violations = []
    leaving: dict[tuple[str, int], BackendLeaving] = {}
    for event in events:
        if isinstance(event, BackendLeaving):
            leaving.setdefault((event.replica_id, event.generation), event)
        elif isinstance(event, BackendRunStarted):
            word = leaving.get((event.replica_id, event.generation))
            if word is not None and event.time_s > word.time_s + grace_s:
                late_s = event.time_s - word.time_s
                message = f"{event.replica_id} got {event.request_id} {late_s:.1f} s after its word"
                violations.append(
                    Violation(promise=LEAVING, rule="new_work", message=message, excerpt=(word, event))
                )
    return violations


def judge_planned_stop(events: Sequence[AnyEvent]) -> list[Violation]:
    """A daemon that stops by plan, and was not killed meanwhile, cuts no request off."""
    violations = []
    invoked: dict[str, GenerateInvoked | AppInvoked] = {}
    stopping: dict[str, StopRequested] = {}
    for event in events:
        if isinstance(event, GenerateInvoked | AppInvoked):
            invoked[event.request_id] = event
        elif isinstance(event, StopRequested):
            stopping[event.daemon] = event
        elif isinstance(event, DaemonKilled | DaemonStarted):
            stopping.pop(event.daemon, None)
        elif isinstance(event, RequestCutOff) and event.request_id in invoked:
            asked = invoked[event.request_id]
            if asked.daemon in stopping:
                violations.append(_cut_off(stopping[asked.daemon], asked, event))
    return violations


def _cut_off(stop: StopRequested, asked: GenerateInvoked | AppInvoked, cut: RequestCutOff) -> Violation:
    first, second = sorted((stop, asked), key=lambda event: event.time_s)
    return Violation(
        promise=PLANNED_STOP,
        rule="cut_off",
        message=f"{cut.request_id} was cut off by the planned stop of {stop.daemon}",
        excerpt=(first, second, cut),
    )


def judge_configuration(events: Sequence[AnyEvent], within_s: float = IN_FORCE_WITHIN_S) -> list[Violation]:
    """Accepted configuration is in force everywhere within seconds and never reverts."""
    return [
        *_reverted(events),
        *_differing(events),
        *_lost_changes(events),
        *_false_conflicts(events),
        *_late(events, within_s),
    ]


def _violation(rule: str, message: str, *excerpt: AnyEvent) -> Violation:
    return Violation(promise=CONFIGURATION, rule=rule, message=message, excerpt=excerpt)


def _reports(events: Sequence[AnyEvent]) -> list[ConfigurationInForce]:
    return [event for event in events if isinstance(event, ConfigurationInForce)]


def _reverted(events: Sequence[AnyEvent]) -> Iterable[Violation]:
    """The revision of one daemon never goes back, also not over a restart."""
    newest: dict[str, ConfigurationInForce] = {}
    for report in _reports(events):
        known = newest.get(report.daemon)
        if known is not None and report.revision < known.revision:
            message = f"{report.daemon} went from revision {known.revision} to {report.revision}"
            yield _violation("monotonic", message, known, report)
        else:
            newest[report.daemon] = report


def _differing(events: Sequence[AnyEvent]) -> Iterable[Violation]:
    """Two daemons at one revision hold the same objects."""
    first: dict[int, ConfigurationInForce] = {}
    for report in _reports(events):
        known = first.setdefault(report.revision, report)
        if known.objects != report.objects:
            message = f"{known.daemon} and {report.daemon} differ at revision {report.revision}"
            yield _violation("same_everywhere", message, known, report)


def _lost_changes(events: Sequence[AnyEvent]) -> Iterable[Violation]:
    """A daemon at or past an accepted revision holds that value or a later change of it."""
    accepted = [event for event in events if isinstance(event, ConfigurationAccepted)]
    deletions = {
        event.name for event in events if isinstance(event, ConfigurationInvoked) and not event.value
    }
    for report in _reports(events):
        held = {item.name: item for item in report.objects}
        for change in accepted:
            if change.revision > report.revision:
                continue
            if _is_lost(change, held.get(change.name), deletions):
                message = f"{report.daemon} lacks {change.name} of revision {change.revision}"
                yield _violation("accepted_stays", message, change, report)


def _is_lost(change: ConfigurationAccepted, held: ConfigurationObject | None, deletions: set[str]) -> bool:
    if held is None:
        return bool(change.value) and change.name not in deletions
    if held.revision == change.revision:
        return held.value != change.value
    return held.revision < change.revision


def _false_conflicts(events: Sequence[AnyEvent]) -> Iterable[Violation]:
    """A conflict names a revision of the object that stands on the log and differs from the expected one."""
    known: dict[str, set[int]] = defaultdict(set)
    for event in events:
        if isinstance(event, ConfigurationAccepted):
            known[event.name].add(event.revision)
        elif isinstance(event, ConfigurationInForce):
            for item in event.objects:
                known[item.name].add(item.revision)
    for event in events:
        if not isinstance(event, ConfigurationRefused):
            continue
        if event.winning_revision == event.expected_revision:
            yield _violation("true_conflict", f"{event.name}: refused without a conflict", event)
        elif event.winning_revision and event.winning_revision not in known[event.name]:
            message = f"{event.name}: lost to revision {event.winning_revision}, which never was"
            yield _violation("true_conflict", message, event)


def _late(events: Sequence[AnyEvent], within_s: float) -> Iterable[Violation]:
    """Each daemon that can hear reports an accepted revision in time."""
    end_s = max((event.time_s for event in events), default=0.0)
    for change in events:
        if not isinstance(change, ConfigurationAccepted):
            continue
        for daemon, since in _hearing_since(events, change).items():
            deadline_s = since.time_s + within_s
            alive_since_s = since.time_s if isinstance(since, DaemonStarted) else 0.0
            if deadline_s > end_s or _heard_by(events, daemon, change.revision, alive_since_s, deadline_s):
                continue
            message = f"{daemon} lacked revision {change.revision} {within_s:g} s later"
            excerpt = (change,) if since is change else (change, since)
            yield _violation("in_force", message, *excerpt)


def _hearing_since(events: Sequence[AnyEvent], change: ConfigurationAccepted) -> dict[str, AnyEvent]:
    """Return for each daemon the event from which it must learn of a change in time.

    That is the change itself, or the daemon's later start or reconnection; daemons that
    end or are cut off before they had the time are left out.
    """
    since: dict[str, AnyEvent] = {}
    away: set[str] = set()
    for event in events:
        if isinstance(event, DaemonStarted | DaemonReconnected):
            away.discard(event.daemon)
            since[event.daemon] = event if event.time_s >= change.time_s else change
        elif isinstance(event, DaemonKilled | StopRequested | StopFinished | DaemonCut):
            away.add(event.daemon)
    return {daemon: event for daemon, event in since.items() if daemon not in away}


def _heard_by(
    events: Sequence[AnyEvent], daemon: str, revision: int, since_s: float, deadline_s: float
) -> bool:
    return any(
        report.daemon == daemon and report.revision >= revision and since_s <= report.time_s <= deadline_s
        for report in _reports(events)
    )
