"""Decides whether the runs of a partition's jobs may send to replicas, by the age of the partition's view.

A daemon learns from the log that a job which it owns was cancelled, completed or taken over.  While its view
of the partition is older than MAX_VIEW_AGE_S, it therefore starts no run and no attempt.  An outage of the
log is different: no daemon can cancel a job or take it over then, so the owners go on.  To tell the two
apart, a daemon whose view grows old asks other daemons whether the log answers them.  An append that the log
has acknowledged since shows that there is no outage.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, JobSendsPaused, JobSendsResumed
from passgate.decisions.job_events import MAX_LOGGED_AGE_S
from passgate.jobs.log_access import LogAccess
from passgate.sharedlog.tail import MAX_CURRENT_AGE_S, RecordTail

logger = logging.getLogger("passgate.jobs")

MAX_VIEW_AGE_S = 2.0
"""Age of the partition's view up to which runs may send.  The request then reaches its replica within 3 s of
the view, the time after which a cancelled job must not be sent."""
ASK_FROM_AGE_S = 1.2
"""Age of the view from which other daemons are asked; longer than a long poll that is answered in time."""
ASK_INTERVAL_S = 0.4
"""Minimum time between the starts of two rounds of questions."""
OUTAGE_TTL_S = 1.5
"""Time after the start of a round for which its outcome counts; longer than two rounds of timeouts."""
POLL_INTERVAL_S = 0.02
"""Time between checks of a run that waits for the permission."""
CATCHING_UP = "catching_up"
"""Reason of a pause: records are known to be unread."""
UNKNOWN = "unknown"
"""Reason of a pause: no round of questions has ended in time."""


AskPeers = Callable[[], Awaitable[LogAccess]]
"""Asks other daemons whether the log answers them, and judges why it does not answer this one."""


class SendPermission:
    """Permission of one partition's runs to send; asked before each run and each attempt."""

    def __init__(
        self,
        partition: int,
        tail: RecordTail,
        last_append_sent_s: Callable[[], float],
        ask_peers: AskPeers,
        decisions: DecisionLog,
    ) -> None:
        """Create a permission that is not granted before the partition was read to its end.

        Args:
            partition: number of the partition.
            tail: reads the partition.
            last_append_sent_s: returns the loop time of the send of the last append that was acknowledged.
            ask_peers: asks other daemons why the log does not answer.
            decisions: decision log.
        """
        self._partition = partition
        self._tail = tail
        self._last_append_sent_s = last_append_sent_s
        self._ask_peers = ask_peers
        self._decisions = decisions
        self._round: asyncio.Task[LogAccess] | None = None
        self._round_started_s = float("-inf")
        self._access: LogAccess | None = None
        self._access_as_of_s = float("-inf")
        """Loop time at which the round of questions that gave ``_access`` was started."""
        self._paused_since_s: float | None = None

    def view_age_s(self) -> float:
        """Return the age of the partition's view; infinite before the partition was read to its end."""
        return self._tail.freshness.proven_age_s(monotonic_s())

    def is_granted(self) -> bool:
        """Return whether runs may send now."""
        return monotonic_s() < self.granted_until_s()

    def granted_until_s(self) -> float:
        """Return the loop time until which a send may leave by what is known now; past if none may."""
        confirmed_at_s = monotonic_s() - self.view_age_s()
        self._take_answers()
        if (
            self._access is not LogAccess.OUTAGE
            or self._tail.has_unread_records
            or self._last_append_sent_s() > confirmed_at_s + MAX_CURRENT_AGE_S
        ):
            return confirmed_at_s + MAX_VIEW_AGE_S
        return max(confirmed_at_s + MAX_VIEW_AGE_S, self._access_as_of_s + OUTAGE_TTL_S)

    def is_granted_to_start(self) -> bool:
        """Return whether a run may start now: as for a send, and no record is known to be unread."""
        return self.is_granted() and not self._tail.has_unread_records

    def end_pause(self) -> None:
        """Forget a pause, as no run waits any more."""
        self._paused_since_s = None

    async def wait_until_granted(self) -> None:
        """Wait until runs may send."""
        while not self.is_granted():
            await asyncio.sleep(POLL_INTERVAL_S)

    def update(self) -> None:
        """Ask other daemons if the view grows old, and write a decision line when sends pause or resume.

        Called periodically while the partition has runs.
        """
        now_s = monotonic_s()
        self._take_answers()
        if self.view_age_s() >= ASK_FROM_AGE_S and now_s - self._round_started_s >= ASK_INTERVAL_S:
            self._start_round(now_s)
        reason = self._reason_to_wait()
        if reason is not None and self._paused_since_s is None:
            self._paused_since_s = now_s
            self._decisions.write(
                JobSendsPaused(
                    part=self._partition,
                    view_age_s=round(min(self.view_age_s(), MAX_LOGGED_AGE_S), 3),
                    reason=reason,
                )
            )
        elif reason is None and self._paused_since_s is not None:
            paused_s, self._paused_since_s = now_s - self._paused_since_s, None
            self._decisions.write(JobSendsResumed(part=self._partition, paused_s=round(paused_s, 3)))

    def close(self) -> None:
        """Cancel a round of questions that is running."""
        if self._round is not None:
            self._round.cancel()

    def _reason_to_wait(self) -> str | None:
        """Return why runs may not send now; None if they may."""
        if self.is_granted():
            return None
        if self._tail.has_unread_records:
            return CATCHING_UP
        return LogAccess.CUT_OFF.value if self._access is LogAccess.CUT_OFF else UNKNOWN

    def _start_round(self, now_s: float) -> None:
        if self._round is not None and not self._round.done():
            return
        self._round_started_s = now_s
        self._round = asyncio.get_running_loop().create_task(self._ask())

    async def _ask(self) -> LogAccess:
        return await self._ask_peers()

    def _take_answers(self) -> None:
        """Take the outcome of a round that has ended."""
        if self._round is None or not self._round.done():
            return
        finished, self._round = self._round, None
        if finished.cancelled():
            return
        if (failure := finished.exception()) is not None:
            logger.error("log_access_unknown", exc_info=failure)
            self._access = None
            return
        self._access = finished.result()
        self._access_as_of_s = self._round_started_s
