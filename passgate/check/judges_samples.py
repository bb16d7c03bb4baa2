"""Judges of the promises on samples: true versions, staleness, exactly once."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Protocol

import msgspec

from passgate.check.events import (
    AnyEvent,
    GenerateCompleted,
    GenerateInvoked,
    HistoryClosed,
    LotAbandoned,
    LotPrompt,
    LotSubmitted,
    PageReceived,
    ReceivedSample,
)
from passgate.check.history import Violation
from passgate.schema import FinishReason, VersionSpan

TRUE_VERSIONS = "true_versions"
STALENESS = "staleness"
EXACTLY_ONCE = "exactly_once"


class TokenOracle(Protocol):
    """The deterministic output of the stand-in engines, the judge of version truth."""

    def __call__(self, model: str, prompt: tuple[int, ...], seed: int, position: int, version: int) -> int:
        """Return the token that weights of ``version`` produce at ``position``."""
        ...


class Output(msgspec.Struct, frozen=True):
    """One received output with the events that asked for and brought it."""

    label: str
    asked: GenerateInvoked | LotSubmitted
    received: GenerateCompleted | PageReceived
    model: str
    prompt: tuple[int, ...]
    seed: int
    max_tokens: int
    expected_length: int
    tokens: tuple[int, ...]
    spans: tuple[VersionSpan, ...]
    finish_reason: FinishReason


def judge_true_versions(events: Sequence[AnyEvent], oracle: TokenOracle) -> list[Violation]:
    """Each received token must be the one that its named version produces."""
    violations = []
    for output in outputs(events):
        rule, message = _version_fault(output, oracle)
        if rule:
            violations.append(
                Violation(
                    promise=TRUE_VERSIONS,
                    rule=rule,
                    message=f"{output.label}: {message}",
                    excerpt=(output.asked, output.received),
                )
            )
    return violations


def _version_fault(output: Output, oracle: TokenOracle) -> tuple[str, str]:
    position = 0
    for span in output.spans:
        if span.start != position or span.end <= span.start or span.version <= 0:
            return "spans_cover_output", f"span {span} does not continue at token {position}"
        position = span.end
    if position != len(output.tokens):
        return "spans_cover_output", f"spans end at {position} of {len(output.tokens)} tokens"
    for span in output.spans:
        for index in range(span.start, span.end):
            if oracle(output.model, output.prompt, output.seed, index, span.version) != output.tokens[index]:
                return "token_of_version", f"token {index} was not produced by version {span.version}"
    return "", ""


def outputs(events: Sequence[AnyEvent]) -> Iterator[Output]:
    """Yield every output that a caller or trainer received, with what it had asked for."""
    invoked: dict[str, GenerateInvoked] = {}
    lots: dict[str, LotSubmitted] = {}
    for event in events:
        if isinstance(event, GenerateInvoked):
            invoked[event.request_id] = event
        elif isinstance(event, LotSubmitted):
            lots[event.lot_id] = event
        elif isinstance(event, GenerateCompleted) and event.request_id in invoked:
            asked = invoked[event.request_id]
            yield _output(event.request_id, asked, event, asked, event)
        elif isinstance(event, PageReceived) and event.lot_id in lots:
            lot = lots[event.lot_id]
            for sample in event.samples:
                if 0 <= sample.index < len(lot.prompts):
                    yield _output(sample.sample_id, lot, event, lot.prompts[sample.index], sample)


def _output(
    label: str,
    asked: GenerateInvoked | LotSubmitted,
    received: GenerateCompleted | PageReceived,
    wanted: GenerateInvoked | LotPrompt,
    got: GenerateCompleted | ReceivedSample,
) -> Output:
    return Output(
        label=label,
        asked=asked,
        received=received,
        model=asked.model,
        prompt=wanted.prompt,
        seed=wanted.seed,
        max_tokens=wanted.max_tokens,
        expected_length=wanted.expected_length,
        tokens=got.tokens,
        spans=got.spans,
        finish_reason=got.finish_reason,
    )


def judge_staleness(events: Sequence[AnyEvent]) -> list[Violation]:
    """No received sample may hold a token older than the lot's bound allows."""
    violations = []
    lots = {event.lot_id: event for event in events if isinstance(event, LotSubmitted)}
    for page in events:
        if not isinstance(page, PageReceived) or page.lot_id not in lots:
            continue
        lot = lots[page.lot_id]
        oldest_allowed = page.trainer_version - lot.staleness_bound
        for sample in page.samples:
            oldest = min((span.version for span in sample.spans), default=0)
            if oldest < oldest_allowed:
                message = f"{sample.sample_id}: version {oldest} is older than {oldest_allowed}"
                violations.append(
                    Violation(promise=STALENESS, rule="bound", message=message, excerpt=(lot, page))
                )
    return violations


