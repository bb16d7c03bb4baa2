"""Creates job runners that share a daemon's queues of items, output durations and stall detection."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Container

from passgate.decisions import DecisionLog
from passgate.gateway.header_names import HeaderNames
from passgate.gateway.replica_client import ReplicaClient
from passgate.gateway.replica_table import ReplicaTable
from passgate.gateway.routes import ConfigHolder, WeightedServicePicker
from passgate.jobs.durations import OutputDurations
from passgate.jobs.group_affinity import GroupAffinity
from passgate.jobs.item_run import ItemRunContext
from passgate.jobs.job_route import JobRoute
from passgate.jobs.journal import Journal
from passgate.jobs.projection import JobProjection, JobState
from passgate.jobs.reward_call import RewardCallContext
from passgate.jobs.runner import JobRunner
from passgate.jobs.send_permission import SendPermission
from passgate.jobs.stall_detector import StallDetector
from passgate.jobs.wait_queues import WaitQueues


class JobRunnerFactory:
    """Creates the runners of all jobs of a daemon."""

    def __init__(
        self,
        replica_client: ReplicaClient,
        replicas: ReplicaTable,
        header_names: HeaderNames,
        config_holder: ConfigHolder,
        decisions: DecisionLog,
        evacuated_zones: Container[str],
    ) -> None:
        """Create the state that all runners share.

        Args:
            replica_client: sends requests to replicas.
            replicas: the known replicas.
            header_names: names of the platform's HTTP headers.
            config_holder: the active configuration.
            decisions: decision log.
            evacuated_zones: the zones that are being evacuated.
        """
        self._replica_client = replica_client
        self._replicas = replicas
        self._header_names = header_names
        self._config_holder = config_holder
        self._decisions = decisions
        self._evacuated_zones = evacuated_zones
        self._service_picker = WeightedServicePicker()
        self._wait_queues = WaitQueues()
        self._output_durations = OutputDurations()
        self._stall_detector = StallDetector()
        self._reward_context = RewardCallContext(
            find_route=config_holder.find_route,
            find_send_context=config_holder.send_context_for,
            replica_client=replica_client,
            replicas=replicas,
            header_names=header_names,
            decisions=decisions,
            service_picker=WeightedServicePicker(),
            slot_lock_by_queue=defaultdict(asyncio.Lock),
        )

    def make(
        self, projection: JobProjection, journal: Journal, job: JobState, send_permission: SendPermission
    ) -> JobRunner | None:
        """Return a runner of a job, not started; None if no batch route for the job is or was active here.

        Args:
            projection: state of the job's partition.
            journal: writer to the job's partition.
            job: the job.
            send_permission: permission of the partition's runs to send.
        """
        spec = job.spec()
        if self._config_holder.find_job_route(spec.host, spec.path) is None:
            return None
        context = ItemRunContext(
            job_route=JobRoute(spec.host, spec.path, self._config_holder),
            service_picker=self._service_picker,
            replica_client=self._replica_client,
            replicas=self._replicas,
            header_names=self._header_names,
            decisions=self._decisions,
            wait_queues=self._wait_queues,
            durations=self._output_durations,
            reward_context=self._reward_context,
            stall_detector=self._stall_detector,
            send_permission=send_permission,
            find_send_context=self._config_holder.send_context_for,
            group_affinity=GroupAffinity(self._replicas, self._evacuated_zones),
        )
        return JobRunner(job, projection, journal, context)
