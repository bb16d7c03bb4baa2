"""Cost of one event of a state chart: sismic's interpreter against the compiled table.

::

    python -m passgate.charts.measure --out measurements/statecharts.jsonl

The walk is one whole request (admit, dispatch, four pieces of output, complete).
"""

from __future__ import annotations

import statistics
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

import fire
import msgspec
from sismic.interpreter import Interpreter

from passgate.charts.compiler import compile_chart, read_statechart
from passgate.statecharts import Machine, chart_names

CHART = "request"
WALK = ("admit", "dispatch", "chunk", "chunk", "chunk", "chunk", "complete")
REQUESTS_PER_S = 5_200
DAEMONS = 420
ROUNDS = 7
CONTROL_SHARE_OF_CORE = 0.011
"""What a daemon may spend on control at the size aimed at."""


class ChartCost(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of one way to interpret a chart; times are processor time."""

    interpreter: str
    microseconds_per_event: float
    """Median over the rounds, start of the machine included."""
    least_microseconds: float
    events_per_request: int
    core_share_per_daemon: float
    """At 5,200 requests/s over 420 daemons."""
    core_share_whole: float
    """Cores over all daemons together."""
    share_of_control_budget: float
    microseconds_to_start: float
    bytes_per_machine: int


def walk_with_sismic() -> None:
    """Run one request through sismic's interpreter."""
    interpreter = Interpreter(read_statechart(CHART))
    interpreter.execute()
    for event in WALK:
        interpreter.queue(event)
        interpreter.execute()


def walk_with_table() -> None:
    """Run one request through the compiled table."""
    machine = Machine(CHART)
    for event in WALK:
        machine.send(event)


def start_sismic() -> Interpreter:
    """Return a machine of sismic in its initial state."""
    interpreter = Interpreter(read_statechart(CHART))
    interpreter.execute()
    return interpreter


def microseconds(call: Callable[[], object], count: int) -> float:
    """Return the processor time of one call."""
    begun = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - begun) / count * 1e6


def bytes_per(make: Callable[[], object], count: int) -> int:
    """Return the traced memory per object, by keeping ``count`` of them."""
    make()
    tracemalloc.start()
    kept = [make() for _ in range(count)]
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return traced_bytes // len(kept)


def measure(name: str, walk: Callable[[], None], start: Callable[[], object], count: int) -> ChartCost:
    """Measure one way to interpret the chart."""
    rounds = [microseconds(walk, count) / len(WALK) for _ in range(ROUNDS)]
    per_event = statistics.median(rounds)
    events_per_s = REQUESTS_PER_S * len(WALK)
    whole = per_event * 1e-6 * events_per_s
    return ChartCost(
        interpreter=name,
        microseconds_per_event=round(per_event, 3),
        least_microseconds=round(min(rounds), 3),
        events_per_request=len(WALK),
        core_share_per_daemon=round(whole / DAEMONS, 6),
        core_share_whole=round(whole, 4),
        share_of_control_budget=round(whole / DAEMONS / CONTROL_SHARE_OF_CORE, 4),
        microseconds_to_start=round(microseconds(start, count), 3),
        bytes_per_machine=bytes_per(start, count),
    )


def load_milliseconds() -> float:
    """Return the time to read and compile all charts, as when the tables are made."""
    read_statechart.cache_clear()
    begun = time.perf_counter()
    for name in chart_names():
        compile_chart(read_statechart(name))
    return (time.perf_counter() - begun) * 1e3


class LoadCost(msgspec.Struct, frozen=True, kw_only=True):
    """Time to read and compile all charts once."""

    charts: int
    milliseconds: float


def run(out: str = "") -> None:
    """Measure all ways, print them and append nothing: ``out`` is written anew."""
    results: list[ChartCost | LoadCost] = [
        measure("table", walk_with_table, lambda: Machine(CHART), 20_000),
        measure("sismic", walk_with_sismic, start_sismic, 300),
        LoadCost(charts=len(chart_names()), milliseconds=round(load_milliseconds(), 1)),
    ]
    lines = [msgspec.json.encode(result).decode() for result in results]
    print("\n".join(lines))
    if out:
        Path(out).write_text("\n".join(lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    fire.Fire(run)
