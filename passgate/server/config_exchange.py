"""Configuration taken over from peers, for daemons that can not read the log.

Each daemon tells its direct peers which offset it has applied; one that sees a
peer ahead asks it for the records between.  Records come from the log's order
only, so what a peer hands over is what the log would have said.
"""

from __future__ import annotations

import asyncio
from random import Random

import msgspec

from passgate.errors import PeerError
from passgate.interfaces import LogEntry
from passgate.membership.agent import MembershipAgent
from passgate.state.configuration import ConfigurationService, ConfigurationState

METHOD = "config.records"
HELD_KEY = "config"
CHECK_PERIOD_S = 0.5
GRACE_S = 1.0
"""Time for the log itself to deliver before a peer is asked."""
CALL_TIMEOUT_S = 2.0
MAXIMUM_ENTRIES = 128


class RecordsCall(msgspec.Struct, frozen=True):
    """Asks for log entries from ``offset``."""

    offset: int


class CarriedEntry(msgspec.Struct, frozen=True, array_like=True):
    """One log entry on its way between peers."""

    offset: int
    payload: str
    """The entry's bytes, one character each."""


class RecordsAnswer(msgspec.Struct, frozen=True):
    """Entries without gaps; empty when the peer no longer keeps them."""

    entries: tuple[CarriedEntry, ...]


class ConfigExchange:
    """Tells peers what this daemon holds and takes over what it lacks."""

    def __init__(
        self, membership: MembershipAgent, configuration: ConfigurationService, random: Random
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._random = random
        self._behind_for_s = 0.0
        self.adopted = 0
        """Records taken over from peers since the start."""
        membership.handle(METHOD, self._answer)
        configuration.subscribe(self._tell)

    def _tell(self, state: ConfigurationState) -> None:
        self._membership.set_held(HELD_KEY, self._configuration.follower.next_offset)

    async def _answer(self, payload: bytes) -> bytes:
        call = msgspec.json.decode(payload, type=RecordsCall)
        entries = self._configuration.records_since(call.offset)[:MAXIMUM_ENTRIES]
        carried = tuple(CarriedEntry(entry.offset, entry.payload.decode("latin-1")) for entry in entries)
        return msgspec.json.encode(RecordsAnswer(carried))

    def newest_held(self) -> int:
        """Return the highest offset that any direct peer or this daemon has applied."""
        ahead = self._membership.ahead(HELD_KEY)
        return max([self._configuration.follower.next_offset, *ahead.values()])

    async def run(self) -> None:
        """Take over records for ever; one peer is asked at a time."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            ahead = self._membership.ahead(HELD_KEY)
            self._behind_for_s = self._behind_for_s + CHECK_PERIOD_S if ahead else 0.0
            if self._behind_for_s >= GRACE_S:
                await self._take_over(self._random.choice(sorted(ahead)))

    async def _take_over(self, address: str) -> None:
        call = msgspec.json.encode(RecordsCall(self._configuration.follower.next_offset))
        try:
            answer = await self._membership.call_address(address, METHOD, call, CALL_TIMEOUT_S)
            entries = msgspec.json.decode(answer, type=RecordsAnswer).entries
        except (PeerError, msgspec.MsgspecError):
            return
        self.adopted += self._configuration.adopt(
            [LogEntry(entry.offset, entry.payload.encode("latin-1")) for entry in entries]
        )
