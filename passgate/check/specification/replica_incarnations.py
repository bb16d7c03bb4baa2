"""Specification of load orders to a replica that restarts under the same replica ID.

See :mod:`passgate.versions.loader`.  One daemon reads the replica's report and sends one order at a time.  An
order whose answer it no longer awaits may still be executed, and a report may arrive at any later time.  A
restarted replica keeps its weights and counts orders from 0; the daemon learns of the restart from discovery,
later or never.  The decisions are those of :class:`ReplicaReport` and :class:`UnconfirmedOrders`.

Invariants:

- ``versions_never_decrease``: an incarnation that has executed an order loads no older version afterwards;
- ``believed_version_was_reported``: once the daemon knows the current incarnation, the version that it
  believes loaded is one that this incarnation has reported.

Orders do not name an incarnation, so an order to the previous incarnation that is the first to arrive at the
new one is executed, even if its version is older.  The next report shows that, and the daemon orders the
target version again.

Liveness: from every state, the replica can still load the last version.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from passgate.check.specification.model_checker import Action, Mutant, Specification
from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.versions.loader import ReplicaReport
from passgate.versions.unconfirmed_orders import UnconfirmedOrders

INCARNATION_COUNT = 2
LAST_VERSION = 4
"""Highest target version."""
MAX_UNCONFIRMED_ORDERS = 2
"""Most unconfirmed orders that may still be executed."""
MODEL = "m"


class Report(NamedTuple):
    """What an incarnation reports about itself."""

    incarnation: int
    orders_taken: int
    version: int


class Order(NamedTuple):
    """An order as it was sent."""

    incarnation: int
    """Incarnation for which the daemon meant it."""
    expected_orders_taken: int
    """It is executed only if the replica has executed this number of orders."""
    version: int


class ReplicaModelState(NamedTuple):
    """State of the model: the replica, what the daemon knows of it, and the messages between them."""

    incarnation: int = 1
    """Number of the replica's current incarnation."""
    orders_taken: int = 0
    """Number of orders that it has executed."""
    version: int = 1
    """Version of its weights."""
    version_reverted: bool = False
    """Whether an order other than an incarnation's first has loaded an older version."""
    target_version: int = 2
    """Version that the replica is to load."""
    discovered_incarnation: int = 1
    """Newest incarnation that the daemon knows from discovery."""
    believed_version: int = 0
    """Version that the daemon has read for the incarnation that it knows; 0 if none."""
    reported_versions: tuple[int, ...] = ()
    """Versions that the current incarnation has reported."""
    report_in_flight: Report | None = None
    """Report in flight to the daemon."""
    basis_report: Report | None = None
    """Report on which the daemon bases its next order."""
    pending_order: Order | None = None
    """Order whose answer the daemon awaits."""
    unconfirmed_orders: tuple[Order, ...] = ()
    """Orders whose answers the daemon no longer awaits and that may still be executed."""


def _make_incarnation(number: int) -> ReplicaIncarnation:
    return ReplicaIncarnation("r", number)


