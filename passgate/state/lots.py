"""Lots of samples for trainers: each sample reaches its trainer exactly once.

::

    info = await lots.open(request, lot_id="step-7")
    page = await lots.read(info.lot_id, cursor=0, limit=64, wait_s=10.0, trainer_version=None)
    await lots.acknowledge(info.lot_id, [sample.sample_id for sample in page.samples])

Every daemon serves every lot.  One of them, the keeper, produces the samples; a
daemon that is asked for a lot whose keeper died or left takes over.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from random import Random

from passgate.clock import monotonic_s
from passgate.errors import (
    DeadlineExceeded,
    Draining,
    DurabilityUnavailable,
    DurabilityUnknown,
    MalformedBody,
    NotFound,
)
from passgate.interfaces import LogClient
from passgate.records import (
    KeeperTaken,
    LotCancelled,
    SamplesAcknowledged,
    SamplesReplaced,
)
from passgate.state.fold import Accepted, Rejected
from passgate.state.lot_handle import LotHandle
from passgate.state.lot_keeper import LotKeeper, Producer
from passgate.state.lot_opening import check_request, make_opening
from passgate.state.lot_reader import read_page
from passgate.state.lot_state import SlotStatus
from passgate.state.lot_types import (
    DeliveredSample,
    LotInfo,
    LotRequest,
    SampleFailure,
    SamplesPage,
    index_of,
    sample_id,
)

__all__ = [
    "DeliveredSample",
    "LotInfo",
    "LotRequest",
    "LotService",
    "Producer",
    "SampleFailure",
    "SamplesPage",
]

PROPOSE_TIMEOUT_S = 5.0
SYNCHRONISE_TIMEOUT_S = 5.0
PAGE_LIMIT_SAMPLES = 1024
WAIT_LIMIT_S = 60.0
TAKEOVER_PAUSE_INITIAL_S = 5.0
TAKEOVER_PAUSE_CAP_S = 600.0
IDLE_LOT_S = 120.0
"""A lot that is not kept here and was not asked for so long is no longer followed."""


class TakeoverPause:
    """Growing pauses between takeovers of one lot from keepers believed dead.

    Two daemons that believe each other dead would otherwise take the lot from
    each other at each call, and nothing long would ever be finished.

    >>> pause = TakeoverPause()
    >>> pause.may_take(0.0), pause.may_take(1.0), pause.may_take(5.0), pause.may_take(11.0)
    (True, False, True, False)
    """

    def __init__(self) -> None:
        self._pause_s = TAKEOVER_PAUSE_INITIAL_S
        self._next_s = -math.inf

    def may_take(self, now_s: float) -> bool:
        """Return whether a takeover may be tried now, and count it."""
        if now_s < self._next_s:
            return False
        self._next_s = now_s + self._pause_s
        self._pause_s = min(self._pause_s * 2, TAKEOVER_PAUSE_CAP_S)
        return True


class LotService:
    """Opens, produces and serves lots for one process run.

    ``daemon_id`` names this process run: a restarted daemon has another one.
    ``newest_version`` gives the newest version of a model that is in force here.
    """

    def __init__(
        self,
        log: LogClient,
        producer: Producer,
        newest_version: Callable[[str], int],
        daemon_id: str,
        is_alive: Callable[[str], bool],
        random: Random,
    ) -> None:
        self._log = log
        self._producer = producer
        self._newest_version = newest_version
        self._daemon_id = daemon_id
        self._is_alive = is_alive
        self._random = random
        self._handles: dict[str, LotHandle] = {}
        self._keepers: dict[str, LotKeeper] = {}
        self._pauses: dict[str, TakeoverPause] = {}
        self._handle_count = 0
        self._draining = False

    async def open(self, request: LotRequest, lot_id: str | None = None) -> LotInfo:
        """Open a lot, or return the one already open under ``lot_id``.

        Raises:
            MalformedBody, PayloadTooLarge: the request is wrong; details name ``field``.
            KeyReused: ``lot_id`` names a lot that was asked for differently.
            Draining: this daemon is stopping.
            DurabilityUnavailable, DurabilityUnknown: the log did not take it; send it again.
        """
        if self._draining:
            raise Draining("this daemon is stopping")
        check_request(request)
        lot_id = lot_id or f"{self._random.getrandbits(64):016x}"
        handle = self._handle(lot_id)
        body = make_opening(request, lot_id, self._newest_version(request.model))
        opening = handle.propose(body, timeout_s=PROPOSE_TIMEOUT_S)
        taking = self._take(handle, 1) if handle.fold.header.epoch == 0 else asyncio.sleep(0)
        decision, _ = await asyncio.gather(opening, taking)
        if isinstance(decision, Rejected):
            raise decision.error
        await self._ensure_keeper(handle)
        return handle.info()

    async def read(
        self, lot_id: str, cursor: int, limit: int, wait_s: float, trainer_version: int | None = None
    ) -> SamplesPage:
        """Return samples from ``cursor`` on, waiting up to ``wait_s`` for the first.

        Reading the same cursor again, through any daemon, gives the same samples.

        Raises:
            NotFound: no such lot is known to the log.
            DurabilityUnavailable, DurabilityUnknown: the hand-over could not be recorded; read again.
        """
        if cursor < 0 or not 0 < limit <= PAGE_LIMIT_SAMPLES:
            raise MalformedBody(f"limit is 1 to {PAGE_LIMIT_SAMPLES}, cursor is not negative", field="cursor")
        handle = await self._known(lot_id)
        return await read_page(handle, cursor, limit, min(wait_s, WAIT_LIMIT_S), trainer_version)

    async def acknowledge(self, lot_id: str, sample_ids: Sequence[str]) -> None:
        """Record that the trainer has samples, so that their bytes can be dropped."""
        indexes = tuple(index_of(lot_id, identifier) for identifier in sample_ids)
        handle = await self._known(lot_id)
        if not indexes:
            return
        await handle.propose(SamplesAcknowledged(indexes=indexes), timeout_s=PROPOSE_TIMEOUT_S)

    async def replace(
        self, lot_id: str, sample_ids: Sequence[str], trainer_version: int | None = None
    ) -> tuple[str, ...]:
        """Have withdrawn samples that the trainer lacks produced again; return their identifiers.

        Samples within the bound are left alone: reading them again gives them.
        """
        indexes = [index_of(lot_id, identifier) for identifier in sample_ids]
        handle = await self._known(lot_id)
        version = handle.version(trainer_version)
        stale = [index for index in indexes if _is_withdrawn(handle, index, version)]
        if not stale:
            return ()
        attempts = tuple(handle.fold.slots[index].attempt for index in stale)
        body = SamplesReplaced(indexes=tuple(stale), attempts=attempts)
        decision = await handle.propose(body, timeout_s=PROPOSE_TIMEOUT_S)
        replaced = decision.value if isinstance(decision, Accepted) else ()
        return tuple(sample_id(lot_id, index) for index in replaced)

    async def cancel(self, lot_id: str) -> None:
        """End a lot: nothing more is produced or handed over."""
        handle = await self._known(lot_id)
        await handle.propose(LotCancelled(), timeout_s=PROPOSE_TIMEOUT_S)

    async def info(self, lot_id: str) -> LotInfo:
        """Return a lot's state in numbers; raises NotFound."""
        return (await self._known(lot_id)).info()

    async def drain(self, timeout_s: float) -> None:
        """Let samples under way be committed, then give the lots kept here to other daemons."""
        self._draining = True
        await asyncio.gather(*(keeper.drain(timeout_s) for keeper in self._keepers.values()))

    async def close(self) -> None:
        """Stop at once, as a crash would; the log holds what matters."""
        keepers, self._keepers = list(self._keepers.values()), {}
        handles, self._handles = list(self._handles.values()), {}
        await asyncio.gather(*(keeper.close() for keeper in keepers))
        await asyncio.gather(*(handle.close() for handle in handles))

    def _handle(self, lot_id: str) -> LotHandle:
        handle = self._handles.get(lot_id)
        if handle is None:
            self._handle_count += 1
            writer = f"{self._daemon_id}/lot-{self._handle_count}"
            handle = LotHandle(self._log, lot_id, writer, self._newest_version, self._random)
            self._handles[lot_id] = handle
            handle.start()
        handle.touch()
        return handle

    async def _known(self, lot_id: str) -> LotHandle:
        """Return the handle of a lot that exists, with a keeper at work if it needs one."""
        await self._forget_idle()
        handle = self._handle(lot_id)
        if handle.fold.header.opened is None:
            await self._first_look(handle)
        await self._ensure_keeper(handle)
        return handle

    async def _first_look(self, handle: LotHandle) -> None:
        try:
            await handle.follower.synchronise(SYNCHRONISE_TIMEOUT_S)
        except DeadlineExceeded as error:
            raise DurabilityUnavailable("the log can not be read") from error
        if handle.fold.header.opened is None:
            handle.last_used_s = -math.inf  # The next sweep drops it.
            raise NotFound(f"no lot {handle.lot_id!r}", lot_id=handle.lot_id)

    async def _ensure_keeper(self, handle: LotHandle) -> None:
        """Take the lot over when it has work left and its keeper is gone."""
        header = handle.fold.header
        if self._draining or not handle.fold.has_work_left():
            return
        if header.keeper == self._daemon_id:
            self._keep(handle, header.epoch)
        elif self._may_take(handle.lot_id, header.keeper):
            await self._take(handle, header.epoch + 1)

    def _may_take(self, lot_id: str, keeper: str) -> bool:
        if not keeper:
            return True
        if self._is_alive(keeper):
            return False
        return self._pauses.setdefault(lot_id, TakeoverPause()).may_take(monotonic_s())

    async def _take(self, handle: LotHandle, epoch: int) -> None:
        body = KeeperTaken(holder=self._daemon_id)
        try:
            decision = await handle.propose(body, epoch=epoch, timeout_s=PROPOSE_TIMEOUT_S)
        except (DurabilityUnavailable, DurabilityUnknown):
            return  # The next call for the lot tries again.
        if isinstance(decision, Accepted):
            self._keep(handle, epoch)

    def _keep(self, handle: LotHandle, epoch: int) -> None:
        keeper = self._keepers.get(handle.lot_id)
        if keeper is not None and keeper.running and keeper.epoch == epoch:
            return
        keeper = LotKeeper(handle, epoch, self._producer, self._random)
        self._keepers[handle.lot_id] = keeper
        keeper.start()

    async def _forget_idle(self) -> None:
        """Stop following lots that nobody has asked for and that are not kept here."""
        now_s = monotonic_s()
        for lot_id, handle in list(self._handles.items()):
            keeper = self._keepers.get(lot_id)
            is_kept = keeper is not None and keeper.running and handle.fold.has_work_left()
            is_busy = is_kept or not handle.follower.idle
            if is_busy or now_s - handle.last_used_s < IDLE_LOT_S:
                continue
            del self._handles[lot_id]
            if self._keepers.pop(lot_id, None) is not None:
                await keeper.close()
            self._pauses.pop(lot_id, None)
            await handle.close()


def _is_withdrawn(handle: LotHandle, index: int, version: int) -> bool:
    if index >= len(handle.fold.slots):
        raise NotFound("the lot has no such sample", index=index)
    slot = handle.fold.slots[index]
    return slot.status is SlotStatus.HANDED_OVER and handle.fold.header.is_stale(slot.sample, version)
