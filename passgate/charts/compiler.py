"""Compiles the state charts in ``passgate/charts/*.yaml`` into transition tables.

``python -m passgate.charts.compiler`` writes the tables to ``tables.json``.  Run it after a
chart has changed; a test fails while the file differs from the charts.

>>> compile_chart(read_statechart("lease")).initial
'free'
"""

from __future__ import annotations

import functools
from importlib import resources
from pathlib import Path

import msgspec
from sismic.exceptions import StatechartError
from sismic.io import import_from_yaml
from sismic.model import BasicState, CompoundState, FinalState, Statechart, Transition

from passgate.errors import ChartError
from passgate.statecharts import TABLES_FILE, Chart, chart_names


@functools.cache
def read_statechart(name: str) -> Statechart:
    """Return sismic's model of a chart; raises ChartError when its file is missing or invalid."""
    file = resources.files("passgate.charts").joinpath(f"{name}.yaml")
    try:
        return import_from_yaml(file.read_text(encoding="utf-8"))
    except (OSError, StatechartError) as error:
        raise ChartError(f"chart {name} can not be read: {error}", chart=name) from error


def compile_chart(statechart: Statechart) -> Chart:
    """Compile sismic's model of a chart into a table of leaf states and events.

    The transition of the innermost enclosing state wins, as in sismic.

    Raises:
        ChartError: the chart uses a feature that a table can not express: guards, actions,
            priorities, history or parallel states, transitions without an event, or two
            transitions of one state for an event.  Also for a compound state without an
            initial child, or a final state below the root's children.
    """
    for name in statechart.states:
        _check_state(statechart, name)
    for transition in statechart.transitions:
        _check_transition(statechart, transition)
    leaves = [name for name in statechart.states if not statechart.children_for(name)]
    return Chart(
        name=statechart.name,
        description=(statechart.description or "").strip(),
        initial=_initial_leaf(statechart, statechart.root),
        table={leaf: _transitions_of(statechart, leaf) for leaf in leaves},
        ancestors={leaf: frozenset([leaf, *statechart.ancestors_for(leaf)]) for leaf in leaves},
        final_states=frozenset(leaf for leaf in leaves if isinstance(statechart.state_for(leaf), FinalState)),
    )


def _check_state(statechart: Statechart, name: str) -> None:
    state = statechart.state_for(name)
    if not isinstance(state, BasicState | CompoundState | FinalState):
        raise ChartError(f"state {name} is neither basic, compound nor final", chart=statechart.name)
    if getattr(state, "on_entry", None) or getattr(state, "on_exit", None):
        raise ChartError(f"state {name} has an action", chart=statechart.name)
    if isinstance(state, CompoundState) and not state.initial:
        raise ChartError(f"state {name} has no initial state", chart=statechart.name)
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
    same_event = [t for t in statechart.transitions_from(transition.source) if t.event == transition.event]
    if len(same_event) > 1:
        raise ChartError(
            f"event {transition.event} of {transition.source} has two transitions", chart=statechart.name
        )


def _initial_leaf(statechart: Statechart, name: str) -> str:
    state = statechart.state_for(name)
    while isinstance(state, CompoundState):
        state = statechart.state_for(state.initial)
    return state.name


def _transitions_of(statechart: Statechart, leaf: str) -> dict[str, str]:
    target_by_event: dict[str, str] = {}
    if isinstance(statechart.state_for(leaf), FinalState):
        return target_by_event
    for source in [leaf, *statechart.ancestors_for(leaf)]:
        for transition in statechart.transitions_from(source):
            target = leaf if transition.internal else _initial_leaf(statechart, transition.target)
            target_by_event.setdefault(transition.event, target)
    return target_by_event


def compiled_tables() -> bytes:
    """Return the content of ``tables.json`` for the current chart files."""
    charts = {name: compile_chart(read_statechart(name)) for name in chart_names()}
    encoded = msgspec.json.encode(charts, order="deterministic")
    return msgspec.json.format(encoded, indent=1) + b"\n"


if __name__ == "__main__":
    (Path(__file__).parent / TABLES_FILE).write_bytes(compiled_tables())
