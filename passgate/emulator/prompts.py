"""Random prompts of emulated callers: a prefix that all prompts of a model share, then random tokens.

>>> source = PromptSource(ModelParameters(name="m", system_prompt_tokens=4, prompt_tokens=3), Random(1))
>>> first, second = source.next_prompt(), source.next_prompt()
>>> first[:4] == second[:4], first == second, len(first)
(True, False, 7)
"""

from __future__ import annotations

from random import Random

from passgate.emulator.expected_output import VOCABULARY_TOKENS
from passgate.emulator.parameters import ModelParameters


class PromptSource:
    """Generates prompts and sampling seeds for one model.

    The shared prefix depends only on the model's name and the prefix length, not on ``random``.
    """

    def __init__(self, model: ModelParameters, random: Random) -> None:
        self._random = random
        self._token_count = model.prompt_tokens
        prefix_random = Random(f"system prompt of {model.name}")
        self._prefix = _draw_tokens(prefix_random, model.system_prompt_tokens)

    def next_prompt(self) -> tuple[int, ...]:
        """Return a new random prompt with the model's prefix."""
        return self._prefix + _draw_tokens(self._random, self._token_count)

    def next_seed(self) -> int:
        """Return a new random sampling seed, from 0 to 2**31 - 1."""
        return self._random.getrandbits(31)


def _draw_tokens(random: Random, count: int) -> tuple[int, ...]:
    return tuple(int(random.random() * VOCABULARY_TOKENS) for _ in range(count))
