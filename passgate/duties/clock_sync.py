"""Adjusts this daemon's wall clock to those of other daemons at regular intervals."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.duties.wall_clock import SynchronizedWallClock
from passgate.errors import PeerError
from passgate.peers.transport import PeerTransport
from passgate.sharedlog.member_names import address_of

CLOCK_METHOD = "duties.clock"
MAX_PEERS_ASKED = 4
"""Maximum number of daemons asked at once.  If four answer, two wrong clocks among them can't move the median
of five, this daemon's clock included, beyond the readings of the others."""
RESPONSE_TIMEOUT_S = 0.3
"""Timeout of a request; the clock reading of a later response would be too inaccurate."""
FIRST_SYNC_DELAY_S = 0.5
"""Delay before the first request, as the list of daemons has to be read first."""
SYNC_INTERVAL_S = 10.0
"""Pause between adjustments; clocks that drift apart by 100 ppm differ by 1 ms after it."""


class ClockResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon's response to a request for its wall clock."""

    wall_s: float
    """Time of day in seconds since 1970."""


class ClockSync:
    """Requests the time of day from other daemons and answers their requests."""

    def __init__(
        self,
        clock: SynchronizedWallClock,
        transport: PeerTransport,
        list_other_members: Callable[[], list[str]],
    ) -> None:
        """Connect the clock; of the daemons that ``list_other_members`` names, the first ones are asked."""
        self._clock = clock
        self._transport = transport
        self._list_other_members = list_other_members

    async def run(self) -> None:
        """Synchronize at regular intervals until cancelled."""
        await asyncio.sleep(FIRST_SYNC_DELAY_S)
        while True:
            members = self._list_other_members()[:MAX_PEERS_ASKED]
            offsets_s = await asyncio.gather(*(self._read_offset_s(member) for member in members))
            # All readings are converted to the same moment of the monotonic clock.
            now_s = monotonic_s()
            self._clock.adjust_to_median(
                [offset_s + now_s for offset_s in offsets_s if offset_s is not None], now_s
            )
            await asyncio.sleep(SYNC_INTERVAL_S)

    async def _read_offset_s(self, member: str) -> float | None:
        """Return a daemon's time of day minus the monotonic time here; None without a valid response in time.

        After a suspension of this process, a response and its timeout are due at the same moment, and the
        response may be processed first.
        """
        sent_s = monotonic_s()
        try:
            payload = await self._transport.call(address_of(member), CLOCK_METHOD, b"{}", RESPONSE_TIMEOUT_S)
            response = msgspec.json.decode(payload, type=ClockResponse)
        except (PeerError, msgspec.DecodeError):
            return None  # the median is taken over the daemons that answer
        received_s = monotonic_s()
        if received_s - sent_s > RESPONSE_TIMEOUT_S:
            return None
        return response.wall_s - (sent_s + received_s) / 2

    def encode_response(self) -> bytes:
        """Return the encoded response to another daemon's request for the time of day."""
        return msgspec.json.encode(ClockResponse(wall_s=self._clock.now_s()))
