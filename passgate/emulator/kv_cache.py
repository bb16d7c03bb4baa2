"""Memory of one engine's KV cache: blocks, shared prefixes, eviction.

A block is free, private to one sequence, or cached under a prefix hash.  Cached
blocks are shared by counted references; those without a reference stay until
their memory is needed and leave in order of last use.

>>> a, b = BlockKey("m", 1, 11), BlockKey("m", 1, 12)
>>> cache = KvCache(capacity_blocks=3)
>>> cache.take(2)
True
>>> cache.store([a, b]) == [a, b], cache.free_blocks
(True, 1)
>>> cache.release([a, b], private=0)
>>> cache.take(3), cache.drain_evicted() == [b, a]
(True, True)
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple


class BlockKey(NamedTuple):
    """Identity of a cached block."""

    model: str
    version: int
    """Weight version that computed the block."""
    block_hash: int


class KvCache:
    """Block accounting; every method keeps free + private + cached == capacity."""

    def __init__(self, capacity_blocks: int) -> None:
        self.capacity_blocks = capacity_blocks
        self.free_blocks = capacity_blocks
        self.private_blocks = 0
        self._references: dict[BlockKey, int] = {}
        self._idle: OrderedDict[BlockKey, None] = OrderedDict()
        self._evicted: list[BlockKey] = []
        self._outdated: set[BlockKey] = set()

    @property
    def cached_blocks(self) -> int:
        """Blocks held under a prefix hash, referenced or idle."""
        return len(self._references)

    @property
    def available_blocks(self) -> int:
        """Blocks that can be taken now, by eviction if need be."""
        return self.free_blocks + len(self._idle)

    @property
    def used_blocks(self) -> int:
        """Blocks that running sequences hold."""
        return self.capacity_blocks - self.available_blocks

    def match(self, keys: Sequence[BlockKey]) -> int:
        """Return how many leading keys are cached."""
        for index, key in enumerate(keys):
            if key not in self._references:
                return index
        return len(keys)

    def idle_among(self, keys: Iterable[BlockKey]) -> int:
        """Return how many of the keys are cached without a reference."""
        return sum(1 for key in keys if key in self._idle)

    def reference(self, keys: Iterable[BlockKey]) -> None:
        """Hold cached blocks; every key must be cached."""
        for key in keys:
            self._references[key] += 1
            self._idle.pop(key, None)

    def take(self, blocks: int) -> bool:
        """Take private blocks, evicting idle ones; return False and change nothing if short."""
        if blocks > self.available_blocks:
            return False
        while self.free_blocks < blocks:
            self._evict_oldest()
        self.free_blocks -= blocks
        self.private_blocks += blocks
        return True

    def store(self, keys: Sequence[BlockKey]) -> list[BlockKey]:
        """Turn one private block per key into a referenced cached one; return the new keys.

        A key that is cached already is referenced and its private copy freed.
        """
        new: list[BlockKey] = []
        for key in keys:
            self.private_blocks -= 1
            if key in self._references:
                self.free_blocks += 1
                self.reference([key])
            else:
                self._references[key] = 1
                new.append(key)
        return new

    def insert_idle(self, keys: Iterable[BlockKey]) -> list[BlockKey]:
        """Cache imported blocks from free memory without a reference; return the new ones."""
        new: list[BlockKey] = []
        for key in keys:
            if key in self._references:
                continue
            if self.free_blocks == 0:
                break
            self.free_blocks -= 1
            self._references[key] = 0
            self._idle[key] = None
            new.append(key)
        return new

    def release(self, keys: Sequence[BlockKey], private: int) -> None:
        """Drop references and free private blocks; later blocks become evictable first."""
        self.free_blocks += private
        self.private_blocks -= private
        for key in reversed(keys):
            self._drop_reference(key)

    def invalidate(self, keys: Iterable[BlockKey]) -> None:
        """Free idle blocks among ``keys`` now and referenced ones with their last reference."""
        for key in keys:
            if key in self._idle:
                del self._idle[key]
                self._discard(key)
            else:
                self._outdated.add(key)

    def keys_of(self, model: str) -> list[BlockKey]:
        """Return the keys of all cached blocks of one model."""
        return [key for key in self._references if key.model == model]

    def clear(self) -> None:
        """Return to the empty state, as after a restart."""
        self.__init__(self.capacity_blocks)

    def drain_evicted(self) -> list[BlockKey]:
        """Return and forget the keys evicted for want of memory since the last call."""
        evicted = self._evicted
        self._evicted = []
        return evicted

    def _drop_reference(self, key: BlockKey) -> None:
        self._references[key] -= 1
        if self._references[key] > 0:
            return
        if key in self._outdated:
            self._outdated.remove(key)
            self._discard(key)
        else:
            self._idle[key] = None

    def _evict_oldest(self) -> None:
        key, _ = self._idle.popitem(last=False)
        self._discard(key)
        self._evicted.append(key)

    def _discard(self, key: BlockKey) -> None:
        del self._references[key]
        self.free_blocks += 1
