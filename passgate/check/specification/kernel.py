"""Common parts of all specifications: the log, the shared folds, mutants and the run.

A specification's state is a tuple of small values.  The log is a tuple of record
numbers; what a daemon knows of it is the running code's own fold over a prefix.
A mutant is a named mistake that a specification builds in on request; the named
property must then fail, or the specification would prove nothing.

>>> from passgate.check.specification.planned_stop import PLANNED_STOP
>>> check(PLANNED_STOP).holds()
True
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from minicheck import Protocol, check_liveness, check_safety
from minicheck._core import SearchIncomplete

from passgate.errors import VerificationFailed

MAX_STATES = 190_000
"""Largest state space that a specification may have; the library refuses larger ones."""

LIVENESS = "reaches_goal"
"""Name of the property that a goal state stays reachable from every state."""

State = tuple[Any, ...]
Step = tuple[str, State]
"""Label and next state, as the library takes them."""


class SearchTruncated(VerificationFailed):
    """A specification has more states than allowed, so nothing was proved."""

    code = "search_truncated"


class Mutant(msgspec.Struct, frozen=True, kw_only=True):
    """A seeded mistake and the property that must catch it."""

    name: str
    mistake: str
    caught_by: str


class Specification(msgspec.Struct, frozen=True, kw_only=True):
    """One part of the core protocol."""

    name: str
    bounds: str
    """What is bounded, in words for the report."""
    build: Callable[[frozenset[str]], Protocol]
    """Return the model with the named mutants built in."""
    mutants: tuple[Mutant, ...]


class PropertyResult(msgspec.Struct, frozen=True, kw_only=True):
    """Verdict on one property."""

    name: str
    holds: bool
    trace: tuple[str, ...] = ()
    """Shortest sequence of steps to a violation."""
    last_state: str = ""


class CheckResult(msgspec.Struct, frozen=True, kw_only=True):
    """Verdict on one specification, whole or with a mutant."""

    specification: str
    mutant: str
    states: int
    depth: int
    """Largest number of steps from the initial state to any state."""
    exhaustive: bool
    seconds: float
    properties: tuple[PropertyResult, ...]

    def holds(self) -> bool:
        """Return whether the search was exhaustive and every property holds."""
        return self.exhaustive and all(result.holds for result in self.properties)

    def failed(self) -> list[str]:
        """Return the names of the violated properties."""
        return [result.name for result in self.properties if not result.holds]


def check(specification: Specification, mutants: Iterable[str] = ()) -> CheckResult:
    """Explore every state of a specification and judge each of its properties.

    Raises:
        SearchTruncated: the state space is larger than :data:`MAX_STATES`.
    """
    names = frozenset(mutants)
    model = _Explored(specification.build(names))
    started_s = time.perf_counter()
    report = check_safety(model.protocol, max_states=MAX_STATES)
    if not report["exhaustive"]:
        raise SearchTruncated(report["incomplete_reason"], specification=specification.name)
    results = [_result(name, found) for name, found in report["properties"].items()]
    if model.protocol.goal is not None:
        results.append(_result(LIVENESS, check_liveness(model.protocol)))
    return CheckResult(
        specification=specification.name,
        mutant=",".join(sorted(names)),
        states=report["reachable_states"],
        depth=model.depth(),
        exhaustive=True,
        seconds=round(time.perf_counter() - started_s, 3),
        properties=tuple(results),
    )


def check_mutant(specification: Specification, mutant: Mutant) -> CheckResult:
    """Return the verdict on the property that must catch the mutant, up to its first violation.

    Raises:
        VerificationFailed: the property holds in spite of the mistake.
    """
    if mutant.caught_by == LIVENESS:
        result = check(specification, [mutant.name])
        found = [verdict for verdict in result.properties if verdict.name == LIVENESS]
        result = msgspec.structs.replace(result, properties=tuple(found))
    else:
        result = _search_violation(specification, mutant)
    if not result.failed():
        raise VerificationFailed(
            f"mutant {mutant.name} of {specification.name} is not caught by {mutant.caught_by}",
            specification=specification.name,
            mutant=mutant.name,
        )
    return result


def _search_violation(specification: Specification, mutant: Mutant) -> CheckResult:
    model = _Explored(specification.build(frozenset([mutant.name])), until_broken=mutant.caught_by)
    started_s = time.perf_counter()
    report = check_safety(model.protocol, max_states=MAX_STATES)
    return CheckResult(
        specification=specification.name,
        mutant=mutant.name,
        states=report["reachable_states"],
        depth=model.depth(),
        exhaustive=report["exhaustive"],
        seconds=round(time.perf_counter() - started_s, 3),
        properties=tuple(_result(name, found) for name, found in report["properties"].items()),
    )


class _Explored:
    """A model whose steps are computed once per state, and whose depth is measured."""

    def __init__(self, model: Protocol, until_broken: str = "") -> None:
        invariants = model.invariants
        if until_broken:
            invariants = {until_broken: self._stopping(model.invariants[until_broken])}
        self.protocol = Protocol(
            name=model.name,
            candidate=model.candidate,
            fields=model.fields,
            initial=model.initial,
            transitions=self._transitions,
            invariants=invariants,
            goal=model.goal,
        )
        self._model = model
        self._steps: dict[State, list[Step]] = {}
        self._depths: dict[State, int] = {model.initial: 0}
        self._broken = False

    def depth(self) -> int:
        """Return the largest number of steps from the initial state to a state found."""
        return max(self._depths.values())

    def _transitions(self, state: State) -> list[Step]:
        if self._broken:
            raise SearchIncomplete("the violation that was looked for is found")
        if state not in self._steps:
            self._steps[state] = list(self._model.transitions(state))
            depth = self._depths[state] + 1
            for _, following in self._steps[state]:
                self._depths.setdefault(following, depth)
        return self._steps[state]

    def _stopping(self, invariant: Callable[[dict[str, Any]], bool]) -> Callable[[dict[str, Any]], bool]:
        def judged(state: dict[str, Any]) -> bool:
            holds = invariant(state)
            self._broken = self._broken or not holds
            return holds

        return judged


def _result(name: str, found: dict[str, Any]) -> PropertyResult:
    trace = found.get("counterexample") or []
    return PropertyResult(
        name=name,
        holds=found["holds"] is not False,
        trace=tuple(step["label"] for step in trace if step["label"]),
        last_state=repr(trace[-1]["state"]) if trace else "",
    )
