"""Markdown tables of a control-plane scale run.

``python -m passgate.lab.control_report measurements/control-scale.jsonl`` prints the
tables of docs/design/membership.md; ``--page`` writes them into the page.

>>> table(("a", "b"), [("1", "2")]).splitlines()
['| a | b |', '|---|---|', '| 1 | 2 |']
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

from passgate.lab.control_records import (
    ConfigurationInForce,
    ControlCost,
    FailureKnown,
    FalsePositives,
    FittedSlope,
    Merge,
    Percentiles,
    Result,
)

BEGIN = "<!-- begin: python -m passgate.lab.control_report -->"
END = "<!-- end -->"

LIMIT_BYTES_PER_S = 5_000
LIMIT_CPU_SHARE = 0.011


def read_results(path: str) -> list[Result]:
    """Return the results in a file of JSON lines."""
    lines = Path(path).read_text(encoding="utf-8").splitlines()
    return [msgspec.json.decode(line, type=Result) for line in lines if line]


def report(results: Sequence[Result]) -> str:
    """Return all tables as Markdown."""
    parts = (
        ("Cost per daemon", _costs(_of(results, ControlCost))),
        ("Fitted lines over the number of daemons", _slopes(_of(results, FittedSlope))),
        ("Failures become known", _failures(_of(results, FailureKnown))),
        ("Pauses and loss", _false_positives(_of(results, FalsePositives))),
        ("A change in force on all daemons", _configuration(_of(results, ConfigurationInForce))),
        ("Starts and merges", _merges(_of(results, Merge))),
    )
    return "\n\n".join(f"### {title}\n\n{body}" for title, body in parts)


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    texts = ["| " + " | ".join(line) + " |" for line in lines]
    texts[1] = texts[1].replace(" ", "")
    return "\n".join(texts)


def _of(results: Iterable[Result], kind: type) -> list:
    return [result for result in results if isinstance(result, kind)]


def _costs(costs: list[ControlCost]) -> str:
    head = (
        "daemons",
        "load",
        "transport",
        "sent B/s",
        "received B/s",
        "on the wire B/s",
        f"of {LIMIT_BYTES_PER_S} B/s",
        "messages/s",
        "core",
        f"of {LIMIT_CPU_SHARE:.1%}",
        "memory MB",
    )
    rows = [
        (
            str(cost.daemons),
            cost.load,
            "hollow" if cost.transport == "memory" else "TCP",
            f"{cost.sent_bytes_per_s:.0f}",
            f"{cost.received_bytes_per_s:.0f}",
            f"{cost.wire_bytes_per_s:.0f}",
            f"{cost.wire_bytes_per_s / LIMIT_BYTES_PER_S:.0%}",
            f"{cost.messages_per_s:.1f}",
            f"{cost.cpu_share:.2%}",
            f"{cost.cpu_share / LIMIT_CPU_SHARE:.0%}",
            f"{cost.memory_mb:.2f}" if cost.memory_mb else "",
        )
        for cost in costs
    ]
    return table(head, rows)


def _slopes(slopes: list[FittedSlope]) -> str:
    rows = [
        (slope.measure, slope.load, f"{slope.intercept:.6g}", f"{slope.per_daemon:.3g}") for slope in slopes
    ]
    return table(("measure", "load", "at 0", "per further daemon"), rows)


def _times(times: Percentiles) -> tuple[str, str, str]:
    return (f"{times.p50_s:.2f}", f"{times.p99_s:.2f}", f"{times.maximum_s:.2f}")


def _failures(failures: list[FailureKnown]) -> str:
    head = ("failure", "daemons", "trials", "p50 s", "p99 s", "last survivor s", "not noticed")
    rows = [
        (
            f"{failure.failed} at once" if failure.failed > 1 else "one daemon",
            str(failure.daemons),
            str(failure.trials),
            *_times(failure.known),
            str(failure.unnoticed),
        )
        for failure in failures
    ]
    return table(head, rows)


def _false_positives(runs: list[FalsePositives]) -> str:
    head = ("daemons", "loss", "pauses", "suspicions", "refutations", "living declared dead")
    rows = [
        (
            str(run.daemons),
            f"{run.loss:.0%}",
            f"{run.pauses} of {run.pause_s:g} s",
            str(run.suspicions),
            str(run.refutations),
            str(run.declared_dead),
        )
        for run in runs
    ]
    return table(head, rows)


def _configuration(runs: list[ConfigurationInForce]) -> str:
    head = (
        "fault",
        "daemons",
        "trials",
        "since",
        "p50 s",
        "p99 s",
        "last s",
        "missing",
        "went back",
        "pulls",
    )
    rows = [
        (
            run.fault.replace("_", " "),
            str(run.daemons),
            str(run.trials),
            run.since.replace("_", " "),
            *_times(run.in_force),
            str(run.missing),
            str(run.went_back),
            str(run.pulls),
        )
        for run in runs
    ]
    return table(head, rows)


def _merges(merges: list[Merge]) -> str:
    head = ("event", "daemons", "parts", "agreed after s", "peak B/s", "bytes per daemon", "stale values")
    rows = [
        (
            merge.event.replace("_", " "),
            str(merge.daemons),
            str(merge.parts),
            f"{merge.agreed_s:.1f}",
            f"{merge.peak_bytes_per_s:.0f}",
            f"{merge.total_bytes:.0f}",
            str(merge.stale_values),
        )
        for merge in merges
    ]
    return table(head, rows)


def with_tables(page: str, results: Sequence[Result]) -> str:
    """Return ``page`` with the tables between its marks replaced."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{BEGIN}\n\n{report(results)}\n\n{END}{after}"


def run(measurements: str, page: str = "") -> None:
    """Print the tables, or write them into ``page``."""
    results = read_results(measurements)
    if not page:
        print(report(results))
        return
    path = Path(page)
    path.write_text(with_tables(path.read_text(encoding="utf-8"), results), encoding="utf-8")


if __name__ == "__main__":
    import fire

    fire.Fire(run)
