"""Whether the owner of a job still lives.

A writer that is silent on the log is asked at its peer address.  No answer, or that of
a later life of the same daemon, counts as death until the writer is heard again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from passgate.clock import monotonic_s

ASK_AGAIN_S = 0.5
"""Time between two questions to the same writer."""
FORGET_S = 30.0


class _Asked(msgspec.Struct):
    began_s: float
    answer: asyncio.Task[bool]


class Liveness:
    """What this daemon knows of other writers' lives."""

    def __init__(self, ask: Callable[[str], Awaitable[bool]]) -> None:
        """Make the view; ``ask`` tells whether a writer answers as itself."""
        self._ask = ask
        self._asked: dict[str, _Asked] = {}

    def seems_dead(self, writer: str, heard_s: float) -> bool:
        """Whether a writer that was heard last at ``heard_s`` did not answer since; asks if need be."""
        now_s = monotonic_s()
        asked = self._asked.get(writer)
        if asked is None or (asked.answer.done() and now_s - asked.began_s > ASK_AGAIN_S):
            dead = asked is not None and not asked.answer.result() and asked.began_s > heard_s
            self._begin(writer, now_s)
            return dead
        return asked.answer.done() and not asked.answer.result() and asked.began_s > heard_s

    def _begin(self, writer: str, now_s: float) -> None:
        self._asked = {key: asked for key, asked in self._asked.items() if now_s - asked.began_s < FORGET_S}
        answer = asyncio.get_running_loop().create_task(self._question(writer))
        self._asked[writer] = _Asked(now_s, answer)

    async def _question(self, writer: str) -> bool:
        return await self._ask(writer)
