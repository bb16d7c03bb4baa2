"""Checks of the guarantees on requests: complete and own answers, "not run", at most once."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from passgate.check.events import (
    AnyEvent,
    AppCompleted,
    AppInvoked,
    BackendRunStarted,
    GenerateCompleted,
    GenerateInvoked,
    RequestFailed,
)
from passgate.check.history import Violation
from passgate.check.sample_checks import ReceivedOutput, TokenOracle, received_outputs
from passgate.errors import ExecutionStatus
from passgate.schema import FinishReason

COMPLETE_ANSWER = "whole_answer"
NOT_RUN = "not_run"
AT_MOST_ONCE = "at_most_once"


class _Finding(NamedTuple):
    rule: str
    message: str
    invocation: AnyEvent
    answer: AnyEvent


def check_complete_answer(events: Sequence[AnyEvent], oracle: TokenOracle) -> list[Violation]:
    """Find answers that are incomplete or belong to another request."""
    findings = [*_find_crossed_answers(events), *_find_app_faults(events)]
    for output in received_outputs(events):
        findings += _find_output_faults(output, oracle)
    return [
        Violation(
            guarantee=COMPLETE_ANSWER,
            rule=finding.rule,
            message=finding.message,
            excerpt=(finding.invocation, finding.answer),
        )
        for finding in findings
    ]


def _find_crossed_answers(events: Sequence[AnyEvent]) -> Iterator[_Finding]:
    invocation_by_id = {event.request_id: event for event in events if isinstance(event, GenerateInvoked)}
    for answer in events:
        if not isinstance(answer, GenerateCompleted):
            continue
        if answer.request_id not in invocation_by_id:
            yield _Finding("never_asked", f"{answer.request_id} was never sent", answer, answer)
        elif answer.answer_request_id != answer.request_id:
            message = f"{answer.request_id} got the answer to {answer.answer_request_id}"
            yield _Finding("own_answer", message, invocation_by_id[answer.request_id], answer)


def _find_output_faults(output: ReceivedOutput, oracle: TokenOracle) -> Iterator[_Finding]:
    if not _is_complete(output):
        yield _Finding("whole", f"{output.label} is incomplete", output.invocation, output.received)
    elif _is_from_other_prompt(output, oracle):
        message = f"{output.label} has the tokens of another prompt"
        yield _Finding("own_answer", message, output.invocation, output.received)


def _is_complete(output: ReceivedOutput) -> bool:
    length = len(output.tokens)
    if output.expected_length:
        return length == output.expected_length
    if output.finish_reason is FinishReason.LENGTH:
        return length == output.max_tokens
    return 0 < length <= output.max_tokens


def _is_from_other_prompt(output: ReceivedOutput, oracle: TokenOracle) -> bool:
    """Return whether no token is what any of the named versions produces for the prompt."""
    versions = {span.version for span in output.spans}
    return bool(output.tokens) and not any(
        oracle(output.model, output.prompt, output.seed, position, version) == token
        for position, token in enumerate(output.tokens)
        for version in versions
    )


def _find_app_faults(events: Sequence[AnyEvent]) -> Iterator[_Finding]:
    invocation_by_id = {event.request_id: event for event in events if isinstance(event, AppInvoked)}
    for answer in events:
        if not isinstance(answer, AppCompleted):
            continue
        if answer.request_id not in invocation_by_id:
            yield _Finding("never_asked", f"{answer.request_id} was never sent", answer, answer)
        elif answer.answer_digest != invocation_by_id[answer.request_id].expected_digest:
            message = f"{answer.request_id} got the answer to another request"
            yield _Finding("own_answer", message, invocation_by_id[answer.request_id], answer)


def check_not_run(events: Sequence[AnyEvent]) -> list[Violation]:
    """Find requests that were refused as "not run" and ran, before or after the refusal."""
    first_run_by_id: dict[str, BackendRunStarted] = {}
    for event in events:
        if isinstance(event, BackendRunStarted):
            first_run_by_id.setdefault(event.request_id, event)
    return [
        Violation(
            guarantee=NOT_RUN,
            rule="refused_request_ran",
            message=f"{event.request_id} was refused as not run and ran",
            excerpt=(first_run_by_id[event.request_id], event),
        )
        for event in events
        if isinstance(event, RequestFailed)
        and event.execution is ExecutionStatus.NOT_RUN
        and event.request_id in first_run_by_id
    ]


def check_at_most_once(events: Sequence[AnyEvent]) -> list[Violation]:
    """Find requests marked as not repeatable that ran more than once, counted over their idempotency key."""
    invocations = [
        event for event in events if isinstance(event, GenerateInvoked | AppInvoked) and not event.repeatable
    ]
    key_by_id = {event.request_id: event.key or event.request_id for event in invocations}
    invocation_by_id = {event.request_id: event for event in invocations}
    runs_by_key: dict[str, list[BackendRunStarted]] = defaultdict(list)
    for event in events:
        if isinstance(event, BackendRunStarted) and event.request_id in key_by_id:
            runs_by_key[key_by_id[event.request_id]].append(event)
    return [
        Violation(
            guarantee=AT_MOST_ONCE,
            rule="ran_twice",
            message=f"{key} ran {len(runs)} times",
            excerpt=(invocation_by_id[runs[0].request_id], runs[0], runs[1]),
        )
        for key, runs in runs_by_key.items()
        if len(runs) > 1
    ]
