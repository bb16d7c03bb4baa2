"""Judges of the promises on requests: whole own answers, "not run", at most once."""

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
from passgate.check.judges_samples import Output, TokenOracle, outputs
from passgate.errors import ExecutionStatus
from passgate.schema import FinishReason

WHOLE_ANSWER = "whole_answer"
NOT_RUN = "not_run"
AT_MOST_ONCE = "at_most_once"


class _Fault(NamedTuple):
    rule: str
    message: str
    asked: AnyEvent
    answered: AnyEvent


def judge_whole_answer(events: Sequence[AnyEvent], oracle: TokenOracle) -> list[Violation]:
    """Each answer is the whole answer to the request that the caller sent."""
    faults = [*_crossed_answers(events), *_app_faults(events)]
    for output in outputs(events):
        faults += _output_faults(output, oracle)
    return [
        Violation(
            promise=WHOLE_ANSWER,
            rule=fault.rule,
            message=fault.message,
            excerpt=(fault.asked, fault.answered),
        )
        for fault in faults
    ]


def _crossed_answers(events: Sequence[AnyEvent]) -> Iterator[_Fault]:
    asked = {event.request_id: event for event in events if isinstance(event, GenerateInvoked)}
    for answer in events:
        if not isinstance(answer, GenerateCompleted):
            continue
        if answer.request_id not in asked:
            yield _Fault("never_asked", f"{answer.request_id} was never sent", answer, answer)
        elif answer.answer_request_id != answer.request_id:
            message = f"{answer.request_id} got the answer to {answer.answer_request_id}"
            yield _Fault("own_answer", message, asked[answer.request_id], answer)


def _output_faults(output: Output, oracle: TokenOracle) -> Iterator[_Fault]:
    if not _is_whole(output):
        yield _Fault("whole", f"{output.label} is a part only", output.asked, output.received)
    elif _is_foreign(output, oracle):
        message = f"{output.label} holds tokens of another prompt"
        yield _Fault("own_answer", message, output.asked, output.received)


def _is_whole(output: Output) -> bool:
    length = len(output.tokens)
    if output.expected_length:
        return length == output.expected_length
    if output.finish_reason is FinishReason.LENGTH:
        return length == output.max_tokens
    return 0 < length <= output.max_tokens


def _is_foreign(output: Output, oracle: TokenOracle) -> bool:
    """Return whether no token is the one that any named version yields for the prompt."""
    versions = {span.version for span in output.spans}
    return bool(output.tokens) and not any(
        oracle(output.model, output.prompt, output.seed, position, version) == token
        for position, token in enumerate(output.tokens)
        for version in versions
    )


def _app_faults(events: Sequence[AnyEvent]) -> Iterator[_Fault]:
    asked = {event.request_id: event for event in events if isinstance(event, AppInvoked)}
    for answer in events:
        if not isinstance(answer, AppCompleted):
            continue
        if answer.request_id not in asked:
            yield _Fault("never_asked", f"{answer.request_id} was never sent", answer, answer)
        elif answer.answer_digest != asked[answer.request_id].expected_digest:
            message = f"{answer.request_id} got another answer"
            yield _Fault("own_answer", message, asked[answer.request_id], answer)


def judge_not_run(events: Sequence[AnyEvent]) -> list[Violation]:
    """A request refused as "not run" is never executed, before or after the refusal."""
    runs: dict[str, BackendRunStarted] = {}
    for event in events:
        if isinstance(event, BackendRunStarted):
            runs.setdefault(event.request_id, event)
    return [
        Violation(
            promise=NOT_RUN,
            rule="refused_request_ran",
            message=f"{event.request_id} was refused as not run and ran",
            excerpt=(runs[event.request_id], event),
        )
        for event in events
        if isinstance(event, RequestFailed)
        and event.execution is ExecutionStatus.NOT_RUN
        and event.request_id in runs
    ]


def judge_at_most_once(events: Sequence[AnyEvent]) -> list[Violation]:
    """A request marked as not repeatable runs at most once, whatever its caller repeats."""
    invocations = [
        event for event in events if isinstance(event, GenerateInvoked | AppInvoked) and not event.repeatable
    ]
    identity = {event.request_id: event.key or event.request_id for event in invocations}
    first_invocation = {event.request_id: event for event in invocations}
    runs: dict[str, list[BackendRunStarted]] = defaultdict(list)
    for event in events:
        if isinstance(event, BackendRunStarted) and event.request_id in identity:
            runs[identity[event.request_id]].append(event)
    return [
        Violation(
            promise=AT_MOST_ONCE,
            rule="ran_twice",
            message=f"{key} ran {len(started)} times",
            excerpt=(first_invocation[started[0].request_id], started[0], started[1]),
        )
        for key, started in runs.items()
        if len(started) > 1
    ]
