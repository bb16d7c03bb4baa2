"""Immutable, hashable values of a lot's state: slots, samples, header, and the effect of one record."""

from __future__ import annotations

import enum

import msgspec

from passgate.records import TOKEN_BYTES, LotOpened, unpack_tokens
from passgate.schema import FinishReason, VersionSpan


class SlotStatus(enum.Enum):
    """How far a slot has come from its prompt to an acknowledged sample."""

    OPEN = "open"
    """Its sample is to be produced."""
    COMMITTED = "committed"
    """Its sample is on the log."""
    HANDED_OVER = "handed_over"
    """Its sample may be served to the trainer; its content is fixed."""
    ACKNOWLEDGED = "acknowledged"
    """The trainer has confirmed the sample; its content is dropped."""
    FAILED = "failed"
    """No sample will be produced."""


class StoredSample(msgspec.Struct, frozen=True):
    """A committed sample; its tokens are packed as little-endian 32-bit integers."""

    packed_tokens: bytes
    spans: tuple[VersionSpan, ...]
    finish_reason: FinishReason
    replica_id: str

    @property
    def tokens(self) -> tuple[int, ...]:
        """Return the token identifiers."""
        return unpack_tokens(self.packed_tokens)

    @property
    def token_count(self) -> int:
        """Return the number of tokens."""
        return len(self.packed_tokens) // TOKEN_BYTES

    @property
    def oldest_version(self) -> int:
        """Return the oldest weight version that produced any of the tokens."""
        return min(span.version for span in self.spans)


class SlotState(msgspec.Struct, frozen=True):
    """State of one slot; immutable."""

    status: SlotStatus = SlotStatus.OPEN
    attempt: int = 0
    """Number of times that the slot was opened again."""
    sample: StoredSample | None = None
    """Present while the slot is committed or handed over."""
    failure_code: str = ""
    """Code of the error that made the slot fail."""


class DeliveryPosition(msgspec.Struct, frozen=True):
    """Entry of the delivery order: a slot's attempt that was handed over or failed."""

    index: int
    attempt: int


class LotHeader(msgspec.Struct, frozen=True):
    """State of a lot apart from its slots; immutable."""

    opened: LotOpened | None = None
    """The record that opened the lot, with packed prompts; None before it."""
    epoch: int = 0
    """Epoch of the latest keeper; 0 when there was none."""
    keeper: str = ""
    """Daemon incarnation that produces the samples; empty when there is none."""
    cancelled: bool = False
    trainer_version: int = 0
    """Highest weight version that a record of the lot has named for the trainer."""

    def is_stale(self, sample: StoredSample, version: int) -> bool:
        """Return whether ``sample`` exceeds the staleness bound for a trainer at ``version`` or newer."""
        assert self.opened is not None
        return max(self.trainer_version, version) - sample.oldest_version > self.opened.staleness_bound


class LotChange(msgspec.Struct, frozen=True):
    """Effect of one record on a lot."""

    header: LotHeader
    """The header after the record."""
    slots: tuple[tuple[int, SlotState], ...] = ()
    """Indexes and new states of the changed slots."""
    positions: tuple[DeliveryPosition, ...] = ()
    """Entries to append to the delivery order."""


class LotState(msgspec.Struct, frozen=True):
    """State of a lot as one immutable value, for ``transition`` and for snapshots."""

    header: LotHeader = LotHeader()
    slots: tuple[SlotState, ...] = ()
    order: tuple[DeliveryPosition, ...] = ()
    """Delivery order: entries in the order in which trainers read them."""
