"""Starts isolated runs of this daemon: announces them, and leaves other requests at the replica time to end.

An isolated run is an attempt of a request that may crash its replica.  Once its announcement is read, all
daemons send other requests elsewhere while they have another usable replica.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, IsolatedRunStarted
from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.quarantine.isolated_runs import IsolatedRun, IsolatedRuns

ANNOUNCEMENT_TIMEOUT_S = 0.3
"""Longest wait until an announcement is read back from the log; the run then starts without it."""
CHECK_INTERVAL_S = 0.005
"""Interval of the checks whether an announcement was read back."""
DRAIN_S = 0.3
"""Time between the announcement of an isolated run and its start, in which most other requests end; the
caller waits meanwhile."""


class RunIsolation:
    """Isolated runs of this daemon, coordinated with those of other daemons."""

    def __init__(
        self,
        isolated_runs: IsolatedRuns,
        publish: Callable[[IsolatedRun], None],
        withdraw: Callable[[IsolatedRun], None],
        decisions: DecisionLog,
    ) -> None:
        """Create the coordination.

        Args:
            isolated_runs: the isolated runs of all daemons that are known here.
            publish: announces a run to all daemons.
            withdraw: withdraws an announcement at all daemons.
            decisions: decision log.
        """
        self._isolated_runs = isolated_runs
        self._publish = publish
        self._withdraw = withdraw
        self._decisions = decisions

    @property
    def has_runs(self) -> bool:
        """Whether this daemon has any isolated run."""
        return self._isolated_runs.has_local

    def replicas_of_others(self, fingerprint: str) -> frozenset[ReplicaIncarnation]:
        """Return the replicas with isolated runs, of any daemon, of other requests than the given one."""
        return self._isolated_runs.replicas(monotonic_s(), excluding=fingerprint)

    def announce(self, fingerprint: str, incarnation: ReplicaIncarnation) -> None:
        """Announce to all daemons that a request is about to run at a replica."""
        run = IsolatedRun(
            fingerprint=fingerprint,
            replica_id=incarnation.replica_id,
            started_unix_ms=incarnation.started_unix_ms,
        )
        self._isolated_runs.add_local(run)
        self._publish(run)

    async def confirm(self, fingerprint: str, is_idle: Callable[[], bool]) -> bool:
        """Wait until an announced run may start; return whether it may.  True if none is announced.

        Waits until the announcement is read back, at most ANNOUNCEMENT_TIMEOUT_S, and then DRAIN_S for
        requests that were sent to the replica before.  The run may not start if an earlier announcement of
        another isolated run at its replica is in effect.

        Args:
            fingerprint: fingerprint of the request.
            is_idle: returns whether this daemon has no other request at the replica; for the decision line.
        """
        run = self._isolated_runs.local_run(fingerprint)
        if run is None:
            return True
        await self._wait_until_announced(run)
        is_first = self._isolated_runs.is_first(run.fingerprint, run.incarnation, monotonic_s())
        if is_first:
            await asyncio.sleep(DRAIN_S)
        self._decisions.write(
            IsolatedRunStarted(
                replica_id=run.replica_id,
                started_unix_ms=run.started_unix_ms,
                fingerprint=run.fingerprint,
                announced=self._isolated_runs.is_announced(run.fingerprint, run.incarnation),
                is_first=is_first,
                is_idle=is_idle(),
            )
        )
        return is_first

    def withdraw(self, fingerprint: str) -> None:
        """Withdraw the announcement, if any, of a request's run."""
        run = self._isolated_runs.remove_local(fingerprint)
        if run is not None:
            self._isolated_runs.remove_announcement(run.fingerprint, run.incarnation)
            self._withdraw(run)

    async def _wait_until_announced(self, run: IsolatedRun) -> None:
        deadline_s = monotonic_s() + ANNOUNCEMENT_TIMEOUT_S
        while not self._isolated_runs.is_announced(run.fingerprint, run.incarnation):
            if monotonic_s() >= deadline_s:
                break
            await asyncio.sleep(CHECK_INTERVAL_S)
