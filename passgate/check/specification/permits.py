"""Specification of permits to send to one cold replica, on the running code's books of grants.

Daemons ask for permits, each question and each answer is on its way for any time, permits are used
at any moment until they end, and the lead passes on at any moment, with whatever its holder has
granted still out.  That no two lead at once is the lead's own specification.  Time is counted
in ticks, of which the replica's window and a permit's life each take one.

Property: ``within_bound`` (no window of a tick holds more sends than the replica may get).
"""

from __future__ import annotations

import functools
from typing import NamedTuple

from minicheck import Protocol

from passgate.check.specification.kernel import Mutant, Specification, Step
from passgate.eligibility.permits import PermitAllocator

BOUND = 1
WINDOW_TICKS = 1
LIFE_TICKS = 1
MAX_TICKS = 6
MAX_QUESTIONS = 2
"""Questions and answers that are on their way at once."""
MAX_LEADERS = 3
LONG_AGO = -99
REPLICA = "r"


class PermitModelState(NamedTuple):
    """State of the specification; at first one daemon has led for long and nothing is granted."""

    now: int = 0
    leader: int = 0
    led: int = LONG_AGO
    """Tick at which the leader took the lead."""
    grants: tuple[int, ...] = ()
    """Ticks at which the present leader has granted a permit."""
    questions: tuple[int, ...] = ()
    """Ticks at which the questions on their way were sent."""
    answers: tuple[int, ...] = ()
    """The same of the answers that bring a permit."""
    stock: tuple[int, ...] = ()
    """Last ticks at which the permits that are held may be used."""
    sends: tuple[int, ...] = ()
    """Ticks of sends, as far as they can be in one window with a later one."""


class _Model:
    """Transitions and properties, with mutants built in."""

    def __init__(self, mutants: frozenset[str]) -> None:
        self.mutants = mutants
        life = 0 if "forget_life" in mutants else LIFE_TICKS
        self._span = WINDOW_TICKS + life
        self.grants = functools.cache(self._grants)

    def _grants(self, led: int, grants: tuple[int, ...], now: int) -> bool:
        """Whether the running code grants a permit, after what it has granted."""
        books = PermitAllocator(window_s=self._span)
        books.set_leadership(0, LONG_AGO if "no_wait" in self.mutants else led)
        for at in (*grants, now):
            granted = books.grant("d", {REPLICA: BOUND}, count=1, now_s=at)
        return bool(granted)

    def transitions(self, state: PermitModelState) -> list[Step]:
        steps: list[Step] = []
        if state.now < MAX_TICKS:
            steps.append(("tick", self._ticked(state)))
        if state.leader + 1 < MAX_LEADERS:
            passed = state._replace(leader=state.leader + 1, led=state.now, grants=())
            steps.append((f"lead({passed.leader})", passed))
        if len(state.questions) + len(state.answers) < MAX_QUESTIONS:
            steps.append(("ask", state._replace(questions=_with(state.questions, state.now))))
        for sent in set(state.questions):
            steps.append((f"answer({sent})", self._answered(state, sent)))
        for sent in set(state.answers):
            steps.append((f"receive({sent})", self._received(state, sent)))
        for end in set(state.stock):
            used = state._replace(stock=_without(state.stock, end), sends=_with(state.sends, state.now))
            steps.append((f"send({end})", used))
        return steps

    def _ticked(self, state: PermitModelState) -> PermitModelState:
        """Let a tick pass, and forget what is too old to matter, so that equal states are seen to be."""
        now = state.now + 1
        return state._replace(
            now=now,
            grants=tuple(at for at in state.grants if now - at <= self._span),
            stock=tuple(end for end in state.stock if now <= end),
            sends=tuple(at for at in state.sends if now - at <= WINDOW_TICKS),
        )

    def _answered(self, state: PermitModelState, sent: int) -> PermitModelState:
        left = state._replace(questions=_without(state.questions, sent))
        if not self.grants(state.led, state.grants, state.now):
            return left
        return left._replace(grants=_with(state.grants, state.now), answers=_with(state.answers, sent))

    def _received(self, state: PermitModelState, sent: int) -> PermitModelState:
        counted_from = state.now if "count_from_receipt" in self.mutants else sent
        end = counted_from + LIFE_TICKS
        stock = _with(state.stock, end) if state.now <= end else state.stock
        return state._replace(answers=_without(state.answers, sent), stock=stock)

    def invariants(self) -> dict:
        return {"within_bound": lambda d: len(d["sends"]) <= BOUND}


def _with(values: tuple[int, ...], value: int) -> tuple[int, ...]:
    return tuple(sorted((*values, value)))


def _without(values: tuple[int, ...], value: int) -> tuple[int, ...]:
    place = values.index(value)
    return (*values[:place], *values[place + 1 :])


def build(mutants: frozenset[str]) -> Protocol:
    """Return the model."""
    model = _Model(mutants)
    return Protocol(
        name="permits",
        candidate=False,
        fields=PermitModelState._fields,
        initial=PermitModelState(),
        transitions=model.transitions,
        invariants=model.invariants(),
        goal=lambda d: d["now"] == MAX_TICKS,
    )


PERMITS = Specification(
    name="permits",
    bounds="1 replica, 1 send in a window, 3 leaders, 2 questions at once, 6 ticks, any message late",
    build=build,
    mutants=(
        Mutant(
            name="no_wait",
            mistake="a new leader grants at once, beside the permits that its predecessor granted",
            caught_by="within_bound",
        ),
        Mutant(
            name="count_from_receipt",
            mistake="a permit's life is counted from its receipt, not from its question",
            caught_by="within_bound",
        ),
        Mutant(
            name="forget_life",
            mistake="grants are counted over the window alone, not over a permit's life as well",
            caught_by="within_bound",
        ),
    ),
)
