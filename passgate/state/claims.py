"""At most one run per idempotency key, over all daemons.

::

    outcome = await claims.run_once(key, request_digest, run, timeout_s=2.0)

A caller that repeats its key, through whichever daemon, gets the stored outcome
of the first run, or learns that it goes on, or that its outcome is lost.  It
never causes a second run.
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
from passgate.state.claim_state import ClaimFold, ClaimStatus, StoredOutcome
from passgate.state.fold import Accepted, Decision
from passgate.state.log_follower import LogFollower

OUTCOME_TIMEOUT_S = 600.0
"""How long the outcome of a run is offered to the log."""
OUTCOME_WAIT_S = 2.0
"""How long the first caller's answer waits for its outcome to be on the log."""
RETRY_AFTER_S = 1.0
"""When a caller is told to come back while its request is running."""
IDLE_CHECK_S = 1.0
"""How often a finished attempt looks whether its records are decided."""

SHORTEST_WAIT_S = 0.001

Result = TypeVar("Result")


class ClaimOutcome(msgspec.Struct, frozen=True):
    """Answer of a not-repeatable request."""

    status: int
    content_type: str
    body: bytes


Run = Callable[[], Awaitable[ClaimOutcome]]


def stream_of(key: str) -> str:
    """Return the stream that decides on ``key``."""
    return f"claim.{xxhash.xxh3_128_hexdigest(key.encode())}"


