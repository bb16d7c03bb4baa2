"""Submits, reads and cancels batch jobs, for callers and for other daemons.

A daemon that follows a job's partition answers from its own state.  Any other daemon calls the partition's
watcher, to which the zone's group assigns the partition, and reads the partition itself if that fails.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, JobAccepted, JobAcceptFailed, JobEndUnconfirmed, JobResultsRead
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
from passgate.gateway.messages import error_status
from passgate.jobs.journal import Journal
from passgate.jobs.liveness import CUT_OFF_AFTER_S, AliveResponse
from passgate.jobs.partition import JobPartition
from passgate.jobs.partitions import JobPartitions
from passgate.jobs.peers import (
    MAX_VIEW_AGE_FOR_PEERS_S,
    METHOD_ALIVE,
    METHOD_BODY,
    METHOD_CANCEL,
    METHOD_OWN,
    METHOD_READ,
    METHOD_RELEASE_JOBS,
    METHOD_SUBMIT,
    AliveRequest,
    CancelRequest,
    JobPeerClient,
    OwnRequest,
    OwnResponse,
    ReadBodyRequest,
    ReadResultsRequest,
    ReleaseJobsRequest,
    ReleaseJobsResponse,
    SubmitRequest,
)
from passgate.jobs.reader import ResultPage, find_job, read_body, read_page, require_followed
from passgate.jobs.records import JobCancelled, JobSpec, WeightDemand, decode_spec, job_pieces
from passgate.sharedlog.freshness import MAX_CURRENT_AGE_S
from passgate.sharedlog.tail import POLL_WAIT_S

PEER_APPEND_DELAY_S = 0.3
"""Time for the log to acknowledge a new job before another daemon is called to append it as well; not used
while this daemon is cut off from the log."""
MAX_ANSWERED_AGE_S = 2 * POLL_WAIT_S + 0.2
"""Age that the view of the operator's topic does not reach while the log answers; a record that ends a long
poll confirms the time of its start only."""
UNKNOWN_OFFSET = -1
"""Offset in the decision line of a job that another daemon appended, or that was on the log before."""
NO_OWNER = ""
OWNER_CONTACT_MAX_AGE_S = 0.8
"""Age of an owner's last record up to which the owner of a model's previous job gets the next one too."""


class JobService:
    """Submits, reads and cancels jobs for callers, and handles other daemons' calls about jobs."""

    def __init__(
        self,
        partitions: JobPartitions,
        peers: JobPeerClient,
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
        """Append a job to the log, unless it is known to be there, and return once it is there.

        Raises:
            InvalidRequest: the job has no items, or two with the same identifier.
            NoRegionAllowed: route and tenant have no allowed region in common.
            LogUnavailable: the job is not on the log and never will be.
            DurabilityUnknown: the outcome is unknown; the job may be on the log and run.
        """
        if not spec.items or len({item.id for item in spec.items}) != len(spec.items):
            raise InvalidRequest("a job needs items with distinct ids", execution=ExecutionStatus.NOT_RUN)
        started_s = monotonic_s()
        partition = self._partitions.of_host(spec.host)
        offset = UNKNOWN_OFFSET
        if spec.job_id not in partition.projection.jobs:
            try:
                self._require_allowed_region(spec)
                offset = await self._append(partition, spec, deadline_s)
            except PassgateError as error:
                self._decisions.write(
                    JobAcceptFailed(job_id=spec.job_id, status=error_status(error), reason=error.code)
                )
                raise
        self._decisions.write(
            JobAccepted(
                job_id=spec.job_id,
                items=len(spec.items),
                offset=offset,
                elapsed_ms=round((monotonic_s() - started_s) * 1000, 1),
            )
        )

    async def _append(self, partition: JobPartition, spec: JobSpec, deadline_s: float) -> int:
        """Append a job to the log, through another daemon if this one is slow or cut off; return its offset.

        The offset is UNKNOWN_OFFSET if another daemon appended the job.
        """
        local_append = asyncio.get_running_loop().create_task(
            self._append_locally(partition, spec, deadline_s)
        )
        try:
            async with asyncio.timeout_at(deadline_s):
                await asyncio.wait([local_append], timeout=0.0 if self._is_cut_off() else PEER_APPEND_DELAY_S)
                if local_append.done() or not await self._append_via_peer(
                    partition, spec, deadline_s, local_append
                ):
                    return await local_append
                return UNKNOWN_OFFSET
        except TimeoutError as error:
            raise DurabilityUnknown("the job may be on the log") from error
        finally:
            local_append.cancel()

    async def _append_via_peer(
        self, partition: JobPartition, spec: JobSpec, deadline_s: float, local_append: asyncio.Task[int]
    ) -> bool:
        """Have another daemon append the job; return whether it did, False if the local append decides.

        Raises DurabilityUnknown if the local append failed and the other daemon's outcome is unknown.
        """
        timeout_s = max(deadline_s - monotonic_s(), 0.0)
        submit = self._peers.submit(partition.number, spec, timeout_s, self._allowed_regions(spec))
        peer_append = asyncio.get_running_loop().create_task(submit)
        try:
            await asyncio.wait([local_append, peer_append], return_when=asyncio.FIRST_COMPLETED)
            if not local_append.done():
                return peer_append.exception() is None
            if local_append.exception() is None:
                return False
            await asyncio.wait([peer_append])
            error = peer_append.exception()
            if isinstance(error, PeerError) and error.execution is ExecutionStatus.NOT_RUN:
                return False  # no other daemon was called, so the outcome of the local append is final
            if error is not None:
                raise DurabilityUnknown("the job may be on the log") from error
            return True
        finally:
            peer_append.cancel()

    async def _append_locally(self, partition: JobPartition, spec: JobSpec, deadline_s: float) -> int:
        """Append a job from this daemon, after any region-restricted bodies; return the job's offset."""
        owner = await self._choose_owner(partition, spec)
        if self._partitions.restricted_bodies is not None:
            spec = await self._partitions.restricted_bodies.store_bodies(spec, partition.number, deadline_s)
        pieces = job_pieces(spec, secrets.token_hex(4), partition.journal.max_piece_bytes, owner)
        offset = await partition.journal.append_job(pieces, deadline_s)
        if owner == self._partitions.writer:
            partition.keep_following()
        lag = max(self._newest_version(spec.model) - spec.min_version, 0)
        self._control_journal.put(WeightDemand(model=spec.model, lag=lag, items=len(spec.items)))
        return offset

    async def _choose_owner(self, partition: JobPartition, spec: JobSpec) -> str:
        """Return the writer that will run a new job, or empty for none.

        Candidates, in this order: the owner of the model's previous job, which knows the load that it causes
        at the replicas; the partition's watcher; this daemon.  The first one counts only if the job is not
        region-restricted and this daemon has recent records of that owner.  For a job that this region may
        not hold, only watchers in the allowed regions are asked.
        """
        if not self._may_hold(spec.host, spec.path, spec.tenant):
            return await self._peers.find_owner_in_regions(partition.number, self._allowed_regions(spec))
        # The previous job's owner may be in a region that is not allowed for a restricted job.
        if partition.is_current and self._allowed_regions(spec) is None:
            previous_job = partition.projection.jobs.get(
                partition.projection.newest_job_by_model.get(spec.model, "")
            )
            contact_s = (
                partition.projection.last_contact_s_by_writer.get(previous_job.owner)
                if previous_job is not None
                else None
            )
            if (
                previous_job is not None
                and contact_s is not None
                and monotonic_s() - contact_s < OWNER_CONTACT_MAX_AGE_S
            ):
                return previous_job.owner
        if self._partitions.is_watcher_of(partition.number):
            return self._partitions.writer
        watcher = await self._peers.find_owner(partition.number)
        return watcher or (self._partitions.writer if self._partitions.may_own_new else NO_OWNER)

    def _require_allowed_region(self, spec: JobSpec) -> None:
        """Raise NoRegionAllowed when route and tenant have no allowed region in common."""
        if self._allowed_regions(spec) == frozenset():
            raise NoRegionAllowed("route and tenant allow no region in common")

    def _may_hold(self, host: str, path: str, tenant: str | None) -> bool:
        """Whether the bodies of a job may be held in this daemon's region."""
        bodies = self._partitions.restricted_bodies
        return bodies is None or bodies.may_hold(host, path, tenant)

    def _allowed_regions(self, spec: JobSpec) -> frozenset[str] | None:
        """Return the regions allowed for a job; None for any region."""
        bodies = self._partitions.restricted_bodies
        return bodies.allowed_regions(spec.host, spec.path, spec.tenant) if bodies is not None else None

    async def read_results(self, host: str, job_id: str, position: int, wait_s: float) -> ResultPage:
        """Return results from a position on; raises NotFound or NotReady.

        Waits up to ``wait_s`` for the first result; without one, the page is empty.
        """
        started_s = monotonic_s()
        page = await self._read_results(host, job_id, position, wait_s)
        self._decisions.write(
            JobResultsRead(
                job_id=job_id,
                position=position,
                results=len(page.results),
                total=page.total,
                elapsed_ms=round((monotonic_s() - started_s) * 1000, 1),
            )
        )
        return page

    async def _read_results(self, host: str, job_id: str, position: int, wait_s: float) -> ResultPage:
        partition = self._partitions.of_host(host)
        if not self._can_answer(partition) and not _has_results_after(partition, job_id, position):
            try:
                request = ReadResultsRequest(host=host, job_id=job_id, position=position, wait_s=wait_s)
                read = self._peers.read_results_via_any if self._is_cut_off() else self._peers.read_results
                return await read(partition.number, request)
            except PeerCatchingUp as error:
                raise NotReady(str(error), execution=ExecutionStatus.NOT_RUN) from error
            except PeerError:
                partition.keep_following()
                wait_s = 0.0  # the failed call has used up some of the caller's waiting time
        return await read_page(partition, job_id, position, wait_s)

    async def read_body(self, host: str, job_id: str, item_id: str) -> bytes:
        """Return the request body of an item; raises NotFound or NotReady."""
        partition = self._partitions.of_host(host)
        request = ReadBodyRequest(host=host, job_id=job_id, item_id=item_id)
        try:
            if not self._can_answer(partition):
                return await self._peers.read_body(partition.number, request)
        except BodiesElsewhere:
            return await self._read_body_in_other_region(partition, request)
        except PeerCatchingUp as error:
            raise NotReady(str(error), execution=ExecutionStatus.NOT_RUN) from error
        except PeerError:
            partition.keep_following()
        try:
            return await read_body(partition, job_id, item_id)
        except BodiesElsewhere:
            return await self._read_body_in_other_region(partition, request)

    async def _read_body_in_other_region(self, partition: JobPartition, request: ReadBodyRequest) -> bytes:
        """Return a body that this region may not hold, from another region; it is not stored here.

        Raises NotFound or NotReady.
        """
        try:
            return await self._peers.read_body_in_other_zones(partition.number, request)
        except PeerError as error:
            raise NotReady(str(error), execution=ExecutionStatus.NOT_RUN) from error

    async def cancel(self, host: str, job_id: str, deadline_s: float) -> None:
        """Cancel a job; return once the cancellation is on the log.  Repeated calls have no further effect.

        If it can't be checked whether the job exists, the cancellation is appended anyway, because callers
        do not retry for ever and the items must not run on.

        Raises:
            NotFound: there is no such job.
            DurabilityUnknown: the outcome is unknown; the cancellation may take effect.
        """
        try:
            await self._cancel(host, job_id, deadline_s)
        except PassgateError as error:
            self._decisions.write(JobEndUnconfirmed(job_id=job_id, reason=error.code))
            raise

    async def _cancel(self, host: str, job_id: str, deadline_s: float) -> None:
        partition = self._partitions.of_host(host)
        try:
            if self._can_answer(partition):
                await self._cancel_locally(partition, job_id, deadline_s)
                return
            timeout_s = max((deadline_s - monotonic_s()) / 2, 0.0)
            request = CancelRequest(host=host, job_id=job_id, timeout_s=timeout_s)
            cancel = self._peers.cancel_job_via_any if self._is_cut_off() else self._peers.cancel_job
            await cancel(partition.number, request)
        except (PeerError, NotReady):
            await self._append_cancellation(partition, job_id, deadline_s)

    async def _cancel_locally(self, partition: JobPartition, job_id: str, deadline_s: float) -> None:
        job = await find_job(partition, job_id)
        if not job.cancelled:
            await self._append_cancellation(partition, job_id, deadline_s)
        self._decisions.write(JobEndedEvent(job_id=job_id, listed=len(job.results), total=job.item_count))

    async def _append_cancellation(self, partition: JobPartition, job_id: str, deadline_s: float) -> None:
        appended = partition.journal.put(JobCancelled(job_id=job_id))
        try:
            async with asyncio.timeout(max(deadline_s - monotonic_s(), 0.0)):
                await asyncio.shield(appended)
        except TimeoutError as error:
            raise DurabilityUnknown("the job's cancellation may be on the log") from error
        partition.note_cancellation(job_id)

    def _is_cut_off(self) -> bool:
        """Whether this daemon's view of the log is too old to be current."""
        return self._log_age_s() > MAX_CURRENT_AGE_S

    def _require_log_view(self) -> None:
        """Raise NotReady if this daemon is cut off from the log, so that the caller tries another daemon."""
        if self._is_cut_off():
            raise NotReady("this daemon can not read the log", execution=ExecutionStatus.NOT_RUN)

    def _can_answer(self, partition: JobPartition) -> bool:
        """Whether to answer from this daemon's own view of a partition, if need be after reading it.

        While the daemon is cut off from the log, the view must be fresh.  Otherwise the age of the view does
        not matter, because long polls of an idle partition are longer.
        """
        if self._is_cut_off():
            return partition.is_current and partition.tail.freshness.age_s(monotonic_s()) <= MAX_CURRENT_AGE_S
        return partition.is_current or self._partitions.is_watcher_of(partition.number)

    # --- for other daemons -------------------------------------------------------

    async def handle_peer_request(self, sender: str, method: str, payload: bytes) -> bytes:
        """Handle another daemon's call; return the encoded response.

        Args:
            sender: the calling daemon.
            method: one of the methods in :mod:`passgate.jobs.peers`.
            payload: the encoded request.

        Raises:
            NotFound: there is no such job or item.
            NotReady: this daemon can't read the log, or has not read the partition to its end.
            BodiesElsewhere: this daemon's region may not hold the job's bodies.
            LogUnavailable: a submitted job is not on the log and never will be.
            DurabilityUnknown: a submitted job or a cancellation may be on the log.
            PeerError: a read that was passed on to the partition's watcher failed.
            PeerCallFailed: the method is unknown.
            msgspec.DecodeError, zlib.error: the payload can't be decoded.
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
            submit_request = msgspec.json.decode(payload, type=SubmitRequest)
            spec = decode_spec(submit_request.spec)
            partition = self._partitions.of_host(spec.host)
            if spec.job_id not in partition.projection.jobs:
                await self._append_locally(partition, spec, monotonic_s() + submit_request.timeout_s)
            return b""
        if method == METHOD_READ:
            read_request = msgspec.json.decode(payload, type=ReadResultsRequest)
            return msgspec.json.encode(await self._read_for_peer(read_request))
        if method == METHOD_BODY:
            body_request = msgspec.json.decode(payload, type=ReadBodyRequest)
            partition = self._partitions.of_host(body_request.host)
            require_followed(partition)
            return await read_body(partition, body_request.job_id, body_request.item_id)
        if method == METHOD_CANCEL:
            cancel_request = msgspec.json.decode(payload, type=CancelRequest)
            await self._cancel_for_peer(cancel_request)
            return b""
        raise PeerCallFailed("unknown method of a call about jobs", peer_code="unknown_method")

    def _answer_alive(self, request: AliveRequest) -> AliveResponse:
        partition = self._partitions.get(request.partition)
        return AliveResponse(
            writer=self._partitions.writer,
            zone=self._peers.zone,
            waiting_s=partition.journal.unacknowledged_for_s if partition is not None else 0.0,
            log_answers=self._log_age_s() < MAX_ANSWERED_AGE_S,
            partition_answers=partition.is_answered() if partition is not None else None,
        )

    def _answer_release_jobs(self, request: ReleaseJobsRequest) -> ReleaseJobsResponse:
        partition = self._partitions.get(request.partition)
        if partition is None or partition.journal.unacknowledged_for_s < CUT_OFF_AFTER_S:
            return ReleaseJobsResponse()
        return ReleaseJobsResponse(entries=tuple(partition.ownership.release_jobs()))

    def _answer_own(self, request: OwnRequest) -> OwnResponse:
        is_watcher = self._partitions.is_watcher_of(request.partition)
        return OwnResponse(writer=self._partitions.writer if is_watcher else "")

    async def _cancel_for_peer(self, request: CancelRequest) -> None:
        partition = self._partitions.of_host(request.host)
        deadline_s = monotonic_s() + request.timeout_s
        if request.relay:
            self._require_log_view()
            await self._append_cancellation(partition, request.job_id, deadline_s)
        else:
            require_followed(partition)
            await self._cancel_locally(partition, request.job_id, deadline_s)

    async def _read_for_peer(self, request: ReadResultsRequest) -> ResultPage:
        partition = self._partitions.of_host(request.host)
        if request.relay:
            self._require_log_view()
        if request.relay and not partition.is_current:
            watcher_request = msgspec.structs.replace(request, relay=False)
            return await self._peers.read_results(partition.number, watcher_request)
        require_followed(partition)
        return await read_page(
            partition,
            request.job_id,
            request.position,
            request.wait_s,
            max_view_age_s=MAX_VIEW_AGE_FOR_PEERS_S,
        )


def _has_results_after(partition: JobPartition, job_id: str, position: int) -> bool:
    """Whether results from a position on are known here; they never change, so the view need not be fresh."""
    job = partition.projection.jobs.get(job_id)
    return job is not None and len(job.results) > position
