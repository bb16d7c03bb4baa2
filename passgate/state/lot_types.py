"""Requests and answers of the lot interface."""

from __future__ import annotations

import msgspec

from passgate.errors import InvalidRequest
from passgate.records import PromptSpec
from passgate.schema import FinishReason, VersionSpan


class LotRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What a trainer asks for."""

    caller: str
    pool: str
    model: str
    priority_class: str = "training"
    staleness_bound: int = 0
    """Most versions that a sample may be behind the trainer's version at hand-over."""
    trainer_version: int = 0
    """Version that the trainer is at; 0 means the newest one configured."""
    deadline_s: float | None = None
    """Seconds from now after which samples that are still missing fail."""
    prompts: tuple[PromptSpec, ...]


class LotInfo(msgspec.Struct, frozen=True, kw_only=True):
    """State of a lot in numbers of slots."""

    lot_id: str
    caller: str
    pool: str
    model: str
    staleness_bound: int
    slots: int
    open: int
    """Still to be produced."""
    committed: int
    """Produced and not yet given to the trainer."""
    handed_over: int
    acknowledged: int
    failed: int
    cancelled: bool
    finished: bool
    """Nothing is left to be produced or handed over."""
    keeper: str
    epoch: int


class DeliveredSample(msgspec.Struct, frozen=True, kw_only=True):
    """One sample as the trainer gets it; the same bytes each time that it is read."""

    sample_id: str
    """``<lot>/<index>``; a trainer that sees it twice drops the second one."""
    index: int
    attempt: int
    tokens: tuple[int, ...]
    spans: tuple[VersionSpan, ...]
    finish_reason: FinishReason
    replica_id: str


class SampleFailure(msgspec.Struct, frozen=True, kw_only=True):
    """A slot that can not be produced."""

    sample_id: str
    index: int
    code: str
    """Code of an error in ``passgate.errors``."""


class SamplesPage(msgspec.Struct, frozen=True, kw_only=True):
    """Samples from one cursor on, in the order of their hand-over."""

    samples: tuple[DeliveredSample, ...] = ()
    next_cursor: int
    finished: bool = False
    """No sample follows ``next_cursor`` unless one is replaced."""
    withdrawn: tuple[str, ...] = ()
    """Handed over before and now over the bound; a trainer that lacks one has it replaced."""
    failed: tuple[SampleFailure, ...] = ()


def sample_id(lot_id: str, index: int) -> str:
    """Return the identifier of a slot's sample.

    >>> sample_id("step-7", 3)
    'step-7/3'
    """
    return f"{lot_id}/{index}"


def index_of(lot_id: str, identifier: str) -> int:
    """Return the slot of a sample identifier of ``lot_id``; raises InvalidRequest."""
    prefix, _, index = identifier.rpartition("/")
    if prefix != lot_id or not index.isascii() or not index.isdigit():
        raise InvalidRequest(f"{identifier!r} is not a sample of lot {lot_id!r}", field="sample_ids")
    return int(index)