class ClaimService:
    """Runs not-repeatable requests at most once.

    ``daemon_id`` names this process run; ``is_alive`` tells whether membership
    believes another process run to be alive.
    """

    def __init__(
        self, log: LogClient, daemon_id: str, is_alive: Callable[[str], bool], random: Random | None = None
    ) -> None:
        self._log = log
        self._daemon_id = daemon_id
        self._is_alive = is_alive
        self._random = random or Random(daemon_id)
        self._followers = 0
        self._tasks: set[asyncio.Task] = set()

    async def run_once(self, key: str, request_digest: str, run: Run, timeout_s: float) -> ClaimOutcome:
        """Claim ``key``, run, record the outcome and return it; or return an earlier run's outcome.

        ``timeout_s`` bounds the claim, not the run.  A run goes on when its
        caller goes away, so that a repeated call finds the outcome.

        Raises:
            DurabilityUnavailable: the claim could not be made durable; not run.
            RequestInProgress: an attempt is running; ``retry_after_s`` says when to ask again.
            OutcomeUnknown: the only run may have run and its outcome is lost.
            KeyReused: the key was used for a different request.
            PassgateError: whatever ``run`` raised.
        """
        attempt = _Attempt(self, key, request_digest)
        try:
            if not await attempt.claim(timeout_s):
                return attempt.earlier_outcome()
            return await asyncio.shield(attempt.start(run))
        finally:
            self._in_background(attempt.finish())

    async def drain(self, timeout_s: float) -> bool:
        """Wait for running requests and their outcomes; return whether all are done."""
        deadline_s = monotonic_s() + timeout_s
        while self._tasks and (remaining_s := deadline_s - monotonic_s()) > SHORTEST_WAIT_S:
            await asyncio.wait(self._tasks, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED)
        return not self._tasks

    async def close(self) -> None:
        """Stop at once; outcomes that are not on the log are lost."""
        # A call that is cancelled starts its own clean-up, which has to end too.
        while self._tasks:
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await asyncio.sleep(0)

    def _follow(
        self, key: str, fold: ClaimFold, on_abandoned: Callable[[Record, Decision], None]
    ) -> LogFollower:
        self._followers += 1
        writer = f"{self._daemon_id}/claim-{self._followers}"
        follower = LogFollower(
            self._log,
            stream_of(key),
            fold,
            writer,
            reads_on_demand=True,
            on_abandoned=on_abandoned,
            random=self._random,
        )
        follower.start()
        return follower

    def _holder_is_alive(self, holder: str) -> bool:
        return holder == self._daemon_id or self._is_alive(holder)

    def _in_background(self, work: Coroutine[None, None, Result]) -> asyncio.Task[Result]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    def _forget(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()  # A caller that went away does not look at it.


class _Attempt:
    """One call of :meth:`ClaimService.run_once`."""

    def __init__(self, service: ClaimService, key: str, request_digest: str) -> None:
        self._service = service
        self._key = key
        self._request_digest = request_digest
        self._fold = ClaimFold()
        self._follower = service._follow(key, self._fold, self._accepted_late)
        self._running: asyncio.Task[ClaimOutcome] | None = None
        self._recording: asyncio.Task[None] | None = None

    async def claim(self, timeout_s: float) -> bool:
        """Return whether this attempt may run."""
        body = ClaimMade(key=self._key, request_digest=self._request_digest, holder=self._service._daemon_id)
        try:
            decision = await self._follower.propose(body, timeout_s=timeout_s)
        except (DurabilityUnavailable, DurabilityUnknown) as error:
            if self._fold.state.status is ClaimStatus.COMPLETED:
                return False
            # A claim that lands later is released, so "not run" stays true.
            raise DurabilityUnavailable(
                "the claim could not be made durable", retry_after_s=RETRY_AFTER_S
            ) from error
        return isinstance(decision, Accepted)

    def earlier_outcome(self) -> ClaimOutcome:
        """Return the outcome of the run that holds the key, or raise why there is none."""
        state = self._fold.state
        if state.request_digest != self._request_digest:
            raise KeyReused("the idempotency key was used for another request")
        if state.outcome is not None:
            return _from_log(state.outcome)
        if state.status is ClaimStatus.UNRESOLVED:
            raise OutcomeUnknown("the only run ended without a usable answer", cause=state.failure_code)
        if state.status is ClaimStatus.CLAIMED and not self._service._holder_is_alive(state.holder):
            raise OutcomeUnknown("the holder of the only run is gone", holder=state.holder)
        raise RequestInProgress(
            "another attempt is running", retry_after_s=RETRY_AFTER_S, holder=state.holder
        )

    def start(self, run: Run) -> asyncio.Task[ClaimOutcome]:
        """Start the run, which does not depend on its caller."""
        self._running = self._service._in_background(self._run(run))
        return self._running

    async def _run(self, run: Run) -> ClaimOutcome:
        """Run and record how it ended."""
        try:
            outcome = await run()
        except PassgateError as error:
            if error.execution is ExecutionStatus.NOT_RUN:
                await self._record(ClaimReleased(key=self._key))
            else:
                await self._record(ClaimUnresolved(key=self._key, code=error.code))
            raise
        except Exception:
            await self._record(ClaimUnresolved(key=self._key, code=PassgateError.code))
            raise
        await self._record(_to_log(self._key, outcome))
        return outcome

    async def finish(self) -> None:
        """Close the follower when nothing of this attempt is in doubt any more."""
        try:
            if self._running is not None:
                await asyncio.wait({self._running})
            deadline_s = monotonic_s() + OUTCOME_TIMEOUT_S
            while self._in_doubt() and monotonic_s() < deadline_s:
                await asyncio.sleep(IDLE_CHECK_S)
        finally:
            await self._follower.close()

    def _in_doubt(self) -> bool:
        is_recording = self._recording is not None and not self._recording.done()
        return is_recording or not self._follower.idle

    async def _record(self, body: Body) -> None:
        """Offer the end of the run to the log; the caller does not wait for long."""
        self._recording = self._service._in_background(self._propose(body))
        await asyncio.wait({self._recording}, timeout=OUTCOME_WAIT_S)

    async def _propose(self, body: Body) -> None:
        with contextlib.suppress(DurabilityUnavailable, DurabilityUnknown):
            await self._follower.propose(body, timeout_s=OUTCOME_TIMEOUT_S)

    def _accepted_late(self, record: Record, decision: Decision) -> None:
        if isinstance(record.body, ClaimMade):
            self._recording = self._service._in_background(self._propose(ClaimReleased(key=self._key)))


def _to_log(key: str, outcome: ClaimOutcome) -> ClaimCompleted:
    body = base64.b64encode(outcome.body).decode("ascii")
    return ClaimCompleted(key=key, status=outcome.status, content_type=outcome.content_type, body=body)


def _from_log(outcome: StoredOutcome) -> ClaimOutcome:
    return ClaimOutcome(outcome.status, outcome.content_type, base64.b64decode(outcome.body_base64))
