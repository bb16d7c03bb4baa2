"""Runs a request at most once per idempotency key, across all daemons.

::

    outcome = await claims.run_once(key, request_digest, run, timeout_s=2.0)

A call claims the key on the log before it runs the request.  Later calls with the key
get the stored outcome, or an error when the run is in progress or its outcome is
unknown.  The key is released only when the request certainly did not run.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import TypeVar

import msgspec
import xxhash

from passgate.clock import monotonic_s
from passgate.errors import (
    DurabilityUnavailable,
    DurabilityUnknown,
    ExecutionStatus,
    KeyReused,
    OutcomeUnknown,
    PassgateError,
    RequestInProgress,
)
from passgate.interfaces import LogClient
from passgate.records import Body, ClaimCompleted, ClaimMade, ClaimReleased, ClaimUnresolved, Record
from passgate.state.claim_state import ClaimProjection, ClaimStatus, StoredOutcome
from passgate.state.log_follower import LogFollower
from passgate.state.projection import Accepted, Decision

OUTCOME_APPEND_TIMEOUT_S = 600.0
"""How long appending the outcome of a run is retried."""
RESPONSE_DELAY_LIMIT_S = 2.0
"""Longest time that the response to the first caller is delayed until its outcome is on the log."""
RETRY_AFTER_S = 1.0
"""Sent with errors after which the caller may call again."""
UNDECIDED_POLL_INTERVAL_S = 1.0
"""Interval of the checks for undecided records of a finished call."""

SHORTEST_WAIT_S = 0.001
"""Shorter remaining times count as zero."""

Result = TypeVar("Result")


class ClaimOutcome(msgspec.Struct, frozen=True):
    """Response to a request that must not run twice."""

    status: int
    content_type: str
    body: bytes


SendRequest = Callable[[], Awaitable[ClaimOutcome]]


def claim_stream(key: str) -> str:
    """Return the name of the stream that holds the claims of ``key``."""
    return f"claim.{xxhash.xxh3_128_hexdigest(key.encode())}"


class ClaimService:
    """Runs requests that must not run twice.

    ``daemon_id`` identifies this incarnation of the daemon.  ``is_alive`` returns
    whether membership considers another incarnation alive.
    """

    def __init__(
        self, log: LogClient, daemon_id: str, is_alive: Callable[[str], bool], random: Random | None = None
    ) -> None:
        self._log = log
        self._daemon_id = daemon_id
        self._is_alive = is_alive
        self._random = random or Random(daemon_id)
        self._follower_count = 0
        self._tasks: set[asyncio.Task] = set()

    async def run_once(
        self, key: str, request_digest: str, run: SendRequest, timeout_s: float
    ) -> ClaimOutcome:
        """Claim ``key``, call ``run`` and store its outcome; or return the outcome that is already stored.

        ``timeout_s`` bounds the claim, not the run.  A started run continues when
        this call is cancelled, so that a repeated call finds the outcome.

        Raises:
            DurabilityUnavailable: the claim is not known to be on the log; ``run`` was not called.
            RequestInProgress: another call holds the key; ``retry_after_s`` says when to call again.
            OutcomeUnknown: the request may have run, and its outcome is not known and not expected.
            KeyReused: the key was used for a request with another digest.
            Exception: whatever ``run`` raised.
        """
        call = _RunOnceCall(self, key, request_digest)
        try:
            if not await call.claim(timeout_s):
                return call.stored_outcome()
            return await asyncio.shield(call.start_run(run))
        finally:
            self._spawn(call.close_when_decided())

    async def drain(self, timeout_s: float) -> bool:
        """Wait until all runs have ended and their outcomes are decided; return False after ``timeout_s``."""
        deadline_s = monotonic_s() + timeout_s
        while self._tasks and (remaining_s := deadline_s - monotonic_s()) > SHORTEST_WAIT_S:
            await asyncio.wait(self._tasks, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED)
        return not self._tasks

    async def close(self) -> None:
        """Cancel all runs; outcomes that are not on the log are lost."""
        # A cancelled call spawns close_when_decided, so the set may grow again.
        while self._tasks:
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await asyncio.sleep(0)

    def _start_follower(
        self, key: str, projection: ClaimProjection, on_late_acceptance: Callable[[Record, Decision], None]
    ) -> LogFollower:
        self._follower_count += 1
        writer = f"{self._daemon_id}/claim-{self._follower_count}"
        follower = LogFollower(
            self._log,
            claim_stream(key),
            projection,
            writer,
            reads_on_demand=True,
            on_late_acceptance=on_late_acceptance,
            random=self._random,
        )
        follower.start()
        return follower

    def _is_holder_alive(self, holder: str) -> bool:
        return holder == self._daemon_id or self._is_alive(holder)

    def _spawn(self, coroutine: Coroutine[None, None, Result]) -> asyncio.Task[Result]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._discard_task)
        return task

    def _discard_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()  # Marks it as retrieved: a cancelled caller never awaits the task.


class _RunOnceCall:
    """One call of :meth:`ClaimService.run_once`."""

    def __init__(self, service: ClaimService, key: str, request_digest: str) -> None:
        self._service = service
        self._key = key
        self._request_digest = request_digest
        self._projection = ClaimProjection()
        self._follower = service._start_follower(key, self._projection, self._release_late_claim)
        self._run_task: asyncio.Task[ClaimOutcome] | None = None
        self._record_task: asyncio.Task[None] | None = None

    async def claim(self, timeout_s: float) -> bool:
        """Claim the key; return whether this call may run the request.

        Raises:
            DurabilityUnavailable: the claim is not known to be on the log, and no outcome is stored.
        """
        body = ClaimMade(key=self._key, request_digest=self._request_digest, holder=self._service._daemon_id)
        try:
            decision = await self._follower.propose(body, timeout_s=timeout_s)
        except (DurabilityUnavailable, DurabilityUnknown) as error:
            if self._projection.state.status is ClaimStatus.COMPLETED:
                return False
            # Telling the caller "not run" is safe: a claim that is accepted later is released without a run.
            raise DurabilityUnavailable(
                "the claim could not be written to the log", retry_after_s=RETRY_AFTER_S
            ) from error
        return isinstance(decision, Accepted)

    def stored_outcome(self) -> ClaimOutcome:
        """Return the outcome that an earlier call stored.

        Raises:
            KeyReused, OutcomeUnknown, RequestInProgress: see :meth:`ClaimService.run_once`.
        """
        state = self._projection.state
        if state.request_digest != self._request_digest:
            raise KeyReused("the idempotency key was used for another request")
        if state.outcome is not None:
            return _to_outcome(state.outcome)
        if state.status is ClaimStatus.UNRESOLVED:
            raise OutcomeUnknown("the only run ended without an outcome", cause=state.failure_code)
        if state.status is ClaimStatus.CLAIMED and not self._service._is_holder_alive(state.holder):
            raise OutcomeUnknown("the daemon that held the claim is no longer alive", holder=state.holder)
        raise RequestInProgress(
            "another call with this idempotency key is in progress",
            retry_after_s=RETRY_AFTER_S,
            holder=state.holder,
        )

    def start_run(self, run: SendRequest) -> asyncio.Task[ClaimOutcome]:
        """Start the run as a task of the service, which outlives a cancelled caller."""
        self._run_task = self._service._spawn(self._run(run))
        return self._run_task

    async def _run(self, run: SendRequest) -> ClaimOutcome:
        """Call ``run`` and record how it ended.

        The claim is released only when the error guarantees that the request has not run.
        """
        try:
            outcome = await run()
        except PassgateError as error:
            if error.execution is ExecutionStatus.NOT_RUN:
                await self._record_end(ClaimReleased(key=self._key))
            else:
                await self._record_end(ClaimUnresolved(key=self._key, code=error.code))
            raise
        except Exception:
            await self._record_end(ClaimUnresolved(key=self._key, code=PassgateError.code))
            raise
        await self._record_end(_to_record(self._key, outcome))
        return outcome

    async def close_when_decided(self) -> None:
        """Close the follower once the run has ended and no record of this call is undecided."""
        try:
            if self._run_task is not None:
                await asyncio.wait({self._run_task})
            deadline_s = monotonic_s() + OUTCOME_APPEND_TIMEOUT_S
            while self._has_undecided_records() and monotonic_s() < deadline_s:
                await asyncio.sleep(UNDECIDED_POLL_INTERVAL_S)
        finally:
            await self._follower.close()

    def _has_undecided_records(self) -> bool:
        is_recording = self._record_task is not None and not self._record_task.done()
        return is_recording or not self._follower.is_idle

    async def _record_end(self, body: Body) -> None:
        """Append the end of the run; return after :data:`RESPONSE_DELAY_LIMIT_S` at the latest.

        The append goes on in the background, so that an outage of the log does not
        withhold the response from the caller.
        """
        self._record_task = self._service._spawn(self._propose(body))
        await asyncio.wait({self._record_task}, timeout=RESPONSE_DELAY_LIMIT_S)

    async def _propose(self, body: Body) -> None:
        with contextlib.suppress(DurabilityUnavailable, DurabilityUnknown):
            await self._follower.propose(body, timeout_s=OUTCOME_APPEND_TIMEOUT_S)

    def _release_late_claim(self, record: Record, decision: Decision) -> None:
        """Release a claim that was accepted after its caller got "not run"."""
        if isinstance(record.body, ClaimMade):
            self._record_task = self._service._spawn(self._propose(ClaimReleased(key=self._key)))


def _to_record(key: str, outcome: ClaimOutcome) -> ClaimCompleted:
    body = base64.b64encode(outcome.body).decode("ascii")
    return ClaimCompleted(key=key, status=outcome.status, content_type=outcome.content_type, body=body)


def _to_outcome(outcome: StoredOutcome) -> ClaimOutcome:
    return ClaimOutcome(outcome.status, outcome.content_type, base64.b64decode(outcome.body_base64))
