"""Requests and responses of the interface for trainers.

A lot is a batch of prompts for which a trainer gets one sample each.  Every prompt has
a slot, numbered from 0, that holds its sample.
"""

from __future__ import annotations

import msgspec

from passgate.errors import InvalidRequest
from passgate.records import PromptSpec
from passgate.schema import FinishReason, VersionSpan


class LotRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A trainer's request to open a lot."""

    caller: str
    pool: str
    model: str
    priority_class: str = "training"
    staleness_bound: int = 0
    """Largest number of versions that a sample may be behind the trainer's version at hand-over."""
    trainer_version: int = 0
    """Weight version of the trainer; the newest configured version counts instead when it is higher."""
    deadline_s: float | None = None
    """Seconds from the request on, after which slots without a sample fail; None for no deadline."""
    prompts: tuple[PromptSpec, ...]


class LotInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of a lot's slots by status, and its keeper: the daemon that produces its samples."""

    lot_id: str
    caller: str
    pool: str
    model: str
    staleness_bound: int
    slots: int
    open: int
    """Slots whose sample is not produced yet."""
    committed: int
    """Slots with a stored sample that is not handed over yet."""
    handed_over: int
    """Slots whose sample was handed over and is not acknowledged yet."""
    acknowledged: int
    failed: int
    cancelled: bool
    finished: bool
    """Whether no slot is open or committed, or the lot is cancelled."""
    keeper: str
    """Daemon incarnation that produces the samples; empty when there is none."""
    epoch: int
    """Number of times that a daemon became the keeper."""


class DeliveredSample(msgspec.Struct, frozen=True, kw_only=True):
    """One sample as the trainer gets it; repeated reads return the same content."""

    sample_id: str
    """``<lot>/<index>``; a trainer must ignore a sample whose identifier it already has."""
    index: int
    attempt: int
    """Number of times that the slot was opened again before this sample was produced."""
    tokens: tuple[int, ...]
    spans: tuple[VersionSpan, ...]
    finish_reason: FinishReason
    replica_id: str


class SampleFailure(msgspec.Struct, frozen=True, kw_only=True):
    """A slot for which no sample could be produced."""

    sample_id: str
    index: int
    code: str
    """Code of an error in ``passgate.errors``."""


class SamplesPage(msgspec.Struct, frozen=True, kw_only=True):
    """Samples from a cursor on, in the order of their hand-over."""

    samples: tuple[DeliveredSample, ...] = ()
    next_cursor: int
    finished: bool = False
    """Whether no sample follows ``next_cursor``, unless a withdrawn one is replaced."""
    withdrawn: tuple[str, ...] = ()
    """Samples that were handed over and now exceed the staleness bound.

    A trainer that has not received one asks for a new sample with ``LotService.replace``.
    """
    failed: tuple[SampleFailure, ...] = ()


def sample_id(lot_id: str, index: int) -> str:
    """Return the identifier of a slot's sample.

    >>> sample_id("step-7", 3)
    'step-7/3'
    """
    return f"{lot_id}/{index}"


def index_of(lot_id: str, identifier: str) -> int:
    """Return the slot index in a sample identifier.

    Raises:
        InvalidRequest: ``identifier`` does not name a sample of ``lot_id``.
    """
    prefix, _, index = identifier.rpartition("/")
    if prefix != lot_id or not index.isascii() or not index.isdigit():
        raise InvalidRequest(f"{identifier!r} is not a sample of lot {lot_id!r}", field="sample_ids")
    return int(index)
