"""Keeps a daemon's view of the time of day in agreement with other daemons'."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.duties.wall_clock import AgreedWallClock
from passgate.errors import PeerError
from passgate.peers.transport import PeerTransport
from passgate.sharedlog.member_names import address_of

CLOCK_METHOD = "duties.clock"
MOST_ASKED = 4
"""Daemons asked at once; with the own clock, a median that two wrong clocks do not shift."""
ANSWER_S = 0.3
"""Time for an answer; a later one says little of the moment it was asked for."""
FIRST_S = 0.5
"""Time after the start of the first question; the list of daemons is known by then."""
GAP_S = 10.0
"""Time between questions; clocks that run apart by 100 ppm differ by 1 ms then."""


class ClockAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon's view of the time of day."""

    wall_s: float


class ClockSync:
    """Asks other daemons, and answers them."""

    def __init__(
        self, clock: AgreedWallClock, transport: PeerTransport, others: Callable[[], list[str]]
    ) -> None:
        """Connect the clock; ``others`` returns the names of other daemons, in any order."""
        self._clock = clock
        self._transport = transport
        self._others = others

    async def run(self) -> None:
        """Ask again and again until cancelled."""
        await asyncio.sleep(FIRST_S)
        while True:
            asked = self._others()[:MOST_ASKED]
            answers = await asyncio.gather(*(self._ask(member) for member in asked))
            # Each answer is brought to the same moment of the steady clock.
            now_s = monotonic_s()
            self._clock.agree([ahead_s + now_s for ahead_s in answers if ahead_s is not None], now_s)
            await asyncio.sleep(GAP_S)

    async def _ask(self, member: str) -> float | None:
        """Return how far a daemon's time of day is ahead of this one's steady clock, or None."""
        began_s = monotonic_s()
        try:
            payload = await self._transport.call(address_of(member), CLOCK_METHOD, b"{}", ANSWER_S)
            answer = msgspec.json.decode(payload, type=ClockAnswer)
        except (PeerError, msgspec.DecodeError):
            return None  # the median is taken of those that answer
        return answer.wall_s - (began_s + monotonic_s()) / 2

    def answer(self) -> bytes:
        """Answer another daemon."""
        return msgspec.json.encode(ClockAnswer(wall_s=self._clock.now_s()))
