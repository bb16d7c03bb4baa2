"""Runs one daemon's part in the singleton duties, which one daemon at a time performs for all.

The settings enable the duties.  Every daemon adjusts its clock and meters usage; only the leader reports
usage and scales services.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Container

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog
from passgate.duties.calls import CallRateLimiter, DutyClient
from passgate.duties.clock_sync import CLOCK_METHOD, ClockSync
from passgate.duties.meter import UsageMeter
from passgate.duties.projections import DutyProjections
from passgate.duties.scaler import Scaler
from passgate.duties.usage_forwarder import RECORD_COUNTS_METHOD, UsageForwarder
from passgate.duties.usage_reporter import UsageReporter
from passgate.duties.wall_clock import SynchronizedWallClock
from passgate.duties.windows import UsageWindows
from passgate.errors import PeerCallFailed
from passgate.gateway.replica_table import ReplicaTable
from passgate.gateway.routes import ConfigHolder
from passgate.gateway.settings import DutySettings, ScalingPolicy
from passgate.peers.transport import PeerTransport
from passgate.sharedlog.group import GroupDirectory
from passgate.versions.control_topic import ControlTopic

RATE_LIMIT_SHARE = 0.5
"""Share of the platform's call rate that one leader uses; in the second of a change, the previous leader may
have used the other half."""


class Duties:
    """Creates and runs the enabled duties of one daemon."""

    def __init__(
        self,
        settings: DutySettings,
        client: DutyClient,
        control: ControlTopic,
        projections: DutyProjections,
        transport: PeerTransport,
        directory: GroupDirectory,
        decisions: DecisionLog,
        *,
        config_holder: ConfigHolder,
        replicas: ReplicaTable,
        evacuated_zones: Container[str],
        member: str,
        daemon_id: str,
    ) -> None:
        """Connect the parts.

        Args:
            settings: which duties are enabled, and the platform's limits.
            client: client for the platform.
            control: the control topic, whose leader performs the duties.
            projections: projections of that topic that the duties use.
            transport: carries requests to other daemons.
            directory: the daemons that watch partitions in this zone.
            decisions: decision log.
            config_holder: the active configuration.
            replicas: the replicas that discovery lists.
            evacuated_zones: zones in which replicas are neither counted nor ordered.
            member: this daemon's name in the directory.
            daemon_id: this daemon's name in calls to the platform.
        """
        self._reports_usage = settings.usage
        windows = UsageWindows(length_s=settings.usage_window_s)
        clock = SynchronizedWallClock(time.time, monotonic_s)
        journal = control.journal
        self._clock_sync = ClockSync(clock, transport, lambda: directory.other_members(member))
        self._usage_forwarder = UsageForwarder(
            transport,
            journal,
            control.leadership.known_leader,
            directory.holder_of,
            lambda: directory.other_members(member),
        )
        self.meter = UsageMeter(journal.writer, windows, clock.now_s, self._usage_forwarder.send)
        rate_limiter = CallRateLimiter(settings.calls_per_s * RATE_LIMIT_SHARE)
        self._reporter = UsageReporter(
            projections.usage,
            journal,
            control.leadership,
            client,
            rate_limiter,
            windows,
            clock.now_s,
            decisions,
            daemon_id=daemon_id,
            due_s=settings.usage_due_s,
        )
        self._scaler: Scaler | None = None
        if settings.scaling is ScalingPolicy.WHOLE_STEPS:
            self._scaler = Scaler(
                projections.scaling,
                journal,
                control.leadership,
                client,
                rate_limiter,
                config_holder,
                replicas,
                control.leadership_projection.newest_demand_by_model,
                decisions,
                evacuated_zones=evacuated_zones,
                daemon_id=daemon_id,
            )

    async def run(self) -> None:
        """Run the enabled duties and the adjustment of the clock until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._clock_sync.run())
            if self._reports_usage:
                group.create_task(self.meter.run())
                group.create_task(self._reporter.run())
            if self._scaler is not None:
                group.create_task(self._scaler.run())

    async def handle_peer_request(self, sender: str, method: str, payload: bytes) -> bytes:
        """Return the response to a request of another daemon.

        Raises PeerCallFailed if the request fails or its method is unknown, and msgspec.DecodeError if usage
        counts can't be decoded.
        """
        if method == RECORD_COUNTS_METHOD:
            return await self._usage_forwarder.handle_request(payload)
        if method == CLOCK_METHOD:
            return self._clock_sync.encode_response()
        raise PeerCallFailed("unknown method of a duty request", peer_code="unknown_method")
