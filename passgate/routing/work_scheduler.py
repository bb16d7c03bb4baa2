"""Queues the requests of one daemon and places them on replicas.

Everything here is synchronous and takes the time as a parameter; the coroutines that use it
are in ``passgate.routing.replica_slots``.
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
from passgate.routing.admission import QueueAdmissionController, QueueLimits
from passgate.routing.fair_queue import FairQueue, FifoQueue
from passgate.routing.load_tracker import LoadTracker
from passgate.routing.output_length import OutputLengthEstimator
from passgate.routing.policies import QueueKind, RoutingPolicy
from passgate.routing.prefix_index import PrefixIndex
from passgate.routing.replica_chooser import NoReplicaReason, ReplicaChoice, ReplicaChooser
from passgate.routing.replica_directory import ReplicaDirectory, ReplicaInfo
from passgate.routing.replica_health import ReplicaHealth
from passgate.routing.work import WorkItem
from passgate.schema import GenerateChunk, LoadReport, MachineRole
from passgate.state.specs import PoolSpec, PriorityClassSpec

NO_REPLICA_RETRY_AFTER_S = 1.0
"""Retry time of a request that is refused because its pool has no usable replica."""
STALE_EXPIRIES_SLACK = 256
"""Size of the expiry heap, beyond twice the queued requests, at which it is rebuilt without stale entries."""

PoolLookup = Callable[[str], PoolSpec]
"""Returns a pool by name; raises NoMatchingPool."""
ModelLookup = Callable[[PoolSpec], Sequence[str]]
"""Returns the models of all pools that share a pool's replicas."""


class Placement(msgspec.Struct, frozen=True, eq=False):
    """A request, and the replica that it must be sent to now."""

    item: WorkItem
    replica: ReplicaInfo


class Rejection(msgspec.Struct, frozen=True, eq=False):
    """A request that was removed from the queue, and the error with which it fails."""

    item: WorkItem
    error: PassgateError


