"""Serial appends of one writer to one stream, with retries and deadlines.

One append is in flight at a time and carries all waiting proposals.  An append
whose answer was lost is repeated with the same sequences until the outcome is
known, so that records of one writer are first seen on the log in the order of
their sequences and copies are recognised by every reader.

A proposal that runs out of time is dropped when it was certainly never
appended.  When that is in doubt, its sequence is appended once more with
:class:`~passgate.records.ProposalWithdrawn`: whichever of the two comes first on
the log counts, so an abandoned proposal takes no effect minutes later.
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
from passgate.state.fold import Accepted, Decision, Rejected

APPEND_TIMEOUT_S = 5.0
BATCH_LIMIT_RECORDS = 256
BATCH_LIMIT_BYTES = 1_000_000
BACKOFF_INITIAL_S = 0.05
BACKOFF_CAP_S = 2.0


class Backoff:
    """Capped exponential delays with jitter in [0.5, 1]."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._delay_s = BACKOFF_INITIAL_S

    def next_s(self) -> float:
        """Return the next delay in seconds."""
        delay_s = self._delay_s * self._random.uniform(0.5, 1.0)
        self._delay_s = min(self._delay_s * 2, BACKOFF_CAP_S)
        return delay_s

    def reset(self) -> None:
        """Start from the smallest delay again, after a success."""
        self._delay_s = BACKOFF_INITIAL_S


class Proposal:
    """One record on its way to the log."""

    def __init__(self, body: Body, epoch: int, decided: asyncio.Future[Decision]) -> None:
        self.body = body
        self.epoch = epoch
        self.decided = decided
        """Answer to the proposer: a decision, or the error that it was given."""
        self.sequence = 0
        """Zero until the proposal is part of a batch."""
        self.maybe_appended = False
        """An append that holds it was started and not surely refused."""
        self.abandoned = False
        """The proposer was told that the outcome is unknown."""
        self.settled = False
        """Nothing is left to do: decided by the fold, or surely not on the log."""
        self.timer: asyncio.TimerHandle | None = None

    def settle(self) -> None:
        """Mark as done and stop the deadline's timer."""
        self.settled = True
        if self.timer is not None:
            self.timer.cancel()


class AppendCounters(msgspec.Struct):
    """Counters of one queue since its start."""

    appends: int = 0
    refused: int = 0
    """Appends that certainly had no effect."""
    in_doubt: int = 0
    """Appends whose answer was lost."""
    withdrawn: int = 0
    """Proposals given up while in doubt."""


