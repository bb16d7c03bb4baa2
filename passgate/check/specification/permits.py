"""Specification of permits to send to one cold replica; see :mod:`passgate.eligibility.permits`.

A daemon requests permits, and the leader grants them.  Requests and responses arrive at any later time, and a
permit is used at any time before it expires.  The leader may change at any time, while permits that it has
granted are still valid; that no two daemons lead at once is checked by the specification of leadership.
Time is counted in ticks.  A send leaves the daemon in the tick in which its permit is used.

Invariant: ``within_bound`` (no window holds more sends than the replica may get).

Liveness: from every state, the last tick can be reached.
"""

from __future__ import annotations

import functools
from typing import NamedTuple

from minicheck import Protocol

from passgate.check.specification.model_checker import Action, Mutant, Specification
from passgate.eligibility.permits import PermitAllocator

MAX_SENDS_PER_WINDOW = 1
WINDOW_TICKS = 1
"""Window to which the replica's limit applies; both its first and its last tick belong to it."""
PERMIT_LIFETIME_TICKS = 1
"""Time for which a permit is valid after its request was sent."""
MAX_TICKS = 6
MAX_MESSAGES_IN_FLIGHT = 2
"""Most requests and responses in flight at once."""
MAX_LEADERS = 3
LONG_AGO = -99
"""Tick since which the first leader has led."""
REPLICA = "r"


class PermitModelState(NamedTuple):
    """State of the model; initially one daemon has led for long and has granted nothing."""

    now: int = 0
    """The current tick."""
    leader_number: int = 0
    """Number of changes of leader so far."""
    leading_since_tick: int = LONG_AGO
    """Tick at which the current leader became leader."""
    grant_ticks: tuple[int, ...] = ()
    """Ticks at which the current leader has granted a permit; old ones are dropped."""
    requests_in_flight: tuple[int, ...] = ()
    """Ticks at which the permit requests in flight were sent."""
    responses_in_flight: tuple[int, ...] = ()
    """For each response in flight that grants a permit, the tick at which its request was sent."""
    permit_expiry_ticks: tuple[int, ...] = ()
    """For each held permit, the last tick at which it may be used."""
    send_ticks: tuple[int, ...] = ()
    """Ticks of the sends that can be in one window with a later send."""


class _Model:
    """Transitions and invariants, with mutants applied."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self.mutants = mutants
        lifetime_ticks = 0 if "ignore_permit_lifetime" in mutants else PERMIT_LIFETIME_TICKS
        self._grant_window_ticks = WINDOW_TICKS + lifetime_ticks
        self.may_grant = functools.cache(self._may_grant)

    def _may_grant(self, leading_since_tick: int, grant_ticks: tuple[int, ...], now: int) -> bool:
        """Whether a leader that has granted permits at ``grant_ticks`` grants another one now."""
        allocator = PermitAllocator(window_s=self._grant_window_ticks)
        allocator.set_leadership(
            0, LONG_AGO if "grant_without_waiting" in self.mutants else leading_since_tick
        )
        for tick in (*grant_ticks, now):
            granted = allocator.grant("d", {REPLICA: MAX_SENDS_PER_WINDOW}, count=1, now_s=tick)
        return bool(granted)

    def transitions(self, state: PermitModelState) -> list[Action]:
        actions: list[Action] = []
        if state.now < MAX_TICKS:
            actions.append(("tick", self._advance_clock(state)))
        if state.leader_number + 1 < MAX_LEADERS:
            new_leader = state._replace(
                leader_number=state.leader_number + 1, leading_since_tick=state.now, grant_ticks=()
            )
            actions.append((f"change_leader({new_leader.leader_number})", new_leader))
        if len(state.requests_in_flight) + len(state.responses_in_flight) < MAX_MESSAGES_IN_FLIGHT:
            actions.append(
                ("request", state._replace(requests_in_flight=_add(state.requests_in_flight, state.now)))
            )
        for requested_tick in set(state.requests_in_flight):
            actions.append((f"respond({requested_tick})", self._respond(state, requested_tick)))
        for requested_tick in set(state.responses_in_flight):
            actions.append((f"receive({requested_tick})", self._receive(state, requested_tick)))
        for expiry_tick in set(state.permit_expiry_ticks):
            after_send = state._replace(
                permit_expiry_ticks=_remove(state.permit_expiry_ticks, expiry_tick),
                send_ticks=_add(state.send_ticks, state.now),
            )
            actions.append((f"send({expiry_tick})", after_send))
        return actions

    def _advance_clock(self, state: PermitModelState) -> PermitModelState:
        """Return the state one tick later; drops entries that no longer matter, to keep the states few."""
        now = state.now + 1
        return state._replace(
            now=now,
            grant_ticks=tuple(tick for tick in state.grant_ticks if now - tick <= self._grant_window_ticks),
            permit_expiry_ticks=tuple(
                expiry_tick for expiry_tick in state.permit_expiry_ticks if now <= expiry_tick
            ),
            send_ticks=tuple(tick for tick in state.send_ticks if now - tick <= WINDOW_TICKS),
        )

    def _respond(self, state: PermitModelState, requested_tick: int) -> PermitModelState:
        next_state = state._replace(requests_in_flight=_remove(state.requests_in_flight, requested_tick))
        if not self.may_grant(state.leading_since_tick, state.grant_ticks, state.now):
            return next_state
        return next_state._replace(
            grant_ticks=_add(state.grant_ticks, state.now),
            responses_in_flight=_add(state.responses_in_flight, requested_tick),
        )

    def _receive(self, state: PermitModelState, requested_tick: int) -> PermitModelState:
        lifetime_start_tick = state.now if "count_from_receipt" in self.mutants else requested_tick
        expiry_tick = lifetime_start_tick + PERMIT_LIFETIME_TICKS
        permit_expiry_ticks = (
            _add(state.permit_expiry_ticks, expiry_tick)
            if state.now <= expiry_tick
            else state.permit_expiry_ticks
        )
        return state._replace(
            responses_in_flight=_remove(state.responses_in_flight, requested_tick),
            permit_expiry_ticks=permit_expiry_ticks,
        )

    def invariants(self) -> dict:
        return {"within_bound": lambda fields: len(fields["send_ticks"]) <= MAX_SENDS_PER_WINDOW}


def _add(values: tuple[int, ...], value: int) -> tuple[int, ...]:
    return tuple(sorted((*values, value)))


def _remove(values: tuple[int, ...], value: int) -> tuple[int, ...]:
    position = values.index(value)
    return (*values[:position], *values[position + 1 :])


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model with the named mutants applied."""
    model = _Model(mutants)
    return Protocol(
        name="permits",
        candidate=False,
        fields=PermitModelState._fields,
        initial=PermitModelState(),
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda fields: fields["now"] == MAX_TICKS,
    )


PERMITS = Specification(
    name="permits",
    bounds="1 replica, 1 send in a window, 3 leaders, 2 messages at once, 6 ticks, any message late",
    build=build,
    mutants=(
        Mutant(
            name="grant_without_waiting",
            mistake="a new leader grants permits while those of its predecessor are still valid",
            caught_by="within_bound",
        ),
        Mutant(
            name="count_from_receipt",
            mistake="a permit's lifetime is counted from its receipt, not from its request",
            caught_by="within_bound",
        ),
        Mutant(
            name="ignore_permit_lifetime",
            mistake="grants are limited per window, not per window plus lifetime of a permit",
            caught_by="within_bound",
        ),
    ),
)
