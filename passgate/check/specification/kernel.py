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

from passgate.errors import VerificationFailed
from passgate.records import Record

MAX_STATES = 190_000
"""Largest state space that a specification may have; the library refuses larger ones."""

LIVENESS = "reaches_goal"
"""Name of the property that a goal state stays reachable from every state."""

Step = tuple[str, tuple[Any, ...]]
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


class FoldView:
    """The running code's fold after a prefix of the log, with all its decisions; read only."""

    def __init__(self, fold: Any, decisions: tuple[Any, ...]) -> None:
        self.fold = fold
        self.decisions = decisions


class SharedLog:
    """Record numbers for states, and cached folds of log prefixes."""

    def __init__(self, new_fold: Callable[[], Any]) -> None:
        self._new_fold = new_fold
        self._records: list[Record] = []
        self._numbers: dict[Record, int] = {}
        self._views: dict[tuple[int, ...], FoldView] = {}

    def number(self, record: Record) -> int:
        """Return the number that stands for a record in states."""
        if record not in self._numbers:
            self._numbers[record] = len(self._records)
            self._records.append(record)
        return self._numbers[record]

    def record(self, number: int) -> Record:
        """Return the record of a number."""
        return self._records[number]

    def view(self, prefix: tuple[int, ...]) -> FoldView:
        """Return the fold over a prefix of the log, computed once per prefix."""
        view = self._views.get(prefix)
        if view is None:
            fold = self._new_fold()
            decisions = tuple(fold.apply(offset, self._records[n]) for offset, n in enumerate(prefix))
            view = self._views[prefix] = FoldView(fold, decisions)
        return view


def check(specification: Specification, mutants: Iterable[str] = ()) -> CheckResult:
    """Explore every state of a specification and judge each of its properties.

    Raises:
        SearchTruncated: the state space is larger than :data:`MAX_STATES`.
    """
    names = frozenset(mutants)
    model = specification.build(names)
    started_s = time.perf_counter()
    depths: dict[tuple[Any, ...], int] = {model.initial: 0}
    report = check_safety(_measured(model, depths), max_states=MAX_STATES)
    if not report["exhaustive"] and not names:
        raise SearchTruncated(report["incomplete_reason"], specification=specification.name)
    results = [_result(name, found) for name, found in report["properties"].items()]
    if model.goal is not None and report["exhaustive"]:
        results.append(_result(LIVENESS, check_liveness(model)))
    return CheckResult(
        specification=specification.name,
        mutant=",".join(sorted(names)),
        states=report["reachable_states"],
        depth=max(depths.values()),
        exhaustive=report["exhaustive"],
        seconds=round(time.perf_counter() - started_s, 3),
        properties=tuple(results),
    )


def check_mutant(specification: Specification, mutant: Mutant) -> PropertyResult:
    """Return the verdict on the property that must catch the mutant.

    Raises:
        VerificationFailed: the property holds in spite of the mistake.
    """
    result = check(specification, [mutant.name])
    caught = next((r for r in result.properties if r.name == mutant.caught_by and not r.holds), None)
    if caught is None:
        raise VerificationFailed(
            f"mutant {mutant.name} of {specification.name} is not caught by {mutant.caught_by}",
            specification=specification.name,
            mutant=mutant.name,
            failed=result.failed(),
        )
    return caught


def _measured(model: Protocol, depths: dict[tuple[Any, ...], int]) -> Protocol:
    """Return the model with a transition function that notes each state's depth."""
    transitions = model.transitions

    def noting(state: tuple[Any, ...]) -> list[Step]:
        steps = list(transitions(state))
        depth = depths[state] + 1
        for _, following in steps:
            depths.setdefault(following, depth)
        return steps

    return Protocol(
        name=model.name,
        candidate=model.candidate,
        fields=model.fields,
        initial=model.initial,
        transitions=noting,
        invariants=model.invariants,
        goal=model.goal,
        fair=model.fair,
        assumption=model.assumption,
    )


def _result(name: str, found: dict[str, Any]) -> PropertyResult:
    trace = found.get("counterexample") or []
    return PropertyResult(
        name=name,
        holds=found["holds"] is True,
        trace=tuple(step["label"] for step in trace if step["label"]),
        last_state=repr(trace[-1]["state"]) if trace else "",
    )
