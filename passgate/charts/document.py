"""Pages with pictures of the state charts, generated from the files that the code interprets.

::

    python -m passgate.charts.document            # write docs/charts/*.md
    python -m passgate.charts.document --check    # exit 1 when a page is not up to date

>>> page("lease").splitlines()[0]
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


def page(name: str) -> str:
    """Return the Markdown page of one chart, with its picture in mermaid's form."""
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
        *picture(statechart, statechart.root, _INDENT),
        "```",
        "",
        "| state | event | next state |",
        "|---|---|---|",
        *_rows(name),
    ]
    return "\n".join(lines) + "\n"


def picture(statechart: Statechart, parent: str, indent: str) -> list[str]:
    """Return the mermaid lines of the states inside ``parent``, nested states included."""
    lines = [f"{indent}[*] --> {statechart.state_for(parent).initial}"]
    children = sorted(statechart.children_for(parent))
    for child in children:
        lines += _state_lines(statechart, child, indent)
    for child in children:
        lines += _transition_lines(statechart, child, indent)
    return lines


def index() -> str:
    """Return the page that lists all charts."""
    lines = ["# State charts", "", "The code interprets these files; see `passgate/statecharts.py`.", ""]
    for name in chart_names():
        chart = load_chart(name)
        counts = f"{len(chart.table)} states, {sum(map(len, chart.table.values()))} transitions"
        lines.append(f"- [{name}]({name}.md): {counts}")
    return "\n".join(lines) + "\n"


def pages() -> dict[str, str]:
    """Return all pages by file name."""
    return {"README.md": index(), **{f"{name}.md": page(name) for name in chart_names()}}


def stale_pages(directory: Path) -> list[str]:
    """Return the names of pages that differ from what the charts say, or have no chart."""
    wanted = pages()
    found = {file.name: file.read_text(encoding="utf-8") for file in directory.glob("*.md")}
    return sorted(name for name in wanted.keys() | found.keys() if wanted.get(name) != found.get(name))


def write(directory: str = str(DIRECTORY), check: bool = False) -> None:
    """Write all pages, or with --check compare them and exit 1 on a difference."""
    target = Path(directory)
    if check:
        stale = stale_pages(target)
        if stale:
            raise VerificationFailed(f"not up to date: {', '.join(stale)}; run {COMMAND}")
        return
    target.mkdir(parents=True, exist_ok=True)
    for name, text in pages().items():
        (target / name).write_text(text, encoding="utf-8")


def _state_lines(statechart: Statechart, name: str, indent: str) -> list[str]:
    state = statechart.state_for(name)
    if isinstance(state, CompoundState):
        return [f"{indent}state {name} {{", *picture(statechart, name, indent + _INDENT), f"{indent}}}"]
    if isinstance(state, FinalState):
        return [f"{indent}{name} --> [*]"]
    return []


def _transition_lines(statechart: Statechart, name: str, indent: str) -> list[str]:
    return [
        f"{indent}{name} --> {transition.target or name} : {transition.event}"
        for transition in statechart.transitions_from(name)
    ]


def _rows(name: str) -> list[str]:
    table = load_chart(name).table
    return [
        f"| `{state}` | `{event}` | `{target}` |"
        for state in sorted(table)
        for event, target in sorted(table[state].items())
    ]


def main() -> None:
    """Run the command line; exit code 1 when a page is not up to date."""
    try:
        fire.Fire(write)
    except VerificationFailed as error:
        sys.exit(f"{error.code}: {error}")


if __name__ == "__main__":
    main()
