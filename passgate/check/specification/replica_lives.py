"""Specification of orders to a replica that starts again under its identifier.

One daemon reads the replica's report, gives one order at a time and may get no answer; an order
without an answer, and a report, may arrive at any later time.  The replica may start again: it keeps
its weights and counts orders from 0.  Discovery tells the daemon later, if at all.  The decisions are
the running code's: :class:`ReplicaReport` and :class:`UnconfirmedOrders`.

Properties: ``versions_rise`` (no life goes back behind a version that it was ordered to) and
``own_version`` (the daemon believes of a life only what that life has told).  An order of the last life
that arrives before the new one has taken any can't be refused by anybody, as orders name no life: the
report shows it, and the version is ordered again.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from passgate.check.specification.kernel import Mutant, Specification, Step
from passgate.eligibility.replica_info import ReplicaIncarnation
from passgate.versions.loader import ReplicaReport
from passgate.versions.unconfirmed_orders import UnconfirmedOrders

LIVES = 2
LAST_VERSION = 4
MOST_WAITING = 2
"""Orders without an answer that may still arrive."""
MODEL = "m"


class Report(NamedTuple):
    """What a life tells of itself."""

    life: int
    orders_taken: int
    version: int


class Order(NamedTuple):
    """An order as it was sent."""

    life: int
    """Life that the daemon meant."""
    expected: int
    version: int


class LivesModelState(NamedTuple):
    """State of the specification."""

    life: int = 1
    orders_taken: int = 0
    version: int = 1
    went_back: bool = False
    wanted: int = 2
    listed: int = 1
    """Life that discovery has told the daemon of."""
    believed: int = 0
    """Version that the daemon has read of the life that it knows."""
    told: tuple[int, ...] = ()
    """Versions that this life has told, to judge what is believed."""
    report: Report | None = None
    """A report on its way to the daemon."""
    basis: Report | None = None
    """The report from which the daemon gives its next order."""
    order: Order | None = None
    """The order whose answer the daemon awaits."""
    waiting: tuple[Order, ...] = ()
    """Orders that the daemon awaits no more, and that may still arrive."""


def _life(number: int) -> ReplicaIncarnation:
    return ReplicaIncarnation("r", number)


class _Model:
    """Transitions and properties, with mutants built in."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self._mutants = mutants

    def transitions(self, state: LivesModelState) -> list[Step]:
        steps: list[Step] = []
        if state.wanted < LAST_VERSION:
            steps.append(("name", state._replace(wanted=state.wanted + 1)))
        if state.life < LIVES:
            steps.append(("restart", state._replace(life=state.life + 1, orders_taken=0, told=())))
        if state.listed != state.life:
            steps.append(("list", self._list(state)))
        return steps + self._report_steps(state) + self._order_steps(state)

    def _list(self, state: LivesModelState) -> LivesModelState:
        basis = state.basis if "order_by_old_count" in self._mutants else None
        return state._replace(listed=state.life, believed=0, basis=basis)

    def _report_steps(self, state: LivesModelState) -> list[Step]:
        steps: list[Step] = []
        if state.report is None and state.order is None and state.basis is None:
            report = Report(state.life, state.orders_taken, state.version)
            told = tuple(sorted({*state.told, state.version}))
            steps.append(("tell", state._replace(report=report, told=told)))
        if state.report is not None:
            steps.append(("read", self._read(state, state.report)))
        return steps

    def _read(self, state: LivesModelState, report: Report) -> LivesModelState:
        state = state._replace(report=None)
        told = ReplicaReport(
            orders_taken=report.orders_taken,
            busy=False,
            model_versions={MODEL: report.version},
            started_unix_ms=report.life,
        )
        if not told.is_from(_life(state.listed)) and "take_old_report" not in self._mutants:
            return state
        return state._replace(basis=report, believed=report.version)

    def _order_steps(self, state: LivesModelState) -> list[Step]:
        steps: list[Step] = []
        if state.basis is not None and state.order is None:
            steps.append(("order", self._order(state, state.basis)))
        if state.order is not None:
            arrived = self._carry_out(state, state.order)._replace(order=None)
            steps.append(("answered", arrived))
            if len(state.waiting) < MOST_WAITING:
                given_up = state._replace(order=None, waiting=tuple(sorted((*state.waiting, state.order))))
                steps.append(("give up", given_up))
        for index, order in enumerate(state.waiting):
            left = state.waiting[:index] + state.waiting[index + 1 :]
            steps.append((f"late({order.version})", self._carry_out(state._replace(waiting=left), order)))
        return steps

    def _order(self, state: LivesModelState, basis: Report) -> LivesModelState:
        state = state._replace(basis=None)
        missing = basis.version < state.wanted
        if not missing or not self._may_follow(state, basis):
            return state
        return state._replace(order=Order(state.listed, basis.orders_taken, state.wanted))

    def _may_follow(self, state: LivesModelState, basis: Report) -> bool:
        doubtful = UnconfirmedOrders()
        if "forget_doubtful_orders" not in self._mutants:
            for order in state.waiting:
                doubtful.record(_life(order.life), order.expected, now_s=0.0)
        return doubtful.allows_next_order(_life(state.listed), basis.orders_taken, now_s=0.0)

    def _carry_out(self, state: LivesModelState, order: Order) -> LivesModelState:
        if order.expected != state.orders_taken:
            return state
        return state._replace(
            orders_taken=state.orders_taken + 1,
            version=order.version,
            went_back=state.went_back or (state.orders_taken > 0 and order.version < state.version),
        )

    def invariants(self) -> dict:
        return {
            "versions_rise": lambda d: not d["went_back"],
            "own_version": lambda d: (
                d["listed"] != d["life"] or not d["believed"] or d["believed"] in d["told"]
            ),
        }


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model."""
    model = _Model(mutants)
    return Protocol(
        name="replica_lives",
        candidate=False,
        fields=LivesModelState._fields,
        initial=LivesModelState(),
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda d: d["version"] == LAST_VERSION,
    )


REPLICA_LIVES = Specification(
    name="replica_lives",
    bounds="1 replica of 2 lives, 3 versions named, 2 orders late, any report late",
    build=build,
    mutants=(
        Mutant(
            name="take_old_report",
            mistake="an old life's report is taken for the new one's",
            caught_by="own_version",
        ),
        Mutant(
            name="order_by_old_count",
            mistake="an order to the new life names the count of the old one",
            caught_by="versions_rise",
        ),
        Mutant(
            name="forget_doubtful_orders",
            mistake="an order that the old life left without an answer is forgotten",
            caught_by="versions_rise",
        ),
    ),
)
