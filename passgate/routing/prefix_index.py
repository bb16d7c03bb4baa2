"""Index of the prompt prefixes that replicas probably have in their caches.

It is fed with the prompts of requests that produced output and, if the policy says so,
with engines' cache events.  Events may be lost, so a gap in their sequence discards what
is known of the replica.  An entry is only a hint: a wrong one costs prefill time, but
never affects an output.

Each replica is one bit of an integer, so one pass over a prompt's block hashes finds the
matches of all replicas.

>>> index = PrefixIndex(max_entries=100)
>>> index.add_blocks("e1", [11, 12, 13])
>>> index.add_blocks("e2", [11])
>>> dict(sorted(index.matched_blocks([11, 12, 99]).items()))
{'e1': 2, 'e2': 1}
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from passgate.schema import CacheEvent, CacheEventKind

COMPACT_FACTOR = 4
"""Bits per known replica above which the bits of discarded replicas are removed."""
MIN_BITS_TO_COMPACT = 64
"""Number of bits up to which none are removed."""


class PrefixIndex:
    """Map from block hash to the replicas that probably cache the block.

    Beyond ``max_entries``, the blocks that were added longest ago are discarded.
    """

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._replica_mask_by_block: OrderedDict[int, int] = OrderedDict()
        self._bit_by_replica: dict[str, int] = {}
        self._replica_by_bit: dict[int, str] = {}
        self._all_replicas_mask = 0
        self._next_bit = 0
        self._last_sequence_by_replica: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._replica_mask_by_block)

    def add_blocks(self, replica_id: str, hashes: Sequence[int]) -> None:
        """Record that a replica probably caches the blocks."""
        bit = self._get_or_assign_bit(replica_id)
        masks = self._replica_mask_by_block
        for block in hashes:
            masks[block] = masks.get(block, 0) | bit
            masks.move_to_end(block)
        while len(masks) > self._max_entries:
            masks.popitem(last=False)

    def matched_blocks(self, hashes: Sequence[int]) -> dict[str, int]:
        """Return the number of leading blocks that each replica probably caches.

        ``hashes`` must not be empty.  Replicas without the first block are left out.
        """
        length_by_replica: dict[str, int] = {}
        mask = self._all_replicas_mask
        for length, block in enumerate(hashes):
            remaining_mask = mask & self._replica_mask_by_block.get(block, 0)
            if length:
                self._record_match_length(length_by_replica, mask & ~remaining_mask, length)
            mask = remaining_mask
            if not mask:
                return length_by_replica
        self._record_match_length(length_by_replica, mask, len(hashes))
        return length_by_replica

    def discard_replica(self, replica_id: str) -> None:
        """Discard all entries of a replica."""
        bit = self._bit_by_replica.pop(replica_id, None)
        if bit is None:
            return
        del self._replica_by_bit[bit]
        self._all_replicas_mask &= ~bit
        if self._next_bit > max(MIN_BITS_TO_COMPACT, COMPACT_FACTOR * len(self._bit_by_replica)):
            self._compact()

    def apply_events(self, replica_id: str, events: Sequence[CacheEvent]) -> None:
        """Apply an engine's cache events, ordered by sequence.

        Events that were applied before are skipped.  A gap in the sequence discards the
        replica's entries first.
        """
        for event in events:
            last = self._last_sequence_by_replica.get(replica_id, 0)
            if event.sequence <= last:
                continue
            if event.sequence != last + 1:
                self.discard_replica(replica_id)
            self._last_sequence_by_replica[replica_id] = event.sequence
            self._apply_event(replica_id, event)

    def last_sequence(self, replica_id: str) -> int:
        """Return the sequence of the newest event applied for a replica, 0 without one."""
        return self._last_sequence_by_replica.get(replica_id, 0)

    def retain(self, replica_ids: set[str]) -> None:
        """Discard all state of replicas that are not in ``replica_ids``."""
        for replica_id in (self._bit_by_replica.keys() | self._last_sequence_by_replica.keys()) - replica_ids:
            self.discard_replica(replica_id)
            self._last_sequence_by_replica.pop(replica_id, None)

    def _apply_event(self, replica_id: str, event: CacheEvent) -> None:
        if event.kind is CacheEventKind.CLEARED:
            self.discard_replica(replica_id)
        elif event.kind is CacheEventKind.STORED:
            self.add_blocks(replica_id, (event.block_hash,))
        else:
            mask = self._replica_mask_by_block.get(event.block_hash)
            if mask is not None:
                self._replica_mask_by_block[event.block_hash] = mask & ~self._bit_by_replica.get(
                    replica_id, 0
                )

    def _get_or_assign_bit(self, replica_id: str) -> int:
        bit = self._bit_by_replica.get(replica_id)
        if bit is None:
            bit = 1 << self._next_bit
            self._next_bit += 1
            self._bit_by_replica[replica_id] = bit
            self._replica_by_bit[bit] = replica_id
            self._all_replicas_mask |= bit
        return bit

    def _record_match_length(self, length_by_replica: dict[str, int], mask: int, length: int) -> None:
        while mask:
            bit = mask & -mask
            length_by_replica[self._replica_by_bit[bit]] = length
            mask ^= bit

    def _compact(self) -> None:
        new_bit_by_old = {bit: 1 << position for position, bit in enumerate(self._replica_by_bit)}
        new_mask_by_block = OrderedDict()
        for block, mask in self._replica_mask_by_block.items():
            new_mask = sum(new for old, new in new_bit_by_old.items() if mask & old)
            if new_mask:
                new_mask_by_block[block] = new_mask
        self._replica_mask_by_block = new_mask_by_block
        self._replica_by_bit = {new_bit_by_old[bit]: name for bit, name in self._replica_by_bit.items()}
        self._bit_by_replica = {name: bit for bit, name in self._replica_by_bit.items()}
        self._next_bit = len(self._replica_by_bit)
        self._all_replicas_mask = (1 << self._next_bit) - 1
