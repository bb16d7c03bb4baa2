"""Builds the next order for one model on one replica from its tracked state and its target."""

from __future__ import annotations

import msgspec

from passgate.rollout.swap_tracker import SwapTracker
from passgate.rollout.types import PlannedOrder, RolloutTarget
from passgate.schema import OrderKind


class OrderEvents(msgspec.Struct, frozen=True):
    """Chart events at the start and the successful end of an order."""

    start: str
    end: str


ORDER_EVENTS = {
    OrderKind.STAGE_VERSION: OrderEvents("stage", "staged"),
    OrderKind.ACTIVATE_VERSION: OrderEvents("activate", "activated"),
    OrderKind.LOAD_ADAPTER: OrderEvents("activate", "activated"),
    OrderKind.SET_ROLE: OrderEvents("activate", "activated"),
}
"""Events of the state chart ``replica_swap`` by kind of order."""


def service_order(tracker: SwapTracker, target: RolloutTarget) -> PlannedOrder:
    """Return the next order that may interrupt service: activation, adapter or role.

    The tracker's next order must not be a stage.
    """
    kind = tracker.next_order_kind(target)
    assert kind is not None and kind is not OrderKind.STAGE_VERSION
    activates = kind is OrderKind.ACTIVATE_VERSION
    arguments = {
        OrderKind.LOAD_ADAPTER: tracker.missing_adapter(target),
        OrderKind.SET_ROLE: target.engine_role,
    }
    return PlannedOrder(
        replica_id=tracker.view.replica_id,
        address=tracker.view.address,
        kind=kind,
        model=tracker.model,
        version=tracker.goal_version(target) if activates else 0,
        argument=arguments.get(kind, ""),
        attempt=tracker.ended_orders,
        is_rollback=tracker.rollback_version > 0,
        is_confirmation=activates and tracker.active_version == tracker.goal_version(target),
    )


def stage_order(
    tracker: SwapTracker, target: RolloutTarget, source: str, from_other_zone: bool = False
) -> PlannedOrder:
    """Return the order to fetch the goal version from ``source`` into spare memory."""
    return PlannedOrder(
        replica_id=tracker.view.replica_id,
        address=tracker.view.address,
        kind=OrderKind.STAGE_VERSION,
        model=tracker.model,
        version=tracker.goal_version(target),
        source=source,
        from_other_zone=from_other_zone,
        attempt=tracker.ended_orders,
    )
