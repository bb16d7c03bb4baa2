"""Answers callers of batch jobs at any daemon.

A daemon that follows a job's partition answers from its own state, any other asks the
partition's watcher, and reads the partition itself when no answer comes.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, JobAccepted, JobAcceptFailed, JobEndFailed, JobRead
from passgate.decisions import JobEnded as JobEndedEvent
from passgate.errors import (
    BodiesElsewhere,
    DurabilityUnknown,
    ExecutionStatus,
    InvalidRequest,
    NoRegionAllowed,
    NotReady,
    PassgateError,
    PeerCallFailed,
    PeerCatchingUp,
    PeerError,
)
from passgate.gateway.messages import answered_status
from passgate.jobs.journal import Journal
from passgate.jobs.liveness import CUT_OFF_AFTER_S, AliveResponse
from passgate.jobs.peers import (
    MAX_VIEW_AGE_FOR_PEERS_S,
    METHOD_ALIVE,
    METHOD_BODY,
    METHOD_END,
    METHOD_OWN,
    METHOD_READ,
    METHOD_RELEASE_JOBS,
    METHOD_SUBMIT,
    AliveRequest,
    EndRequest,
    JobPeers,
    OwnRequest,
    OwnResponse,
    ReadBodyRequest,
    ReadResultsRequest,
    ReleaseJobsRequest,
    ReleaseJobsResponse,
    SubmitRequest,
)
from passgate.jobs.reader import ResultPage, find_job, read_body, read_page, require_followed
from passgate.jobs.records import JobEnded, JobNoted, JobSpec, decode_spec, job_pieces
from passgate.jobs.shards import JobPartition, JobShards
from passgate.sharedlog.tail import FRESH_S

PEER_APPEND_DELAY_S = 0.3
"""Time for the log to take a new job before another daemon is asked to put it there as well."""
UNKNOWN_OFFSET = -1
NO_OWNER = ""
OWNER_CONTACT_MAX_AGE_S = 0.8
"""An owner heard within this time is given the next job too."""


class JobService:
    """Submits, reads and ends jobs."""

    def __init__(
        self,
        partitions: JobShards,
        peers: JobPeers,
        control_journal: Journal,
        newest_version: Callable[[str], int],
        log_age_s: Callable[[], float],
        decisions: DecisionLog,
    ) -> None:
        self._partitions = partitions
        self._peers = peers
        self._control_journal = control_journal
        self._newest_version = newest_version
        self._log_age_s = log_age_s
        self._decisions = decisions

    # --- for callers -------------------------------------------------------------

    async def submit(self, spec: JobSpec, deadline_s: float) -> None:
        """Put a job on the log once; return when it stands there.

        Raises:
            InvalidRequest: items are missing or not distinct.
            NoRegionAllowed: no region may serve it.
            LogUnavailable: the job never runs.
            DurabilityUnknown: it may run.
        """
        if not spec.items or len({item.id for item in spec.items}) != len(spec.items):
            raise InvalidRequest("a job needs items with distinct ids", execution=ExecutionStatus.NOT_RUN)
        began_s = monotonic_s()
        shard = self._partitions.of(spec.host)
        offset = UNKNOWN_OFFSET
        if spec.job_id not in shard.fold.jobs:
            try:
                self._require_allowed_region(spec)
                offset = await self._append(shard, spec, deadline_s)
            except PassgateError as error:
                self._decisions.write(
                    JobAcceptFailed(job_id=spec.job_id, status=answered_status(error), reason=error.code)
                )
                raise
        self._decisions.write(
            JobAccepted(
                job_id=spec.job_id,
                items=len(spec.items),
                offset=offset,
                elapsed_ms=round((monotonic_s() - began_s) * 1000, 1),
            )
        )

    async def _append(self, shard: JobPartition, spec: JobSpec, deadline_s: float) -> int:
        """Put a job on the log, through another daemon where this one can not."""
        here = asyncio.get_running_loop().create_task(self._append_locally(shard, spec, deadline_s))
        try:
            async with asyncio.timeout_at(deadline_s):
                await asyncio.wait([here], timeout=0.0 if self._is_cut_off() else PEER_APPEND_DELAY_S)
                if here.done() or not await self._append_via_peer(shard, spec, deadline_s, here):
                    return await here
                return UNKNOWN_OFFSET
        except TimeoutError as error:
            raise DurabilityUnknown("the job may be on the log") from error
        finally:
            here.cancel()

    async def _append_via_peer(
        self, shard: JobPartition, spec: JobSpec, deadline_s: float, here: asyncio.Task[int]
    ) -> bool:
        """Return whether another daemon put the job on the log before this one did."""
        patience_s = max(deadline_s - monotonic_s(), 0.0)
        submit = self._peers.submit(shard.number, spec, patience_s, self._allowed_regions(spec))
        there = asyncio.get_running_loop().create_task(submit)
        try:
            await asyncio.wait([here, there], return_when=asyncio.FIRST_COMPLETED)
            if not here.done():
                return there.exception() is None
            if here.exception() is None:
                return False
            await asyncio.wait([there])
            error = there.exception()
            if isinstance(error, PeerError) and error.execution is ExecutionStatus.NOT_RUN:
                return False  # nobody was asked, so what became of it here is all
            if error is not None:
                raise DurabilityUnknown("the job may be on the log") from error
            return True
        finally:
            there.cancel()

    async def _append_locally(self, shard: JobPartition, spec: JobSpec, deadline_s: float) -> int:
        owner = await self._choose_owner(shard, spec)
        if self._partitions.restricted_bodies is not None:
            spec = await self._partitions.restricted_bodies.store_bodies(spec, shard.number, deadline_s)
        parts = job_pieces(spec, secrets.token_hex(4), shard.journal.max_piece_bytes, owner)
        offset = await shard.journal.append_job(parts, deadline_s)
        if owner == self._partitions.writer:
            shard.keep_following()
        lag = max(self._newest_version(spec.model) - spec.min_version, 0)
        self._control_journal.put(JobNoted(model=spec.model, lag=lag, items=len(spec.items)))
        return offset

    async def _choose_owner(self, shard: JobPartition, spec: JobSpec) -> str:
        """Return who shall run a job: the owner of the model's last one, the watcher, or this daemon.

        One owner knows what it has sent where, and its connections are open.  A job that
        nobody owns is claimed by any watcher as soon as it reads it.
        """
        if not self._may_hold(spec.host, spec.path, spec.tenant):
            return await self._peers.find_owner_in_regions(shard.number, self._allowed_regions(spec))
        if (
            shard.is_current and self._allowed_regions(spec) is None
        ):  # the last owner may be in another region
            last = shard.fold.jobs.get(shard.fold.newest_job_by_model.get(spec.model, ""))
            heard_s = shard.fold.last_contact_s_by_writer.get(last.owner) if last is not None else None
            if last is not None and heard_s is not None and monotonic_s() - heard_s < OWNER_CONTACT_MAX_AGE_S:
                return last.owner
        if self._partitions.watches(shard.number):
            return self._partitions.writer
        watcher = await self._peers.find_owner(shard.number)
        return watcher or (self._partitions.writer if self._partitions.may_own_new else NO_OWNER)

    def _require_allowed_region(self, spec: JobSpec) -> None:
        """Check that some region may serve a job; raises NoRegionAllowed."""
        if self._allowed_regions(spec) == frozenset():
            raise NoRegionAllowed("route and tenant allow no region in common")

    def _may_hold(self, host: str, path: str, tenant: str | None) -> bool:
        """Whether this daemon's region may hold the bodies of a job."""
        bodies = self._partitions.restricted_bodies
        return bodies is None or bodies.may_hold(host, path, tenant)

    def _allowed_regions(self, spec: JobSpec) -> frozenset[str] | None:
        """Return the regions that a job is bound to; None where any may serve it."""
        bodies = self._partitions.restricted_bodies
        return bodies.allowed_regions(spec.host, spec.path, spec.tenant) if bodies is not None else None

    async def read(self, host: str, job_id: str, position: int, wait_s: float) -> ResultPage:
        """Return results from a position, waiting for one; raises NotFound or NotReady."""
        began_s = monotonic_s()
        page = await self._read_results(host, job_id, position, wait_s)
        self._decisions.write(
            JobRead(
                job_id=job_id,
                position=position,
                results=len(page.results),
                total=page.total,
                elapsed_ms=round((monotonic_s() - began_s) * 1000, 1),
            )
        )
        return page

    async def _read_results(self, host: str, job_id: str, position: int, wait_s: float) -> ResultPage:
        shard = self._partitions.of(host)
        if not self._can_answer(shard) and not _has_results_after(shard, job_id, position):
            try:
                question = ReadResultsRequest(host=host, job_id=job_id, position=position, wait_s=wait_s)
                read = self._peers.read_results_via_any if self._is_cut_off() else self._peers.read_results
                return await read(shard.number, question)
            except PeerCatchingUp as error:
                raise NotReady(str(error), execution=ExecutionStatus.NOT_RUN) from error
            except PeerError:
                shard.keep_following()
                wait_s = 0.0  # a part of the caller's patience is spent
        return await read_page(shard, job_id, position, wait_s)

    async def body(self, host: str, job_id: str, item_id: str) -> bytes:
        """Return the body of an item; raises NotFound or NotReady."""
        shard = self._partitions.of(host)
        question = ReadBodyRequest(host=host, job_id=job_id, item_id=item_id)
        try:
            if not self._can_answer(shard):
                return await self._peers.read_body(shard.number, question)
        except BodiesElsewhere:
            return await self._read_body_in_other_region(shard, question)
        except PeerCatchingUp as error:
            raise NotReady(str(error), execution=ExecutionStatus.NOT_RUN) from error
        except PeerError:
            shard.keep_following()
        try:
            return await read_body(shard, job_id, item_id)
        except BodiesElsewhere:
            return await self._read_body_in_other_region(shard, question)

    async def _read_body_in_other_region(self, shard: JobPartition, question: ReadBodyRequest) -> bytes:
        """Return a body for a caller of a region that may not hold it; nothing of it is kept here."""
        try:
            return await self._peers.read_body_in_other_zones(shard.number, question)
        except PeerError as error:
            raise NotReady(str(error), execution=ExecutionStatus.NOT_RUN) from error

    async def end(self, host: str, job_id: str, deadline_s: float) -> None:
        """End a job; return once that stands on the log.  Repeats do nothing.

        An end that can not be checked is written all the same, as its caller will not
        come back for ever.

        Raises:
            NotFound: there is no such job.
            DurabilityUnknown: the end may take effect.
        """
        try:
            await self._end(host, job_id, deadline_s)
        except PassgateError as error:
            self._decisions.write(JobEndFailed(job_id=job_id, reason=error.code))
            raise

    async def _end(self, host: str, job_id: str, deadline_s: float) -> None:
        shard = self._partitions.of(host)
        try:
            if self._can_answer(shard):
                await self._end_locally(shard, job_id, deadline_s)
                return
            patience_s = max((deadline_s - monotonic_s()) / 2, 0.0)
            question = EndRequest(host=host, job_id=job_id, patience_s=patience_s)
            end = self._peers.end_job_via_any if self._is_cut_off() else self._peers.end_job
            await end(shard.number, question)
        except (PeerError, NotReady):
            await self._append_end(shard, job_id, deadline_s)

    async def _end_locally(self, shard: JobPartition, job_id: str, deadline_s: float) -> None:
        job = await find_job(shard, job_id)
        if not job.cancelled:
            await self._append_end(shard, job_id, deadline_s)
        self._decisions.write(JobEndedEvent(job_id=job_id, listed=len(job.results), total=job.item_count))

    async def _append_end(self, shard: JobPartition, job_id: str, deadline_s: float) -> None:
        stands = shard.journal.put(JobEnded(job_id=job_id))
        try:
            async with asyncio.timeout(max(deadline_s - monotonic_s(), 0.0)):
                await asyncio.shield(stands)
        except TimeoutError as error:
            raise DurabilityUnknown("the end may be on the log") from error

    def _is_cut_off(self) -> bool:
        """Whether this daemon can not read the log at present."""
        return self._log_age_s() > FRESH_S

    def _require_log_view(self) -> None:
        if self._is_cut_off():
            raise NotReady("the log can not be read here", execution=ExecutionStatus.NOT_RUN)

    def _can_answer(self, shard: JobPartition) -> bool:
        """Whether this daemon's own view of a partition will do.

        The view of an idle partition may be older than usual, as its long polls are longer.
        """
        if self._is_cut_off():
            return shard.is_current and shard.tail.freshness.age_s(monotonic_s()) <= FRESH_S
        return shard.is_current or self._partitions.watches(shard.number)

    # --- for other daemons -------------------------------------------------------

    async def answer_peer(self, sender: str, method: str, payload: bytes) -> bytes:
        """Answer another daemon's question from this daemon's own view of the log.

        Raises:
            NotFound: there is no such job or item.
            NotReady: this daemon can not tell.
            PeerCallFailed: the question is unknown.
        """
        if method == METHOD_ALIVE:
            return msgspec.json.encode(self._answer_alive(msgspec.json.decode(payload, type=AliveRequest)))
        if method == METHOD_RELEASE_JOBS:
            return msgspec.json.encode(
                self._answer_release_jobs(msgspec.json.decode(payload, type=ReleaseJobsRequest))
            )
        if method == METHOD_OWN:
            return msgspec.json.encode(self._answer_own(msgspec.json.decode(payload, type=OwnRequest)))
        if method == METHOD_SUBMIT:
            self._require_log_view()
            submitted = msgspec.json.decode(payload, type=SubmitRequest)
            spec = decode_spec(submitted.spec)
            shard = self._partitions.of(spec.host)
            if spec.job_id not in shard.fold.jobs:
                await self._append_locally(shard, spec, monotonic_s() + submitted.patience_s)
            return b""
        if method == METHOD_READ:
            read = msgspec.json.decode(payload, type=ReadResultsRequest)
            return msgspec.json.encode(await self._read_for_peer(read))
        if method == METHOD_BODY:
            question = msgspec.json.decode(payload, type=ReadBodyRequest)
            shard = self._partitions.of(question.host)
            require_followed(shard)
            return await read_body(shard, question.job_id, question.item_id)
        if method == METHOD_END:
            end = msgspec.json.decode(payload, type=EndRequest)
            await self._end_for_peer(end)
            return b""
        raise PeerCallFailed("unknown question", peer_code="unknown_method")

    def _answer_alive(self, question: AliveRequest) -> AliveResponse:
        shard = self._partitions.get(question.part)
        waiting_s = shard.journal.unacknowledged_for_s if shard is not None else 0.0
        return AliveResponse(writer=self._partitions.writer, zone=self._peers.zone, waiting_s=waiting_s)

    def _answer_release_jobs(self, question: ReleaseJobsRequest) -> ReleaseJobsResponse:
        shard = self._partitions.get(question.part)
        if shard is None or shard.journal.unacknowledged_for_s < CUT_OFF_AFTER_S:
            return ReleaseJobsResponse()
        return ReleaseJobsResponse(entries=tuple(shard.ownership.release_jobs()))

    def _answer_own(self, question: OwnRequest) -> OwnResponse:
        takes = self._partitions.watches(question.part)
        return OwnResponse(writer=self._partitions.writer if takes else "")

    async def _end_for_peer(self, question: EndRequest) -> None:
        shard = self._partitions.of(question.host)
        deadline_s = monotonic_s() + question.patience_s
        if question.relay:
            self._require_log_view()
            await self._append_end(shard, question.job_id, deadline_s)
        else:
            require_followed(shard)
            await self._end_locally(shard, question.job_id, deadline_s)

    async def _read_for_peer(self, question: ReadResultsRequest) -> ResultPage:
        shard = self._partitions.of(question.host)
        if question.relay:
            self._require_log_view()
        if question.relay and not shard.is_current:
            relayed = msgspec.structs.replace(question, relay=False)
            return await self._peers.read_results(shard.number, relayed)
        require_followed(shard)
        return await read_page(
            shard,
            question.job_id,
            question.position,
            question.wait_s,
            max_view_age_s=MAX_VIEW_AGE_FOR_PEERS_S,
        )


def _has_results_after(shard: JobPartition, job_id: str, position: int) -> bool:
    """Whether results from a position on are known here; what stands on the log stays as it is."""
    job = shard.fold.jobs.get(job_id)
    return job is not None and len(job.results) > position
