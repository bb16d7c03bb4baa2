"""Decisions of a weight rollout: target against actual, one step at a time.

The object holds no I/O and reads no clock.  Its caller feeds it replicas, targets,
reports and outcomes of orders, sends the orders it asks for, and wakes it when
:meth:`Reconciler.next_wakeup_s` says so.  The plan shown beforehand and the model
of a whole fleet run this same object.

>>> reconciler = Reconciler(RolloutSettings(), Random(0))
>>> reconciler.observe_replicas([ReplicaView(replica_id="r1", address="10.0.0.1:80", zone="a")], 0.0)
>>> reconciler.set_targets([RolloutTarget(model="grade", version=2)], 0.0)
>>> reconciler.due_reports(0.0)
['r1']
>>> reconciler.observe_report("r1", {"grade": 1}, 0, 0.0)
>>> [order.kind.value for order in reconciler.next_orders(0.0)]
['stage_version']
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from random import Random

import msgspec

from passgate.rollout.capacity import CapacityLedger
from passgate.rollout.due_times import DueTimes
from passgate.rollout.model_rollout import ModelRollout
from passgate.rollout.planned_orders import ORDER_EVENTS, service_order, stage_order
from passgate.rollout.swap_track import SwapTrack
from passgate.rollout.types import (
    STORE_SOURCE,
    Outcome,
    PlannedOrder,
    ReplicaView,
    RolloutProgress,
    RolloutSettings,
    RolloutTarget,
)
from passgate.schema import OrderKind


class Reconciler:
    """All replicas of one pool and the models they run."""

    def __init__(self, settings: RolloutSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._ledger = CapacityLedger(settings.capacity_floor, settings.zone_capacity_floor)
        self._views: dict[str, ReplicaView] = {}
        self._models: dict[str, ModelRollout] = {}
        self._other_zones: tuple[ReplicaView, ...] = ()
        self._busy: dict[str, PlannedOrder] = {}
        self._doubtful: dict[tuple[str, str], SwapTrack] = {}
        self._silences: Counter[str] = Counter()
        self._retries: DueTimes[tuple[str, str]] = DueTimes()
        self._reports: DueTimes[str] = DueTimes()

    # --- what is known ---------------------------------------------------------------

    def set_targets(self, targets: Iterable[RolloutTarget], now_s: float) -> None:
        """Replace the targets; models no longer named are left as they are."""
        wanted = {target.model: target for target in targets}
        for model in [model for model in self._models if model not in wanted]:
            del self._models[model]
        for model, target in wanted.items():
            if model not in self._models:
                self._add_model(model, now_s)
            if self._models[model].target != target:
                self._models[model].set_target(target)

    def observe_other_zones(self, views: Iterable[ReplicaView]) -> None:
        """Take the replicas that other zones' managers lead; they may seed this zone."""
        self._other_zones = tuple(views)
        for rollout in self._models.values():
            rollout.other_zones = self._other_zones

    def observe_replicas(self, views: Iterable[ReplicaView], now_s: float) -> None:
        """Replace the set of replicas; a new generation or address starts unknown."""
        present = {view.replica_id: view for view in views}
        for replica_id, old in list(self._views.items()):
            new = present.get(replica_id)
            if new is None or (new.generation, new.address) != (old.generation, old.address):
                self._remove_replica(replica_id)
        for view in present.values():
            if view.replica_id not in self._views:
                self._add_replica(view, now_s)

    def observe_report(
        self, replica_id: str, versions: Mapping[str, int], outstanding_tokens: int, now_s: float
    ) -> None:
        """Take an engine's own word on its versions, which may lag behind."""
        if replica_id not in self._views:
            return
        view = self._views[replica_id]
        if view.outstanding_tokens != outstanding_tokens:
            self._update_load(view, outstanding_tokens)
        self._silences.pop(replica_id, None)
        self._ledger.set_lost(replica_id, False)
        self._ledger.set_out(replica_id, self._is_out(replica_id))
        for model, rollout in self._models.items():
            self._observe_version(rollout, rollout.tracks[replica_id], versions.get(model, 0), now_s)
        if replica_id not in self._reports:
            self._reports.plan(replica_id, now_s + self._settings.verify_interval_s)

    def observe_silence(self, replica_id: str, now_s: float) -> None:
        """Note that the replica's report could not be read."""
        if replica_id in self._views:
            self._silences[replica_id] += 1
            self._ledger.set_lost(replica_id, True)
            self._reports.plan(replica_id, now_s + self._backoff_s(self._silences[replica_id]))

    # --- what to do --------------------------------------------------------------------

    def due_reports(self, now_s: float) -> list[str]:
        """Return the replicas whose report is to be read now; each is returned once."""
        return self._reports.take(now_s)

    def next_orders(self, now_s: float) -> list[PlannedOrder]:
        """Return the orders to send now; each replica has at most one in flight."""
        self._pass_retries(now_s)
        self._pass_doubts(now_s - self._settings.swap_doubt_s)
        orders: list[PlannedOrder] = []
        for rollout in self._models.values():
            self._order_service(rollout, orders)
            self._order_stages(rollout, orders)
        return orders

    def next_wakeup_s(self) -> float | None:
        """Return when something becomes due without any news, None for never."""
        times = [self._retries.next_s(), self._reports.next_s()]
        return min((time_s for time_s in times if time_s is not None), default=None)

    def view(self, replica_id: str) -> ReplicaView | None:
        """Return a replica as last observed."""
        return self._views.get(replica_id)

    def is_settled(self) -> bool:
        """Return whether every replica runs its target."""
        return all(rollout.is_settled() for rollout in self._models.values())

    def assume_proved(self, replica_id: str) -> None:
        """Count what a replica reported as proved under the fence; for plans, not for a holder."""
        for rollout in self._models.values():
            track = rollout.tracks[replica_id]
            track.fenced = True
            rollout.refresh(track)

    def progress(self) -> list[RolloutProgress]:
        """Return the counts of each model."""
        return [rollout.progress() for rollout in self._models.values()]

    # --- outcomes ----------------------------------------------------------------------

    def accepted(self, order: PlannedOrder) -> bool:
        """Note that an engine began an order; return whether that lets other orders start.

        With cut-through an engine that fetches is a source already.
        """
        rollout = self._models.get(order.model)
        current = self._busy.get(order.replica_id) is order and rollout is not None
        stages = order.kind is OrderKind.STAGE_VERSION
        if not current or not stages or order.version != rollout.target.version:
            return False
        return rollout.sources.add_partial_holder(order.address, self._views[order.replica_id].zone)

    def finish(self, order: PlannedOrder, outcome: Outcome, now_s: float) -> None:
        """Take the outcome of an order returned by :meth:`next_orders`."""
        if self._busy.get(order.replica_id) is not order:
            return
        del self._busy[order.replica_id]
        rollout = self._models.get(order.model)
        if rollout is None:
            self._ledger.set_out(order.replica_id, False)
            return
        track = rollout.tracks[order.replica_id]
        track.order = None
        track.order_count += outcome is not Outcome.IN_DOUBT
        if track.order_sources is not None:
            track.order_sources.end(order.source, order.address, track.view.zone)
            track.order_sources = None
        if outcome is Outcome.DONE:
            self._done(rollout, track, order, now_s)
        elif outcome is Outcome.IN_DOUBT:
            self._in_doubt(track, order, now_s)
        else:
            self._failed(rollout, track, order, outcome, now_s)
        rollout.refresh(track)

    def _done(self, rollout: ModelRollout, track: SwapTrack, order: PlannedOrder, now_s: float) -> None:
        track.fenced = True
        track.doubts = 0
        if order.kind is not OrderKind.STAGE_VERSION:
            track.swap_doubt_s = None
        if order.kind is OrderKind.STAGE_VERSION:
            track.staged(order.version)
        elif order.kind is OrderKind.ACTIVATE_VERSION:
            track.activated(order.version, now_s, self._settings.keeps_previous)
        elif order.kind is OrderKind.LOAD_ADAPTER:
            track.adapters.add(order.argument)
        else:
            track.engine_role = order.argument
        rollout.offer_source(track)
        self._ledger.set_lost(order.replica_id, False)
        self._ledger.set_out(order.replica_id, self._is_out(order.replica_id))
        if order.roll_back:
            track.machine.send("rolled_back")
            self._retries.plan(track.key, now_s + self._backoff_s(track.attempts))
            return
        if order.kind is not OrderKind.STAGE_VERSION:
            track.attempts = 0
        track.source_failures = 0
        track.machine.send(ORDER_EVENTS[order.kind].end)

    def _in_doubt(self, track: SwapTrack, order: PlannedOrder, now_s: float) -> None:
        """An order that may interrupt service keeps its replica out until a report is read."""
        track.doubts += 1
        track.fenced = False
        if order.kind is not OrderKind.STAGE_VERSION:
            track.swap_doubt_s = now_s
            self._doubtful[track.key] = track
        track.machine.send("answer_lost")
        self._reports.plan(track.view.replica_id, now_s + self._backoff_s(track.doubts))

    def _failed(
        self, rollout: ModelRollout, track: SwapTrack, order: PlannedOrder, outcome: Outcome, now_s: float
    ) -> None:
        track.attempts += 1
        track.machine.send("order_failed")
        if order.kind is not OrderKind.STAGE_VERSION and outcome is not Outcome.UNREACHABLE:
            track.swap_doubt_s = None
        if outcome is Outcome.UNREACHABLE:
            self._ledger.set_lost(order.replica_id, True)
            self._reports.plan(order.replica_id, now_s + self._backoff_s(track.attempts))
        elif order.kind is OrderKind.STAGE_VERSION:
            self._failed_stage(rollout, track, order)
        elif order.kind is OrderKind.ACTIVATE_VERSION:
            self._failed_activation(rollout, track, order, outcome, now_s)
        if outcome is not Outcome.UNREACHABLE:
            self._ledger.set_out(order.replica_id, self._is_out(order.replica_id))
        delay_s = self._settings.seed_retry_s if order.foreign else self._backoff_s(track.attempts)
        self._retries.plan(track.key, now_s + delay_s)

    def _failed_stage(self, rollout: ModelRollout, track: SwapTrack, order: PlannedOrder) -> None:
        rollout.sources.remove_holder(track.view.address)
        if order.foreign:
            track.seed_failures += 1
            if track.seed_failures * self._settings.seed_retry_s >= self._settings.seed_patience_s:
                rollout.sources.use_store_for_seed()
        elif track.order_from_partial:
            rollout.sources.partial_failed()
        elif order.source != STORE_SOURCE:
            track.source_failures += 1

    def _failed_activation(
        self, rollout: ModelRollout, track: SwapTrack, order: PlannedOrder, outcome: Outcome, now_s: float
    ) -> None:
        if outcome is Outcome.REFUSED:
            track.held.discard(order.version)
        else:
            track.swap_failed(rollout.target, self._settings.swap_attempts)
            self._reports.plan(order.replica_id, now_s + self._settings.report_lag_s)
        if order.version not in track.held:
            rollout.sources.remove_holder(track.view.address)

    # --- choosing ----------------------------------------------------------------------

    def _order_service(self, rollout: ModelRollout, orders: list[PlannedOrder]) -> None:
        """Order what may interrupt service, while both capacity floors hold."""
        if self._settings.wait_for_all_staged and rollout.is_staging(self._ledger.is_lost):
            return
        for track in rollout.serve_choices():
            if not track.out_of_service and self._ledger.allowed() <= 0:
                return
            if self._is_free(track.view.replica_id) and self._may_go_out(track):
                self._ledger.set_out(track.view.replica_id, True)
                orders.append(self._begin(track, service_order(track, rollout.target)))

    def _may_go_out(self, track: SwapTrack) -> bool:
        """Return whether an order that interrupts service may go to the replica now.

        One that is out already keeps its place, unless replicas that came back took
        the floor's last room; one without any weights has no service to interrupt.
        """
        ledger = self._ledger
        if not ledger.is_out(track.view.replica_id):
            return ledger.allowed() > 0 and ledger.allowed_in(track.view.zone) > 0
        if track.broken and track.active == 0:
            return True
        return ledger.allowed() >= 0 and ledger.allowed_in(track.view.zone) >= 0

    def _order_stages(self, rollout: ModelRollout, orders: list[PlannedOrder]) -> None:
        for track, source in rollout.stage_choices(self._is_free):
            rollout.sources.begin(source, track.view.address, track.view.zone)
            track.order_sources = rollout.sources
            track.order_from_partial = rollout.sources.is_partial(source)
            orders.append(
                self._begin(
                    track, stage_order(track, rollout.target, source, rollout.sources.is_foreign(source))
                )
            )
            rollout.refresh(track)

    def _begin(self, track: SwapTrack, order: PlannedOrder) -> PlannedOrder:
        track.order = order
        self._busy[order.replica_id] = order
        track.machine.send("roll_back" if order.roll_back else ORDER_EVENTS[order.kind].start)
        return order

    def _is_free(self, replica_id: str) -> bool:
        return replica_id not in self._busy and not self._ledger.is_lost(replica_id)

    def _is_out(self, replica_id: str) -> bool:
        order = self._busy.get(replica_id)
        if order is not None and order.kind is not OrderKind.STAGE_VERSION:
            return True
        return any(rollout.tracks[replica_id].out_of_service for rollout in self._models.values())

    # --- replicas ------------------------------------------------------------------------

    def _add_model(self, model: str, now_s: float) -> None:
        settings = self._settings
        rollout = ModelRollout(model, settings.distribution, settings.source_attempts)
        rollout.other_zones = self._other_zones
        self._models[model] = rollout
        for view in self._views.values():
            rollout.add(view)
            self._reports.plan(view.replica_id, now_s)

    def _add_replica(self, view: ReplicaView, now_s: float) -> None:
        self._views[view.replica_id] = view
        self._ledger.add(view)
        for rollout in self._models.values():
            rollout.add(view)
        self._reports.plan(view.replica_id, now_s)

    def _remove_replica(self, replica_id: str) -> None:
        del self._views[replica_id]
        self._busy.pop(replica_id, None)
        self._reports.cancel(replica_id)
        self._ledger.remove(replica_id)
        for rollout in self._models.values():
            track = rollout.remove(replica_id)
            if track.order is not None and track.order_sources is not None:
                track.order_sources.end(track.order.source, track.view.address, track.view.zone)

    def _update_load(self, view: ReplicaView, outstanding_tokens: int) -> None:
        updated = msgspec.structs.replace(view, outstanding_tokens=outstanding_tokens)
        self._views[view.replica_id] = updated
        for rollout in self._models.values():
            rollout.tracks[view.replica_id].view = updated

    def _observe_version(self, rollout: ModelRollout, track: SwapTrack, version: int, now_s: float) -> None:
        if track.order is not None:
            return
        believable_s = track.confirmed_s + self._settings.report_lag_s
        if now_s < believable_s:
            self._reports.plan(track.view.replica_id, believable_s)
            return
        if version != track.active:
            rollout.sources.remove_holder(track.view.address)
        track.observe(version)
        track.broken = track.broken and version == 0
        if track.machine.state == "in_doubt":
            track.machine.send("retry_due")
        self._ledger.set_out(track.view.replica_id, self._is_out(track.view.replica_id))
        rollout.offer_source(track)
        rollout.refresh(track)

    # --- time ----------------------------------------------------------------------------

    def _pass_retries(self, now_s: float) -> None:
        for replica_id, model in self._retries.take(now_s):
            rollout = self._models.get(model)
            track = rollout.tracks.get(replica_id) if rollout else None
            if rollout is not None and track is not None and track.machine.state == "backing_off":
                track.machine.send("retry_due")
                rollout.refresh(track)

    def _pass_doubts(self, before_s: float) -> None:
        """Count replicas as serving again whose swap in doubt has surely ended.

        Only time or a definite answer ends a doubt: a report may be older than the swap.
        """
        for (replica_id, model), track in list(self._doubtful.items()):
            if track.swap_doubt_s is not None and track.swap_doubt_s >= before_s:
                continue
            track.swap_doubt_s = None
            del self._doubtful[replica_id, model]
            if replica_id in self._views:
                self._ledger.set_out(replica_id, self._is_out(replica_id))

    def _backoff_s(self, attempts: int) -> float:
        """Return exponential back-off with full half-width jitter."""
        settings = self._settings
        longest = min(settings.retry_base_s * 2 ** max(attempts - 1, 0), settings.retry_max_s)
        return longest * (0.5 + 0.5 * self._random.random())
