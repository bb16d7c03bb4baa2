"""Plans a rollout in advance: waves of orders, durations, store traffic and remaining capacity.

A plan runs the manager's :class:`Reconciler` against modelled durations, so it makes the
same decisions as the manager and can differ from it only in times.

>>> views = [ReplicaView(replica_id=f"r{n}", address=f"10.0.0.{n}:1", zone="a") for n in range(4)]
>>> plan = make_plan(PlanRequest(views=tuple(views), target=RolloutTarget(model="m", version=2)))
>>> plan.store_copies, plan.least_serving, [len(w.replicas) for w in plan.waves if w.kind == "activate"]
(1, 3, [1, 1, 1, 1])
"""

from __future__ import annotations

import heapq
from random import Random

import msgspec

from passgate.rollout.capacity import replicas_to_keep
from passgate.rollout.reconciler import Reconciler
from passgate.rollout.swap_modes import settings_for_mode, swap_mode
from passgate.rollout.types import (
    STORE_SOURCE,
    DistributionSettings,
    OrderOutcome,
    PlannedOrder,
    ReplicaView,
    RolloutSettings,
    RolloutTarget,
)
from passgate.schema import OrderKind

MAXIMUM_PLANNED_S = 7_200.0
"""Modelled duration at which a plan stops, although the rollout has not finished."""


class PlatformRates(msgspec.Struct, frozen=True, kw_only=True):
    """Assumed rates, sizes and delays of engines, network and weight store."""

    weight_bytes: int = 2_000_000_000
    store_bytes_per_s: float = 2.5e9
    engine_link_bytes_per_s: float = 1.25e9
    """Rate at which one engine sends, shared by all engines that fetch from it."""
    piece_bytes: int = 64_000_000
    swap_pause_s: float = 0.8
    drain_s: float = 30.0
    """Time until an engine that takes no new work is idle, in swap modes that drain."""
    order_round_trip_s: float = 0.01
    """Time from sending an order to receiving its answer."""
    poll_delay_share: float = 0.05
    """Delay until polling detects an order's end, as a share of the order's duration."""


class PlanRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Inputs of a plan."""

    views: tuple[ReplicaView, ...]
    target: RolloutTarget
    version_by_replica: dict[str, int] = {}
    """Version that each replica runs; a replica without an entry runs the version before the target."""
    settings: RolloutSettings = RolloutSettings()
    rates: PlatformRates = PlatformRates()


class PlanWave(msgspec.Struct, frozen=True, kw_only=True):
    """Orders of one kind whose start is the same to 10 ms."""

    kind: str
    """``stage``, or ``activate`` for all orders that may interrupt service."""
    begin_s: float
    end_s: float
    replicas: tuple[str, ...]
    from_store: int = 0
    from_other_zone: int = 0


class RolloutPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Planned waves and totals of a rollout; times in seconds after publication."""

    target: RolloutTarget
    swap_mode: str
    replicas: int
    waves: tuple[PlanWave, ...]
    seconds_to_all: float
    finished: bool
    """Whether every replica reaches the target within ``MAXIMUM_PLANNED_S``."""
    store_copies: int
    store_bytes: int
    engine_bytes: int
    """Bytes that engines send to each other, including those between zones."""
    zone_crossing_bytes: int
    least_serving: int
    """Minimum number of replicas in service at any time."""
    replicas_to_keep: int
    """Number of replicas that the capacity floor keeps in service."""
    distribution: DistributionSettings


class _Transfer(msgspec.Struct):
    begin_s: float
    end_s: float


class _ScheduledEnd(msgspec.Struct, order=True):
    end_s: float
    number: int
    order: PlannedOrder


