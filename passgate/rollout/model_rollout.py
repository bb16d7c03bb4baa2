"""Rollout of one model over the replicas of a pool: queues of replicas that need an order.

>>> from passgate.rollout.types import ReplicaView
>>> rollout = ModelRollout("grade", DistributionSettings())
>>> tracker = rollout.add(ReplicaView(replica_id="r1", address="10.0.0.1:80", zone="a"))
>>> tracker.record_report(1)
>>> rollout.set_target(RolloutTarget(model="grade", version=2))
>>> rollout.refresh(tracker)
>>> candidates = rollout.stage_candidates(lambda replica_id: True)
>>> [(candidate.view.replica_id, source) for candidate, source in candidates]
[('r1', 'store')]
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from passgate.rollout.seeds import SeedPlan, seed_plan
from passgate.rollout.sources import SourceTable
from passgate.rollout.swap_tracker import SwapTracker
from passgate.rollout.types import DistributionSettings, ReplicaView, RolloutProgress, RolloutTarget
from passgate.schema import OrderKind

_READY_STATES = frozenset({"behind", "staged"})
_FETCH_STATES = frozenset({"staging", "unknown"})
_COUNT_BY_STATE = {
    "current": "on_target",
    "staging": "staging",
    "activating": "swapping",
    "rolling_back": "swapping",
    "backing_off": "failing",
    "in_doubt": "failing",
}


class ModelRollout:
    """Target, per-replica trackers and weight sources of one model."""

    def __init__(self, model: str, distribution: DistributionSettings, source_attempts: int = 2) -> None:
        self.target = RolloutTarget(model=model, version=0)
        self.tracker_by_replica: dict[str, SwapTracker] = {}
        self.other_zones: tuple[ReplicaView, ...] = ()
        """Replicas of the pool that other zones' managers order; empty with one manager for all zones."""
        self.sources = SourceTable(distribution)
        self._distribution = distribution
        self._source_attempts = source_attempts
        self._stage_queue_by_zone: dict[str, dict[str, SwapTracker]] = {}
        self._service_queue: dict[str, SwapTracker] = {}

    # --- replicas and target -----------------------------------------------------

    def add(self, view: ReplicaView) -> SwapTracker:
        """Track the model on one more replica."""
        tracker = SwapTracker(view, self.target.model)
        self.tracker_by_replica[view.replica_id] = tracker
        return tracker

    def remove(self, replica_id: str) -> SwapTracker:
        """Stop tracking a replica and return its tracker, which still has an order in flight if any."""
        tracker = self.tracker_by_replica.pop(replica_id)
        self._unqueue(tracker)
        self.sources.remove_holder(tracker.view.address)
        tracker.chart.send("leave")
        return tracker

    def set_target(self, target: RolloutTarget) -> None:
        """Replace the target.

        A new version resets failure counts and starts with the replicas that already hold it
        as sources.
        """
        changed = target.version != self.target.version
        self.target = target
        if changed:
            self.sources = SourceTable(self._distribution, self._plan_seed())
        for tracker in self.tracker_by_replica.values():
            if changed:
                self._reset_failures(tracker)
            self.refresh(tracker)

    def _plan_seed(self) -> SeedPlan | None:
        if not self.other_zones or not self.tracker_by_replica:
            return None
        own_views = [tracker.view for tracker in self.tracker_by_replica.values()]
        return seed_plan(
            self.target.model, self.target.version, own_views[0].zone, [*own_views, *self.other_zones]
        )

    def _reset_failures(self, tracker: SwapTracker) -> None:
        tracker.failed_attempts = 0
        tracker.source_failures = 0
        tracker.seed_failures = 0
        tracker.rollback_version = 0
        self.update_holder(tracker)
        if tracker.chart.state == "backing_off":
            tracker.chart.send("retry_due")

    def update_holder(self, tracker: SwapTracker) -> None:
        """Add a replica as a source if it holds the target version, else remove it.

        One with an order in flight is not removed.
        """
        if self.target.version and self.target.version in tracker.versions_in_memory and not tracker.broken:
            self.sources.add_complete_holder(tracker.view.address, tracker.view.zone)
        elif tracker.order_in_flight is None:
            self.sources.remove_holder(tracker.view.address)

    def refresh(self, tracker: SwapTracker) -> None:
        """Update the replica's chart and queue it for its next order.

        Does nothing while an order is in flight or before the first report.
        """
        self._unqueue(tracker)
        if tracker.order_in_flight is not None or not tracker.reported:
            return
        tracker.update_chart(self.target)
        if tracker.chart.state in _READY_STATES:
            self._queue(tracker)

    # --- candidates for orders ---------------------------------------------------

    def service_candidates(self) -> list[SwapTracker]:
        """Return the replicas whose next order may interrupt service.

        Replicas that are already out of service come first, then the least loaded ones.
        """
        return sorted(self._service_queue.values(), key=_service_rank)

    def is_staging(self, is_lost: Callable[[str], bool]) -> bool:
        """Return whether a replica that is not lost fetches, waits to fetch, or is not known yet."""
        waiting = [replica_id for zone in self._stage_queue_by_zone.values() for replica_id in zone]
        fetching = [
            key for key, tracker in self.tracker_by_replica.items() if tracker.chart.state in _FETCH_STATES
        ]
        return any(not is_lost(replica_id) for replica_id in [*waiting, *fetching])

    def stage_candidates(self, is_free: Callable[[str], bool]) -> Iterator[tuple[SwapTracker, str]]:
        """Yield replicas to stage, each with its source; zones without a copy come first.

        The caller must start each fetch in ``sources`` before it takes the next candidate,
        since the choice of a source depends on the running fetches.
        """
        if self.target.version == 0:
            return
        zones = [zone for zone, waiting in self._stage_queue_by_zone.items() if waiting]
        for zone in sorted(zones, key=self.sources.has_copy):
            for tracker in self._staging_order(zone):
                if not is_free(tracker.view.replica_id):
                    continue
                avoid_engines = (
                    tracker.rollback_version > 0 or tracker.source_failures >= self._source_attempts
                )
                source = self.sources.choose(tracker.view.address, zone, avoid_engines)
                if source is not None:
                    yield tracker, source
                elif not avoid_engines:
                    break

    def _staging_order(self, zone: str) -> list[SwapTracker]:
        """Return the waiting replicas of a zone; only its seed while the zone has no copy."""
        waiting = self._stage_queue_by_zone[zone]
        seed = self.sources.seed
        first = waiting.get(seed.replica_id) if seed is not None and not self.sources.has_copy(zone) else None
        return list(waiting.values()) if first is None else [first]

    def is_settled(self) -> bool:
        """Return whether every replica is on the target."""
        return all(tracker.chart.state == "current" for tracker in self.tracker_by_replica.values())

    def progress(self) -> RolloutProgress:
        """Return the numbers of tracked replicas by their state."""
        states = Counter(
            _COUNT_BY_STATE.get(tracker.chart.state, "waiting")
            for tracker in self.tracker_by_replica.values()
        )
        return RolloutProgress(
            model=self.target.model,
            version=self.target.version,
            replicas=len(self.tracker_by_replica),
            on_target=states["on_target"],
            staging=states["staging"],
            swapping=states["swapping"],
            waiting=states["waiting"],
            failing=states["failing"],
            store_copies=self.sources.store_copies,
        )

    # --- queues ------------------------------------------------------------------

    def _queue(self, tracker: SwapTracker) -> None:
        replica_id = tracker.view.replica_id
        if tracker.next_order_kind(self.target) is OrderKind.STAGE_VERSION:
            self._stage_queue_by_zone.setdefault(tracker.view.zone, {})[replica_id] = tracker
        else:
            self._service_queue[replica_id] = tracker

    def _unqueue(self, tracker: SwapTracker) -> None:
        replica_id = tracker.view.replica_id
        self._service_queue.pop(replica_id, None)
        self._stage_queue_by_zone.get(tracker.view.zone, {}).pop(replica_id, None)


def _service_rank(tracker: SwapTracker) -> tuple[bool, int]:
    return not tracker.is_out_of_service, tracker.view.outstanding_tokens
