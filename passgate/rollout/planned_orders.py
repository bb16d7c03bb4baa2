"""The next order for one model on one replica, as its track and target ask for it."""

from __future__ import annotations

import msgspec

from passgate.rollout.swap_track import SwapTrack
from passgate.rollout.types import PlannedOrder, RolloutTarget
from passgate.schema import OrderKind


class OrderEvents(msgspec.Struct, frozen=True):
    """Chart events at the start and the good end of an order."""

    start: str
    end: str


ORDER_EVENTS = {
    OrderKind.STAGE_VERSION: OrderEvents("stage", "staged"),
    OrderKind.ACTIVATE_VERSION: OrderEvents("activate", "activated"),
    OrderKind.LOAD_ADAPTER: OrderEvents("activate", "activated"),
    OrderKind.SET_ROLE: OrderEvents("activate", "activated"),
}
"""Events of the chart ``replica_swap`` per kind of order."""


def service_order(track: SwapTrack, target: RolloutTarget) -> PlannedOrder:
    """Return the order that may interrupt service: activation, adapter or role."""
    kind = track.next_kind(target)
    assert kind is not None and kind is not OrderKind.STAGE_VERSION
    activates = kind is OrderKind.ACTIVATE_VERSION
    arguments = {
        OrderKind.LOAD_ADAPTER: track.missing_adapter(target),
        OrderKind.SET_ROLE: target.engine_role,
    }
    return PlannedOrder(
        replica_id=track.view.replica_id,
        address=track.view.address,
        kind=kind,
        model=track.model,
        version=track.goal(target) if activates else 0,
        argument=arguments.get(kind, ""),
        attempt=track.order_count,
        roll_back=track.fallback > 0,
        confirms=activates and track.active == track.goal(target),
    )


def stage_order(track: SwapTrack, target: RolloutTarget, source: str, foreign: bool = False) -> PlannedOrder:
    """Return the order to fetch weights from ``source`` into spare memory."""
    return PlannedOrder(
        replica_id=track.view.replica_id,
        address=track.view.address,
        kind=OrderKind.STAGE_VERSION,
        model=track.model,
        version=track.goal(target),
        source=source,
        foreign=foreign,
        attempt=track.order_count,
    )
