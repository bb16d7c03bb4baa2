"""Histories with one violation each: the check of the violated guarantee must name the rule."""

from __future__ import annotations

import io

import msgspec
import pytest

from passgate.check import events as e
from passgate.check.history import HistoryRecorder, read_history
from passgate.check.history_verdict import check_history
from passgate.errors import ExecutionStatus
from passgate.schema import FinishReason, VersionSpan


def oracle(model, prompt, seed, position, version):
    return hash((model, prompt, seed, position, version)) % 50_000


def tokens_of(prompt, seed, spans):
    return tuple(oracle("m", prompt, seed, p, s.version) for s in spans for p in range(s.start, s.end))


SPANS = (VersionSpan(0, 2, 5), VersionSpan(2, 4, 6))
REQUEST = e.GenerateInvoked(
    time_s=1.0, request_id="g1", daemon="a", model="m", prompt=(1, 2), max_tokens=4, seed=7
)
ANSWER = e.GenerateCompleted(
    time_s=2.0,
    request_id="g1",
    answer_request_id="g1",
    tokens=tokens_of((1, 2), 7, SPANS),
    spans=SPANS,
    finish_reason=FinishReason.LENGTH,
)
ORDER_CALL = e.AppInvoked(
    time_s=1.0, request_id="p1", daemon="a", expected_digest="d1", key="k", repeatable=False
)
REPEATED_ORDER_CALL = msgspec.structs.replace(ORDER_CALL, time_s=3.0, request_id="p2", daemon="b")
ORDER_RUN = e.BackendRunStarted(time_s=1.1, request_id="p1", replica_id="app1")
ORDER_ANSWER = e.AppCompleted(time_s=1.5, request_id="p1", answer_digest="d1")
LOT = e.LotSubmitted(
    time_s=1.0,
    lot_id="l",
    trainer="t",
    staleness_bound=1,
    model="m",
    prompts=tuple(e.LotPrompt(prompt=(p,), max_tokens=4, seed=0) for p in (1, 2)),
)


def sample(index, spans=SPANS):
    return e.ReceivedSample(
        sample_id=f"l/{index}",
        index=index,
        attempt=1,
        tokens=tokens_of((index + 1,), 0, spans),
        spans=spans,
        finish_reason=FinishReason.LENGTH,
    )


def page(time_s, cursor, *samples, finished=False, version=6):
    return e.PageReceived(
        time_s=time_s,
        lot_id="l",
        cursor=cursor,
        next_cursor=cursor + len(samples),
        trainer_version=version,
        samples=samples,
        finished=finished,
    )


PAGE_0, PAGE_1 = page(3.0, 0, sample(0)), page(4.0, 1, sample(1), finished=True)
REFUSED = e.RequestFailed(time_s=5.0, request_id="p2", error="overloaded", execution=ExecutionStatus.NOT_RUN)
CHANGE = e.ConfigurationAccepted(time_s=1.0, name="Pool/x", expected_revision=0, revision=3, value="v3")


def configuration_report(time_s, daemon, revision, value="v3", object_revision=3):
    applied = e.ConfigurationObject(name="Pool/x", revision=object_revision, value=value)
    return e.ConfigurationInForce(time_s=time_s, daemon=daemon, revision=revision, objects=(applied,))


CLEAN = [
    e.DaemonStarted(time_s=0.0, daemon="a"),
    e.DaemonStarted(time_s=0.0, daemon="b"),
    REQUEST,
    ORDER_CALL,
    LOT,
    CHANGE,
    configuration_report(1.2, "a", 3),
    configuration_report(1.3, "b", 3),
    ORDER_RUN,
    ORDER_ANSWER,
    ANSWER,
    PAGE_0,
    REPEATED_ORDER_CALL,
    page(3.5, 0, sample(0)),
    PAGE_1,
    REFUSED,
    e.BackendLeaving(time_s=6.0, replica_id="e1"),
    e.BackendRunStarted(time_s=7.0, request_id="g9", replica_id="e1"),
    e.StopRequested(time_s=8.0, daemon="b"),
    e.HistoryClosed(time_s=40.0),
]


def replaced(old, **changes):
    return [msgspec.structs.replace(event, **changes) if event is old else event for event in CLEAN]


def added(*extra):
    return sorted([*CLEAN, *extra], key=lambda event: event.time_s)


def without(*dropped):
    return [event for event in CLEAN if event not in dropped]


