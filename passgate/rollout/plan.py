"""Plan of a rollout before it is carried out: waves, time, store traffic, capacity kept.

The plan runs the same :class:`Reconciler` as the manager against modelled times, so
it can not disagree with the manager about choices, only about times.

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
    Outcome,
    PlannedOrder,
    ReplicaView,
    RolloutSettings,
    RolloutTarget,
)
from passgate.schema import OrderKind

LONGEST_S = 7_200.0
"""A rollout that takes longer in the model is not planned to its end."""


class PlatformRates(msgspec.Struct, frozen=True, kw_only=True):
    """What is assumed of engines, network and store."""

    weight_bytes: int = 2_000_000_000
    store_bytes_per_s: float = 2.5e9
    engine_link_bytes_per_s: float = 1.25e9
    """Rate at which one engine sends to others, shared by all of them."""
    piece_bytes: int = 64_000_000
    swap_pause_s: float = 0.8
    drain_s: float = 30.0
    """Time until an engine that takes no new work is idle; for modes that drain."""
    order_s: float = 0.01
    """Time of one order with its answer."""
    question_share: float = 0.05
    """An order's end is noticed late by this share of its duration."""


class PlanRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What a plan starts from."""

    views: tuple[ReplicaView, ...]
    target: RolloutTarget
    running: dict[str, int] = {}
    """Version that each replica runs now; the version before the target where absent."""
    settings: RolloutSettings = RolloutSettings()
    rates: PlatformRates = PlatformRates()


class PlanWave(msgspec.Struct, frozen=True, kw_only=True):
    """Orders of one kind that begin together."""

    kind: str
    """``stage`` or ``activate``."""
    begin_s: float
    end_s: float
    replicas: tuple[str, ...]
    from_store: int = 0
    from_other_zone: int = 0


class RolloutPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What a rollout would do; times in seconds after publication."""

    target: RolloutTarget
    swap_mode: str
    replicas: int
    waves: tuple[PlanWave, ...]
    seconds_to_all: float
    finished: bool
    """Whether every replica reaches the target within the longest planned time."""
    store_copies: int
    store_bytes: int
    engine_bytes: int
    """Bytes that engines send to each other, those between zones included."""
    zone_crossing_bytes: int
    least_serving: int
    """Least number of replicas in service at any time."""
    replicas_to_keep: int
    """What the capacity floor asks for."""
    distribution: DistributionSettings


class _Transfer(msgspec.Struct):
    begin_s: float
    end_s: float


class _Ending(msgspec.Struct, order=True):
    at_s: float
    number: int
    order: PlannedOrder


class _Model:
    """Modelled durations and the totals of a plan."""

    def __init__(self, request: PlanRequest) -> None:
        self.rates = request.rates
        self.settings = request.settings
        self.drains = swap_mode(request.settings.swap_mode).drains
        self.zone_of = {view.address: view.zone for view in request.views}
        self.transfers: dict[str, _Transfer] = {}
        self.store_copies = 0
        self.engine_copies = 0
        self.crossing_copies = 0

    def begin(self, order: PlannedOrder, now_s: float) -> float:
        """Return when an order that begins now ends, and count its traffic."""
        if order.kind is OrderKind.STAGE_VERSION:
            return self._begin_stage(order, now_s)
        if order.kind is OrderKind.ACTIVATE_VERSION and not order.confirms:
            duration_s = self.rates.swap_pause_s + (self.rates.drain_s if self.drains else 0.0)
            return self._noticed(now_s, duration_s)
        return now_s + self.rates.order_s

    def crosses(self, order: PlannedOrder) -> bool:
        """Return whether a stage fetches from another zone."""
        return order.source != STORE_SOURCE and self.zone_of[order.source] != self.zone_of[order.address]

    def _begin_stage(self, order: PlannedOrder, now_s: float) -> float:
        rates, distribution = self.rates, self.settings.distribution
        if order.source == STORE_SOURCE:
            self.store_copies += 1
            rate = rates.store_bytes_per_s / max(distribution.store_streams, 1)
            end_s = now_s + rates.weight_bytes / rate
        else:
            self.engine_copies += 1
            self.crossing_copies += self.crosses(order)
            rate = rates.engine_link_bytes_per_s / distribution.fan_out
            end_s = max(now_s + rates.weight_bytes / rate, self._source_ends(order, rate))
        self.transfers[order.address] = _Transfer(now_s, end_s)
        return self._noticed(now_s, end_s - now_s)

    def _source_ends(self, order: PlannedOrder, rate: float) -> float:
        """With cut-through the last piece follows the source's own last piece."""
        source = self.transfers.get(order.source)
        return 0.0 if source is None else source.end_s + self.rates.piece_bytes / rate

    def _noticed(self, now_s: float, duration_s: float) -> float:
        return now_s + self.rates.order_s + duration_s * (1 + self.rates.question_share)