class AppendQueue:
    """Proposals of one writer on one stream."""

    def __init__(self, log: LogClient, stream: str, writer: str, random: Random) -> None:
        self.writer = writer
        self.counters = AppendCounters()
        self.on_abandoned: Callable[[Record, Decision], None] | None = None
        """Called when a proposal whose proposer gave up was accepted after all."""
        self.on_appended: Callable[[int, Sequence[bytes]], None] | None = None
        """Called with the offset of the first payload when the log has confirmed an append."""
        self.on_append_failed: Callable[[], None] | None = None
        """Called when an append was refused or is in doubt."""
        self._log = log
        self._stream = stream
        self._backoff = Backoff(random)
        self._waiting: deque[Proposal] = deque()
        self._sent: dict[int, Proposal] = {}
        self._last_sequence = 0
        self._wake = asyncio.Event()
        self._awaited: set[int] = set()
        """Sequences of the batch in flight that the fold has not decided on."""
        self._all_settled: asyncio.Future[None] | None = None
        """Done when the fold has decided on the whole batch in flight."""
        self._closed = False

    @property
    def idle(self) -> bool:
        """Whether no proposal is waiting or undecided."""
        return not self._waiting and not self._sent

    @property
    def has_records_in_doubt(self) -> bool:
        """Whether an undecided record of this writer may be on the log."""
        return any(proposal.maybe_appended for proposal in self._sent.values())

    async def propose(self, body: Body, epoch: int, timeout_s: float) -> Decision:
        """Queue a record and wait for the fold's decision; see ``LogFollower.propose``."""
        if self._closed:
            raise DurabilityUnavailable("the log follower is closed")
        loop = asyncio.get_running_loop()
        proposal = Proposal(body, epoch, loop.create_future())
        proposal.timer = loop.call_later(timeout_s, self._give_up, proposal)
        self._waiting.append(proposal)
        self._wake.set()
        try:
            return await proposal.decided
        except asyncio.CancelledError:
            self._give_up(proposal)
            raise

    async def run(self) -> None:
        """Append waiting proposals, batch after batch, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._waiting:
                await self._append_until_resolved(self._next_batch())

    def observe(self, record: Record, decision: Decision) -> None:
        """Learn what the fold decided on a record of this writer."""
        proposal = self._sent.pop(record.sequence, None)
        if proposal is None:
            return
        if isinstance(decision, Rejected) and isinstance(decision.error, DuplicateRecord):
            self._send_again(proposal)
            return
        proposal.settle()
        self._answer(proposal, record, decision)
        self._note_settled(record.sequence)

    def close(self) -> None:
        """Answer all proposals that are still open."""
        self._closed = True
        for proposal in [*self._waiting, *self._sent.values()]:
            self._give_up(proposal)
            proposal.settle()
        self._waiting.clear()
        self._sent.clear()

    def _next_batch(self) -> list[Proposal]:
        batch: list[Proposal] = []
        size_bytes = 0
        while self._waiting and len(batch) < BATCH_LIMIT_RECORDS:
            size_bytes += len(self._payload(self._waiting[0]))
            if batch and size_bytes > BATCH_LIMIT_BYTES:
                break
            proposal = self._waiting.popleft()
            self._last_sequence += 1
            proposal.sequence = self._last_sequence
            self._sent[proposal.sequence] = proposal
            batch.append(proposal)
        return batch

    async def _append_until_resolved(self, batch: list[Proposal]) -> None:
        while batch := [proposal for proposal in batch if not proposal.settled]:
            if await self._append(batch):
                self._backoff.reset()
                return
            if self.on_append_failed is not None:
                self.on_append_failed()
            await self._pause(self._backoff.next_s())

    async def _pause(self, delay_s: float) -> None:
        """Wait before the next attempt, but no longer than until the fold has shown the batch."""
        assert self._all_settled is not None
        await asyncio.wait({self._all_settled}, timeout=delay_s)

    async def _append(self, batch: list[Proposal]) -> bool:
        """Try once; return whether all of the batch is on the log."""
        surely_absent = [proposal for proposal in batch if not proposal.maybe_appended]
        for proposal in batch:
            proposal.maybe_appended = True
        self.counters.appends += 1
        payloads = [self._payload(proposal) for proposal in batch]
        append = asyncio.ensure_future(self._log.append(self._stream, payloads, APPEND_TIMEOUT_S))
        try:
            await self._wait_for_answer(append, batch)
            if not append.done():
                return True
            first_offset = append.result()
            if self.on_appended is not None:
                self.on_appended(first_offset, payloads)
        except LogUnavailable:
            self.counters.refused += 1
            self._mark_absent(surely_absent)
            return False
        except Exception:  # noqa: BLE001  Whatever an adapter raises, the queue goes on: the append is in doubt.
            self.counters.in_doubt += 1
            return False
        finally:
            append.cancel()
        return True

    async def _wait_for_answer(self, append: asyncio.Future[int], batch: list[Proposal]) -> None:
        """Wait for the log's answer, or until the fold has shown the whole batch."""
        self._awaited = {proposal.sequence for proposal in batch}
        self._all_settled = asyncio.get_running_loop().create_future()
        waited_for = {append, self._all_settled}
        await asyncio.wait(waited_for, timeout=2 * APPEND_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        if not append.done() and not self._all_settled.done():
            raise DurabilityUnknown("the append did not return")

    def _note_settled(self, sequence: int) -> None:
        self._awaited.discard(sequence)
        if not self._awaited and self._all_settled is not None and not self._all_settled.done():
            self._all_settled.set_result(None)

    def _mark_absent(self, proposals: list[Proposal]) -> None:
        for proposal in proposals:
            proposal.maybe_appended = False
            if proposal.abandoned:
                self._sent.pop(proposal.sequence, None)
                proposal.settle()

    def _send_again(self, proposal: Proposal) -> None:
        """Queue a record that a later one of ours overtook: every copy of it is void."""
        if proposal.abandoned:
            proposal.settle()
        else:
            proposal.settled = True
            successor = Proposal(proposal.body, proposal.epoch, proposal.decided)
            successor.timer = proposal.timer
            self._replace_timer(successor)
            self._waiting.appendleft(successor)
            self._wake.set()
        self._note_settled(proposal.sequence)

    def _replace_timer(self, proposal: Proposal) -> None:
        previous = proposal.timer
        assert previous is not None
        loop = asyncio.get_running_loop()
        proposal.timer = loop.call_at(previous.when(), self._give_up, proposal)
        previous.cancel()

    def _give_up(self, proposal: Proposal) -> None:
        """Answer a proposer whose time is over or that went away."""
        if proposal.settled or proposal.abandoned:
            return
        if not proposal.maybe_appended:
            self._drop(proposal)
            self._fail(proposal, DurabilityUnavailable("the log did not take the record in time"))
            return
        proposal.abandoned = True
        self.counters.withdrawn += 1
        self._fail(proposal, DurabilityUnknown("the record may be on the log", sequence=proposal.sequence))

    def _drop(self, proposal: Proposal) -> None:
        proposal.settle()
        self._sent.pop(proposal.sequence, None)
        if proposal in self._waiting:
            self._waiting.remove(proposal)

    def _answer(self, proposal: Proposal, record: Record, decision: Decision) -> None:
        if not proposal.decided.done():
            proposal.decided.set_result(decision)
            return
        withdrawn = isinstance(record.body, ProposalWithdrawn)
        if isinstance(decision, Accepted) and not withdrawn and self.on_abandoned is not None:
            self.on_abandoned(record, decision)

    @staticmethod
    def _fail(proposal: Proposal, error: PassgateError) -> None:
        if not proposal.decided.done():
            proposal.decided.set_exception(error)

    def _payload(self, proposal: Proposal) -> bytes:
        body = ProposalWithdrawn() if proposal.abandoned else proposal.body
        record = Record(writer=self.writer, sequence=proposal.sequence, epoch=proposal.epoch, body=body)
        return encode_record(record)
