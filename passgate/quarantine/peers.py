"""Carries crash reports between daemons of a zone while the log does not answer them.

A daemon whose view of the reports is old exchanges them with a few others, twice a second:
each learns what the other knows.  One that can still write hands on what it learns to the log.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from passgate.errors import PeerError
from passgate.peers.transport import PeerTransport
from passgate.quarantine.channel import CrashChannel
from passgate.quarantine.ledger import CrashReport
from passgate.sharedlog.member_names import address_of

CRASH_REPORTS_METHOD = "crashes.exchange"
EXCHANGE_GAP_S = 0.5
"""Time between exchanges; with three others each, a zone of 27 daemons knows a report after 2 s."""
MOST_ASKED = 3
"""Daemons asked at once: if a third of all are cut off, all three are in 4 of 100 exchanges."""
ANSWER_S = 0.4
"""Time for an answer; a round trip between zones takes 2 ms, a starved daemon some hundred."""
TICK_S = 0.1
"""Time between looks at the age of the view; a fifth of the time between exchanges."""

logger = logging.getLogger("passgate.quarantine")


class CrashReports(msgspec.Struct, frozen=True, kw_only=True):
    """What a daemon knows; both the question and the answer."""

    reports: tuple[CrashReport, ...] = ()


class CrashPeers:
    """Exchanges reports with other daemons, and answers them."""

    def __init__(
        self, transport: PeerTransport, others: Callable[[], list[str]], channel: CrashChannel
    ) -> None:
        """Connect the parts.

        Args:
            transport: carries questions to other daemons.
            others: returns the names of other daemons, in any order.
            channel: this daemon's reader and writer of the reports on the log.
        """
        self._transport = transport
        self._others = others
        self._channel = channel

    async def run(self) -> None:
        """Exchange reports while the log does not answer, until cancelled."""
        while True:
            if self._channel.is_current():
                await asyncio.sleep(TICK_S)
                continue
            asked = self._others()[:MOST_ASKED]
            await asyncio.gather(*(self._exchange(member) for member in asked))
            await asyncio.sleep(EXCHANGE_GAP_S)

    async def _exchange(self, member: str) -> None:
        question = msgspec.json.encode(self._known())
        try:
            payload = await self._transport.call(address_of(member), CRASH_REPORTS_METHOD, question, ANSWER_S)
            told = msgspec.json.decode(payload, type=CrashReports)
        except (PeerError, msgspec.DecodeError) as error:
            logger.info("crash_reports_not_exchanged", extra={"peer": member, "error": str(error)})
            return
        self._channel.learn(told.reports)

    def answer(self, payload: bytes) -> bytes:
        """Learn another daemon's reports, and tell it those known here."""
        known = msgspec.json.encode(self._known())
        self._channel.learn(msgspec.json.decode(payload, type=CrashReports).reports)
        return known

    def _known(self) -> CrashReports:
        return CrashReports(reports=self._channel.newest())
