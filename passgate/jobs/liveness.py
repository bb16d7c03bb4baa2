"""Whether the owner of a job still lives.

A writer that is silent on the log is asked at its peer address.  When another life of
the same daemon answers there, the writer has surely ended.  When nobody answers, it may
only be unreachable, and counts as silent until it is heard again.  A writer that answers
tells also whether the log takes what it appends.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable

import msgspec

from passgate.clock import monotonic_s

CUT_OFF_S = 0.45
"""A writer whose appends have waited for this long is cut off; a slow log answers within 0.3 s."""
ASK_AGAIN_S = 0.3
"""Time between two questions to the same writer; about the time that an answer is waited for."""
FORGET_S = 30.0
"""Time for which an answer is remembered; longer than any take-over lasts."""


class Alive(msgspec.Struct, frozen=True, kw_only=True):
    """What a daemon answers that is asked whether it lives."""

    writer: str
    """Its present life."""
    zone: str = ""
    """Its zone, so that the round trip of the question can be counted."""
    waiting_s: float = 0.0
    """Time for which the log has not acknowledged what it appends to the partition in question."""


class Sign(enum.Enum):
    """What a writer's address told of it."""

    ALIVE = "alive"
    CUT_OFF = "cut_off"
    """It lives, but the log does not take what it appends."""
    REPLACED = "replaced"
    """A later life of its daemon answers."""
    SILENT = "silent"


class _Asked(msgspec.Struct):
    began_s: float
    answer: asyncio.Task[Alive | None]


class Liveness:
    """What this daemon knows of other writers' lives."""

    def __init__(self, ask: Callable[[str], Awaitable[Alive | None]]) -> None:
        """Make the view; ``ask`` returns what is answered at a writer's address, None without an answer."""
        self._ask = ask
        self._asked: dict[str, _Asked] = {}

    def sign_of(self, writer: str, heard_s: float) -> Sign | None:
        """Return what a writer's address has told since it was heard last; asks if need be.

        Returns None while no answer is known that was asked for after ``heard_s``.
        """
        now_s = monotonic_s()
        asked = self._asked.get(writer)
        sign = None
        if asked is not None and asked.answer.done() and asked.began_s > heard_s:
            sign = _sign(writer, asked.answer.result())
        if sign is not Sign.REPLACED and (asked is None or self._may_ask_again(asked, now_s)):
            self._begin(writer, now_s)
        return sign

    @staticmethod
    def _may_ask_again(asked: _Asked, now_s: float) -> bool:
        return asked.answer.done() and now_s - asked.began_s > ASK_AGAIN_S

    def _begin(self, writer: str, now_s: float) -> None:
        self._asked = {key: asked for key, asked in self._asked.items() if now_s - asked.began_s < FORGET_S}
        answer = asyncio.get_running_loop().create_task(self._question(writer))
        self._asked[writer] = _Asked(now_s, answer)

    async def _question(self, writer: str) -> Alive | None:
        return await self._ask(writer)


def _sign(writer: str, answer: Alive | None) -> Sign:
    if answer is None:
        return Sign.SILENT
    if answer.writer != writer:
        return Sign.REPLACED
    return Sign.CUT_OFF if answer.waiting_s >= CUT_OFF_S else Sign.ALIVE
