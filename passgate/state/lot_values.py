"""Values of a lot's state: slots, stored samples, header, and the effect of one record.

All are immutable and hashable, so that the model checker can use them as they are.
"""

from __future__ import annotations

import enum

import msgspec

from passgate.records import TOKEN_BYTES, LotOpened, unpack_tokens
from passgate.schema import FinishReason, VersionSpan


class SlotStatus(enum.Enum):
    """State of one slot."""

    OPEN = "open"
    COMMITTED = "committed"
    HANDED_OVER = "handed_over"
    ACKNOWLEDGED = "acknowledged"
    FAILED = "failed"


class StoredSample(msgspec.Struct, frozen=True):
    """A committed sample; its tokens are packed as 32-bit integers."""

    packed_tokens: bytes
    spans: tuple[VersionSpan, ...]
    finish_reason: FinishReason
    replica_id: str

    @property
    def tokens(self) -> tuple[int, ...]:
        """Return the token identifiers."""
        return unpack_tokens(self.packed_tokens)

    @property
    def length(self) -> int:
        """Return the number of tokens."""
        return len(self.packed_tokens) // TOKEN_BYTES

    @property
    def oldest_version(self) -> int:
        """Return the oldest weight version that produced a token."""
        return min(span.version for span in self.spans)


class SlotState(msgspec.Struct, frozen=True):
    """State of one slot; immutable."""

    status: SlotStatus = SlotStatus.OPEN
    attempt: int = 0
    """Number of times that the slot was opened again."""
    sample: StoredSample | None = None
    """Present while committed or handed over."""
    failure_code: str = ""


class HandOver(msgspec.Struct, frozen=True):
    """One position of the order in which the trainer reads; also a failed slot takes one."""

    index: int
    attempt: int


class LotHeader(msgspec.Struct, frozen=True):
    """What a lot is, apart from its slots; immutable."""

    opened: LotOpened | None = None
    """As the first record said, with packed prompts."""
    epoch: int = 0
    keeper: str = ""
    """Process run that produces the samples; empty when nobody does."""
    cancelled: bool = False
    trainer_version: int = 0
    """Newest version of the trainer or the configuration named by any record."""

    def is_stale(self, sample: StoredSample, version: int) -> bool:
        """Return whether ``sample`` is over the bound for a trainer at ``version``."""
        assert self.opened is not None
        return max(self.trainer_version, version) - sample.oldest_version > self.opened.staleness_bound


class LotChange(msgspec.Struct, frozen=True):
    """Effect of one record."""

    header: LotHeader
    slots: tuple[tuple[int, SlotState], ...] = ()
    """Changed slots by index."""
    positions: tuple[HandOver, ...] = ()
    """New positions at the end of the reading order."""


class LotState(msgspec.Struct, frozen=True):
    """A whole lot as one immutable, hashable value, for the model checker."""

    header: LotHeader = LotHeader()
    slots: tuple[SlotState, ...] = ()
    order: tuple[HandOver, ...] = ()