class WorkScheduler:
    """Queue, admission, replica choice and load of one daemon.

    Each placed request must be ended with :meth:`record_end`.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        find_pool: PoolLookup,
        policy: RoutingPolicy,
        zone: str,
        daemon_id: str,
        random: Random,
        find_models: ModelLookup = lambda pool: (pool.model,),
    ) -> None:
        self.policy = policy
        self.directory = directory
        self.load_tracker = LoadTracker(policy.report_lag_s, policy.slowdown_per_request)
        self.health = ReplicaHealth()
        self.prefix_index = PrefixIndex(policy.prefix_index_entries)
        self.output_lengths = OutputLengthEstimator()
        self.admission = QueueAdmissionController(policy.reject_by_projection, policy.minimum_retry_after_s)
        self.queue = FairQueue(policy.batch_min_share) if policy.queue is QueueKind.FAIR else FifoQueue()
        self.chooser = ReplicaChooser(
            directory,
            self.load_tracker,
            self.health,
            self.prefix_index,
            policy,
            zone,
            daemon_id,
            random,
            find_models,
        )
        self._find_pool = find_pool
        self._expiry_heap: list[tuple[float, int, WorkItem]] = []
        self._queued_keys: set[int] = set()

    @property
    def queued_count(self) -> int:
        """Number of queued requests."""
        return len(self._queued_keys)

    # --- queue ------------------------------------------------------------------------

    def submit(self, item: WorkItem, spec: PriorityClassSpec, now_s: float) -> None:
        """Queue a new request; :meth:`place_queued` must be called afterwards.

        Raises:
            Overloaded: admission rejects the request.
            NoReplicaAvailable: the pool has no live replica, or all are ejected and the
                request is interactive.
            NoMatchingPool: there is no such pool.
        """
        pool = self._find_pool(item.pool)
        if not self.chooser.subset(pool):
            raise NoReplicaAvailable(retry_after_s=NO_REPLICA_RETRY_AFTER_S, pool=item.pool)
        self._check_any_usable(item, pool, now_s)
        limits = QueueLimits(
            max_queued=self.policy.max_queued,
            max_queued_pool=pool.maximum_queued,
            max_queued_class=spec.max_queued,
            max_queued_caller=spec.max_queued_per_caller,
            max_wait_s=spec.max_wait_s,
        )
        self.admission.admit(item, self.queue, limits, self.expected_service_s(item, pool), now_s)
        item.queue_deadline_s = now_s + spec.max_wait_s
        self._enqueue(item, spec.weight, front=False)

    def resubmit(self, item: WorkItem, spec: PriorityClassSpec, now_s: float) -> None:
        """Queue a request for a further attempt, before the caller's others and without admission."""
        item.queue_deadline_s = now_s + spec.max_wait_s
        self._enqueue(item, spec.weight, front=True)

    def withdraw(self, item: WorkItem) -> None:
        """Remove a request from the queue; does nothing when it is not queued."""
        if item.key in self._queued_keys:
            self._queued_keys.discard(item.key)
            self.queue.remove(item)
            if not self.queue.pool_count(item.pool):
                self.admission.record_idle(item.pool)

    def place_queued(self, now_s: float) -> list[Placement | Rejection]:
        """Remove and return the requests that can be sent now, and those whose pool was deleted."""
        results: list[Placement | Rejection] = []
        blocked: set[tuple[str, bool]] = set()
        while self._queued_keys:
            result = self._place_one(blocked, now_s)
            if result is None:
                break
            results.append(result)
        return results

    def place_hedge(self, item: WorkItem, excluded: frozenset[str], now_s: float) -> ReplicaInfo | None:
        """Place a hedge on a replica with capacity; returns None without one, and never queues."""
        choice = self.chooser.choose(item, self._find_pool(item.pool), now_s, excluded)
        if isinstance(choice, NoReplicaReason):
            return None
        self._record_start(item, choice, now_s)
        return choice.replica

    def expire(self, now_s: float) -> list[Rejection]:
        """Remove and return the queued requests whose deadline or longest wait has passed."""
        expired: list[Rejection] = []
        while self._expiry_heap and self._expiry_heap[0][0] <= now_s:
            _, _, item = heapq.heappop(self._expiry_heap)
            if item.key in self._queued_keys and _effective_deadline_s(item) <= now_s:
                self.withdraw(item)
                expired.append(Rejection(item, self._make_expiry_error(item, now_s)))
        return expired

    def next_expiry_s(self) -> float | None:
        """Return the earliest deadline or end of a longest wait in the queue, or None when it is empty."""
        while self._expiry_heap and self._expiry_heap[0][2].key not in self._queued_keys:
            heapq.heappop(self._expiry_heap)
        return self._expiry_heap[0][0] if self._expiry_heap else None

    # --- running requests ---------------------------------------------------------------------

    def record_chunk(self, item: WorkItem, replica_id: str, chunk: GenerateChunk, now_s: float) -> None:
        """Record a verified chunk; the first one shows that the replica has cached the prompt."""
        if (
            self.policy.prefix_affinity
            and item.prompt_block_hashes
            and not self.load_tracker.has_output(replica_id, item.key)
        ):
            self.prefix_index.add_blocks(replica_id, item.prompt_block_hashes)
        self.load_tracker.record_output(replica_id, item.key, len(chunk.tokens), now_s)

    def record_end(self, item: WorkItem, replica_id: str, tokens: int, now_s: float) -> None:
        """Record that an attempt ended, in any way, after ``tokens`` output tokens; frees its slot."""
        self.load_tracker.record_end(replica_id, item.key, now_s)
        prompt_cost = item.prompt_tokens * self.policy.prefill_weight
        self.queue.correct_charge(item, prompt_cost + tokens)

    def apply_report(self, report: LoadReport, now_s: float) -> None:
        """Apply a load report read at ``now_s`` to health, directory and load."""
        self.health.record_load_report(report.replica_id)
        self.directory.record_report(report, now_s)
        replica = self.directory.get(report.replica_id)
        if replica is not None and replica.role is MachineRole.APP:
            self.load_tracker.apply_call_report(report, now_s)
        else:
            self.load_tracker.apply_report(report, now_s)

    def expected_service_s(self, item: WorkItem, pool: PoolSpec) -> float:
        """Return the expected time from start to end of a request on the fastest replica.

        Returns 0 for application calls and for pools without replicas.
        """
        replicas = self.chooser.subset(pool)
        if not replicas or pool.role is MachineRole.APP:
            return 0.0
        time_per_token_s = min(self.load_tracker.time_per_token_s(replica.replica_id) for replica in replicas)
        return item.prompt_tokens / self.policy.prefill_tokens_per_s + item.expected_tokens * time_per_token_s

    def discard_stale_state(self, now_s: float) -> None:
        """Discard the state of replicas that no longer exist, and old load reports; call it periodically."""
        known_ids = self.directory.known_ids()
        self.load_tracker.retain(known_ids)
        self.load_tracker.discard_old_reports(now_s)
        self.health.retain(known_ids)
        self.prefix_index.retain(known_ids)

    # --- internals ---------------------------------------------------------------------------

    def _enqueue(self, item: WorkItem, weight: float, front: bool) -> None:
        self.queue.push(item, front=front, weight=weight)
        self._queued_keys.add(item.key)
        heapq.heappush(self._expiry_heap, (_effective_deadline_s(item), item.key, item))
        if len(self._expiry_heap) > STALE_EXPIRIES_SLACK + 2 * len(self._queued_keys):
            self._expiry_heap = [entry for entry in self._expiry_heap if entry[1] in self._queued_keys]
            heapq.heapify(self._expiry_heap)

    def _place_one(self, blocked: set[tuple[str, bool]], now_s: float) -> Placement | Rejection | None:
        for item in self.queue.candidates(blocked):
            try:
                pool = self._find_pool(item.pool)
            except NoMatchingPool as error:
                self.withdraw(item)
                return Rejection(item, error)
            choice = self.chooser.choose(item, pool, now_s)
            if isinstance(choice, ReplicaChoice):
                self.queue.take(item)
                self._queued_keys.discard(item.key)
                self._record_start(item, choice, now_s)
                self.admission.record_service(item, self.queue.pool_count(item.pool) > 0, now_s)
                return Placement(item, choice.replica)
            self.admission.record_waiting(item, now_s)
            # A request that waits for a weight version must not block the others of its pool.
            if choice is not NoReplicaReason.NOT_ELIGIBLE:
                blocked.add((item.pool, item.interactive))
                blocked.add((item.pool, False))
        return None

    def _record_start(self, item: WorkItem, choice: ReplicaChoice, now_s: float) -> None:
        replica_id = choice.replica.replica_id
        self.health.record_send(replica_id, now_s)
        self.load_tracker.record_start(
            replica_id,
            item.key,
            item.prompt_tokens,
            item.expected_tokens,
            item.model,
            now_s,
            choice.cached_tokens,
        )

    def _check_any_usable(self, item: WorkItem, pool: PoolSpec, now_s: float) -> None:
        """Raise NoReplicaAvailable for an interactive request when all replicas of the pool are ejected."""
        if not item.interactive:
            return
        replica_ids = [replica.replica_id for replica in self.chooser.subset(pool)]
        if not self.health.filter_usable(replica_ids, now_s):
            next_retry_s = self.health.next_retry_s(now_s)
            retry_after_s = NO_REPLICA_RETRY_AFTER_S if next_retry_s is None else next_retry_s - now_s
            raise NoReplicaAvailable(
                "all replicas of the pool are ejected after failures",
                retry_after_s=max(retry_after_s, 0.1),
                pool=item.pool,
            )

    def _make_expiry_error(self, item: WorkItem, now_s: float) -> PassgateError:
        if item.deadline_s is not None and item.deadline_s <= now_s:
            return DeadlineExceeded(
                "not sent to a replica before its deadline", execution=ExecutionStatus.NOT_RUN
            )
        wait_s = self.admission.projected_wait_s(item, self.queue, now_s)
        return self.admission.make_overloaded(
            "queued for longer than its priority class allows", wait_s or 0.0
        )


def _effective_deadline_s(item: WorkItem) -> float:
    return item.queue_deadline_s if item.deadline_s is None else min(item.queue_deadline_s, item.deadline_s)
