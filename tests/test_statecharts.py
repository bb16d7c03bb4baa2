"""Every transition of every chart, compared with sismic's interpreter."""

import subprocess
import sys
from importlib import resources
from pathlib import Path

import pytest
from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml

from passgate.charts.compiler import compile_chart, compiled_tables, read_statechart
from passgate.charts.document import stale_pages, write_pages
from passgate.errors import ChartError, IllegalTransition
from passgate.statecharts import Machine, chart_names, load_chart

CASES = [(name, state) for name in chart_names() for state in load_chart(name).table]


def path_to(chart, destination):
    """Return the shortest list of events from the initial state to a state; None if it is unreachable."""
    paths = {chart.initial: []}
    queue = [chart.initial]
    for state in queue:
        for event, target in chart.table[state].items():
            if target not in paths:
                paths[target] = [*paths[state], event]
                queue.append(target)
    return paths.get(destination)


def leaf_of(interpreter, chart, previous_state):
    """Return sismic's leaf state, or ``previous_state`` if a final state has emptied its configuration."""
    leaves = [name for name in interpreter.configuration if name in chart.table]
    return leaves[0] if leaves else previous_state


def send_to_sismic(interpreter, chart, state, event):
    """Send one event to sismic; return whether a transition fired, and the leaf state after it."""
    interpreter.queue(event)
    macro_steps = interpreter.execute()
    fired = any(macro.transitions for macro in macro_steps)
    entered = [name for macro in macro_steps for name in macro.entered_states if name in chart.table]
    return fired, entered[-1] if entered else leaf_of(interpreter, chart, state)


def test_charts_of_the_main_processes_exist():
    assert {"request", "sample_slot", "engine", "lease", "rollout", "daemon"} <= set(chart_names())


@pytest.mark.parametrize("name", chart_names())
def test_every_state_is_reachable_and_only_final_states_have_no_transition(name):
    chart = load_chart(name)
    for state in chart.table:
        assert path_to(chart, state) is not None, state
        assert chart.table[state] or state in chart.final_states, f"{state} is a dead end"


def sismic_after(chart, events):
    """Return a sismic interpreter to which the events were sent."""
    interpreter = Interpreter(read_statechart(chart.name))
    interpreter.execute()
    for event in events:
        send_to_sismic(interpreter, chart, chart.initial, event)
    return interpreter


@pytest.mark.parametrize(("name", "state"), CASES)
def test_machine_agrees_with_sismic_on_every_state_and_event(name, state):
    chart = load_chart(name)
    for event in [*chart.events(), "no_such_event"]:
        fired, expected = send_to_sismic(sismic_after(chart, path_to(chart, state)), chart, state, event)
        machine = Machine(name)
        for earlier in path_to(chart, state):
            machine.send(earlier)
        assert machine.state == state
        assert machine.can(event) == fired, event
        if fired:
            assert machine.send(event) == expected, event
            continue
        with pytest.raises(IllegalTransition) as caught:
            machine.send(event)
        assert caught.value.details == {"chart": name, "state": state, "event": event}
        assert machine.state == state


def chart_text(body):
    return f"statechart:\n  name: trial\n  root state:\n    name: trial\n    initial: a\n    states:\n{body}"


@pytest.mark.parametrize(
    "body",
    [
        "      - {name: a, transitions: [{event: go, target: a, guard: 'x > 1'}]}",
        "      - {name: a, transitions: [{event: go, target: a, action: 'x = 1'}]}",
        "      - {name: a, on entry: 'x = 1', transitions: [{event: go, target: a}]}",
        "      - {name: a, transitions: [{target: b}]}\n      - {name: b}",
        "      - {name: a, transitions: [{event: go, target: b}, {event: go, target: a}]}\n      - {name: b}",
        "      - {name: a}\n      - {name: h, type: deep history}",
        "      - name: a\n        parallel states:\n          - {name: b}\n          - {name: c}",
        "      - name: a\n        states: [{name: b}]",
        "      - name: a\n        initial: b\n        states: [{name: b, type: final}]",
    ],
)
def test_features_that_a_table_can_not_express_are_refused(body):
    with pytest.raises(ChartError):
        compile_chart(import_from_yaml(chart_text(body)))


def test_missing_chart_and_unknown_state_raise_chart_error():
    with pytest.raises(ChartError):
        Machine("no_such_chart")
    with pytest.raises(ChartError):
        Machine("lease", state="no_such_state")


def test_an_inner_transition_wins_over_an_outer_one():
    body = (
        "      - name: a\n        initial: b\n        transitions: [{event: go, target: c}]\n"
        "        states:\n          - {name: b, transitions: [{event: go, target: d}]}\n"
        "          - {name: d}\n"
        "      - {name: c}"
    )
    chart = compile_chart(import_from_yaml(chart_text(body)))
    assert chart.table == {"b": {"go": "d"}, "c": {}, "d": {"go": "c"}}


def test_restored_machine_continues_and_reports_enclosing_states():
    machine = Machine("lease", state="releasing")
    assert machine.within("holding") and not machine.finished
    assert machine.send("released") == "free"
    assert not machine.within("holding")


def test_chart_pages_match_the_chart_files():
    assert stale_pages(Path(__file__).parents[1] / "docs" / "charts") == []


def test_outdated_and_leftover_pages_are_reported(tmp_path):
    write_pages(str(tmp_path))
    assert stale_pages(tmp_path) == []
    (tmp_path / "lease.md").write_text("changed")
    (tmp_path / "old.md").write_text("left behind")
    assert stale_pages(tmp_path) == ["lease.md", "old.md"]


def test_committed_tables_match_the_chart_files():
    committed = resources.files("passgate.charts").joinpath("tables.json").read_bytes()
    assert committed == compiled_tables(), "run: python -m passgate.charts.compiler"


def test_machine_does_not_import_sismic():
    code = "import sys, passgate.statecharts as s; s.Machine('daemon'); sys.exit('sismic' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