class _PlatformModel:
    """Models the durations of orders and sums up their traffic."""

    def __init__(self, request: PlanRequest) -> None:
        self.rates = request.rates
        self.settings = request.settings
        self.drains = swap_mode(request.settings.swap_mode).drains
        self.zone_by_address = {view.address: view.zone for view in request.views}
        self.transfer_by_address: dict[str, _Transfer] = {}
        self.store_copies = 0
        self.engine_copies = 0
        self.cross_zone_copies = 0

    def start_order(self, order: PlannedOrder, now_s: float) -> float:
        """Count an order's traffic and return when the order, started at ``now_s``, ends."""
        if order.kind is OrderKind.STAGE_VERSION:
            return self._start_stage(order, now_s)
        if order.kind is OrderKind.ACTIVATE_VERSION and not order.is_confirmation:
            duration_s = self.rates.swap_pause_s + (self.rates.drain_s if self.drains else 0.0)
            return self._noticed_end_s(now_s, duration_s)
        return now_s + self.rates.order_round_trip_s

    def is_cross_zone(self, order: PlannedOrder) -> bool:
        """Return whether a stage fetches from an engine of another zone."""
        return (
            order.source != STORE_SOURCE
            and self.zone_by_address[order.source] != self.zone_by_address[order.address]
        )

    def _start_stage(self, order: PlannedOrder, now_s: float) -> float:
        rates, distribution = self.rates, self.settings.distribution
        if order.source == STORE_SOURCE:
            self.store_copies += 1
            rate = rates.store_bytes_per_s / max(distribution.store_streams, 1)
            end_s = now_s + rates.weight_bytes / rate
        else:
            self.engine_copies += 1
            self.cross_zone_copies += self.is_cross_zone(order)
            rate = rates.engine_link_bytes_per_s / distribution.fan_out
            end_s = max(now_s + rates.weight_bytes / rate, self._earliest_end_s(order, rate))
        self.transfer_by_address[order.address] = _Transfer(now_s, end_s)
        return self._noticed_end_s(now_s, end_s - now_s)

    def _earliest_end_s(self, order: PlannedOrder, rate: float) -> float:
        """Return when the last piece can arrive from a source that is itself still fetching."""
        source = self.transfer_by_address.get(order.source)
        return 0.0 if source is None else source.end_s + self.rates.piece_bytes / rate

    def _noticed_end_s(self, now_s: float, duration_s: float) -> float:
        return now_s + self.rates.order_round_trip_s + duration_s * (1 + self.rates.poll_delay_share)


def make_plan(request: PlanRequest) -> RolloutPlan:
    """Return the plan of a rollout without failures, starting at time zero.

    Raises InvalidRequest when the settings name an unknown swap mode.
    """
    settings = settings_for_mode(request.settings)
    reconciler = Reconciler(settings, Random(0))
    platform_model = _PlatformModel(msgspec.structs.replace(request, settings=settings))
    reconciler.set_replicas(request.views, 0.0)
    reconciler.set_targets([request.target], 0.0)
    _record_initial_versions(reconciler, request)
    recorder = _PlanRecorder(len(request.views), platform_model)
    scheduled_ends: list[_ScheduledEnd] = []
    number, now_s = 0, 0.0
    while now_s < MAXIMUM_PLANNED_S:
        while orders := reconciler.start_orders(now_s):
            for order in orders:
                number += 1
                scheduled_end = _ScheduledEnd(platform_model.start_order(order, now_s), number, order)
                heapq.heappush(scheduled_ends, scheduled_end)
                recorder.record_start(order, now_s, scheduled_end.end_s)
                reconciler.record_accepted(order)
        if reconciler.is_settled() or not scheduled_ends:
            break
        now_s = scheduled_ends[0].end_s
        while scheduled_ends and scheduled_ends[0].end_s <= now_s:
            scheduled_end = heapq.heappop(scheduled_ends)
            recorder.record_end(scheduled_end.order)
            reconciler.record_outcome(scheduled_end.order, OrderOutcome.DONE, now_s)
    return recorder.build_plan(request, settings, now_s, reconciler.is_settled())


