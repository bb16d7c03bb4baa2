"""Prompts of emulated callers: a prefix shared by a model's callers, then their own tokens.

>>> source = PromptSource(ModelParameters(name="m", system_prompt_tokens=4, prompt_tokens=3), Random(1))
>>> first, second = source.prompt(), source.prompt()
>>> first[:4] == second[:4], first == second, len(first)
(True, False, 7)
"""

from __future__ import annotations

from random import Random

from passgate.emulator.expected_output import VOCABULARY_TOKENS
from passgate.emulator.parameters import ModelParameters


class PromptSource:
    """Draws prompts of one model."""

    def __init__(self, model: ModelParameters, random: Random) -> None:
        self._random = random
        self._tokens = model.prompt_tokens
        prefix_random = Random(f"system prompt of {model.name}")
        self._prefix = _draw(prefix_random, model.system_prompt_tokens)

    def prompt(self) -> tuple[int, ...]:
        """Return a new prompt."""
        return self._prefix + _draw(self._random, self._tokens)

    def seed(self) -> int:
        """Return a new sampling seed."""
        return self._random.getrandbits(31)


def _draw(random: Random, count: int) -> tuple[int, ...]:
    return tuple(int(random.random() * VOCABULARY_TOKENS) for _ in range(count))