class _Model:
    """Transitions and invariants, with mutants applied."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self._mutants = mutants

    def transitions(self, state: ReplicaModelState) -> list[Action]:
        actions: list[Action] = []
        if state.target_version < LAST_VERSION:
            actions.append(("set_target", state._replace(target_version=state.target_version + 1)))
        if state.incarnation < INCARNATION_COUNT:
            actions.append(
                (
                    "restart",
                    state._replace(incarnation=state.incarnation + 1, orders_taken=0, reported_versions=()),
                )
            )
        if state.discovered_incarnation != state.incarnation:
            actions.append(("discover", self._discover(state)))
        return actions + self._report_actions(state) + self._order_actions(state)

    def _discover(self, state: ReplicaModelState) -> ReplicaModelState:
        basis = state.basis_report if "order_with_old_count" in self._mutants else None
        return state._replace(
            discovered_incarnation=state.incarnation, believed_version=0, basis_report=basis
        )

    def _report_actions(self, state: ReplicaModelState) -> list[Action]:
        actions: list[Action] = []
        if state.report_in_flight is None and state.pending_order is None and state.basis_report is None:
            report = Report(state.incarnation, state.orders_taken, state.version)
            reported_versions = tuple(sorted({*state.reported_versions, state.version}))
            actions.append(
                ("report", state._replace(report_in_flight=report, reported_versions=reported_versions))
            )
        if state.report_in_flight is not None:
            actions.append(("read", self._read_report(state, state.report_in_flight)))
        return actions

    def _read_report(self, state: ReplicaModelState, report: Report) -> ReplicaModelState:
        state = state._replace(report_in_flight=None)
        replica_report = ReplicaReport(
            orders_taken=report.orders_taken,
            busy=False,
            model_versions={MODEL: report.version},
            started_unix_ms=report.incarnation,
        )
        if (
            not replica_report.is_from(_make_incarnation(state.discovered_incarnation))
            and "accept_old_report" not in self._mutants
        ):
            return state
        return state._replace(basis_report=report, believed_version=report.version)

    def _order_actions(self, state: ReplicaModelState) -> list[Action]:
        actions: list[Action] = []
        if state.basis_report is not None and state.pending_order is None:
            actions.append(("order", self._send_order(state, state.basis_report)))
        if state.pending_order is not None:
            after_answer = self._execute(state, state.pending_order)._replace(pending_order=None)
            actions.append(("answer", after_answer))
            if len(state.unconfirmed_orders) < MAX_UNCONFIRMED_ORDERS:
                after_timeout = state._replace(
                    pending_order=None,
                    unconfirmed_orders=tuple(sorted((*state.unconfirmed_orders, state.pending_order))),
                )
                actions.append(("give_up", after_timeout))
        for index, order in enumerate(state.unconfirmed_orders):
            remaining = state.unconfirmed_orders[:index] + state.unconfirmed_orders[index + 1 :]
            actions.append(
                (
                    f"execute_late({order.version})",
                    self._execute(state._replace(unconfirmed_orders=remaining), order),
                )
            )
        return actions

    def _send_order(self, state: ReplicaModelState, basis: Report) -> ReplicaModelState:
        """Order the target version if the report lacks it and no unconfirmed order forbids that.

        The report is used up in any case, so the next order needs a new one.
        """
        state = state._replace(basis_report=None)
        missing = basis.version < state.target_version
        if not missing or not self._may_order(state, basis):
            return state
        return state._replace(
            pending_order=Order(state.discovered_incarnation, basis.orders_taken, state.target_version)
        )

    def _may_order(self, state: ReplicaModelState, basis: Report) -> bool:
        unconfirmed = UnconfirmedOrders()
        if "forget_unconfirmed_orders" not in self._mutants:
            for order in state.unconfirmed_orders:
                unconfirmed.record(
                    _make_incarnation(order.incarnation), order.expected_orders_taken, now_s=0.0
                )
        return unconfirmed.allows_next_order(
            _make_incarnation(state.discovered_incarnation), basis.orders_taken, now_s=0.0
        )

    def _execute(self, state: ReplicaModelState, order: Order) -> ReplicaModelState:
        """Return the state after an order has reached the replica; a wrong order count is refused."""
        if order.expected_orders_taken != state.orders_taken:
            return state
        return state._replace(
            orders_taken=state.orders_taken + 1,
            version=order.version,
            version_reverted=state.version_reverted
            or (state.orders_taken > 0 and order.version < state.version),
        )

    def invariants(self) -> dict:
        return {
            "versions_never_decrease": lambda fields: not fields["version_reverted"],
            "believed_version_was_reported": lambda fields: (
                fields["discovered_incarnation"] != fields["incarnation"]
                or not fields["believed_version"]
                or fields["believed_version"] in fields["reported_versions"]
            ),
        }


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model with the named mutants applied."""
    model = _Model(mutants)
    return Protocol(
        name="replica_lives",
        candidate=False,
        fields=ReplicaModelState._fields,
        initial=ReplicaModelState(),
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda fields: fields["version"] == LAST_VERSION,
    )


REPLICA_INCARNATIONS = Specification(
    name="replica_lives",
    bounds="1 replica with 2 incarnations, 3 target versions, 2 unconfirmed orders, any report late",
    build=build,
    mutants=(
        Mutant(
            name="accept_old_report",
            mistake="a report of the previous incarnation is taken for one of the new incarnation",
            caught_by="believed_version_was_reported",
        ),
        Mutant(
            name="order_with_old_count",
            mistake="an order to the new incarnation names the order count of the previous one",
            caught_by="versions_never_decrease",
        ),
        Mutant(
            name="forget_unconfirmed_orders",
            mistake="the unconfirmed orders to the previous incarnation are forgotten",
            caught_by="versions_never_decrease",
        ),
    ),
)