def fastest_plan(request: PlanRequest, maximum_store_copies: int) -> RolloutPlan:
    """Return the fastest plan over several fan-outs and store copies up to ``maximum_store_copies``."""
    base = request.settings.distribution
    plans = []
    copies = 1
    while copies <= maximum_store_copies:
        for fan_out in (1, 2, 3):
            distribution = msgspec.structs.replace(base, fan_out=fan_out, max_store_copies=copies)
            settings = msgspec.structs.replace(request.settings, distribution=distribution)
            plans.append(make_plan(msgspec.structs.replace(request, settings=settings)))
        copies *= 2
    return min(plans, key=lambda plan: (not plan.finished, round(plan.seconds_to_all, 1), plan.store_bytes))


def _record_initial_versions(reconciler: Reconciler, request: PlanRequest) -> None:
    """Pass the running versions to the reconciler as confirmed, so that only changes are planned."""
    model, previous_version = request.target.model, max(request.target.version - 1, 0)
    for view in request.views:
        version = request.version_by_replica.get(view.replica_id, previous_version)
        reconciler.record_report(view.replica_id, {model: version}, view.outstanding_tokens, 0.0)
        reconciler.assume_confirmed(view.replica_id)


class _PlanRecorder:
    """Collects the waves and the minimum capacity while a plan is computed."""

    def __init__(self, replicas: int, model: _PlatformModel) -> None:
        self._replicas = replicas
        self._model = model
        self._out_of_service: set[str] = set()
        self._least_serving = replicas
        self._orders_by_wave: dict[tuple[str, float], list[PlannedOrder]] = {}
        self._end_s_by_wave: dict[tuple[str, float], float] = {}

    def record_start(self, order: PlannedOrder, now_s: float, end_s: float) -> None:
        """Record an order that starts at ``now_s`` and ends at ``end_s``."""
        kind = "stage" if order.kind is OrderKind.STAGE_VERSION else "activate"
        if kind == "activate":
            self._out_of_service.add(order.replica_id)
            self._least_serving = min(self._least_serving, self._replicas - len(self._out_of_service))
        key = (kind, round(now_s, 2))
        self._orders_by_wave.setdefault(key, []).append(order)
        self._end_s_by_wave[key] = max(self._end_s_by_wave.get(key, 0.0), end_s)

    def record_end(self, order: PlannedOrder) -> None:
        """Record that an order has ended, so that its replica serves again."""
        self._out_of_service.discard(order.replica_id)

    def build_plan(
        self, request: PlanRequest, settings: RolloutSettings, seconds: float, finished: bool
    ) -> RolloutPlan:
        """Return the plan of the recorded orders."""
        platform_model, weight_bytes = self._model, request.rates.weight_bytes
        return RolloutPlan(
            target=request.target,
            swap_mode=settings.swap_mode,
            replicas=self._replicas,
            waves=tuple(
                self._wave(key) for key in sorted(self._orders_by_wave, key=lambda key: (key[1], key[0]))
            ),
            seconds_to_all=round(seconds, 2),
            finished=finished,
            store_copies=platform_model.store_copies,
            store_bytes=platform_model.store_copies * weight_bytes,
            engine_bytes=platform_model.engine_copies * weight_bytes,
            zone_crossing_bytes=platform_model.cross_zone_copies * weight_bytes,
            least_serving=self._least_serving,
            replicas_to_keep=replicas_to_keep(self._replicas, settings.capacity_floor),
            distribution=settings.distribution,
        )

    def _wave(self, key: tuple[str, float]) -> PlanWave:
        orders = self._orders_by_wave[key]
        stages = [order for order in orders if order.kind is OrderKind.STAGE_VERSION]
        return PlanWave(
            kind=key[0],
            begin_s=key[1],
            end_s=round(self._end_s_by_wave[key], 2),
            replicas=tuple(order.replica_id for order in orders),
            from_store=sum(order.source == STORE_SOURCE for order in stages),
            from_other_zone=sum(self._model.is_cross_zone(order) for order in stages),
        )


def make_views(replicas: int, zones: int) -> list[ReplicaView]:
    """Return replicas with generated addresses, spread evenly over generated zones."""
    return [
        ReplicaView(
            replica_id=f"e{number:04d}",
            address=f"10.{number // 250}.{number % 250}.1:9000",
            zone=f"z{number % zones:02d}",
        )
        for number in range(replicas)
    ]
