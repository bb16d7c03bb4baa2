"""Asks the daemon that leads for permits to send to cold replicas.

Only few daemons know who leads, so a daemon asks the leader it was told of last, else one that
watches the control partition; a daemon that does not lead names the leader.  One question is under
way at a time; it is for all replicas that are wanted, and for as many permits as were lately used
and some more.  A daemon that the log does not answer also asks which replicas are cold.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Awaitable, Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.eligibility.cold_replicas import ColdReplicas
from passgate.eligibility.permit_grantor import AskPermits, PermitGrantor, PermitsGiven
from passgate.eligibility.permits import PERMIT_LIFE_S, PermitStock
from passgate.errors import PeerError
from passgate.peers.transport import PeerTransport
from passgate.sharedlog.member_names import address_of

logger = logging.getLogger("passgate.eligibility")

PERMITS_METHOD = "cold.permits"
ANSWER_S = PERMIT_LIFE_S * 0.8
"""Time for an answer; permits that come later have all but run out."""
ASK_GAP_S = 0.05
"""Time between two questions that bring permits; a sixth of a permit's life, so that they follow use."""
MOST_GAP_S = 0.4
"""Time to which the pause grows, doubled, while questions bring none; some permits' lives, so that a refused
asker costs the leader two or three questions a second."""
MOST_PERMITS = 64
"""Permits asked for at once, so that one daemon can not take what many cold replicas bear for a while."""
GROWTH = 2
"""Permits asked for by each that was used since the last question, so that few run out unused."""
TICK_S = 0.1
"""Time between looks at who leads and at the age of the log."""
STALE_S = 1.3
"""Age of the log's view from which others are asked what is cold; a calm log confirms it each second."""
KNOW_GAP_S = 0.5
"""Time between such questions; cold spells last seconds."""
MOST_HOPS = 4
"""Daemons asked one after the other for one question."""


class PermitPeers:
    """Keeps a daemon's stock of permits filled as they are wanted."""

    def __init__(
        self,
        transport: PeerTransport,
        grantor: PermitGrantor,
        stock: PermitStock,
        cold: ColdReplicas,
        watcher: Callable[[], Awaitable[str | None]],
        others: Callable[[], list[str]],
        log_age_s: Callable[[], float],
    ) -> None:
        """Connect the parts.

        Args:
            transport: carries questions to other daemons.
            grantor: answers in case this daemon leads.
            stock: the permits of this daemon.
            cold: which replicas are cold.
            watcher: returns a daemon that probably knows the leader.
            others: returns the names of other daemons, in any order.
            log_age_s: returns the age of this daemon's view of the log.
        """
        self._transport = transport
        self._grantor = grantor
        self._stock = stock
        self._cold = cold
        self._watcher = watcher
        self._others = others
        self._log_age_s = log_age_s
        self.leader = ""
        """Address that granted last."""
        self._used = 0
        """Permits used up to the last question."""
        self._gap_s = ASK_GAP_S
        self._asked_cold_s = float("-inf")
        """Loop time of the last question which replicas are cold."""

    async def run(self) -> None:
        """Ask as permits are wanted, until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_S):
                    await self._stock.wish.wait()
            if self._stock.wanted or self._must_be_told():
                await self._ask_once()
                await asyncio.sleep(self._gap_s)

    def _must_be_told(self) -> bool:
        return self._log_age_s() >= STALE_S and monotonic_s() - self._asked_cold_s >= KNOW_GAP_S

    async def _ask_once(self) -> None:
        question = self._question()
        answer = await self._ask_leader(question)
        if answer is None:
            self._stock.tally.unanswered += 1
        elif question.count and not answer.granted:
            self._stock.tally.wanting += 1
        brought = answer is not None and bool(answer.granted)
        self._gap_s = ASK_GAP_S if brought else min(2 * self._gap_s, MOST_GAP_S)

    def _question(self) -> AskPermits:
        tell_cold = self._log_age_s() >= STALE_S
        if tell_cold:
            self._asked_cold_s = monotonic_s()
        wanted = self._stock.take_wanted()
        used = self._stock.tally.used
        count = min(GROWTH * (used - self._used) + 1, MOST_PERMITS) if wanted else 0
        self._used = used
        return AskPermits(count=count, replicas=wanted, tell_cold=tell_cold)

    async def _ask_leader(self, question: AskPermits) -> PermitsGiven | None:
        """Ask from daemon to daemon until one leads; None when none is found."""
        left = deque(await self._candidates())
        asked: set[str] = set()
        while left and len(asked) < MOST_HOPS:
            address = left.popleft()
            if not address or address in asked:
                continue
            asked.add(address)
            answer = await self._ask_at(address, question)
            if answer is not None and answer.granted is not None:
                self.leader = address
                return answer
            if answer is not None:
                left.appendleft(address_of(answer.leader))
        self.leader = ""
        return None

    async def _candidates(self) -> list[str]:
        if self.leader:
            return [self.leader]
        watcher = await self._watcher()
        return [self._transport.address, *(address_of(name) for name in [watcher or "", *self._others()])]

    async def _ask_at(self, address: str, question: AskPermits) -> PermitsGiven | None:
        """Ask one daemon and take what it grants; None when it does not answer."""
        asked_s = monotonic_s()
        if address == self._transport.address:
            answer = self._grantor.answer(address, question)
        else:
            try:
                payload = msgspec.json.encode(question)
                reply = await self._transport.call(address, PERMITS_METHOD, payload, ANSWER_S)
                answer = msgspec.json.decode(reply, type=PermitsGiven)
            except PeerError:
                return None  # counted as unanswered, unless the next one answers
            except msgspec.DecodeError as error:
                logger.info("permits_unreadable", extra={"peer": address, "error": str(error)})
                return None
        now_s = monotonic_s()
        self._stock.add(answer.granted or {}, asked_s, now_s)
        for replica_id, left_ms in answer.cold_ms.items():
            self._cold.told_cold(replica_id, left_ms / 1000, now_s)
        return answer

    def answer(self, sender: str, payload: bytes) -> bytes:
        """Answer another daemon; raises msgspec.DecodeError for what is no question."""
        question = msgspec.json.decode(payload, type=AskPermits)
        return msgspec.json.encode(self._grantor.answer(sender, question))
