"""The planned stop of a daemon: announce, hand over, finish what was begun, close.

SIGTERM leads here.  Readiness fails at once, jobs and the lead are handed over, requests in
flight get their answers, and what arrives at the very end is refused as not run.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from passgate.clock import monotonic_s
from passgate.decisions import DaemonStopped, DaemonStopping, DecisionLog
from passgate.gateway.ingress import Ingress
from passgate.statecharts import Machine

NOTICE_S = 3.0
"""Time after SIGTERM within which the platform still sends new connections."""
RELEASE_WAIT_S = 5.0
"""Longest time after SIGTERM for which the log is waited for to hand over jobs."""
LAST_ANSWERS_S = 0.7
"""Time for requests in flight once new ones are refused; plain requests take 0.2 s at most when calm."""
FLUSH_S = 0.2
"""Time to hand on what is still counted here."""
CLOSE_S = 0.2
"""Time for connections to close."""
STOP_RESERVE_S = LAST_ANSWERS_S + FLUSH_S + CLOSE_S + 0.1
"""Part of the grace that is left for ending; the remainder is for the process to exit."""
STOP_STEP_S = 0.05
"""Time between looks whether all is done."""


class PlannedStop:
    """One planned stop."""

    def __init__(
        self,
        front: Ingress,
        life: Machine,
        hand_over: Callable[[], Awaitable[None]],
        flush: Callable[[], Awaitable[None]],
        decisions: DecisionLog,
        *,
        grace_s: float,
    ) -> None:
        """Prepare the stop.

        Args:
            front: the server of callers' requests.
            life: state chart of the daemon's life.
            hand_over: frees all that the daemon owns.
            flush: hands on what only this daemon knows; called once nothing is begun any more.
            decisions: where decisions are noted.
            grace_s: time from SIGTERM to SIGKILL.
        """
        self._front = front
        self._life = life
        self._hand_over = hand_over
        self._flush = flush
        self._decisions = decisions
        self._grace_s = grace_s

    async def run(self) -> None:
        """Stop; return when all connections are closed or the grace is nearly over."""
        began_s = monotonic_s()
        self._decisions.write(DaemonStopping(in_flight=self._front.in_flight))
        self._life.send("announced")
        self._front.close_after_answers()
        await self._serve_on(began_s)
        # From here on nothing is begun: what arrives while connections are closed is refused.
        self._front.refuse_new()
        self._front.stop_listening()
        await self._wait_for_answers(monotonic_s() + LAST_ANSWERS_S)
        self._life.send("finished")
        after_s = round(monotonic_s() - began_s, 3)
        self._decisions.write(DaemonStopped(in_flight=self._front.in_flight, after_s=after_s))
        await _within(FLUSH_S, self._flush())
        await _within(CLOSE_S, self._front.close())
        self._life.send("handed_over")

    async def _serve_on(self, began_s: float) -> None:
        """Serve until nothing is in flight and all is handed over, or the grace is nearly over."""
        handing_over = asyncio.ensure_future(self._hand_over())
        end_s = began_s + self._grace_s - STOP_RESERVE_S
        while monotonic_s() < end_s:
            await asyncio.sleep(STOP_STEP_S)
            waited_s = monotonic_s() - began_s
            handed_over = handing_over.done() or waited_s >= RELEASE_WAIT_S
            if handed_over and self._front.in_flight == 0 and waited_s >= NOTICE_S:
                return

    async def _wait_for_answers(self, until_s: float) -> None:
        """Let requests that were begun before the daemon refused new ones get their answers."""
        while self._front.in_flight and monotonic_s() < until_s:
            await asyncio.sleep(STOP_STEP_S)


async def _within(timeout_s: float, step: Awaitable[None]) -> None:
    """Run a last step; the process ends soon, so one that takes longer is given up."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await step
