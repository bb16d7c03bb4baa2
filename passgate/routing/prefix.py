"""Hashes of token blocks, by which routing and engines' caches identify prompt prefixes.

A block's hash covers the prefix up to the end of the block, so two prompts have the same
``n``-th hash exactly when they share their first ``n`` blocks, apart from collisions of
64-bit hashes.

>>> first = block_hashes(range(40), 16)
>>> second = block_hashes([*range(32), 7, 7], 16)
>>> len(first), first == second
(2, True)
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable

import xxhash

BLOCK_TOKENS = 16
"""Block size that routing uses."""


def block_hashes(tokens: Iterable[int], block_size: int) -> list[int]:
    """Return one 64-bit chained hash per full block of ``tokens``; a partial last block has none."""
    words = array("Q", tokens)
    hashes: list[int] = []
    previous = 0
    for end in range(block_size, len(words) + 1, block_size):
        block = words[end - block_size : end].tobytes()
        previous = xxhash.xxh64_intdigest(block, seed=previous)
        hashes.append(previous)
    return hashes
