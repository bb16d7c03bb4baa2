"""Generates the Markdown pages of the state charts, with diagrams, from the chart files.

::

    python -m passgate.charts.document            # write docs/charts/*.md
    python -m passgate.charts.document --check    # exit 1 if a page is outdated

>>> render_page("lease").splitlines()[0]
'# State chart: lease'
"""

from __future__ import annotations

import sys
from pathlib import Path

import fire
from sismic.model import CompoundState, FinalState, Statechart

from passgate.charts.compiler import read_statechart
from passgate.errors import VerificationFailed
from passgate.statecharts import chart_names, load_chart

DIRECTORY = Path("docs/charts")
COMMAND = "python -m passgate.charts.document"
_INDENT = "    "


def render_page(name: str) -> str:
    """Return the Markdown page of one chart, with a Mermaid diagram and a transition table."""
    statechart = read_statechart(name)
    lines = [
        f"# State chart: {name}",
        "",
        load_chart(name).description,
        "",
        f"Generated from `passgate/charts/{name}.yaml` by `{COMMAND}`.",
        "",
        "```mermaid",
        "stateDiagram-v2",
        *render_states(statechart, statechart.root, _INDENT),
        "```",
        "",
        "| state | event | next state |",
        "|---|---|---|",
        *_render_table_rows(name),
    ]
    return "\n".join(lines) + "\n"


def render_states(statechart: Statechart, parent: str, indent: str) -> list[str]:
    """Return the Mermaid lines of the states inside ``parent``, including nested ones."""
    lines = [f"{indent}[*] --> {statechart.state_for(parent).initial}"]
    children = sorted(statechart.children_for(parent))
    for child in children:
        lines += _render_state(statechart, child, indent)
    for child in children:
        lines += _render_transitions(statechart, child, indent)
    return lines


def render_index() -> str:
    """Return the page that lists all charts."""
    lines = ["# State charts", "", "The code interprets these files; see `passgate/statecharts.py`.", ""]
    for name in chart_names():
        chart = load_chart(name)
        counts = f"{len(chart.table)} states, {sum(map(len, chart.table.values()))} transitions"
        lines.append(f"- [{name}]({name}.md): {counts}")
    return "\n".join(lines) + "\n"


def render_pages() -> dict[str, str]:
    """Return all pages by file name."""
    return {"README.md": render_index(), **{f"{name}.md": render_page(name) for name in chart_names()}}


def stale_pages(directory: Path) -> list[str]:
    """Return the names of pages that are missing, differ from the charts, or have no chart."""
    expected = render_pages()
    found = {file.name: file.read_text(encoding="utf-8") for file in directory.glob("*.md")}
    return sorted(name for name in expected.keys() | found.keys() if expected.get(name) != found.get(name))


def write_pages(directory: str = str(DIRECTORY), check: bool = False) -> None:
    """Write all pages, or with ``check`` raise VerificationFailed when any is outdated."""
    directory_path = Path(directory)
    if check:
        stale = stale_pages(directory_path)
        if stale:
            raise VerificationFailed(f"not up to date: {', '.join(stale)}; run {COMMAND}")
        return
    directory_path.mkdir(parents=True, exist_ok=True)
    for name, text in render_pages().items():
        (directory_path / name).write_text(text, encoding="utf-8")


def _render_state(statechart: Statechart, name: str, indent: str) -> list[str]:
    state = statechart.state_for(name)
    if isinstance(state, CompoundState):
        return [f"{indent}state {name} {{", *render_states(statechart, name, indent + _INDENT), f"{indent}}}"]
    if isinstance(state, FinalState):
        return [f"{indent}{name} --> [*]"]
    return []


def _render_transitions(statechart: Statechart, name: str, indent: str) -> list[str]:
    return [
        f"{indent}{name} --> {transition.target or name} : {transition.event}"
        for transition in statechart.transitions_from(name)
    ]


def _render_table_rows(name: str) -> list[str]:
    table = load_chart(name).table
    return [
        f"| `{state}` | `{event}` | `{target}` |"
        for state in sorted(table)
        for event, target in sorted(table[state].items())
    ]


def main() -> None:
    """Run the command line; exits with status 1 when ``--check`` finds an outdated page."""
    try:
        fire.Fire(write_pages)
    except VerificationFailed as error:
        sys.exit(f"{error.code}: {error}")


if __name__ == "__main__":
    main()
