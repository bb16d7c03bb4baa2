"""Checks of the guarantees on samples: correct versions, bounded staleness, exactly once."""

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

CORRECT_VERSIONS = "true_versions"
STALENESS = "staleness"
EXACTLY_ONCE = "exactly_once"


class TokenOracle(Protocol):
    """Deterministic output of emulated engines, by which the version of a token is verified."""

    def __call__(self, model: str, prompt: tuple[int, ...], seed: int, position: int, version: int) -> int:
        """Return the token that weights of ``version`` produce at ``position``."""
        ...


class ReceivedOutput(msgspec.Struct, frozen=True):
    """Output of one request or lot prompt, with the events of its request and its arrival."""

    label: str
    """Identifier of the request or sample, for messages."""
    invocation: GenerateInvoked | LotSubmitted
    received: GenerateCompleted | PageReceived
    model: str
    prompt: tuple[int, ...]
    seed: int
    max_tokens: int
    expected_length: int
    tokens: tuple[int, ...]
    spans: tuple[VersionSpan, ...]
    finish_reason: FinishReason


def check_versions(events: Sequence[AnyEvent], oracle: TokenOracle) -> list[Violation]:
    """Find outputs with a token that its named version does not produce, or with gaps in the versions."""
    violations = []
    for output in received_outputs(events):
        rule, message = _find_version_fault(output, oracle)
        if rule:
            violations.append(
                Violation(
                    guarantee=CORRECT_VERSIONS,
                    rule=rule,
                    message=f"{output.label}: {message}",
                    excerpt=(output.invocation, output.received),
                )
            )
    return violations


def _find_version_fault(output: ReceivedOutput, oracle: TokenOracle) -> tuple[str, str]:
    """Return the violated rule and a message; both are empty if the output is correct."""
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


def received_outputs(events: Sequence[AnyEvent]) -> Iterator[ReceivedOutput]:
    """Yield every output that a caller or trainer received for a request or lot of the history."""
    invocation_by_id: dict[str, GenerateInvoked] = {}
    lot_by_id: dict[str, LotSubmitted] = {}
    for event in events:
        if isinstance(event, GenerateInvoked):
            invocation_by_id[event.request_id] = event
        elif isinstance(event, LotSubmitted):
            lot_by_id[event.lot_id] = event
        elif isinstance(event, GenerateCompleted) and event.request_id in invocation_by_id:
            invocation = invocation_by_id[event.request_id]
            yield _make_output(event.request_id, invocation, event, invocation, event)
        elif isinstance(event, PageReceived) and event.lot_id in lot_by_id:
            lot = lot_by_id[event.lot_id]
            for sample in event.samples:
                if 0 <= sample.index < len(lot.prompts):
                    yield _make_output(sample.sample_id, lot, event, lot.prompts[sample.index], sample)


def _make_output(
    label: str,
    invocation: GenerateInvoked | LotSubmitted,
    received: GenerateCompleted | PageReceived,
    prompt: GenerateInvoked | LotPrompt,
    content: GenerateCompleted | ReceivedSample,
) -> ReceivedOutput:
    return ReceivedOutput(
        label=label,
        invocation=invocation,
        received=received,
        model=invocation.model,
        prompt=prompt.prompt,
        seed=prompt.seed,
        max_tokens=prompt.max_tokens,
        expected_length=prompt.expected_length,
        tokens=content.tokens,
        spans=content.spans,
        finish_reason=content.finish_reason,
    )


def check_staleness(events: Sequence[AnyEvent]) -> list[Violation]:
    """Find received samples with a token of a version older than the lot's staleness bound allows."""
    violations = []
    lot_by_id = {event.lot_id: event for event in events if isinstance(event, LotSubmitted)}
    for page in events:
        if not isinstance(page, PageReceived) or page.lot_id not in lot_by_id:
            continue
        lot = lot_by_id[page.lot_id]
        oldest_allowed = page.trainer_version - lot.staleness_bound
        for sample in page.samples:
            oldest = min((span.version for span in sample.spans), default=0)
            if oldest < oldest_allowed:
                message = f"{sample.sample_id}: version {oldest} is older than {oldest_allowed}"
                violations.append(
                    Violation(guarantee=STALENESS, rule="bound", message=message, excerpt=(lot, page))
                )
    return violations


