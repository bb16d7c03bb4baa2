"""Which replica probably holds which prompt prefix in its cache.

The index learns from the daemon's own routing and, when they are read, from
cache events, which come late and with gaps.  After a gap nothing that was known
of the replica is believed any more.  An entry is only a hint: a wrong one costs
some prefill time, never a wrong answer.

Replicas are bits of an integer, so one walk along a prompt's block hashes finds
the matches of all replicas at once.

>>> index = PrefixIndex(max_entries=100)
>>> index.add("e1", [11, 12, 13])
>>> index.add("e2", [11])
>>> dict(sorted(index.matches([11, 12, 99]).items()))
{'e1': 2, 'e2': 1}
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from passgate.schema import CacheEvent, CacheEventKind

COMPACT_FACTOR = 4
"""Retired bits are removed when there are this many times more bits than replicas."""
MIN_BITS = 64


class PrefixIndex:
    """Bounded map from block hash to the replicas believed to cache it."""

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._masks: OrderedDict[int, int] = OrderedDict()
        self._bits: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self._live_mask = 0
        self._next_bit = 0
        self._sequences: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._masks)

    def add(self, replica_id: str, hashes: Sequence[int]) -> None:
        """Believe that a replica caches the blocks."""
        bit = self._bit(replica_id)
        masks = self._masks
        for block in hashes:
            masks[block] = masks.get(block, 0) | bit
            masks.move_to_end(block)
        while len(masks) > self._max_entries:
            masks.popitem(last=False)

    def matches(self, hashes: Sequence[int]) -> dict[str, int]:
        """Return the number of leading blocks per replica that has at least one."""
        result: dict[str, int] = {}
        mask = self._live_mask
        for length, block in enumerate(hashes):
            kept = mask & self._masks.get(block, 0)
            if length:
                self._note(result, mask & ~kept, length)
            mask = kept
            if not mask:
                return result
        self._note(result, mask, len(hashes))
        return result

    def forget(self, replica_id: str) -> None:
        """Believe nothing of a replica any more."""
        bit = self._bits.pop(replica_id, None)
        if bit is None:
            return
        del self._names[bit]
        self._live_mask &= ~bit
        if self._next_bit > max(MIN_BITS, COMPACT_FACTOR * len(self._bits)):
            self._compact()

    def apply(self, replica_id: str, events: Sequence[CacheEvent]) -> None:
        """Take cache events in order of sequence; a gap forgets the replica first."""
        for event in events:
            last = self._sequences.get(replica_id, 0)
            if event.sequence <= last:
                continue
            if event.sequence != last + 1:
                self.forget(replica_id)
            self._sequences[replica_id] = event.sequence
            self._apply_one(replica_id, event)

    def last_sequence(self, replica_id: str) -> int:
        """Return the sequence of the newest event taken from a replica."""
        return self._sequences.get(replica_id, 0)

    def retain(self, replica_ids: set[str]) -> None:
        """Drop all state of replicas that are gone."""
        for replica_id in (self._bits.keys() | self._sequences.keys()) - replica_ids:
            self.forget(replica_id)
            self._sequences.pop(replica_id, None)

    def _apply_one(self, replica_id: str, event: CacheEvent) -> None:
        if event.kind is CacheEventKind.CLEARED:
            self.forget(replica_id)
        elif event.kind is CacheEventKind.STORED:
            self.add(replica_id, (event.block_hash,))
        else:
            mask = self._masks.get(event.block_hash)
            if mask is not None:
                self._masks[event.block_hash] = mask & ~self._bits.get(replica_id, 0)

    def _bit(self, replica_id: str) -> int:
        bit = self._bits.get(replica_id)
        if bit is None:
            bit = 1 << self._next_bit
            self._next_bit += 1
            self._bits[replica_id] = bit
            self._names[bit] = replica_id
            self._live_mask |= bit
        return bit

    def _note(self, result: dict[str, int], mask: int, length: int) -> None:
        while mask:
            bit = mask & -mask
            result[self._names[bit]] = length
            mask ^= bit

    def _compact(self) -> None:
        renamed = {bit: 1 << position for position, bit in enumerate(self._names)}
        live = OrderedDict()
        for block, mask in self._masks.items():
            moved = sum(new for old, new in renamed.items() if mask & old)
            if moved:
                live[block] = moved
        self._masks = live
        self._names = {renamed[bit]: name for bit, name in self._names.items()}
        self._bits = {name: bit for bit, name in self._names.items()}
        self._next_bit = len(self._names)
        self._live_mask = (1 << self._next_bit) - 1