def make_plan(request: PlanRequest) -> RolloutPlan:
    """Return the plan of a rollout that starts at time zero and meets no failure."""
    settings = settings_for_mode(request.settings)
    reconciler = Reconciler(settings, Random(0))
    model = _Model(msgspec.structs.replace(request, settings=settings))
    reconciler.observe_replicas(request.views, 0.0)
    reconciler.set_targets([request.target], 0.0)
    _observe_present(reconciler, request)
    recorder = _Recorder(len(request.views), model)
    endings: list[_Ending] = []
    number, now_s = 0, 0.0
    while now_s < LONGEST_S:
        while orders := reconciler.next_orders(now_s):
            for order in orders:
                number += 1
                ending = _Ending(model.begin(order, now_s), number, order)
                heapq.heappush(endings, ending)
                recorder.began(order, now_s, ending.at_s)
                reconciler.accepted(order)
        if reconciler.is_settled() or not endings:
            break
        now_s = endings[0].at_s
        while endings and endings[0].at_s <= now_s:
            ended = heapq.heappop(endings)
            recorder.ended(ended.order)
            reconciler.finish(ended.order, Outcome.DONE, now_s)
    return recorder.plan(request, settings, now_s, reconciler.is_settled())


def best_distribution(request: PlanRequest, most_store_copies: int) -> RolloutPlan:
    """Return the fastest plan over ways to distribute, with at most so many store copies."""
    present = request.settings.distribution
    plans = []
    copies = 1
    while copies <= most_store_copies:
        for fan_out in (1, 2, 3):
            distribution = msgspec.structs.replace(present, fan_out=fan_out, max_store_copies=copies)
            settings = msgspec.structs.replace(request.settings, distribution=distribution)
            plans.append(make_plan(msgspec.structs.replace(request, settings=settings)))
        copies *= 2
    return min(plans, key=lambda plan: (not plan.finished, round(plan.seconds_to_all, 1), plan.store_bytes))


def _observe_present(reconciler: Reconciler, request: PlanRequest) -> None:
    """Let the reconciler know what runs, proved under its fence, so that only changes are planned."""
    model, former = request.target.model, max(request.target.version - 1, 0)
    for view in request.views:
        version = request.running.get(view.replica_id, former)
        reconciler.observe_report(view.replica_id, {model: version}, view.outstanding_tokens, 0.0)
        reconciler.assume_proved(view.replica_id)


class _Recorder:
    """Collects waves and the least capacity while a plan is made."""

    def __init__(self, replicas: int, model: _Model) -> None:
        self._replicas = replicas
        self._model = model
        self._out: set[str] = set()
        self._least_serving = replicas
        self._groups: dict[tuple[str, float], list[PlannedOrder]] = {}
        self._ends: dict[tuple[str, float], float] = {}

    def began(self, order: PlannedOrder, now_s: float, end_s: float) -> None:
        """Note an order that begins."""
        kind = "stage" if order.kind is OrderKind.STAGE_VERSION else "activate"
        if kind == "activate":
            self._out.add(order.replica_id)
            self._least_serving = min(self._least_serving, self._replicas - len(self._out))
        key = (kind, round(now_s, 2))
        self._groups.setdefault(key, []).append(order)
        self._ends[key] = max(self._ends.get(key, 0.0), end_s)

    def ended(self, order: PlannedOrder) -> None:
        """Note an order that ended."""
        self._out.discard(order.replica_id)

    def plan(
        self, request: PlanRequest, settings: RolloutSettings, seconds: float, finished: bool
    ) -> RolloutPlan:
        """Return the plan of what was noted."""
        model, weight_bytes = self._model, request.rates.weight_bytes
        return RolloutPlan(
            target=request.target,
            swap_mode=settings.swap_mode,
            replicas=self._replicas,
            waves=tuple(self._wave(key) for key in sorted(self._groups, key=lambda key: (key[1], key[0]))),
            seconds_to_all=round(seconds, 2),
            finished=finished,
            store_copies=model.store_copies,
            store_bytes=model.store_copies * weight_bytes,
            engine_bytes=model.engine_copies * weight_bytes,
            zone_crossing_bytes=model.crossing_copies * weight_bytes,
            least_serving=self._least_serving,
            replicas_to_keep=replicas_to_keep(self._replicas, settings.capacity_floor),
            distribution=settings.distribution,
        )

    def _wave(self, key: tuple[str, float]) -> PlanWave:
        orders = self._groups[key]
        stages = [order for order in orders if order.kind is OrderKind.STAGE_VERSION]
        return PlanWave(
            kind=key[0],
            begin_s=key[1],
            end_s=round(self._ends[key], 2),
            replicas=tuple(order.replica_id for order in orders),
            from_store=sum(order.source == STORE_SOURCE for order in stages),
            from_other_zone=sum(self._model.crosses(order) for order in stages),
        )


def make_views(replicas: int, zones: int) -> list[ReplicaView]:
    """Return replicas spread evenly over zones, with made-up addresses."""
    return [
        ReplicaView(
            replica_id=f"e{number:04d}",
            address=f"10.{number // 250}.{number % 250}.1:9000",
            zone=f"z{number % zones:02d}",
        )
        for number in range(replicas)
    ]
