"""Load orders whose outcome is unknown: they may still be executed, even by the replica's next incarnation.

A replica executes an order only if the order names the number of orders that the replica has accepted.  A
restart resets that number to 0, so the new incarnation reaches the number of an unconfirmed order again and
could then execute that order, which may name an older version.  The order by which the incarnation would
reach that number is therefore delayed until the unconfirmed order has expired.

>>> unconfirmed = UnconfirmedOrders()
>>> unconfirmed.record(ReplicaIncarnation("r", 1), 2, now_s=0.0)
>>> restarted = ReplicaIncarnation("r", 2)
>>> [unconfirmed.allows_next_order(restarted, orders_taken, now_s=1.0) for orders_taken in (0, 1, 2)]
[True, False, True]
>>> [unconfirmed.may_run_at(ReplicaIncarnation("r", started), now_s=1.0) for started in (1, 2)]
[True, False]
"""

from __future__ import annotations

import msgspec

from passgate.eligibility.replica_info import ReplicaIncarnation

UNCONFIRMED_LIFETIME_S = 15.0
"""Time after which an unconfirmed order is assumed not to be executed any more; a stalled replica may execute
queued calls seconds late."""


class _UnconfirmedOrder(msgspec.Struct, frozen=True, kw_only=True):
    incarnation: ReplicaIncarnation
    expected_orders_taken: int
    expires_at_s: float


class UnconfirmedOrders:
    """The load orders of this daemon whose outcome is unknown."""

    def __init__(self) -> None:
        self._orders_by_replica_id: dict[str, list[_UnconfirmedOrder]] = {}
        """Unconfirmed orders by replica ID; not by incarnation, because they affect later incarnations."""

    def record(self, incarnation: ReplicaIncarnation, expected_orders_taken: int, now_s: float) -> None:
        """Record an order of unknown outcome that named ``expected_orders_taken`` as the number of orders."""
        self._drop_expired(now_s)
        order = _UnconfirmedOrder(
            incarnation=incarnation,
            expected_orders_taken=expected_orders_taken,
            expires_at_s=now_s + UNCONFIRMED_LIFETIME_S,
        )
        self._orders_by_replica_id.setdefault(incarnation.replica_id, []).append(order)

    def allows_next_order(self, incarnation: ReplicaIncarnation, orders_taken: int, now_s: float) -> bool:
        """Return whether an incarnation that has accepted ``orders_taken`` orders may get the next one.

        False if a replica with one more accepted order could execute an unconfirmed order that was sent to
        another incarnation.
        """
        orders = self._orders_by_replica_id.get(incarnation.replica_id, ())
        return not any(
            order.incarnation != incarnation
            and order.expected_orders_taken == orders_taken + 1
            and now_s < order.expires_at_s
            for order in orders
        )

    def may_run_at(self, incarnation: ReplicaIncarnation, now_s: float) -> bool:
        """Return whether an order that was sent to an incarnation may be executed there, or was."""
        orders = self._orders_by_replica_id.get(incarnation.replica_id, ())
        return any(order.incarnation == incarnation and now_s < order.expires_at_s for order in orders)

    def _drop_expired(self, now_s: float) -> None:
        unexpired = {
            replica_id: [order for order in orders if now_s < order.expires_at_s]
            for replica_id, orders in self._orders_by_replica_id.items()
        }
        self._orders_by_replica_id = {
            replica_id: orders for replica_id, orders in unexpired.items() if orders
        }
