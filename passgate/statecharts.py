"""Runs the state charts of ``passgate/charts`` from compiled transition tables.

The charts are YAML documents of the library sismic.  Its interpreter is too slow and too large for a
daemon, so :mod:`passgate.charts.compiler` compiles them to ``tables.json``.  Tests check that the tables are
up to date and agree with sismic's interpreter (see docs/design/statecharts.md).

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

from passgate.errors import ChartError, IllegalTransition

TABLES_FILE = "tables.json"
"""File of the compiled charts; written by ``python -m passgate.charts.compiler``."""

TransitionTable = dict[str, dict[str, str]]
"""Next leaf state by event, by current leaf state."""


class Chart(msgspec.Struct, frozen=True, kw_only=True):
    """One compiled chart."""

    name: str
    description: str
    initial: str
    """Initial leaf state."""
    table: TransitionTable
    """Transitions; has a key for each leaf state, even for a state without transitions."""
    ancestors: dict[str, frozenset[str]]
    """Set of the leaf state itself and all states that enclose it, by leaf state."""
    final_states: frozenset[str]

    def events(self) -> list[str]:
        """Return all events of the chart, sorted."""
        return sorted({event for row in self.table.values() for event in row})


def chart_names() -> list[str]:
    """Return the sorted names of all charts that have a YAML file."""
    files = resources.files("passgate.charts").iterdir()
    return sorted(file.name.removesuffix(".yaml") for file in files if file.name.endswith(".yaml"))


@functools.cache
def _tables() -> dict[str, Chart]:
    file = resources.files("passgate.charts").joinpath(TABLES_FILE)
    return msgspec.json.decode(file.read_bytes(), type=dict[str, Chart])


def load_chart(name: str) -> Chart:
    """Return a compiled chart; raises ChartError if there is none of that name."""
    chart = _tables().get(name)
    if chart is None:
        raise ChartError(f"there is no state chart {name}", chart=name)
    return chart


class Machine:
    """One running instance of a chart."""

    __slots__ = ("_chart", "state")

    def __init__(self, chart_name: str, state: str | None = None) -> None:
        """Start a machine in the chart's initial state, or in ``state`` when restored.

        Raises:
            ChartError: there is no such chart, or it has no such leaf state.
        """
        self._chart = load_chart(chart_name)
        self.state = self._chart.initial if state is None else state
        """Name of the current leaf state; changed by :meth:`send` only."""
        if self.state not in self._chart.table:
            raise ChartError(f"chart {chart_name} has no leaf state {state}", chart=chart_name)

    def send(self, event: str) -> str:
        """Make the transition for an event and return the new state.

        Raises:
            IllegalTransition: the current state has no transition for the event; the state stays.
        """
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
        """Return whether the current state has a transition for the event."""
        return event in self._chart.table[self.state]

    def within(self, state: str) -> bool:
        """Return whether the machine is in ``state`` or in a state nested in ``state``."""
        return state in self._chart.ancestors[self.state]

    @property
    def finished(self) -> bool:
        """Whether the machine is in a final state."""
        return self.state in self._chart.final_states
