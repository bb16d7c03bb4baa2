"""Rollout of one model over the replicas of a pool: queues of what to do next.

>>> from passgate.rollout.types import ReplicaView
>>> rollout = ModelRollout("grade", DistributionSettings())
>>> track = rollout.add(ReplicaView(replica_id="r1", address="10.0.0.1:80", zone="a"))
>>> track.observe(1)
>>> rollout.set_target(RolloutTarget(model="grade", version=2))
>>> rollout.refresh(track)
>>> [(track.view.replica_id, source) for track, source in rollout.stage_choices(lambda replica_id: True)]
[('r1', 'store')]
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from passgate.rollout.seeds import SeedPlan, seed_plan
from passgate.rollout.sources import SourceTable
from passgate.rollout.swap_track import SwapTrack
from passgate.rollout.types import DistributionSettings, ReplicaView, RolloutProgress, RolloutTarget
from passgate.schema import OrderKind

_READY_STATES = frozenset({"behind", "staged"})
_FETCH_STATES = frozenset({"staging", "unknown"})
_STATE_COUNTS = {
    "current": "on_target",
    "staging": "staging",
    "activating": "swapping",
    "rolling_back": "swapping",
    "backing_off": "failing",
    "in_doubt": "failing",
}


class ModelRollout:
    """Tracks, target and sources of one model."""

    def __init__(self, model: str, distribution: DistributionSettings, source_attempts: int = 2) -> None:
        self.target = RolloutTarget(model=model, version=0)
        self.tracks: dict[str, SwapTrack] = {}
        self.other_zones: tuple[ReplicaView, ...] = ()
        """Replicas of the pool that other zones' managers lead; empty with one manager for all."""
        self.sources = SourceTable(distribution)
        self._distribution = distribution
        self._source_attempts = source_attempts
        self._to_stage: dict[str, dict[str, SwapTrack]] = {}
        self._to_serve: dict[str, SwapTrack] = {}

    # --- what changes ------------------------------------------------------------

    def add(self, view: ReplicaView) -> SwapTrack:
        """Track the model on one more replica."""
        track = SwapTrack(view, self.target.model)
        self.tracks[view.replica_id] = track
        return track

    def remove(self, replica_id: str) -> SwapTrack:
        """Stop tracking a replica; an order in flight still ends through its track."""
        track = self.tracks.pop(replica_id)
        self._unqueue(track)
        self.sources.remove_holder(track.view.address)
        track.machine.send("leave")
        return track

    def set_target(self, target: RolloutTarget) -> None:
        """Replace the target; a new version starts with the holders known so far."""
        changed = target.version != self.target.version
        self.target = target
        if changed:
            self.sources = SourceTable(self._distribution, self._seed())
        for track in self.tracks.values():
            if changed:
                self._start_over(track)
            self.refresh(track)

    def _seed(self) -> SeedPlan | None:
        if not self.other_zones or not self.tracks:
            return None
        own = [track.view for track in self.tracks.values()]
        return seed_plan(self.target.model, self.target.version, own[0].zone, [*own, *self.other_zones])

    def _start_over(self, track: SwapTrack) -> None:
        track.attempts = 0
        track.source_failures = 0
        track.seed_failures = 0
        track.fallback = 0
        self.offer_source(track)
        if track.machine.state == "backing_off":
            track.machine.send("retry_due")

    def offer_source(self, track: SwapTrack) -> None:
        """Let a replica pass the target's version on, exactly while it holds it."""
        if self.target.version and self.target.version in track.held and not track.broken:
            self.sources.complete_holder(track.view.address, track.view.zone)
        elif track.order is None:
            self.sources.remove_holder(track.view.address)

    def refresh(self, track: SwapTrack) -> None:
        """Tell the chart whether the target is met, and queue the next step."""
        self._unqueue(track)
        if track.order is not None or not track.reported:
            return
        track.settle(self.target)
        if track.machine.state in _READY_STATES:
            self._queue(track)

    # --- what to do --------------------------------------------------------------

    def serve_choices(self) -> list[SwapTrack]:
        """Return the replicas whose next order may interrupt service.

        Those out of service already come first, then the least loaded.
        """
        return sorted(self._to_serve.values(), key=_service_rank)

    def is_staging(self, is_lost: Callable[[str], bool]) -> bool:
        """Return whether some replica that is not lost still fetches or waits to fetch."""
        waiting = [replica_id for zone in self._to_stage.values() for replica_id in zone]
        fetching = [key for key, track in self.tracks.items() if track.machine.state in _FETCH_STATES]
        return any(not is_lost(replica_id) for replica_id in [*waiting, *fetching])

    def stage_choices(self, is_free: Callable[[str], bool]) -> Iterator[tuple[SwapTrack, str]]:
        """Yield replicas with the source to stage from; zones without a copy come first.

        The caller begins each stage before it asks for the next one.
        """
        if self.target.version == 0:
            return
        zones = [zone for zone, waiting in self._to_stage.items() if waiting]
        for zone in sorted(zones, key=self.sources.has_any):
            for track in self._in_order(zone):
                if not is_free(track.view.replica_id):
                    continue
                avoid_engines = track.fallback > 0 or track.source_failures >= self._source_attempts
                source = self.sources.choose(track.view.address, zone, avoid_engines)
                if source is not None:
                    yield track, source
                elif not avoid_engines:
                    break

    def _in_order(self, zone: str) -> list[SwapTrack]:
        """Return the waiting replicas of a zone, the one that shall seed it first."""
        waiting = self._to_stage[zone]
        seed = self.sources.seed
        first = waiting.get(seed.replica_id) if seed is not None and not self.sources.has_any(zone) else None
        return list(waiting.values()) if first is None else [first]

    def is_settled(self) -> bool:
        """Return whether every replica runs the target."""
        return all(track.machine.state == "current" for track in self.tracks.values())

    def progress(self) -> RolloutProgress:
        """Return counts over all tracked replicas."""
        states = Counter(_STATE_COUNTS.get(track.machine.state, "waiting") for track in self.tracks.values())
        return RolloutProgress(
            model=self.target.model,
            version=self.target.version,
            replicas=len(self.tracks),
            on_target=states["on_target"],
            staging=states["staging"],
            swapping=states["swapping"],
            waiting=states["waiting"],
            failing=states["failing"],
            store_copies=self.sources.store_copies,
        )

    # --- queues ------------------------------------------------------------------

    def _queue(self, track: SwapTrack) -> None:
        replica_id = track.view.replica_id
        if track.next_kind(self.target) is OrderKind.STAGE_VERSION:
            self._to_stage.setdefault(track.view.zone, {})[replica_id] = track
        else:
            self._to_serve[replica_id] = track

    def _unqueue(self, track: SwapTrack) -> None:
        replica_id = track.view.replica_id
        self._to_serve.pop(replica_id, None)
        self._to_stage.get(track.view.zone, {}).pop(replica_id, None)


def _service_rank(track: SwapTrack) -> tuple[bool, int]:
    return not track.out_of_service, track.view.outstanding_tokens
