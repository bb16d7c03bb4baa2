"""Queues requests and places them on replicas: the plain core of routing.

Messages and time go in, placements and refusals come out; the coroutines are in
``passgate.routing.gate``.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from random import Random

import msgspec

from passgate.errors import (
    DeadlineExceeded,
    ExecutionStatus,
    NoMatchingPool,
    NoReplicaAvailable,
    PassgateError,
)
from passgate.routing.admission import AdmissionController, QueueLimits
from passgate.routing.fair_queue import FairQueue, FifoQueue
from passgate.routing.load_tracker import LoadTracker
from passgate.routing.output_length import OutputLengthEstimator
from passgate.routing.policies import QueueKind, RoutingPolicy
from passgate.routing.prefix_index import PrefixIndex
from passgate.routing.replica_chooser import Choice, NoPlace, ReplicaChooser
from passgate.routing.replica_directory import ReplicaDirectory, ReplicaInfo
from passgate.routing.replica_health import ReplicaHealth
from passgate.routing.work import WorkItem
from passgate.schema import GenerateChunk, LoadReport, MachineRole
from passgate.state.specs import PoolSpec, PriorityClassSpec

NO_REPLICA_RETRY_S = 1.0
"""Time to come back to a pool without a live replica; lists and reports are that fresh."""
EXPIRY_SLACK = 256
"""Served requests that may stay among the expiries before these are cleaned."""

PoolLookup = Callable[[str], PoolSpec]
ModelLookup = Callable[[PoolSpec], Sequence[str]]
"""Returns the models of all pools that share a pool's replicas."""


class Placement(msgspec.Struct, frozen=True, eq=False):
    """A request and the replica that it is to be sent to now."""

    item: WorkItem
    replica: ReplicaInfo


class Expiry(msgspec.Struct, frozen=True, eq=False):
    """A queued request that is given up, with its final answer."""

    item: WorkItem
    error: PassgateError


