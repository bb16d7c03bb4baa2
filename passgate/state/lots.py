"""Lots of samples for trainers; every sample is delivered exactly once.

::

    info = await lots.open(request, lot_id="step-7")
    page = await lots.read(info.lot_id, cursor=0, limit=64, wait_s=10.0, trainer_version=None)
    await lots.acknowledge(info.lot_id, [sample.sample_id for sample in page.samples])

Every daemon serves every lot.  One of them, the keeper of the lot, produces its
samples; when it is dead or has released the lot, the next daemon that gets a call for
the lot takes it over.  Repeated reads return a sample with the same content and the
same ``sample_id``, by which a trainer must recognise duplicates.
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
from passgate.state.lot_handle import LotHandle
from passgate.state.lot_keeper import LotKeeper, ProduceSample
from passgate.state.lot_opening import make_opening_record, validate_request
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
from passgate.state.projection import Accepted, Rejected

__all__ = [
    "DeliveredSample",
    "LotInfo",
    "LotRequest",
    "LotService",
    "ProduceSample",
    "SampleFailure",
    "SamplesPage",
]

PROPOSE_TIMEOUT_S = 5.0
READ_LOG_TIMEOUT_S = 5.0
PAGE_LIMIT_SAMPLES = 1024
WAIT_LIMIT_S = 60.0
TAKEOVER_BACKOFF_INITIAL_S = 5.0
TAKEOVER_BACKOFF_MAX_S = 600.0
IDLE_LOT_TIMEOUT_S = 120.0
"""Time without a call after which a daemon stops following a lot that it does not produce."""


class TakeoverBackoff:
    """Exponential backoff between takeovers of one lot from keepers that are reported dead.

    Without it, two daemons that each consider the other dead would take the lot from
    each other at every call, and no long sample would ever be finished.

    >>> backoff = TakeoverBackoff()
    >>> [backoff.try_start_takeover(now_s) for now_s in (0.0, 1.0, 5.0, 11.0)]
    [True, False, True, False]
    """

    def __init__(self) -> None:
        self._backoff_s = TAKEOVER_BACKOFF_INITIAL_S
        self._next_takeover_s = -math.inf

    def try_start_takeover(self, now_s: float) -> bool:
        """Return whether a takeover may start now; if so, delay the next one."""
        if now_s < self._next_takeover_s:
            return False
        self._next_takeover_s = now_s + self._backoff_s
        self._backoff_s = min(self._backoff_s * 2, TAKEOVER_BACKOFF_MAX_S)
        return True


class LotService:
    """Opens, produces and serves lots on one daemon.

    ``daemon_id`` must identify this incarnation: a restarted daemon needs another one.
    ``newest_version`` returns the newest version of a model in this daemon's
    configuration.  ``is_alive`` returns whether membership considers an incarnation
    alive.
    """

    def __init__(
        self,
        log: LogClient,
        produce_sample: ProduceSample,
        newest_version: Callable[[str], int],
        daemon_id: str,
        is_alive: Callable[[str], bool],
        random: Random,
    ) -> None:
        self._log = log
        self._produce_sample = produce_sample
        self._newest_version = newest_version
        self._daemon_id = daemon_id
        self._is_alive = is_alive
        self._random = random
        self._handle_by_lot: dict[str, LotHandle] = {}
        self._keeper_by_lot: dict[str, LotKeeper] = {}
        self._takeover_backoff_by_lot: dict[str, TakeoverBackoff] = {}
        self._handle_count = 0
        self._is_draining = False

    async def open(self, request: LotRequest, lot_id: str | None = None) -> LotInfo:
        """Open a lot, or return the lot that the same request has opened under ``lot_id``.

        Without ``lot_id`` the lot gets a random identifier.

        Raises:
            MalformedBody, PayloadTooLarge: the request is not valid; details name ``field``.
            KeyReused: ``lot_id`` was used for a different request.
            Draining: this daemon is shutting down.
            DurabilityUnavailable, DurabilityUnknown: the record is not known to be on the
                log; repeat the call with the same ``lot_id``.
        """
        if self._is_draining:
            raise Draining("this daemon is shutting down and opens no lots")
        validate_request(request)
        lot_id = lot_id or f"{self._random.getrandbits(64):016x}"
        handle = self._get_or_create_handle(lot_id)
        body = make_opening_record(request, lot_id, self._newest_version(request.model))
        open_proposal = handle.propose(body, timeout_s=PROPOSE_TIMEOUT_S)
        takeover = self._take_over(handle, 1) if handle.projection.header.epoch == 0 else asyncio.sleep(0)
        decision, _ = await asyncio.gather(open_proposal, takeover)
        if isinstance(decision, Rejected):
            raise decision.error
        await self._ensure_keeper(handle)
        return handle.info()

    async def read(
        self, lot_id: str, cursor: int, limit: int, wait_s: float, trainer_version: int | None = None
    ) -> SamplesPage:
        """Return up to ``limit`` samples from ``cursor`` on, waiting up to ``wait_s`` for the first.

        Reading from the same cursor again, on any daemon, returns the same samples,
        except for those that were acknowledged, withdrawn or replaced since.

        Raises:
            MalformedBody: ``cursor`` or ``limit`` is out of range.
            NotFound: the log has no such lot.
            DurabilityUnavailable, DurabilityUnknown: the log could not be read, or the
                hand-over could not be recorded; read again.
        """
        if cursor < 0 or not 0 < limit <= PAGE_LIMIT_SAMPLES:
            raise MalformedBody(
                f"limit must be 1 to {PAGE_LIMIT_SAMPLES}, and cursor must not be negative", field="cursor"
            )
        handle = await self._get_existing_handle(lot_id)
        return await read_page(handle, cursor, limit, min(wait_s, WAIT_LIMIT_S), trainer_version)

    async def acknowledge(self, lot_id: str, sample_ids: Sequence[str]) -> None:
        """Record that the trainer has received samples; their content is dropped.

        Samples that are not handed over are ignored.

        Raises:
            InvalidRequest: an identifier is not one of the lot.
            NotFound, DurabilityUnavailable, DurabilityUnknown: as :meth:`read`.
        """
        indexes = tuple(index_of(lot_id, identifier) for identifier in sample_ids)
        handle = await self._get_existing_handle(lot_id)
        if not indexes:
            return
        await handle.propose(SamplesAcknowledged(indexes=indexes), timeout_s=PROPOSE_TIMEOUT_S)

    async def replace(
        self, lot_id: str, sample_ids: Sequence[str], trainer_version: int | None = None
    ) -> tuple[str, ...]:
        """Produce withdrawn samples again that the trainer has not received; return their identifiers.

        Samples within the staleness bound are not replaced, because the trainer can read
        them again.

        Raises:
            InvalidRequest: an identifier is not one of the lot.
            NotFound: the log has no such lot, or the lot has no such slot.
            DurabilityUnavailable, DurabilityUnknown: as :meth:`read`.
        """
        indexes = [index_of(lot_id, identifier) for identifier in sample_ids]
        handle = await self._get_existing_handle(lot_id)
        version = handle.newest_known_version(trainer_version)
        stale = [index for index in indexes if _is_withdrawn(handle, index, version)]
        if not stale:
            return ()
        attempts = tuple(handle.projection.slots[index].attempt for index in stale)
        body = SamplesReplaced(indexes=tuple(stale), attempts=attempts)
        decision = await handle.propose(body, timeout_s=PROPOSE_TIMEOUT_S)
        replaced = decision.value if isinstance(decision, Accepted) else ()
        return tuple(sample_id(lot_id, index) for index in replaced)

    async def cancel(self, lot_id: str) -> None:
        """Cancel a lot: no sample is produced, handed over or served any more; raises as :meth:`read`."""
        handle = await self._get_existing_handle(lot_id)
        await handle.propose(LotCancelled(), timeout_s=PROPOSE_TIMEOUT_S)

    async def info(self, lot_id: str) -> LotInfo:
        """Return the counts of a lot's slots; raises as :meth:`read`."""
        return (await self._get_existing_handle(lot_id)).info()

    async def drain(self, timeout_s: float) -> None:
        """Refuse new lots, wait ``timeout_s`` for samples in progress, and release the lots produced here."""
        self._is_draining = True
        await asyncio.gather(*(keeper.drain(timeout_s) for keeper in self._keeper_by_lot.values()))

    async def close(self) -> None:
        """Cancel all production and stop following all lots, without releasing any."""
        keepers, self._keeper_by_lot = list(self._keeper_by_lot.values()), {}
        handles, self._handle_by_lot = list(self._handle_by_lot.values()), {}
        await asyncio.gather(*(keeper.close() for keeper in keepers))
        await asyncio.gather(*(handle.close() for handle in handles))

    def _get_or_create_handle(self, lot_id: str) -> LotHandle:
        handle = self._handle_by_lot.get(lot_id)
        if handle is None:
            self._handle_count += 1
            writer = f"{self._daemon_id}/lot-{self._handle_count}"
            handle = LotHandle(self._log, lot_id, writer, self._newest_version, self._random)
            self._handle_by_lot[lot_id] = handle
            handle.start()
        handle.record_use()
        return handle

    async def _get_existing_handle(self, lot_id: str) -> LotHandle:
        """Return the handle of a lot that is on the log, after taking it over if it needs a keeper.

        Raises:
            NotFound: the log has no such lot.
            DurabilityUnavailable: the log could not be read.
        """
        await self._close_idle_handles()
        handle = self._get_or_create_handle(lot_id)
        if handle.projection.header.opened is None:
            await self._load_lot(handle)
        await self._ensure_keeper(handle)
        return handle

    async def _load_lot(self, handle: LotHandle) -> None:
        """Wait until the lot's stream is read; raises as :meth:`_get_existing_handle`."""
        try:
            await handle.follower.wait_synchronised(READ_LOG_TIMEOUT_S)
        except DeadlineExceeded as error:
            raise DurabilityUnavailable("the lot's stream could not be read from the log") from error
        if handle.projection.header.opened is None:
            handle.last_used_s = -math.inf  # The next call of _close_idle_handles closes it.
            raise NotFound(f"no lot {handle.lot_id!r}", lot_id=handle.lot_id)

    async def _ensure_keeper(self, handle: LotHandle) -> None:
        """Take the lot over if it has open slots and its keeper is dead or has released it."""
        header = handle.projection.header
        if self._is_draining or not handle.projection.has_open_slots():
            return
        if header.keeper == self._daemon_id:
            self._start_keeper(handle, header.epoch)
        elif self._may_take_over(handle.lot_id, header.keeper):
            await self._take_over(handle, header.epoch + 1)

    def _may_take_over(self, lot_id: str, keeper: str) -> bool:
        if not keeper:
            return True
        if self._is_alive(keeper):
            return False
        return self._takeover_backoff_by_lot.setdefault(lot_id, TakeoverBackoff()).try_start_takeover(
            monotonic_s()
        )

    async def _take_over(self, handle: LotHandle, epoch: int) -> None:
        body = KeeperTaken(holder=self._daemon_id)
        try:
            decision = await handle.propose(body, epoch=epoch, timeout_s=PROPOSE_TIMEOUT_S)
        except (DurabilityUnavailable, DurabilityUnknown):
            return  # The next call for the lot repeats the takeover.
        if isinstance(decision, Accepted):
            self._start_keeper(handle, epoch)

    def _start_keeper(self, handle: LotHandle, epoch: int) -> None:
        keeper = self._keeper_by_lot.get(handle.lot_id)
        if keeper is not None and keeper.is_running and keeper.epoch == epoch:
            return
        keeper = LotKeeper(handle, epoch, self._produce_sample, self._random)
        self._keeper_by_lot[handle.lot_id] = keeper
        keeper.start()

    async def _close_idle_handles(self) -> None:
        """Close the handles of lots that had no call for a while and are not produced here."""
        now_s = monotonic_s()
        for lot_id, handle in list(self._handle_by_lot.items()):
            keeper = self._keeper_by_lot.get(lot_id)
            is_producing = keeper is not None and keeper.is_running and handle.projection.has_open_slots()
            is_busy = is_producing or not handle.follower.is_idle
            if is_busy or now_s - handle.last_used_s < IDLE_LOT_TIMEOUT_S:
                continue
            del self._handle_by_lot[lot_id]
            if self._keeper_by_lot.pop(lot_id, None) is not None:
                await keeper.close()
            self._takeover_backoff_by_lot.pop(lot_id, None)
            await handle.close()


def _is_withdrawn(handle: LotHandle, index: int, version: int) -> bool:
    if index >= len(handle.projection.slots):
        raise NotFound("the lot has no slot with this index", index=index)
    slot = handle.projection.slots[index]
    return slot.status is SlotStatus.HANDED_OVER and handle.projection.header.is_stale(slot.sample, version)
