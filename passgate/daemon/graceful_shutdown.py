"""Graceful shutdown of a daemon after SIGTERM or SIGINT.

The readiness probe fails from the start of the shutdown.  The daemon releases its jobs and leadership while
it goes on serving.  Once callers can know that it shuts down, it refuses requests, as not run, that may last
longer than itself.  Once it has released jobs and leadership and no request is in flight, or while there is
still time to answer those that are, it refuses all new requests.  At last it closes all connections.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from passgate.clock import monotonic_s
from passgate.decisions import DaemonStopped, DaemonStopping, DecisionLog
from passgate.gateway.ingress import Ingress
from passgate.gateway.shutdown_deadline import ShutdownDeadline
from passgate.statecharts import Machine

MIN_SERVING_S = 3.0
"""Minimum time of serving after the start of the shutdown; meanwhile the platform may open connections."""
RELEASE_TIMEOUT_S = 5.0
"""Longest wait for the log to confirm the release of jobs and leadership."""
DRAIN_TIMEOUT_S = 2.0
"""Time kept for the requests in flight once new ones are refused; about as long as callers wait."""
FLUSH_TIMEOUT_S = 0.2
"""Longest time to send the usage counts that only this daemon holds."""
CLOSE_TIMEOUT_S = 0.2
"""Longest time to close all connections."""
SHUTDOWN_RESERVE_S = FLUSH_TIMEOUT_S + CLOSE_TIMEOUT_S + 0.1
"""Part of the grace period kept for the steps after draining, including 0.1 s for the process to exit."""
POLL_INTERVAL_S = 0.05
"""Time between checks whether the next step may begin."""


class GracefulShutdown:
    """Shuts one daemon down; :meth:`run` is called once."""

    def __init__(
        self,
        ingress: Ingress,
        lifecycle: Machine,
        release_ownership: Callable[[], Awaitable[None]],
        flush_usage: Callable[[], Awaitable[None]],
        decisions: DecisionLog,
        *,
        grace_s: float,
        deadline: ShutdownDeadline,
    ) -> None:
        """Create the shutdown; nothing happens until :meth:`run`.

        Args:
            ingress: the server of callers' requests.
            lifecycle: the daemon's lifecycle chart, in its state ``stopping``.
            release_ownership: releases the daemon's jobs and leadership, and leaves its zone's group.
            flush_usage: sends the usage counts that only this daemon holds; called once, when new requests
                are refused.
            decisions: decision log.
            grace_s: time from SIGTERM to SIGKILL.
            deadline: rejects requests that may last longer than the daemon.
        """
        self._ingress = ingress
        self._lifecycle = lifecycle
        self._release_ownership = release_ownership
        self._flush_usage = flush_usage
        self._decisions = decisions
        self._grace_s = grace_s
        self._deadline = deadline

    async def run(self) -> None:
        """Run all steps of the shutdown; each ends at its time limit even if it is not complete."""
        started_s = monotonic_s()
        self._decisions.write(DaemonStopping(in_flight=self._ingress.in_flight))
        self._lifecycle.send("announced")
        self._ingress.disable_keep_alive()
        release = asyncio.ensure_future(self._release_ownership())
        drained_by_s = started_s + self._grace_s - SHUTDOWN_RESERVE_S
        await asyncio.sleep(max(min(MIN_SERVING_S, drained_by_s - started_s), 0.0))
        # Before, the platform may still open connections here, so a refusal would cost most callers a retry.
        self._deadline.begin(drained_by_s)
        await self._wait_until_done(release, started_s, drained_by_s - DRAIN_TIMEOUT_S)
        # A request that started from here on could be cut off by the close, so it is refused as not run.
        self._ingress.refuse_new_requests()
        self._ingress.stop_listening()
        await self._wait_until_done(release, started_s, drained_by_s)
        self._lifecycle.send("finished")
        after_s = round(monotonic_s() - started_s, 3)
        self._decisions.write(DaemonStopped(in_flight=self._ingress.in_flight, after_s=after_s))
        await _run_with_timeout(FLUSH_TIMEOUT_S, self._flush_usage())
        await _run_with_timeout(CLOSE_TIMEOUT_S, self._ingress.close())
        self._lifecycle.send("handed_over")

    async def _wait_until_done(self, release: asyncio.Future[None], started_s: float, until_s: float) -> None:
        """Wait until no request is in flight and ownership is released, at most until a loop time.

        The release is awaited until RELEASE_TIMEOUT_S after the start of the shutdown at most.
        """
        while (now_s := monotonic_s()) < until_s:
            is_released = release.done() or now_s >= started_s + RELEASE_TIMEOUT_S
            if is_released and self._ingress.in_flight == 0:
                return
            await asyncio.sleep(POLL_INTERVAL_S)


async def _run_with_timeout(timeout_s: float, step: Awaitable[None]) -> None:
    """Run a step and cancel it at its timeout, which is no error, as the process exits next."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await step