class WorkScheduler:
    """Queue, admission, replica choice and load of one daemon."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        pool: PoolLookup,
        policy: RoutingPolicy,
        zone: str,
        owner: str,
        random: Random,
        models: ModelLookup = lambda pool: (pool.model,),
    ) -> None:
        self.policy = policy
        self.directory = directory
        self.tracker = LoadTracker(policy.report_lag_s, policy.batch_slope)
        self.health = ReplicaHealth()
        self.prefixes = PrefixIndex(policy.prefix_index_entries)
        self.lengths = OutputLengthEstimator()
        self.admission = AdmissionController(policy.reject_by_projection, policy.minimum_retry_after_s)
        self.queue = FairQueue(policy.batch_floor) if policy.queue is QueueKind.FAIR else FifoQueue()
        self.chooser = ReplicaChooser(
            directory, self.tracker, self.health, self.prefixes, policy, zone, owner, random, models
        )
        self._pool = pool
        self._expiries: list[tuple[float, int, WorkItem]] = []
        self._queued: set[int] = set()

    @property
    def queued(self) -> int:
        """Requests waiting."""
        return len(self._queued)

    # --- queue ------------------------------------------------------------------------

    def submit(self, item: WorkItem, spec: PriorityClassSpec, now_s: float) -> None:
        """Queue a new request; raises Overloaded or NoReplicaAvailable at once.

        Call :meth:`place` afterwards.
        """
        pool = self._pool(item.pool)
        if not self.chooser.subset(pool):
            raise NoReplicaAvailable(retry_after_s=NO_REPLICA_RETRY_S, pool=item.pool)
        self._refuse_unusable(item, pool, now_s)
        limits = QueueLimits(
            max_queued=self.policy.max_queued,
            max_queued_pool=pool.maximum_queued,
            max_queued_class=spec.max_queued,
            max_queued_caller=spec.max_queued_per_caller,
            max_wait_s=spec.max_wait_s,
        )
        self.admission.admit(item, self.queue, limits, self.service_s(item, pool), now_s)
        item.expires_s = now_s + spec.max_wait_s
        self._enqueue(item, spec.weight, front=False)

    def resubmit(self, item: WorkItem, spec: PriorityClassSpec, now_s: float) -> None:
        """Queue a request again for its next attempt, before the caller's others."""
        item.expires_s = now_s + spec.max_wait_s
        self._enqueue(item, spec.weight, front=True)

    def withdraw(self, item: WorkItem) -> None:
        """Take a request out of the queue; harmless when it is not queued."""
        if item.key in self._queued:
            self._queued.discard(item.key)
            self.queue.remove(item)
            if not self.queue.pool_count(item.pool):
                self.admission.idle(item.pool)

    def place(self, now_s: float) -> list[Placement | Expiry]:
        """Return all requests that can be sent now, and those whose pool was deleted."""
        results: list[Placement | Expiry] = []
        blocked: set[tuple[str, bool]] = set()
        while self._queued:
            result = self._place_one(blocked, now_s)
            if result is None:
                break
            results.append(result)
        return results

    def place_directly(self, item: WorkItem, excluded: frozenset[str], now_s: float) -> ReplicaInfo | None:
        """Place a hedge on a replica that has room now; it is never queued."""
        choice = self.chooser.choose(item, self._pool(item.pool), now_s, excluded)
        if isinstance(choice, NoPlace):
            return None
        self._begin(item, choice, now_s)
        return choice.replica

    def expire(self, now_s: float) -> list[Expiry]:
        """Return the queued requests whose time is over, with their final answers."""
        expired: list[Expiry] = []
        while self._expiries and self._expiries[0][0] <= now_s:
            _, _, item = heapq.heappop(self._expiries)
            if item.key in self._queued and _expiry_s(item) <= now_s:
                self.withdraw(item)
                expired.append(Expiry(item, self._expiry_error(item, now_s)))
        return expired

    def next_expiry_s(self) -> float | None:
        """Return when :meth:`expire` has something to do."""
        while self._expiries and self._expiries[0][2].key not in self._queued:
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    # --- running work ---------------------------------------------------------------------

    def progress(self, item: WorkItem, replica_id: str, chunk: GenerateChunk, now_s: float) -> None:
        """A verified piece arrived; the first one shows that the prompt is in the replica's cache."""
        if self.policy.prefix_affinity and item.prefix and not self.tracker.has_output(replica_id, item.key):
            self.prefixes.add(replica_id, item.prefix)
        self.tracker.progress(replica_id, item.key, len(chunk.tokens), now_s)

    def end(self, item: WorkItem, replica_id: str, tokens: int, now_s: float) -> None:
        """An attempt ended in any way after ``tokens`` output tokens; its room is free again."""
        self.tracker.end(replica_id, item.key, now_s)
        prompt_cost = item.prompt_tokens * self.policy.prefill_weight
        self.queue.settle(item, prompt_cost + tokens)

    def apply_report(self, report: LoadReport, now_s: float) -> None:
        """Take a load report read at ``now_s``."""
        self.health.record_load_report(report.replica_id)
        self.directory.observe_report(report, now_s)
        replica = self.directory.get(report.replica_id)
        if replica is not None and replica.role is MachineRole.APP:
            self.tracker.apply_call_report(report, now_s)
        else:
            self.tracker.apply_report(report, now_s)

    def service_s(self, item: WorkItem, pool: PoolSpec) -> float:
        """Return the expected time from start to end of a request."""
        replicas = self.chooser.subset(pool)
        if not replicas or pool.role is MachineRole.APP:
            return 0.0
        token_s = min(self.tracker.token_s(replica.replica_id) for replica in replicas)
        return item.prompt_tokens / self.policy.prefill_tokens_per_s + item.expected_tokens * token_s

    def clean(self, now_s: float) -> None:
        """Forget what concerns replicas that no longer exist, and old reports; call now and then."""
        known = self.directory.known_ids()
        self.tracker.retain(known)
        self.tracker.expire_reports(now_s)
        self.health.retain(known)
        self.prefixes.retain(known)

    # --- internals ---------------------------------------------------------------------------

    def _enqueue(self, item: WorkItem, weight: float, front: bool) -> None:
        self.queue.push(item, front=front, weight=weight)
        self._queued.add(item.key)
        heapq.heappush(self._expiries, (_expiry_s(item), item.key, item))
        if len(self._expiries) > EXPIRY_SLACK + 2 * len(self._queued):
            self._expiries = [entry for entry in self._expiries if entry[1] in self._queued]
            heapq.heapify(self._expiries)

    def _place_one(self, blocked: set[tuple[str, bool]], now_s: float) -> Placement | Expiry | None:
        for item in self.queue.candidates(blocked):
            try:
                pool = self._pool(item.pool)
            except NoMatchingPool as error:
                self.withdraw(item)
                return Expiry(item, error)
            choice = self.chooser.choose(item, pool, now_s)
            if isinstance(choice, Choice):
                self.queue.take(item)
                self._queued.discard(item.key)
                self._begin(item, choice, now_s)
                self.admission.served(item, self.queue.pool_count(item.pool) > 0, now_s)
                return Placement(item, choice.replica)
            self.admission.waiting(item, now_s)
            if choice is not NoPlace.NOT_ELIGIBLE:
                blocked.add((item.pool, item.interactive))
                blocked.add((item.pool, False))
        return None

    def _begin(self, item: WorkItem, choice: Choice, now_s: float) -> None:
        name = choice.replica.replica_id
        self.health.record_send(name, now_s)
        self.tracker.begin(
            name,
            item.key,
            item.prompt_tokens,
            item.expected_tokens,
            item.model,
            now_s,
            choice.cached_tokens,
        )

    def _refuse_unusable(self, item: WorkItem, pool: PoolSpec, now_s: float) -> None:
        """A person is not left waiting for replicas that are all set aside."""
        if not item.interactive:
            return
        names = [replica.replica_id for replica in self.chooser.subset(pool)]
        if not self.health.filter_usable(names, now_s):
            return_s = self.health.next_retry_s(now_s)
            retry_after_s = NO_REPLICA_RETRY_S if return_s is None else return_s - now_s
            raise NoReplicaAvailable(
                "all replicas are failing", retry_after_s=max(retry_after_s, 0.1), pool=item.pool
            )

    def _expiry_error(self, item: WorkItem, now_s: float) -> PassgateError:
        if item.deadline_s is not None and item.deadline_s <= now_s:
            return DeadlineExceeded("not served before its deadline", execution=ExecutionStatus.NOT_RUN)
        wait_s = self.admission.projected_wait_s(item, self.queue, now_s)
        return self.admission.refusal("waited longer than its class allows", wait_s or 0.0)


def _expiry_s(item: WorkItem) -> float:
    return item.expires_s if item.deadline_s is None else min(item.expires_s, item.deadline_s)
