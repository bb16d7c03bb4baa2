"""What one daemon does for the singleton duties: it counts, hands counts on, and reports if it leads."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Container

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog
from passgate.duties.calls import CallBudget, DutyCalls
from passgate.duties.clock_sync import CLOCK_METHOD, ClockSync
from passgate.duties.folds import DutyFolds
from passgate.duties.meter import UsageMeter
from passgate.duties.scaler import Scaler
from passgate.duties.usage_channel import COUNT_METHOD, UsageChannel
from passgate.duties.usage_reporter import UsageReporter
from passgate.duties.wall_clock import AgreedWallClock
from passgate.duties.windows import UsageWindows
from passgate.errors import PeerCallFailed
from passgate.gateway.replicas import ReplicaTable
from passgate.gateway.routes import ConfigHolder
from passgate.gateway.settings import DutySettings, ScalingPolicy
from passgate.peers.transport import PeerTransport
from passgate.sharedlog.group import GroupDirectory
from passgate.versions.control import ControlTopic

RATE_SHARE = 0.5
"""Share of the calls that the platform takes; a holder that has just ended may have made as many in the
same second."""


class Duties:
    """The duties of one daemon."""

    def __init__(
        self,
        settings: DutySettings,
        calls: DutyCalls,
        control: ControlTopic,
        folds: DutyFolds,
        transport: PeerTransport,
        directory: GroupDirectory,
        decisions: DecisionLog,
        *,
        config: ConfigHolder,
        replicas: ReplicaTable,
        evacuated: Container[str],
        member: str,
        holder: str,
    ) -> None:
        """Connect the parts.

        Args:
            settings: what the platform asks for.
            calls: calls to the platform.
            control: the control topic, whose leader holds the duties.
            folds: duties as folded from that topic.
            transport: carries questions to other daemons.
            directory: the daemons of this zone that watch partitions.
            decisions: where decisions are noted.
            config: the configuration in force.
            replicas: the replicas that are there.
            evacuated: zones in which no replica counts and none is ordered.
            member: this daemon's name in the directory.
            holder: this daemon's name towards the platform.
        """
        self._reports_usage = settings.usage
        windows = UsageWindows(length_s=settings.usage_window_s)
        clock = AgreedWallClock(time.time, monotonic_s)
        journal = control.journal
        self._sync = ClockSync(clock, transport, lambda: directory.others(member))
        self._channel = UsageChannel(transport, journal, lambda: control.fold.leader, directory.member_of)
        self.meter = UsageMeter(journal.writer, windows, clock.now_s, self._channel.send)
        budget = CallBudget(settings.calls_per_s * RATE_SHARE)
        self._reporter = UsageReporter(
            folds.usage,
            journal,
            control.leadership,
            calls,
            budget,
            windows,
            clock.now_s,
            decisions,
            holder=holder,
            due_s=settings.usage_due_s,
        )
        self._scaler: Scaler | None = None
        if settings.scaling is ScalingPolicy.WHOLE_STEPS:
            self._scaler = Scaler(
                folds.scaling,
                journal,
                control.leadership,
                calls,
                budget,
                config,
                replicas,
                control.fold.newest_jobs,
                decisions,
                evacuated=evacuated,
                holder=holder,
            )

    async def run(self) -> None:
        """Count and report, and order replicas, as far as the platform asks for it, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._sync.run())
            if self._reports_usage:
                group.create_task(self.meter.run())
                group.create_task(self._reporter.run())
            if self._scaler is not None:
                group.create_task(self._scaler.run())

    async def answer_peer(self, sender: str, method: str, payload: bytes) -> bytes:
        """Answer another daemon's question; raises PeerCallFailed."""
        if method == COUNT_METHOD:
            return await self._channel.answer(payload)
        if method == CLOCK_METHOD:
            return self._sync.answer()
        raise PeerCallFailed("unknown question", peer_code="unknown_method")
