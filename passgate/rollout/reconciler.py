"""Decides which orders bring the replicas of a pool to their targets.

The :class:`Reconciler` does no I/O and reads no clock.  Its caller passes in replicas,
targets, load reports and outcomes of orders, sends the orders that it returns, and calls
it again at :meth:`Reconciler.next_wakeup_s`.  ``passgate plan`` runs the same class
against modelled durations.

>>> reconciler = Reconciler(RolloutSettings(), Random(0))
>>> reconciler.set_replicas([ReplicaView(replica_id="r1", address="10.0.0.1:80", zone="a")], 0.0)
>>> reconciler.set_targets([RolloutTarget(model="grade", version=2)], 0.0)
>>> reconciler.take_due_reports(0.0)
['r1']
>>> reconciler.record_report("r1", {"grade": 1}, 0, 0.0)
>>> [order.kind.value for order in reconciler.start_orders(0.0)]
['stage_version']
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from random import Random

import msgspec

from passgate.rollout.capacity import ServingCapacity
from passgate.rollout.model_rollout import ModelRollout
from passgate.rollout.planned_orders import ORDER_EVENTS, service_order, stage_order
from passgate.rollout.swap_tracker import SwapTracker
from passgate.rollout.timer_queue import TimerQueue
from passgate.rollout.types import (
    STORE_SOURCE,
    OrderOutcome,
    PlannedOrder,
    ReplicaView,
    RolloutProgress,
    RolloutSettings,
    RolloutTarget,
)
from passgate.schema import OrderKind


class Reconciler:
    """Compares the replicas of one pool with their targets and issues orders.

    Invariants: a replica has at most one order in flight over all models, and no order that
    may interrupt service is issued while it would violate a capacity floor.
    """

    def __init__(self, settings: RolloutSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._capacity = ServingCapacity(settings.capacity_floor, settings.zone_capacity_floor)
        self._view_by_replica: dict[str, ReplicaView] = {}
        self._rollout_by_model: dict[str, ModelRollout] = {}
        self._other_zones: tuple[ReplicaView, ...] = ()
        self._order_by_replica: dict[str, PlannedOrder] = {}
        self._unconfirmed_swaps: dict[tuple[str, str], SwapTracker] = {}
        self._failed_report_reads: Counter[str] = Counter()
        self._retry_timers: TimerQueue[tuple[str, str]] = TimerQueue()
        self._report_timers: TimerQueue[str] = TimerQueue()

    # --- inputs ----------------------------------------------------------------------

    def set_targets(self, targets: Iterable[RolloutTarget], now_s: float) -> None:
        """Replace the targets; models without a target are no longer tracked nor ordered."""
        target_by_model = {target.model: target for target in targets}
        for model in [model for model in self._rollout_by_model if model not in target_by_model]:
            del self._rollout_by_model[model]
        for model, target in target_by_model.items():
            if model not in self._rollout_by_model:
                self._add_model(model, now_s)
            if self._rollout_by_model[model].target != target:
                self._rollout_by_model[model].set_target(target)

    def set_other_zones(self, views: Iterable[ReplicaView]) -> None:
        """Replace the replicas that other zones' managers order; one may be this zone's source."""
        self._other_zones = tuple(views)
        for rollout in self._rollout_by_model.values():
            rollout.other_zones = self._other_zones

    def set_replicas(self, views: Iterable[ReplicaView], now_s: float) -> None:
        """Replace the set of replicas.

        A replica with a new generation or address is tracked as a new one.  The outcome of an
        order in flight to a removed or replaced replica is ignored.
        """
        view_by_replica = {view.replica_id: view for view in views}
        for replica_id, old in list(self._view_by_replica.items()):
            new = view_by_replica.get(replica_id)
            if new is None or (new.generation, new.address) != (old.generation, old.address):
                self._remove_replica(replica_id)
        for view in view_by_replica.values():
            if view.replica_id not in self._view_by_replica:
                self._add_replica(view, now_s)

    def record_report(
        self, replica_id: str, versions: Mapping[str, int], outstanding_tokens: int, now_s: float
    ) -> None:
        """Record a replica's load report, which may be up to ``report_lag_s`` old.

        Ignores an unknown replica.
        """
        if replica_id not in self._view_by_replica:
            return
        view = self._view_by_replica[replica_id]
        if view.outstanding_tokens != outstanding_tokens:
            self._update_load(view, outstanding_tokens)
        self._failed_report_reads.pop(replica_id, None)
        self._capacity.set_lost(replica_id, False)
        self._capacity.set_out_of_service(replica_id, self._is_out_of_service(replica_id))
        for model, rollout in self._rollout_by_model.items():
            self._apply_reported_version(
                rollout, rollout.tracker_by_replica[replica_id], versions.get(model, 0), now_s
            )
        if replica_id not in self._report_timers:
            self._report_timers.schedule(replica_id, now_s + self._settings.verify_interval_s)

    def record_unreadable_report(self, replica_id: str, now_s: float) -> None:
        """Count a replica as lost until a report or an order succeeds; the report is read again."""
        if replica_id in self._view_by_replica:
            self._failed_report_reads[replica_id] += 1
            self._capacity.set_lost(replica_id, True)
            self._report_timers.schedule(
                replica_id, now_s + self._backoff_s(self._failed_report_reads[replica_id])
            )

    # --- due reports and orders ----------------------------------------------------------

    def take_due_reports(self, now_s: float) -> list[str]:
        """Remove and return the replicas whose report is due to be read."""
        return self._report_timers.pop_due(now_s)

    def start_orders(self, now_s: float) -> list[PlannedOrder]:
        """Return the orders to send now, and count them as in flight."""
        self._start_due_retries(now_s)
        self._expire_unconfirmed_swaps(now_s - self._settings.unconfirmed_swap_s)
        orders: list[PlannedOrder] = []
        for rollout in self._rollout_by_model.values():
            self._start_service_orders(rollout, orders)
            self._start_stage_orders(rollout, orders)
        return orders

    def next_wakeup_s(self) -> float | None:
        """Return when the next retry or report is due, None when there is none."""
        times = [self._retry_timers.next_due_s(), self._report_timers.next_due_s()]
        return min((time_s for time_s in times if time_s is not None), default=None)

    def view(self, replica_id: str) -> ReplicaView | None:
        """Return a replica with its last reported load, None when it is unknown."""
        return self._view_by_replica.get(replica_id)

    def is_settled(self) -> bool:
        """Return whether every replica is on its targets."""
        return all(rollout.is_settled() for rollout in self._rollout_by_model.values())

    def assume_confirmed(self, replica_id: str) -> None:
        """Treat a replica's report as confirmed under the fence; only valid for planning."""
        for rollout in self._rollout_by_model.values():
            tracker = rollout.tracker_by_replica[replica_id]
            tracker.fence_confirmed = True
            rollout.refresh(tracker)

    def progress(self) -> list[RolloutProgress]:
        """Return the progress of each model."""
        return [rollout.progress() for rollout in self._rollout_by_model.values()]

    # --- outcomes ----------------------------------------------------------------------

    def record_accepted(self, order: PlannedOrder) -> bool:
        """Record that an engine has accepted an order; return whether other orders may start now.

        With cut-through, an engine becomes a source as soon as it fetches.
        """
        rollout = self._rollout_by_model.get(order.model)
        is_current = self._order_by_replica.get(order.replica_id) is order and rollout is not None
        is_stage = order.kind is OrderKind.STAGE_VERSION
        if not is_current or not is_stage or order.version != rollout.target.version:
            return False
        return rollout.sources.add_partial_holder(order.address, self._view_by_replica[order.replica_id].zone)

    def record_outcome(self, order: PlannedOrder, outcome: OrderOutcome, now_s: float) -> None:
        """Apply the outcome of an order returned by :meth:`start_orders`.

        Ignores an order of a replica that was removed or replaced since.
        """
        if self._order_by_replica.get(order.replica_id) is not order:
            return
        del self._order_by_replica[order.replica_id]
        rollout = self._rollout_by_model.get(order.model)
        if rollout is None:
            self._capacity.set_out_of_service(order.replica_id, False)
            return
        tracker = rollout.tracker_by_replica[order.replica_id]
        tracker.order_in_flight = None
        tracker.ended_orders += outcome is not OrderOutcome.UNKNOWN
        if tracker.order_source_table is not None:
            tracker.order_source_table.end_fetch(order.source, order.address, tracker.view.zone)
            tracker.order_source_table = None
        if outcome is OrderOutcome.DONE:
            self._apply_success(rollout, tracker, order, now_s)
        elif outcome is OrderOutcome.UNKNOWN:
            self._apply_unknown_outcome(tracker, order, now_s)
        else:
            self._apply_failure(rollout, tracker, order, outcome, now_s)
        rollout.refresh(tracker)

    def _apply_success(
        self, rollout: ModelRollout, tracker: SwapTracker, order: PlannedOrder, now_s: float
    ) -> None:
        tracker.fence_confirmed = True
        tracker.unknown_outcomes = 0
        if order.kind is not OrderKind.STAGE_VERSION:
            tracker.unconfirmed_swap_since_s = None
        if order.kind is OrderKind.STAGE_VERSION:
            tracker.record_staged(order.version)
        elif order.kind is OrderKind.ACTIVATE_VERSION:
            tracker.record_activated(order.version, now_s, self._settings.engines_keep_previous)
        elif order.kind is OrderKind.LOAD_ADAPTER:
            tracker.adapters.add(order.argument)
        else:
            tracker.engine_role = order.argument
        rollout.update_holder(tracker)
        self._capacity.set_lost(order.replica_id, False)
        self._capacity.set_out_of_service(order.replica_id, self._is_out_of_service(order.replica_id))
        if order.is_rollback:
            tracker.chart.send("rolled_back")
            self._retry_timers.schedule(tracker.key, now_s + self._backoff_s(tracker.failed_attempts))
            return
        if order.kind is not OrderKind.STAGE_VERSION:
            tracker.failed_attempts = 0
        tracker.source_failures = 0
        tracker.chart.send(ORDER_EVENTS[order.kind].end)

    def _apply_unknown_outcome(self, tracker: SwapTracker, order: PlannedOrder, now_s: float) -> None:
        """Apply an unknown outcome; an order that may interrupt service keeps the replica out of service.

        :meth:`_expire_unconfirmed_swaps` or the known outcome of a later order ends that.
        """
        tracker.unknown_outcomes += 1
        tracker.fence_confirmed = False
        if order.kind is not OrderKind.STAGE_VERSION:
            tracker.unconfirmed_swap_since_s = now_s
            self._unconfirmed_swaps[tracker.key] = tracker
        tracker.chart.send("answer_lost")
        self._report_timers.schedule(
            tracker.view.replica_id, now_s + self._backoff_s(tracker.unknown_outcomes)
        )

    def _apply_failure(
        self,
        rollout: ModelRollout,
        tracker: SwapTracker,
        order: PlannedOrder,
        outcome: OrderOutcome,
        now_s: float,
    ) -> None:
        tracker.failed_attempts += 1
        tracker.chart.send("order_failed")
        if order.kind is not OrderKind.STAGE_VERSION and outcome is not OrderOutcome.UNREACHABLE:
            tracker.unconfirmed_swap_since_s = None
        if outcome is OrderOutcome.UNREACHABLE:
            self._capacity.set_lost(order.replica_id, True)
            self._report_timers.schedule(order.replica_id, now_s + self._backoff_s(tracker.failed_attempts))
        elif order.kind is OrderKind.STAGE_VERSION:
            self._apply_failed_stage(rollout, tracker, order)
        elif order.kind is OrderKind.ACTIVATE_VERSION:
            self._apply_failed_activation(rollout, tracker, order, outcome, now_s)
        if outcome is not OrderOutcome.UNREACHABLE:
            self._capacity.set_out_of_service(order.replica_id, self._is_out_of_service(order.replica_id))
        delay_s = (
            self._settings.seed_retry_s if order.from_other_zone else self._backoff_s(tracker.failed_attempts)
        )
        self._retry_timers.schedule(tracker.key, now_s + delay_s)

    def _apply_failed_stage(self, rollout: ModelRollout, tracker: SwapTracker, order: PlannedOrder) -> None:
        rollout.sources.remove_holder(tracker.view.address)
        if order.from_other_zone:
            tracker.seed_failures += 1
            if tracker.seed_failures * self._settings.seed_retry_s >= self._settings.seed_timeout_s:
                rollout.sources.use_store_for_seed()
        elif tracker.order_from_partial:
            rollout.sources.record_partial_failure()
        elif order.source != STORE_SOURCE:
            tracker.source_failures += 1

    def _apply_failed_activation(
        self,
        rollout: ModelRollout,
        tracker: SwapTracker,
        order: PlannedOrder,
        outcome: OrderOutcome,
        now_s: float,
    ) -> None:
        if outcome is OrderOutcome.REFUSED:
            tracker.versions_in_memory.discard(order.version)
        else:
            tracker.record_failed_swap(rollout.target, self._settings.swap_attempts)
            self._report_timers.schedule(order.replica_id, now_s + self._settings.report_lag_s)
        if order.version not in tracker.versions_in_memory:
            rollout.sources.remove_holder(tracker.view.address)

    # --- issuing orders ----------------------------------------------------------------

    def _start_service_orders(self, rollout: ModelRollout, orders: list[PlannedOrder]) -> None:
        """Issue orders that may interrupt service, as far as both capacity floors allow."""
        if self._settings.wait_for_all_staged and rollout.is_staging(self._capacity.is_lost):
            return
        for tracker in rollout.service_candidates():
            if not tracker.is_out_of_service and self._capacity.allowed_outages() <= 0:
                return
            if self._is_free(tracker.view.replica_id) and self._may_interrupt_service(tracker):
                self._capacity.set_out_of_service(tracker.view.replica_id, True)
                orders.append(self._start_order(tracker, service_order(tracker, rollout.target)))

    def _may_interrupt_service(self, tracker: SwapTracker) -> bool:
        """Return whether the replica may be sent an order that interrupts service.

        A replica that is already out of service needs no further allowance, but waits while
        more replicas are out than a floor allows.  One without usable weights may always be
        ordered, since it has no service to interrupt.
        """
        capacity = self._capacity
        if not capacity.is_out_of_service(tracker.view.replica_id):
            return capacity.allowed_outages() > 0 and capacity.allowed_outages_in(tracker.view.zone) > 0
        if tracker.broken and tracker.active_version == 0:
            return True
        return capacity.allowed_outages() >= 0 and capacity.allowed_outages_in(tracker.view.zone) >= 0

    def _start_stage_orders(self, rollout: ModelRollout, orders: list[PlannedOrder]) -> None:
        for tracker, source in rollout.stage_candidates(self._is_free):
            rollout.sources.start_fetch(source, tracker.view.address, tracker.view.zone)
            tracker.order_source_table = rollout.sources
            tracker.order_from_partial = rollout.sources.is_partial(source)
            orders.append(
                self._start_order(
                    tracker,
                    stage_order(tracker, rollout.target, source, rollout.sources.is_other_zone_seed(source)),
                )
            )
            rollout.refresh(tracker)

    def _start_order(self, tracker: SwapTracker, order: PlannedOrder) -> PlannedOrder:
        tracker.order_in_flight = order
        self._order_by_replica[order.replica_id] = order
        tracker.chart.send("roll_back" if order.is_rollback else ORDER_EVENTS[order.kind].start)
        return order

    def _is_free(self, replica_id: str) -> bool:
        return replica_id not in self._order_by_replica and not self._capacity.is_lost(replica_id)

    def _is_out_of_service(self, replica_id: str) -> bool:
        order = self._order_by_replica.get(replica_id)
        if order is not None and order.kind is not OrderKind.STAGE_VERSION:
            return True
        return any(
            rollout.tracker_by_replica[replica_id].is_out_of_service
            for rollout in self._rollout_by_model.values()
        )

    # --- replicas ------------------------------------------------------------------------

    def _add_model(self, model: str, now_s: float) -> None:
        settings = self._settings
        rollout = ModelRollout(model, settings.distribution, settings.source_attempts)
        rollout.other_zones = self._other_zones
        self._rollout_by_model[model] = rollout
        for view in self._view_by_replica.values():
            rollout.add(view)
            self._report_timers.schedule(view.replica_id, now_s)

    def _add_replica(self, view: ReplicaView, now_s: float) -> None:
        self._view_by_replica[view.replica_id] = view
        self._capacity.add(view)
        for rollout in self._rollout_by_model.values():
            rollout.add(view)
        self._report_timers.schedule(view.replica_id, now_s)

    def _remove_replica(self, replica_id: str) -> None:
        del self._view_by_replica[replica_id]
        self._order_by_replica.pop(replica_id, None)
        self._report_timers.cancel(replica_id)
        self._capacity.remove(replica_id)
        for rollout in self._rollout_by_model.values():
            tracker = rollout.remove(replica_id)
            if tracker.order_in_flight is not None and tracker.order_source_table is not None:
                tracker.order_source_table.end_fetch(
                    tracker.order_in_flight.source, tracker.view.address, tracker.view.zone
                )

    def _update_load(self, view: ReplicaView, outstanding_tokens: int) -> None:
        updated = msgspec.structs.replace(view, outstanding_tokens=outstanding_tokens)
        self._view_by_replica[view.replica_id] = updated
        for rollout in self._rollout_by_model.values():
            rollout.tracker_by_replica[view.replica_id].view = updated

    def _apply_reported_version(
        self, rollout: ModelRollout, tracker: SwapTracker, version: int, now_s: float
    ) -> None:
        if tracker.order_in_flight is not None:
            return
        trusted_from_s = tracker.last_confirmed_s + self._settings.report_lag_s
        if now_s < trusted_from_s:
            self._report_timers.schedule(tracker.view.replica_id, trusted_from_s)
            return
        if version != tracker.active_version:
            rollout.sources.remove_holder(tracker.view.address)
        tracker.record_report(version)
        tracker.broken = tracker.broken and version == 0
        if tracker.chart.state == "in_doubt":
            tracker.chart.send("retry_due")
        self._capacity.set_out_of_service(
            tracker.view.replica_id, self._is_out_of_service(tracker.view.replica_id)
        )
        rollout.update_holder(tracker)
        rollout.refresh(tracker)

    # --- time ----------------------------------------------------------------------------

    def _start_due_retries(self, now_s: float) -> None:
        for replica_id, model in self._retry_timers.pop_due(now_s):
            rollout = self._rollout_by_model.get(model)
            tracker = rollout.tracker_by_replica.get(replica_id) if rollout else None
            if rollout is not None and tracker is not None and tracker.chart.state == "backing_off":
                tracker.chart.send("retry_due")
                rollout.refresh(tracker)

    def _expire_unconfirmed_swaps(self, started_before_s: float) -> None:
        """Count replicas as serving again whose unconfirmed swap started before ``started_before_s``.

        A report does not end an unconfirmed swap, since it may be older than the swap.
        """
        for (replica_id, model), tracker in list(self._unconfirmed_swaps.items()):
            if (
                tracker.unconfirmed_swap_since_s is not None
                and tracker.unconfirmed_swap_since_s >= started_before_s
            ):
                continue
            tracker.unconfirmed_swap_since_s = None
            del self._unconfirmed_swaps[replica_id, model]
            if replica_id in self._view_by_replica:
                self._capacity.set_out_of_service(replica_id, self._is_out_of_service(replica_id))

    def _backoff_s(self, attempts: int) -> float:
        """Return an exponential back-off, with jitter over its upper half."""
        settings = self._settings
        maximum_s = min(settings.retry_base_s * 2 ** max(attempts - 1, 0), settings.retry_max_s)
        return maximum_s * (0.5 + 0.5 * self._random.random())
