"""Handle of a lot on one daemon: its projection, proposals to its stream, and waiting for changes."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from random import Random

from passgate.clock import monotonic_s
from passgate.errors import NotFound
from passgate.interfaces import LogClient
from passgate.records import (
    Body,
    LotOpened,
    Record,
    SamplesAcknowledged,
    SamplesHandedOver,
    SamplesReplaced,
)
from passgate.state.log_follower import LogFollower
from passgate.state.lot_state import LotProjection, SlotStatus
from passgate.state.lot_types import LotInfo
from passgate.state.projection import Decision

TRAINER_RECORD_TYPES = (LotOpened, SamplesHandedOver, SamplesAcknowledged, SamplesReplaced)


def lot_stream(lot_id: str) -> str:
    """Return the name of the stream that holds the records of a lot."""
    return f"lot.{lot_id}"


class LotHandle:
    """Follows one lot's stream; shared by all calls for the lot and its keeper on this daemon."""

    def __init__(
        self, log: LogClient, lot_id: str, writer: str, newest_version: Callable[[str], int], random: Random
    ) -> None:
        self.lot_id = lot_id
        self.projection = LotProjection()
        self.last_used_s = 0.0
        """Time of the last call for the lot on this daemon."""
        self.last_trainer_action_s = 0.0
        """Time of the last call here, or when the last record of a call on any daemon was applied here."""
        self._newest_version = newest_version
        self._changed = asyncio.Event()
        self.follower = LogFollower(
            log, lot_stream(lot_id), self.projection, writer, on_applied=self._handle_applied, random=random
        )

    def start(self) -> None:
        """Start to follow the lot's stream."""
        self.follower.start()

    async def close(self) -> None:
        """Stop following; open proposals fail as :meth:`LogFollower.close` says."""
        await self.follower.close()

    async def propose(self, body: Body, *, epoch: int = 0, timeout_s: float) -> Decision:
        """Append a record to the lot's stream and return the decision; raises as ``LogFollower.propose``."""
        return await self.follower.propose(body, epoch=epoch, timeout_s=timeout_s)

    @property
    def opened(self) -> LotOpened:
        """The record that opened the lot; raises NotFound when none is applied here."""
        if self.projection.header.opened is None:
            raise NotFound(f"no lot {self.lot_id!r}", lot_id=self.lot_id)
        return self.projection.header.opened

    def newest_known_version(self, trainer_version: int | None = None) -> int:
        """Return the highest known version of the trainer, from which staleness is counted.

        That is the highest of the configured version, ``trainer_version`` and the
        versions in the lot's records.  Raises NotFound when the lot is not opened here.
        """
        configured_version = self._newest_version(self.opened.model)
        return max(configured_version, trainer_version or 0, self.projection.header.trainer_version)

    def stale_committed_indexes(self, version: int) -> list[int]:
        """Return the indexes of committed slots whose samples are stale for a trainer at ``version``."""
        header, slots = self.projection.header, self.projection.slots
        return [
            index
            for index in self.projection.committed_indexes
            if header.is_stale(slots[index].sample, version)
        ]

    async def wait_for_change(self, timeout_s: float) -> None:
        """Return after the next applied record, call of :meth:`wake_waiters`, or ``timeout_s``."""
        # asyncio.wait_for of Python 3.11 can lose a cancellation that arrives together with the event.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()

    def record_use(self) -> None:
        """Record that a trainer's call for the lot arrived now."""
        self.last_used_s = self.last_trainer_action_s = monotonic_s()

    def info(self) -> LotInfo:
        """Return the counts of the lot's slots; raises NotFound when the lot is not opened here."""
        opened, header, counts = self.opened, self.projection.header, self.projection.count_by_status
        return LotInfo(
            lot_id=self.lot_id,
            caller=opened.caller,
            pool=opened.pool,
            model=opened.model,
            staleness_bound=opened.staleness_bound,
            slots=len(self.projection.slots),
            open=counts[SlotStatus.OPEN],
            committed=counts[SlotStatus.COMMITTED],
            handed_over=counts[SlotStatus.HANDED_OVER],
            acknowledged=counts[SlotStatus.ACKNOWLEDGED],
            failed=counts[SlotStatus.FAILED],
            cancelled=header.cancelled,
            finished=self.projection.is_finished(),
            keeper=header.keeper,
            epoch=header.epoch,
        )

    def _handle_applied(self, offset: int, record: Record, decision: Decision) -> None:
        if isinstance(record.body, TRAINER_RECORD_TYPES):
            self.last_trainer_action_s = monotonic_s()
        self.wake_waiters()

    def wake_waiters(self) -> None:
        """End all current calls of :meth:`wait_for_change`."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
