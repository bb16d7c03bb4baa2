"""Makes the runners of jobs from what one daemon's runs share."""

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


class RunnerMaker:
    """What all runs of a daemon share: the waiting line, learnt durations, the tools of reward calls."""

    def __init__(
        self,
        caller: ReplicaCaller,
        replicas: ReplicaTable,
        names: HeaderNames,
        config: ConfigHolder,
        decisions: DecisionLog,
        evacuated: Container[str],
    ) -> None:
        self._caller = caller
        self._replicas = replicas
        self._names = names
        self._config = config
        self._decisions = decisions
        self._evacuated = evacuated
        self._waiting = WaitingLine()
        self._durations = OutputDurations()
        self._silence = StreamSilence()
        self._rewards = RewardTools(
            find_route=config.find_route,
            terms_for=config.terms_for,
            caller=caller,
            replicas=replicas,
            names=names,
            decisions=decisions,
            parts=WeightedChoice(),
            lines=defaultdict(asyncio.Lock),
        )

    def make(self, fold: JobFold, journal: Journal, job: JobState) -> JobRunner | None:
        """Return the runner of a job; None while no route fits."""
        spec = job.spec()
        route = self._config.find_route(spec.host, spec.path)
        if route is None:
            return None
        tools = ItemTools(
            route=route,
            caller=self._caller,
            replicas=self._replicas,
            names=self._names,
            decisions=self._decisions,
            waiting=self._waiting,
            durations=self._durations,
            rewards=self._rewards,
            silence=self._silence,
            terms_for=self._config.terms_for,
            group_replicas=GroupReplicas(self._replicas, self._evacuated),
        )
        return JobRunner(job, fold, journal, tools)
