"""Block accounting of one engine's KV cache, with shared prefixes and LRU eviction.

A block is free, private to one sequence, or cached under a prefix hash.  Cached blocks
are reference-counted and may be shared.  Those without a reference are idle: they stay
cached until their memory is needed, and the least recently used is evicted first.

>>> a, b = BlockKey("m", 1, 11), BlockKey("m", 1, 12)
>>> cache = KvCache(capacity_blocks=3)
>>> cache.take_private(2)
True
>>> cache.store_private([a, b]) == [a, b], cache.free_blocks
(True, 1)
>>> cache.release([a, b], private_blocks=0)
>>> cache.take_private(3), cache.pop_evicted() == [b, a]
(True, True)
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple


class BlockKey(NamedTuple):
    """Key of a cached block."""

    model: str
    version: int
    """Weight version that computed the block."""
    block_hash: int
    """Hash of the whole prefix up to the block's end."""


class KvCache:
    """Counts of free, private and cached blocks; their sum is always ``capacity_blocks``."""

    def __init__(self, capacity_blocks: int) -> None:
        self.capacity_blocks = capacity_blocks
        self.free_blocks = capacity_blocks
        self.private_blocks = 0
        self._reference_count_by_key: dict[BlockKey, int] = {}
        self._idle_keys: OrderedDict[BlockKey, None] = OrderedDict()
        """Least recently used first."""
        self._evicted_keys: list[BlockKey] = []
        self._invalidated_keys: set[BlockKey] = set()
        """Keys to drop with their last reference."""

    @property
    def cached_blocks(self) -> int:
        """Number of cached blocks, referenced or idle."""
        return len(self._reference_count_by_key)

    @property
    def available_blocks(self) -> int:
        """Number of blocks that can be taken now: free ones and, by eviction, idle ones."""
        return self.free_blocks + len(self._idle_keys)

    @property
    def used_blocks(self) -> int:
        """Number of private and referenced blocks."""
        return self.capacity_blocks - self.available_blocks

    def cached_prefix_length(self, keys: Sequence[BlockKey]) -> int:
        """Return the number of leading keys that are cached."""
        for index, key in enumerate(keys):
            if key not in self._reference_count_by_key:
                return index
        return len(keys)

    def count_idle(self, keys: Iterable[BlockKey]) -> int:
        """Return the number of keys whose blocks are idle."""
        return sum(1 for key in keys if key in self._idle_keys)

    def add_references(self, keys: Iterable[BlockKey]) -> None:
        """Add a reference to each block; raises KeyError for a key that is not cached."""
        for key in keys:
            self._reference_count_by_key[key] += 1
            self._idle_keys.pop(key, None)

    def take_private(self, blocks: int) -> bool:
        """Take private blocks, evicting idle ones if needed; return False and change nothing if too few."""
        if blocks > self.available_blocks:
            return False
        while self.free_blocks < blocks:
            self._evict_least_recently_used()
        self.free_blocks -= blocks
        self.private_blocks += blocks
        return True

    def store_private(self, keys: Sequence[BlockKey]) -> list[BlockKey]:
        """Turn one private block per key into a cached one with a reference; return the new keys.

        For a key that is cached already, the private block is freed and the cached one referenced.
        """
        new_keys: list[BlockKey] = []
        for key in keys:
            self.private_blocks -= 1
            if key in self._reference_count_by_key:
                self.free_blocks += 1
                self.add_references([key])
            else:
                self._reference_count_by_key[key] = 1
                new_keys.append(key)
        return new_keys

    def insert_idle(self, keys: Iterable[BlockKey]) -> list[BlockKey]:
        """Cache imported blocks as idle while free blocks last, evicting none; return the new keys."""
        new_keys: list[BlockKey] = []
        for key in keys:
            if key in self._reference_count_by_key:
                continue
            if self.free_blocks == 0:
                break
            self.free_blocks -= 1
            self._reference_count_by_key[key] = 0
            self._idle_keys[key] = None
            new_keys.append(key)
        return new_keys

    def release(self, keys: Sequence[BlockKey], private_blocks: int) -> None:
        """Drop a reference of each key and free private blocks.

        Blocks that become idle are evicted in reverse order of ``keys``, as a prefix without its
        beginning is useless.
        """
        self.free_blocks += private_blocks
        self.private_blocks -= private_blocks
        for key in reversed(keys):
            self._drop_reference(key)

    def invalidate(self, keys: Iterable[BlockKey]) -> None:
        """Free the idle blocks of ``keys`` now, and the referenced ones with their last reference."""
        for key in keys:
            if key in self._idle_keys:
                del self._idle_keys[key]
                self._discard(key)
            else:
                self._invalidated_keys.add(key)

    def keys_of_model(self, model: str) -> list[BlockKey]:
        """Return the keys of all cached blocks of one model."""
        return [key for key in self._reference_count_by_key if key.model == model]

    def clear(self) -> None:
        """Return to the initial state with all blocks free."""
        self.__init__(self.capacity_blocks)

    def pop_evicted(self) -> list[BlockKey]:
        """Return the keys of the blocks that were evicted since the last call."""
        evicted = self._evicted_keys
        self._evicted_keys = []
        return evicted

    def _drop_reference(self, key: BlockKey) -> None:
        self._reference_count_by_key[key] -= 1
        if self._reference_count_by_key[key] > 0:
            return
        if key in self._invalidated_keys:
            self._invalidated_keys.remove(key)
            self._discard(key)
        else:
            self._idle_keys[key] = None

    def _evict_least_recently_used(self) -> None:
        key, _ = self._idle_keys.popitem(last=False)
        self._discard(key)
        self._evicted_keys.append(key)

    def _discard(self, key: BlockKey) -> None:
        del self._reference_count_by_key[key]
        self.free_blocks += 1
