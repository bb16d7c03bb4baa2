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
    LotSubmitted,
    PageReceived,
    RequestFailed,
)
from passgate.check.history import Violation
from passgate.check.judges_samples import TokenOracle
from passgate.errors import ExecutionStatus
from passgate.schema import FinishReason, VersionSpan

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
    generates: dict[str, GenerateInvoked] = {}
    apps: dict[str, AppInvoked] = {}
    lots: dict[str, LotSubmitted] = {}
    faults: list[_Fault] = []
    for event in events:
        if isinstance(event, GenerateInvoked):
            generates[event.request_id] = event
        elif isinstance(event, AppInvoked):
            apps[event.request_id] = event
        elif isinstance(event, LotSubmitted):
            lots[event.lot_id] = event
        elif isinstance(event, GenerateCompleted):
            faults += _generate_faults(generates.get(event.request_id), event, oracle)
        elif isinstance(event, AppCompleted):
            faults += _app_faults(apps.get(event.request_id), event)
        elif isinstance(event, PageReceived) and event.lot_id in lots:
            faults += _page_faults(lots[event.lot_id], event, oracle)
    return [
        Violation(
            promise=WHOLE_ANSWER,
            rule=fault.rule,
            message=fault.message,
            excerpt=(fault.asked, fault.answered),
        )
        for fault in faults
    ]


def _generate_faults(
    asked: GenerateInvoked | None, answer: GenerateCompleted, oracle: TokenOracle
) -> Iterator[_Fault]:
    if asked is None:
        yield _Fault("never_asked", f"{answer.request_id} was never sent", answer, answer)
        return
    if answer.answer_request_id != answer.request_id:
        message = f"{answer.request_id} got the answer to {answer.answer_request_id}"
        yield _Fault("own_answer", message, asked, answer)
    elif not _is_whole(answer.tokens, answer.finish_reason, asked.max_tokens):
        yield _Fault("whole", f"{answer.request_id} got a part only", asked, answer)
    elif _is_foreign(asked.prompt, asked.seed, answer.tokens, answer.spans, oracle):
        yield _Fault("own_answer", f"{answer.request_id} got tokens of another prompt", asked, answer)


def _page_faults(lot: LotSubmitted, page: PageReceived, oracle: TokenOracle) -> Iterator[_Fault]:
    for sample in page.samples:
        if not 0 <= sample.index < len(lot.prompts):
            continue
        if not _is_whole(sample.tokens, sample.finish_reason, lot.max_tokens[sample.index]):
            yield _Fault("whole", f"{sample.sample_id} is a part only", lot, page)
        prompt, seed = lot.prompts[sample.index], lot.seeds[sample.index]
        if _is_foreign(prompt, seed, sample.tokens, sample.spans, oracle):
            yield _Fault("own_answer", f"{sample.sample_id} holds tokens of another prompt", lot, page)


def _is_whole(tokens: tuple[int, ...], reason: FinishReason, max_tokens: int) -> bool:
    if reason is FinishReason.LENGTH:
        return len(tokens) == max_tokens
    return 0 < len(tokens) <= max_tokens


def _is_foreign(
    prompt: tuple[int, ...],
    seed: int,
    tokens: tuple[int, ...],
    spans: tuple[VersionSpan, ...],
    oracle: TokenOracle,
) -> bool:
    """Return whether no token is the one that any named version yields for the prompt."""
    versions = {span.version for span in spans}
    return bool(tokens) and not any(
        oracle(prompt, seed, position, version) == token
        for position, token in enumerate(tokens)
        for version in versions
    )


def _app_faults(asked: AppInvoked | None, answer: AppCompleted) -> Iterator[_Fault]:
    if asked is None:
        yield _Fault("never_asked", f"{answer.request_id} was never sent", answer, answer)
    elif answer.answer_digest != asked.expected_digest:
        yield _Fault("own_answer", f"{answer.request_id} got another answer", asked, answer)


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