def judge_exactly_once(events: Sequence[AnyEvent]) -> list[Violation]:
    """Every slot of a lot brings one sample: same bytes on repeats, none twice, none lost."""
    violations = []
    for lot in (event for event in events if isinstance(event, LotSubmitted)):
        pages = [event for event in events if isinstance(event, PageReceived) and event.lot_id == lot.lot_id]
        violations += _changed_samples(lot, pages)
        violations += _doubled_samples(lot, pages)
        violations += _lost_samples(lot, pages, events)
    return violations


def _violation(rule: str, message: str, *excerpt: AnyEvent) -> Violation:
    return Violation(promise=EXACTLY_ONCE, rule=rule, message=message, excerpt=excerpt)


def _content(sample: ReceivedSample) -> tuple[object, ...]:
    return sample.index, sample.tokens, sample.spans, sample.finish_reason


def _changed_samples(lot: LotSubmitted, pages: Sequence[PageReceived]) -> list[Violation]:
    """A sample keeps its bytes in every page that holds it, and its index is of the lot."""
    violations = []
    first: dict[str, tuple[PageReceived, ReceivedSample]] = {}
    slots: dict[int, tuple[PageReceived, str]] = {}
    for page in pages:
        for sample in page.samples:
            if not 0 <= sample.index < len(lot.prompts):
                violations.append(_violation("unknown_slot", f"{sample.sample_id} is no slot", lot, page))
                continue
            known_page, known = first.setdefault(sample.sample_id, (page, sample))
            if _content(known) != _content(sample):
                message = f"{sample.sample_id} changed between two pages"
                violations.append(_violation("same_bytes", message, lot, known_page, page))
            slot_page, sample_id = slots.setdefault(sample.index, (page, sample.sample_id))
            if sample_id != sample.sample_id:
                message = f"slot {sample.index} came as {sample_id} and as {sample.sample_id}"
                violations.append(_violation("one_sample_per_slot", message, lot, slot_page, page))
    return violations


def _doubled_samples(lot: LotSubmitted, pages: Sequence[PageReceived]) -> list[Violation]:
    """A page that starts at or after the end of a received page repeats none of its samples."""
    violations = []
    received: dict[str, PageReceived] = {}
    for page in pages:
        seen_in_page: set[str] = set()
        for sample in page.samples:
            earlier = received.get(sample.sample_id)
            if sample.sample_id in seen_in_page:
                message = f"{sample.sample_id} stands twice in one page"
                violations.append(_violation("doubled", message, lot, page))
            elif earlier is not None and page.cursor >= earlier.next_cursor:
                message = f"{sample.sample_id} came again after cursor {earlier.next_cursor}"
                violations.append(_violation("doubled", message, lot, earlier, page))
            seen_in_page.add(sample.sample_id)
            received.setdefault(sample.sample_id, page)
    return violations


def _lost_samples(
    lot: LotSubmitted, pages: Sequence[PageReceived], events: Sequence[AnyEvent]
) -> list[Violation]:
    """A finished lot is whole; at the end of a run at rest every lot is finished."""
    if any(isinstance(event, LotAbandoned) and event.lot_id == lot.lot_id for event in events):
        return []
    settled = {sample.index for page in pages for sample in page.samples}
    settled |= {index for page in pages for index in page.failed}
    missing = sorted(set(range(len(lot.prompts))) - settled)
    if not missing:
        return []
    message = f"{lot.lot_id}: slots {missing} never reached the trainer"
    finished = next((page for page in pages if page.finished), None)
    closed = next((event for event in events if isinstance(event, HistoryClosed)), None)
    end = finished or closed
    return [_violation("lost", message, lot, end)] if end is not None else []
