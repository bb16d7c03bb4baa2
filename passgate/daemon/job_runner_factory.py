"""Creates job runners that share one daemon's state about waiting items, output durations and streams."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Container

from passgate.decisions import DecisionLog
from passgate.gateway.dialect import HeaderNames
from passgate.gateway.replica_call import ReplicaCaller
from passgate.gateway.replicas import ReplicaTable
from passgate.gateway.routes import ConfigHolder, WeightedChoice
from passgate.jobs.durations import OutputDurations
from passgate.jobs.fold import JobFold, JobState
from passgate.jobs.group_replicas import GroupReplicas
from passgate.jobs.item_run import ItemTools
from passgate.jobs.journal import Journal
from passgate.jobs.reward_call import RewardTools
from passgate.jobs.runner import JobRunner
from passgate.jobs.silence import StreamSilence
from passgate.jobs.waiting import WaitingLine


class JobRunnerFactory:
    """Creates the runners of all jobs of a daemon."""

    def __init__(
        self,
        replica_client: ReplicaCaller,
        replicas: ReplicaTable,
        header_names: HeaderNames,
        config: ConfigHolder,
        decisions: DecisionLog,
        evacuated_zones: Container[str],
    ) -> None:
        """Create the state that all runners share.

        Args:
            replica_client: sends requests to replicas.
            replicas: the known replicas.
            header_names: names of the platform's HTTP headers.
            config: the active configuration.
            decisions: receives the decision events.
            evacuated_zones: the zones that are being evacuated.
        """
        self._replica_client = replica_client
        self._replicas = replicas
        self._header_names = header_names
        self._config = config
        self._decisions = decisions
        self._evacuated_zones = evacuated_zones
        self._wait_queue = WaitingLine()
        self._output_durations = OutputDurations()
        self._stream_silence = StreamSilence()
        self._reward_context = RewardTools(
            find_route=config.find_route,
            terms_for=config.terms_for,
            caller=replica_client,
            replicas=replicas,
            names=header_names,
            decisions=decisions,
            parts=WeightedChoice(),
            lines=defaultdict(asyncio.Lock),
        )

    def make(self, projection: JobFold, journal: Journal, job: JobState) -> JobRunner | None:
        """Return a runner of a job, which is not started; None if no active route matches the job's path.

        Args:
            projection: state of the job's partition.
            journal: writer to the job's partition.
            job: the job.
        """
        spec = job.spec()
        route = self._config.find_route(spec.host, spec.path)
        if route is None:
            return None
        context = ItemTools(
            route=route,
            caller=self._replica_client,
            replicas=self._replicas,
            names=self._header_names,
            decisions=self._decisions,
            waiting=self._wait_queue,
            durations=self._output_durations,
            rewards=self._reward_context,
            silence=self._stream_silence,
            terms_for=self._config.terms_for,
            group_replicas=GroupReplicas(self._replicas, self._evacuated_zones),
        )
        return JobRunner(job, projection, journal, context)
