"""One lot as followed by one daemon: its fold, its proposals, and news of changes."""

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
from passgate.state.fold import Decision
from passgate.state.log_follower import LogFollower
from passgate.state.lot_state import LotFold, SlotStatus
from passgate.state.lot_types import LotInfo

TRAINER_ACTIONS = (LotOpened, SamplesHandedOver, SamplesAcknowledged, SamplesReplaced)


def stream_of(lot_id: str) -> str:
    """Return the stream of a lot."""
    return f"lot.{lot_id}"


class LotHandle:
    """Follows one lot's stream; shared by all readers and the keeper of a daemon."""

    def __init__(
        self, log: LogClient, lot_id: str, writer: str, newest_version: Callable[[str], int], random: Random
    ) -> None:
        self.lot_id = lot_id
        self.fold = LotFold()
        self.last_used_s = 0.0
        """When this daemon was last asked for the lot."""
        self.last_trainer_action_s = 0.0
        """When the trainer last did something with the lot, through any daemon."""
        self._newest_version = newest_version
        self._changed = asyncio.Event()
        self.follower = LogFollower(
            log, stream_of(lot_id), self.fold, writer, on_applied=self._applied, random=random
        )

    def start(self) -> None:
        """Begin to follow."""
        self.follower.start()

    async def close(self) -> None:
        """Stop following."""
        await self.follower.close()

    async def propose(self, body: Body, *, epoch: int = 0, timeout_s: float) -> Decision:
        """Propose a record on the lot's stream."""
        return await self.follower.propose(body, epoch=epoch, timeout_s=timeout_s)

    @property
    def opened(self) -> LotOpened:
        """Return what the trainer asked for; raises NotFound."""
        if self.fold.header.opened is None:
            raise NotFound(f"no lot {self.lot_id!r}", lot_id=self.lot_id)
        return self.fold.header.opened

    def version(self, trainer_version: int | None = None) -> int:
        """Return the newest version that staleness is measured from, as known now."""
        newest = self._newest_version(self.opened.model)
        return max(newest, trainer_version or 0, self.fold.header.trainer_version)

    def stale_committed(self, version: int) -> list[int]:
        """Return committed, not handed-over slots that are over the bound."""
        header, slots = self.fold.header, self.fold.slots
        return [index for index in self.fold.committed if header.is_stale(slots[index].sample, version)]

    async def wait_for_change(self, timeout_s: float) -> None:
        """Return at the next applied record, or after ``timeout_s``."""
        # Not asyncio.wait_for: in Python 3.11 it loses a cancellation that meets the event.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()

    def touch(self) -> None:
        """Note that the lot is in use."""
        self.last_used_s = self.last_trainer_action_s = monotonic_s()

    def info(self) -> LotInfo:
        """Return the lot in numbers; raises NotFound."""
        opened, header, counts = self.opened, self.fold.header, self.fold.counts
        return LotInfo(
            lot_id=self.lot_id,
            caller=opened.caller,
            pool=opened.pool,
            model=opened.model,
            staleness_bound=opened.staleness_bound,
            slots=len(self.fold.slots),
            open=counts[SlotStatus.OPEN],
            committed=counts[SlotStatus.COMMITTED],
            handed_over=counts[SlotStatus.HANDED_OVER],
            acknowledged=counts[SlotStatus.ACKNOWLEDGED],
            failed=counts[SlotStatus.FAILED],
            cancelled=header.cancelled,
            finished=self.fold.is_whole(),
            keeper=header.keeper,
            epoch=header.epoch,
        )

    def _applied(self, offset: int, record: Record, decision: Decision) -> None:
        if isinstance(record.body, TRAINER_ACTIONS):
            self.last_trainer_action_s = monotonic_s()
        self.notify()

    def notify(self) -> None:
        """Wake everything that waits for a change."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
