"""Measures the cost per event of a state chart, with sismic's interpreter and with the compiled table.

::

    python -m passgate.charts.measure --out measurements/statecharts.jsonl

The measured events are those of one request: admit, dispatch, four chunks of output, complete.
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
REQUEST_EVENTS = ("admit", "dispatch", "chunk", "chunk", "chunk", "chunk", "complete")
REQUESTS_PER_S = 5_200
"""Requests per second over all daemons, for which the cost is projected."""
DAEMONS = 420
ROUNDS = 7
CONTROL_BUDGET_CORES = 0.011
"""Processor time per second that a daemon may spend on control at that load."""


class ChartCost(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of running a chart with one interpreter; times are processor time."""

    interpreter: str
    microseconds_per_event: float
    """Median over the rounds, including the start of the machine."""
    least_microseconds: float
    events_per_request: int
    core_share_per_daemon: float
    """Share of a core per daemon, at ``REQUESTS_PER_S`` over ``DAEMONS``."""
    core_share_whole: float
    """Cores of all daemons together."""
    share_of_control_budget: float
    microseconds_to_start: float
    bytes_per_machine: int


def run_request_with_sismic() -> None:
    """Send the events of one request to a new sismic interpreter."""
    interpreter = Interpreter(read_statechart(CHART))
    interpreter.execute()
    for event in REQUEST_EVENTS:
        interpreter.queue(event)
        interpreter.execute()


def run_request_with_table() -> None:
    """Send the events of one request to a new machine with the compiled table."""
    machine = Machine(CHART)
    for event in REQUEST_EVENTS:
        machine.send(event)


def start_sismic_machine() -> Interpreter:
    """Return a sismic interpreter in the chart's initial state."""
    interpreter = Interpreter(read_statechart(CHART))
    interpreter.execute()
    return interpreter


def processor_microseconds(call: Callable[[], object], count: int) -> float:
    """Return the mean processor time of a call, in microseconds."""
    started_s = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - started_s) / count * 1e6


def traced_bytes_per_object(make: Callable[[], object], count: int) -> int:
    """Return the traced memory per object, in bytes, of ``count`` objects."""
    make()
    tracemalloc.start()
    objects = [make() for _ in range(count)]
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return traced_bytes // len(objects)


def measure_interpreter(
    name: str, run_request: Callable[[], None], start_machine: Callable[[], object], count: int
) -> ChartCost:
    """Measure the chart with one interpreter, ``count`` times per round."""
    rounds_us = [processor_microseconds(run_request, count) / len(REQUEST_EVENTS) for _ in range(ROUNDS)]
    per_event_us = statistics.median(rounds_us)
    events_per_s = REQUESTS_PER_S * len(REQUEST_EVENTS)
    total_cores = per_event_us * 1e-6 * events_per_s
    return ChartCost(
        interpreter=name,
        microseconds_per_event=round(per_event_us, 3),
        least_microseconds=round(min(rounds_us), 3),
        events_per_request=len(REQUEST_EVENTS),
        core_share_per_daemon=round(total_cores / DAEMONS, 6),
        core_share_whole=round(total_cores, 4),
        share_of_control_budget=round(total_cores / DAEMONS / CONTROL_BUDGET_CORES, 4),
        microseconds_to_start=round(processor_microseconds(start_machine, count), 3),
        bytes_per_machine=traced_bytes_per_object(start_machine, count),
    )


def compile_milliseconds() -> float:
    """Return the time to read and compile all chart files, in milliseconds."""
    read_statechart.cache_clear()
    started_s = time.perf_counter()
    for name in chart_names():
        compile_chart(read_statechart(name))
    return (time.perf_counter() - started_s) * 1e3


class CompileCost(msgspec.Struct, frozen=True, kw_only=True):
    """Time to read and compile all charts once."""

    charts: int
    milliseconds: float


def run(out: str = "") -> None:
    """Measure both interpreters and the compilation, print the results, and write them to ``out``.

    ``out`` is overwritten; nothing is written when it is empty.
    """
    results: list[ChartCost | CompileCost] = [
        measure_interpreter("table", run_request_with_table, lambda: Machine(CHART), 20_000),
        measure_interpreter("sismic", run_request_with_sismic, start_sismic_machine, 300),
        CompileCost(charts=len(chart_names()), milliseconds=round(compile_milliseconds(), 1)),
    ]
    lines = [msgspec.json.encode(result).decode() for result in results]
    print("\n".join(lines))
    if out:
        Path(out).write_text("\n".join(lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    fire.Fire(run)
