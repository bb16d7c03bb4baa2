"""Runs specifications: explores all states of a model and checks its invariants and liveness.

A model's state is a tuple of small values.  Its actions lead to further states, and its invariants get a
state as a mapping of field names to values.  Models apply the running code, so a change of that code changes
what is checked.  A mutant is a seeded mistake: the model built with it must violate a named property, which
shows that the property can fail.

>>> from passgate.check.specification.graceful_shutdown import GRACEFUL_SHUTDOWN
>>> check_specification(GRACEFUL_SHUTDOWN).holds()
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
"""Limit of the states that are explored; below minicheck's own limit, which liveness checks use."""

LIVENESS = "reaches_goal"
"""Name of the liveness property: from every state, a goal state is reachable."""

State = tuple[Any, ...]
Action = tuple[str, State]
"""Label of an enabled action and the state after it, in minicheck's form."""


class SearchTruncated(VerificationFailed):
    """A specification has more than MAX_STATES states, so it was not checked exhaustively."""

    code = "search_truncated"


class Mutant(msgspec.Struct, frozen=True, kw_only=True):
    """A seeded mistake and the property that must be violated by it."""

    name: str
    mistake: str
    """Description of the mistake, for the generated tables."""
    caught_by: str


class Specification(msgspec.Struct, frozen=True, kw_only=True):
    """A model of one part of the core protocol, and its mutants."""

    name: str
    bounds: str
    """The model's bounds in words, for the generated tables."""
    build: Callable[[frozenset[str]], Protocol]
    """Returns the model with the named mutants applied."""
    mutants: tuple[Mutant, ...]


class PropertyResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result for one invariant, or for liveness."""

    name: str
    holds: bool
    trace: tuple[str, ...] = ()
    """Labels of the actions on a shortest path to a violation; empty when the property holds."""
    last_state: str = ""
    """The state that violates the property, as text; empty when it holds."""


class CheckResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of checking one specification, without or with mutants."""

    specification: str
    mutant: str
    """Names of the applied mutants, separated by commas; empty without any."""
    states: int
    """Number of states found."""
    depth: int
    """Largest distance of a found state from the initial state, in actions."""
    exhaustive: bool
    """Whether every reachable state was explored."""
    seconds: float
    properties: tuple[PropertyResult, ...]

    def holds(self) -> bool:
        """Return whether the search was exhaustive and every property holds."""
        return self.exhaustive and all(result.holds for result in self.properties)

    def violated_properties(self) -> list[str]:
        """Return the names of the violated properties."""
        return [result.name for result in self.properties if not result.holds]


def check_specification(specification: Specification, mutant_names: Iterable[str] = ()) -> CheckResult:
    """Explore every state of a specification and check each of its properties.

    Args:
        specification: the specification.
        mutant_names: the mutants to apply.

    Raises:
        SearchTruncated: the search stopped before all states were explored.
    """
    applied_names = frozenset(mutant_names)
    model = _InstrumentedModel(specification.build(applied_names))
    started_s = time.perf_counter()
    report = check_safety(model.protocol, max_states=MAX_STATES)
    if not report["exhaustive"]:
        raise SearchTruncated(report["incomplete_reason"], specification=specification.name)
    results = [_to_property_result(name, outcome) for name, outcome in report["properties"].items()]
    if model.protocol.goal is not None:
        results.append(_to_property_result(LIVENESS, check_liveness(model.protocol)))
    return CheckResult(
        specification=specification.name,
        mutant=",".join(sorted(applied_names)),
        states=report["reachable_states"],
        depth=model.max_depth(),
        exhaustive=True,
        seconds=round(time.perf_counter() - started_s, 3),
        properties=tuple(results),
    )


def check_mutant(specification: Specification, mutant: Mutant) -> CheckResult:
    """Check that a mutant violates the property that must catch it.

    For an invariant the search stops at the first violation, so the result is not exhaustive and covers that
    property alone.

    Raises:
        VerificationFailed: the property is not violated.
        SearchTruncated: as for :func:`check_specification`, when the property is liveness.
    """
    if mutant.caught_by == LIVENESS:
        result = check_specification(specification, [mutant.name])
        liveness = [verdict for verdict in result.properties if verdict.name == LIVENESS]
        result = msgspec.structs.replace(result, properties=tuple(liveness))
    else:
        result = _find_violation(specification, mutant)
    if not result.violated_properties():
        raise VerificationFailed(
            f"mutant {mutant.name} of {specification.name} does not violate {mutant.caught_by}",
            specification=specification.name,
            mutant=mutant.name,
        )
    return result


def _find_violation(specification: Specification, mutant: Mutant) -> CheckResult:
    model = _InstrumentedModel(
        specification.build(frozenset([mutant.name])), stop_at_violation_of=mutant.caught_by
    )
    started_s = time.perf_counter()
    report = check_safety(model.protocol, max_states=MAX_STATES)
    return CheckResult(
        specification=specification.name,
        mutant=mutant.name,
        states=report["reachable_states"],
        depth=model.max_depth(),
        exhaustive=report["exhaustive"],
        seconds=round(time.perf_counter() - started_s, 3),
        properties=tuple(
            _to_property_result(name, outcome) for name, outcome in report["properties"].items()
        ),
    )


class _InstrumentedModel:
    """A model with cached actions and recorded depths; can stop at the first violation of an invariant."""

    def __init__(self, model: Protocol, stop_at_violation_of: str = "") -> None:
        invariants = model.invariants
        if stop_at_violation_of:
            invariants = {
                stop_at_violation_of: self._recording_violations(model.invariants[stop_at_violation_of])
            }
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
        self._actions_by_state: dict[State, list[Action]] = {}
        self._depth_by_state: dict[State, int] = {model.initial: 0}
        self._violation_found = False

    def max_depth(self) -> int:
        """Return the largest distance of a found state from the initial state, in actions."""
        return max(self._depth_by_state.values())

    def _transitions(self, state: State) -> list[Action]:
        if self._violation_found:
            raise SearchIncomplete("the search stops at the first violation")
        if state not in self._actions_by_state:
            self._actions_by_state[state] = list(self._model.transitions(state))
            depth = self._depth_by_state[state] + 1
            for _, next_state in self._actions_by_state[state]:
                self._depth_by_state.setdefault(next_state, depth)
        return self._actions_by_state[state]

    def _recording_violations(
        self, invariant: Callable[[dict[str, Any]], bool]
    ) -> Callable[[dict[str, Any]], bool]:
        def evaluate(state: dict[str, Any]) -> bool:
            holds = invariant(state)
            self._violation_found = self._violation_found or not holds
            return holds

        return evaluate


def _to_property_result(name: str, outcome: dict[str, Any]) -> PropertyResult:
    trace = outcome.get("counterexample") or []
    return PropertyResult(
        name=name,
        holds=outcome["holds"] is not False,
        trace=tuple(step["label"] for step in trace if step["label"]),
        last_state=repr(trace[-1]["state"]) if trace else "",
    )
