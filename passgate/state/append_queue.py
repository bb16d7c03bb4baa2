"""Queue of one writer's proposals for one stream: batched appends with retries and deadlines.

One append is in flight at a time.  While its outcome is unknown it is repeated with
the same sequences, so that readers recognise the copies.  The next batch must wait:
once a higher sequence is on the log, readers reject all lower ones of the writer.

A proposal that is given up is dropped when it was certainly never appended.  Otherwise
further retries carry :class:`~passgate.records.ProposalWithdrawn` under its sequence,
and the first of the two on the log counts.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from random import Random

import msgspec

from passgate.errors import (
    DuplicateRecord,
    DurabilityUnavailable,
    DurabilityUnknown,
    LogUnavailable,
    PassgateError,
)
from passgate.interfaces import LogClient
from passgate.records import Body, ProposalWithdrawn, Record, encode_record
from passgate.state.projection import Accepted, Decision, Rejected

APPEND_TIMEOUT_S = 5.0
BATCH_LIMIT_RECORDS = 256
BATCH_LIMIT_BYTES = 1_000_000
BACKOFF_INITIAL_S = 0.05
BACKOFF_MAX_S = 2.0


class Backoff:
    """Exponentially growing delays up to :data:`BACKOFF_MAX_S`, each times a random factor in [0.5, 1]."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._delay_s = BACKOFF_INITIAL_S

    def next_delay_s(self) -> float:
        """Return the next delay in seconds and double the one after it."""
        delay_s = self._delay_s * self._random.uniform(0.5, 1.0)
        self._delay_s = min(self._delay_s * 2, BACKOFF_MAX_S)
        return delay_s

    def reset(self) -> None:
        """Start again from the smallest delay; call it after a success."""
        self._delay_s = BACKOFF_INITIAL_S


class Proposal:
    """One record that is to be appended, and the future that its proposer awaits."""

    def __init__(self, body: Body, epoch: int, decision: asyncio.Future[Decision]) -> None:
        self.body = body
        self.epoch = epoch
        self.decision = decision
        """Result for the proposer: the decision, or the error of a proposal that was given up."""
        self.sequence = 0
        """Zero until the proposal is part of a batch."""
        self.maybe_appended = False
        """Whether an append with this record was started and not certainly refused."""
        self.abandoned = False
        """Whether the proposer was answered DurabilityUnknown; retries then append a withdrawal."""
        self.settled = False
        """Whether no further append is needed: decided, queued again, or certainly not on the log."""
        self.deadline_timer: asyncio.TimerHandle | None = None

    def settle(self) -> None:
        """Mark as settled and cancel the deadline timer."""
        self.settled = True
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()


class AppendCounters(msgspec.Struct):
    """Counters of one queue since its creation."""

    appends: int = 0
    """Calls of ``LogClient.append``, retries included."""
    refused: int = 0
    """Appends that certainly had no effect."""
    unconfirmed: int = 0
    """Appends whose outcome is unknown."""
    withdrawn: int = 0
    """Proposals that were given up while their outcome was unknown."""