WRONG_SPANS = (VersionSpan(0, 3, 5), VersionSpan(3, 4, 6))
VIOLATING_HISTORIES = {
    "wrong version": ("true_versions", "token_of_version", replaced(ANSWER, spans=WRONG_SPANS)),
    "gap in spans": ("true_versions", "spans_cover_output", replaced(ANSWER, spans=SPANS[:1])),
    "stale when delivered": ("staleness", "bound", replaced(PAGE_0, trainer_version=7)),
    "changed sample": (
        "exactly_once",
        "same_bytes",
        added(page(3.6, 0, sample(0, spans=(VersionSpan(0, 4, 6),)))),
    ),
    "sample repeated later": ("exactly_once", "doubled", added(page(4.5, 2, sample(0)))),
    "second sample for an index": (
        "exactly_once",
        "one_sample_per_slot",
        added(page(4.5, 2, msgspec.structs.replace(sample(0), sample_id="l/0b"))),
    ),
    "lost in a finished lot": ("exactly_once", "lost", replaced(PAGE_1, samples=())),
    "lost at the end": ("exactly_once", "lost", without(PAGE_1)),
    "truncated answer": (
        "whole_answer",
        "whole",
        replaced(ANSWER, tokens=ANSWER.tokens[:2], spans=SPANS[:1]),
    ),
    "unexpected length": ("whole_answer", "whole", replaced(REQUEST, expected_length=3)),
    "answer to another request": ("whole_answer", "own_answer", replaced(ANSWER, answer_request_id="g2")),
    "tokens of another prompt": (
        "whole_answer",
        "own_answer",
        replaced(ANSWER, tokens=tokens_of((9, 9), 7, SPANS)),
    ),
    "app answer to another request": (
        "whole_answer",
        "own_answer",
        replaced(ORDER_ANSWER, answer_digest="d2"),
    ),
    "ran after not run": (
        "not_run",
        "refused_request_ran",
        added(e.BackendRunStarted(time_s=6.0, request_id="p2", replica_id="app2")),
    ),
    "two runs of one key": (
        "at_most_once",
        "ran_twice",
        added(e.BackendRunStarted(time_s=3.2, request_id="p2", replica_id="app2")),
    ),
    "two runs of one request": (
        "at_most_once",
        "ran_twice",
        added(e.BackendRunStarted(time_s=3.2, request_id="p1", replica_id="app2")),
    ),
    "work after leaving": (
        "leaving",
        "new_work",
        added(e.BackendRunStarted(time_s=11.5, request_id="g9", replica_id="e1")),
    ),
    "cut off by a graceful shutdown": (
        "planned_stop",
        "cut_off",
        added(
            e.GenerateInvoked(
                time_s=7.5, request_id="g3", daemon="b", model="m", prompt=(1,), max_tokens=1, seed=0
            ),
            e.RequestCutOff(time_s=9.0, request_id="g3"),
        ),
    ),
    "revision went back": ("configuration", "monotonic", added(configuration_report(9.0, "a", 2, "v1", 1))),
    "daemons differ": ("configuration", "same_everywhere", added(configuration_report(9.0, "a", 3, "other"))),
    "accepted change is lost": (
        "configuration",
        "accepted_stays",
        added(configuration_report(9.0, "a", 5, "v1", 1)),
    ),
    "conflict with an unknown revision": (
        "configuration",
        "true_conflict",
        added(e.ConfigurationRefused(time_s=9.0, name="Pool/x", expected_revision=3, winning_revision=4)),
    ),
    "late adoption": ("configuration", "in_force", added(e.DaemonStarted(time_s=2.0, daemon="c"))),
}


def test_clean_history_has_no_violations():
    verdict = check_history(CLEAN, oracle)
    assert verdict.violation_counts() == {}


@pytest.mark.parametrize("name", VIOLATING_HISTORIES)
def test_violation_is_found_with_a_short_excerpt(name):
    guarantee, rule, history = VIOLATING_HISTORIES[name]
    verdict = check_history(history, oracle)
    shortest = next(v for v in verdict.guarantees if v.guarantee == guarantee).shortest_violation
    assert shortest is not None
    assert shortest.rule == rule
    assert len(shortest.excerpt) <= 3
    assert all(event in history for event in shortest.excerpt)


def test_every_guarantee_has_a_violating_history():
    guarantees = {guarantee for guarantee, _, _ in VIOLATING_HISTORIES.values()}
    assert guarantees == {verdict.guarantee for verdict in check_history([], oracle).guarantees}


def test_killed_daemon_may_cut_requests_off():
    history = added(
        e.GenerateInvoked(
            time_s=7.5, request_id="g3", daemon="b", model="m", prompt=(1,), max_tokens=1, seed=0
        ),
        e.DaemonKilled(time_s=8.5, daemon="b"),
        e.RequestCutOff(time_s=9.0, request_id="g3"),
    )
    assert check_history(history, oracle).holds()


def test_history_is_read_back_as_it_was_written():
    file = io.BytesIO()
    recorder = HistoryRecorder(file)
    for event in CLEAN:
        recorder.record(event)
    assert read_history(file.getvalue().splitlines()) == CLEAN


def test_error_names_the_unreadable_line():
    with pytest.raises(e.HistoryFormatError) as caught:
        read_history([b"", b'{"type":"nothing"}'])
    assert caught.value.details["line"] == "2"
