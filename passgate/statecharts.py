"""State charts in files, interpreted by the code.

The charts are sismic's YAML documents in ``passgate/charts``.  sismic reads and
validates them; its own interpreter costs tens of microseconds per event, so the
parsed chart is walked once into a transition table, and a test proves that table
and interpreter agree on every state and event (see docs/design/statecharts.md).

>>> machine = Machine("lease")
>>> machine.state, machine.can("propose")
('free', True)
>>> machine.send("propose"), machine.send("granted"), machine.within("holding")
('proposed', 'held', True)
>>> machine.send("propose")
Traceback (most recent call last):
    ...
passgate.errors.IllegalTransition: chart lease takes no event propose in state held
"""

from __future__ import annotations

import functools
from importlib import resources

import msgspec
from sismic.exceptions import StatechartError
from sismic.io import import_from_yaml
from sismic.model import BasicState, CompoundState, FinalState, Statechart, Transition

from passgate.errors import ChartError, IllegalTransition

TransitionTable = dict[str, dict[str, str]]
"""Leaf state to event to next leaf state."""


class Chart(msgspec.Struct, frozen=True, kw_only=True):
    """One chart, compiled for look-up by leaf state and event."""

    name: str
    description: str
    initial: str
    """Leaf state that a new machine starts in."""
    table: TransitionTable
    """Holds a key for each leaf state, also for those without transitions."""
    ancestors: dict[str, frozenset[str]]
    """Leaf state to the states that enclose it, and itself."""
    final_states: frozenset[str]

    def events(self) -> list[str]:
        """Return all events of the chart, sorted."""
        return sorted({event for row in self.table.values() for event in row})


def chart_names() -> list[str]:
    """Return the names of all charts in files."""
    files = resources.files("passgate.charts").iterdir()
    return sorted(file.name.removesuffix(".yaml") for file in files if file.name.endswith(".yaml"))


@functools.cache
def read_statechart(name: str) -> Statechart:
    """Return sismic's model of a chart file; raises ChartError for a wrong or missing file."""
    file = resources.files("passgate.charts").joinpath(f"{name}.yaml")
    try:
        return import_from_yaml(file.read_text(encoding="utf-8"))
    except (OSError, StatechartError) as error:
        raise ChartError(f"chart {name} can not be read: {error}", chart=name) from error


@functools.cache
def load_chart(name: str) -> Chart:
    """Return a compiled chart; each file is read once per process.

    Raises:
        ChartError: the file is absent or uses features that have no place in a table.
    """
    return compile_chart(read_statechart(name))


def compile_chart(statechart: Statechart) -> Chart:
    """Compile sismic's model into a table.

    Supported are nested states with an initial child, final states, and transitions
    that name an event; the innermost enclosing state's transition wins, as in sismic.
    Guards, actions, history, parallel and eventless transitions raise ChartError.
    """
    for name in statechart.states:
        _check_state(statechart, name)
    for transition in statechart.transitions:
        _check_transition(statechart, transition)
    leaves = [name for name in statechart.states if not statechart.children_for(name)]
    return Chart(
        name=statechart.name,
        description=(statechart.description or "").strip(),
        initial=_leaf_of(statechart, statechart.root),
        table={leaf: _row_of(statechart, leaf) for leaf in leaves},
        ancestors={leaf: frozenset([leaf, *statechart.ancestors_for(leaf)]) for leaf in leaves},
        final_states=frozenset(leaf for leaf in leaves if isinstance(statechart.state_for(leaf), FinalState)),
    )


def _check_state(statechart: Statechart, name: str) -> None:
    state = statechart.state_for(name)
    if not isinstance(state, BasicState | CompoundState | FinalState):
        raise ChartError(f"state {name} is neither plain, nested nor final", chart=statechart.name)
    if getattr(state, "on_entry", None) or getattr(state, "on_exit", None):
        raise ChartError(f"state {name} has an action", chart=statechart.name)
    if isinstance(state, CompoundState) and not state.initial:
        raise ChartError(f"state {name} names no initial state", chart=statechart.name)
    if isinstance(state, FinalState) and statechart.parent_for(name) != statechart.root:
        raise ChartError(f"final state {name} is not a child of the root", chart=statechart.name)


def _check_transition(statechart: Statechart, transition: Transition) -> None:
    if transition.event is None:
        raise ChartError(f"a transition from {transition.source} has no event", chart=statechart.name)
    if transition.guard or transition.action or transition.priority:
        raise ChartError(
            f"event {transition.event} of {transition.source} has a guard, action or priority",
            chart=statechart.name,
        )
    same = [t for t in statechart.transitions_from(transition.source) if t.event == transition.event]
    if len(same) > 1:
        raise ChartError(
            f"event {transition.event} of {transition.source} has two transitions", chart=statechart.name
        )


def _leaf_of(statechart: Statechart, name: str) -> str:
    state = statechart.state_for(name)
    while isinstance(state, CompoundState):
        state = statechart.state_for(state.initial)
    return state.name


def _row_of(statechart: Statechart, leaf: str) -> dict[str, str]:
    row: dict[str, str] = {}
    if isinstance(statechart.state_for(leaf), FinalState):
        return row
    for source in [leaf, *statechart.ancestors_for(leaf)]:
        for transition in statechart.transitions_from(source):
            target = leaf if transition.internal else _leaf_of(statechart, transition.target)
            row.setdefault(transition.event, target)
    return row


class Machine:
    """One running instance of a chart; two dictionary look-ups per event."""

    __slots__ = ("_chart", "state")

    def __init__(self, chart_name: str, state: str | None = None) -> None:
        """Start a machine in the chart's initial state, or in ``state`` when restored.

        Raises:
            ChartError: no such chart, or no such leaf state in it.
        """
        self._chart = load_chart(chart_name)
        self.state = self._chart.initial if state is None else state
        """Name of the current leaf state; changed by :meth:`send` only."""
        if self.state not in self._chart.table:
            raise ChartError(f"chart {chart_name} has no leaf state {state}", chart=chart_name)

    def send(self, event: str) -> str:
        """Take an event and return the new state; raises IllegalTransition."""
        target = self._chart.table[self.state].get(event)
        if target is None:
            raise IllegalTransition(
                f"chart {self._chart.name} takes no event {event} in state {self.state}",
                chart=self._chart.name,
                state=self.state,
                event=event,
            )
        self.state = target
        return target

    def can(self, event: str) -> bool:
        """Return whether the event is legal in the current state."""
        return event in self._chart.table[self.state]

    def within(self, state: str) -> bool:
        """Return whether the machine is in ``state`` or in a state nested in it."""
        return state in self._chart.ancestors[self.state]

    @property
    def finished(self) -> bool:
        """Whether the machine is in a final state."""
        return self.state in self._chart.final_states