class AppendQueue:
    """Appends the proposals of one writer to one stream and resolves them with decisions.

    The owner reads the stream and must pass each record of ``writer`` to
    :meth:`record_decision`; the queue itself never reads.
    """

    def __init__(self, log: LogClient, stream: str, writer: str, random: Random) -> None:
        self.writer = writer
        self.counters = AppendCounters()
        self.on_late_acceptance: Callable[[Record, Decision], None] | None = None
        """Called when a proposal is accepted after its proposer got DurabilityUnknown or was cancelled."""
        self.on_appended: Callable[[int, Sequence[bytes]], None] | None = None
        """Called after a confirmed append with the offset of its first record and its payloads."""
        self.on_append_failed: Callable[[], None] | None = None
        """Called after an append that was refused or has an unknown outcome."""
        self._log = log
        self._stream = stream
        self._backoff = Backoff(random)
        self._queued: deque[Proposal] = deque()
        self._sent_by_sequence: dict[int, Proposal] = {}
        self._last_sequence = 0
        self._wake = asyncio.Event()
        self._undecided_in_flight: set[int] = set()
        """Sequences of the batch in flight that are not decided yet."""
        self._batch_settled: asyncio.Future[None] | None = None
        """Done when the whole batch in flight is decided."""
        self._closed = False

    @property
    def is_idle(self) -> bool:
        """Whether no proposal is queued or undecided."""
        return not self._queued and not self._sent_by_sequence

    @property
    def has_unconfirmed_records(self) -> bool:
        """Whether a record of this writer may be on the log and is not decided yet."""
        return any(proposal.maybe_appended for proposal in self._sent_by_sequence.values())

    async def propose(self, body: Body, epoch: int, timeout_s: float) -> Decision:
        """Queue a record and return the decision on it; raises as ``LogFollower.propose``."""
        if self._closed:
            raise DurabilityUnavailable("the log follower is closed")
        loop = asyncio.get_running_loop()
        proposal = Proposal(body, epoch, loop.create_future())
        proposal.deadline_timer = loop.call_later(timeout_s, self._give_up, proposal)
        self._queued.append(proposal)
        self._wake.set()
        try:
            return await proposal.decision
        except asyncio.CancelledError:
            self._give_up(proposal)
            raise

    async def run(self) -> None:
        """Append queued proposals in batches; runs until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queued:
                await self._append_until_resolved(self._next_batch())

    def record_decision(self, record: Record, decision: Decision) -> None:
        """Resolve the proposal of a record of this writer that was read from the log.

        DuplicateRecord for a proposal that has no decision yet means that a record
        with a higher sequence came first, so it is queued again under a new sequence.
        """
        proposal = self._sent_by_sequence.pop(record.sequence, None)
        if proposal is None:
            return
        if isinstance(decision, Rejected) and isinstance(decision.error, DuplicateRecord):
            self._requeue(proposal)
            return
        proposal.settle()
        self._deliver_decision(proposal, record, decision)
        self._record_settled(record.sequence)

    def close(self) -> None:
        """Fail all unresolved proposals; later proposals raise DurabilityUnavailable."""
        self._closed = True
        for proposal in [*self._queued, *self._sent_by_sequence.values()]:
            self._give_up(proposal)
            proposal.settle()
        self._queued.clear()
        self._sent_by_sequence.clear()

    def _next_batch(self) -> list[Proposal]:
        batch: list[Proposal] = []
        size_bytes = 0
        while self._queued and len(batch) < BATCH_LIMIT_RECORDS:
            size_bytes += len(self._encode(self._queued[0]))
            if batch and size_bytes > BATCH_LIMIT_BYTES:
                break
            proposal = self._queued.popleft()
            self._last_sequence += 1
            proposal.sequence = self._last_sequence
            self._sent_by_sequence[proposal.sequence] = proposal
            batch.append(proposal)
        return batch

    async def _append_until_resolved(self, batch: list[Proposal]) -> None:
        """Repeat the append until it is confirmed or every proposal of the batch is settled."""
        while batch := [proposal for proposal in batch if not proposal.settled]:
            if await self._append_once(batch):
                self._backoff.reset()
                return
            if self.on_append_failed is not None:
                self.on_append_failed()
            await self._wait_before_retry(self._backoff.next_delay_s())

    async def _wait_before_retry(self, delay_s: float) -> None:
        """Wait for the delay, or until the whole batch is decided if that is sooner."""
        assert self._batch_settled is not None
        await asyncio.wait({self._batch_settled}, timeout=delay_s)

    async def _append_once(self, batch: list[Proposal]) -> bool:
        """Append the batch once; return whether all of it is known to be on the log."""
        never_appended = [proposal for proposal in batch if not proposal.maybe_appended]
        for proposal in batch:
            proposal.maybe_appended = True
        self.counters.appends += 1
        payloads = [self._encode(proposal) for proposal in batch]
        append = asyncio.ensure_future(self._log.append(self._stream, payloads, APPEND_TIMEOUT_S))
        try:
            await self._wait_for_append(append, batch)
            if not append.done():
                return True
            first_offset = append.result()
            if self.on_appended is not None:
                self.on_appended(first_offset, payloads)
        except LogUnavailable:
            self.counters.refused += 1
            self._mark_not_appended(never_appended)
            return False
        except Exception:  # noqa: BLE001  No client error may stop the queue; the outcome of the append is unknown.
            self.counters.unconfirmed += 1
            return False
        finally:
            append.cancel()
        return True

    async def _wait_for_append(self, append: asyncio.Future[int], batch: list[Proposal]) -> None:
        """Wait until the append returns or the whole batch is decided.

        Raises:
            DurabilityUnknown: neither happened within twice :data:`APPEND_TIMEOUT_S`.
        """
        self._undecided_in_flight = {proposal.sequence for proposal in batch}
        self._batch_settled = asyncio.get_running_loop().create_future()
        futures = {append, self._batch_settled}
        await asyncio.wait(futures, timeout=2 * APPEND_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        if not append.done() and not self._batch_settled.done():
            raise DurabilityUnknown("the append did not return in time")

    def _record_settled(self, sequence: int) -> None:
        """Record that a sequence is decided; resolve ``_batch_settled`` after the last one in flight."""
        self._undecided_in_flight.discard(sequence)
        if (
            not self._undecided_in_flight
            and self._batch_settled is not None
            and not self._batch_settled.done()
        ):
            self._batch_settled.set_result(None)

    def _mark_not_appended(self, proposals: list[Proposal]) -> None:
        """Record that no append of these proposals had an effect; settle the abandoned ones."""
        for proposal in proposals:
            proposal.maybe_appended = False
            if proposal.abandoned:
                self._sent_by_sequence.pop(proposal.sequence, None)
                proposal.settle()

    def _requeue(self, proposal: Proposal) -> None:
        """Queue the body again under a new sequence: readers reject every copy with the old one."""
        if proposal.abandoned:
            proposal.settle()
        else:
            proposal.settled = True
            successor = Proposal(proposal.body, proposal.epoch, proposal.decision)
            successor.deadline_timer = proposal.deadline_timer
            self._move_deadline_timer(successor)
            self._queued.appendleft(successor)
            self._wake.set()
        self._record_settled(proposal.sequence)

    def _move_deadline_timer(self, proposal: Proposal) -> None:
        """Replace the timer of the proposal's predecessor by one for the proposal, at the same time."""
        previous = proposal.deadline_timer
        assert previous is not None
        loop = asyncio.get_running_loop()
        proposal.deadline_timer = loop.call_at(previous.when(), self._give_up, proposal)
        previous.cancel()

    def _give_up(self, proposal: Proposal) -> None:
        """Fail a proposal that is past its deadline, cancelled, or still open at close."""
        if proposal.settled or proposal.abandoned:
            return
        if not proposal.maybe_appended:
            self._drop(proposal)
            self._fail(proposal, DurabilityUnavailable("the record was not appended and will not be"))
            return
        proposal.abandoned = True
        self.counters.withdrawn += 1
        self._fail(proposal, DurabilityUnknown("the record may be on the log", sequence=proposal.sequence))

    def _drop(self, proposal: Proposal) -> None:
        proposal.settle()
        self._sent_by_sequence.pop(proposal.sequence, None)
        if proposal in self._queued:
            self._queued.remove(proposal)

    def _deliver_decision(self, proposal: Proposal, record: Record, decision: Decision) -> None:
        if not proposal.decision.done():
            proposal.decision.set_result(decision)
            return
        is_withdrawal = isinstance(record.body, ProposalWithdrawn)
        if isinstance(decision, Accepted) and not is_withdrawal and self.on_late_acceptance is not None:
            self.on_late_acceptance(record, decision)

    @staticmethod
    def _fail(proposal: Proposal, error: PassgateError) -> None:
        if not proposal.decision.done():
            proposal.decision.set_exception(error)

    def _encode(self, proposal: Proposal) -> bytes:
        body = ProposalWithdrawn() if proposal.abandoned else proposal.body
        record = Record(writer=self.writer, sequence=proposal.sequence, epoch=proposal.epoch, body=body)
        return encode_record(record)
