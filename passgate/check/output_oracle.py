"""Expected tokens of the emulated engines, which compute each token from its inputs.

>>> emulated_token("m", (1, 2), 7, 0, 3) == emulated_token("m", (1, 2), 7, 0, 4)
False
"""

from __future__ import annotations

from functools import lru_cache

from passgate.emulator.expected_output import output_key, output_token, prompt_digest

KEY_CACHE_ENTRIES = 65_536


def emulated_token(model: str, prompt: tuple[int, ...], seed: int, position: int, version: int) -> int:
    """Return the token that an emulated engine with weights of ``version`` produces."""
    return output_token(_key(model, prompt, seed, version), position)


@lru_cache(maxsize=KEY_CACHE_ENTRIES)
def _key(model: str, prompt: tuple[int, ...], seed: int, version: int) -> int:
    return output_key(model, prompt_digest(prompt), seed, version)