def check_exactly_once(events: Sequence[AnyEvent]) -> list[Violation]:
    """Find prompts of lots whose sample changed, arrived as a further sample, or was lost."""
    violations = []
    for lot in (event for event in events if isinstance(event, LotSubmitted)):
        pages = [event for event in events if isinstance(event, PageReceived) and event.lot_id == lot.lot_id]
        violations += _find_changed_samples(lot, pages)
        violations += _find_repeated_samples(lot, pages)
        violations += _find_lost_samples(lot, pages, events)
    return violations


def _make_violation(rule: str, message: str, *excerpt: AnyEvent) -> Violation:
    return Violation(guarantee=EXACTLY_ONCE, rule=rule, message=message, excerpt=excerpt)


def _content(sample: ReceivedSample) -> tuple[object, ...]:
    return sample.index, sample.tokens, sample.spans, sample.finish_reason


def _find_changed_samples(lot: LotSubmitted, pages: Sequence[PageReceived]) -> list[Violation]:
    """Find samples that differ between pages, second samples of a prompt, and unknown indexes."""
    violations = []
    first_by_sample: dict[str, tuple[PageReceived, ReceivedSample]] = {}
    first_by_index: dict[int, tuple[PageReceived, str]] = {}
    for page in pages:
        for sample in page.samples:
            if not 0 <= sample.index < len(lot.prompts):
                violations.append(
                    _make_violation("unknown_slot", f"{sample.sample_id} has an unknown index", lot, page)
                )
                continue
            known_page, known = first_by_sample.setdefault(sample.sample_id, (page, sample))
            if _content(known) != _content(sample):
                message = f"{sample.sample_id} differs between two pages"
                violations.append(_make_violation("same_bytes", message, lot, known_page, page))
            first_page, first_id = first_by_index.setdefault(sample.index, (page, sample.sample_id))
            if first_id != sample.sample_id:
                message = f"index {sample.index} arrived as {first_id} and as {sample.sample_id}"
                violations.append(_make_violation("one_sample_per_slot", message, lot, first_page, page))
    return violations


def _find_repeated_samples(lot: LotSubmitted, pages: Sequence[PageReceived]) -> list[Violation]:
    """Find samples that arrived again in a page that starts after the end of their first page.

    A repeated read of the same range may return a sample again.
    """
    violations = []
    first_page_by_sample: dict[str, PageReceived] = {}
    for page in pages:
        ids_in_page: set[str] = set()
        for sample in page.samples:
            earlier = first_page_by_sample.get(sample.sample_id)
            if sample.sample_id in ids_in_page:
                message = f"{sample.sample_id} occurs twice in one page"
                violations.append(_make_violation("doubled", message, lot, page))
            elif earlier is not None and page.cursor >= earlier.next_cursor:
                message = f"{sample.sample_id} arrived again after cursor {earlier.next_cursor}"
                violations.append(_make_violation("doubled", message, lot, earlier, page))
            ids_in_page.add(sample.sample_id)
            first_page_by_sample.setdefault(sample.sample_id, page)
    return violations


def _find_lost_samples(
    lot: LotSubmitted, pages: Sequence[PageReceived], events: Sequence[AnyEvent]
) -> list[Violation]:
    """Find prompts without sample or failure in a lot that is finished, or at the history's end."""
    if any(isinstance(event, LotAbandoned) and event.lot_id == lot.lot_id for event in events):
        return []
    settled_indexes = {sample.index for page in pages for sample in page.samples}
    settled_indexes |= {index for page in pages for index in page.failed}
    missing = sorted(set(range(len(lot.prompts))) - settled_indexes)
    if not missing:
        return []
    message = f"{lot.lot_id}: indexes {missing} never reached the trainer"
    last_page = next((page for page in pages if page.finished), None)
    closed = next((event for event in events if isinstance(event, HistoryClosed)), None)
    end = last_page or closed
    return [_make_violation("lost", message, lot, end)] if end is not None else []
