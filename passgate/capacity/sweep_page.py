"""Generates the tables of docs/CAPACITY.md from the sweeps in the journal.

::

    python -m passgate.capacity.sweep_page --journal journal --write

A sweep runs one day of a deployment with several numbers of daemons; replicas and requests grow in
proportion.  For each quantity a line ``total = base + slope * daemons`` is fitted, so the slope is what
one more daemon adds.

>>> fit_line([(30, 60.0), (100, 200.0), (300, 600.0)])
FittedLine(base=0.0, slope=2.0)
"""

from __future__ import annotations

import pathlib
import statistics
from collections.abc import Sequence

import fire
import msgspec

from passgate.errors import SettingsError

CAPACITY_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "CAPACITY.md"
TABLES_BEGIN = "<!-- made by passgate.capacity.sweep_page: begin -->"
TABLES_END = "<!-- made by passgate.capacity.sweep_page: end -->"
MACHINE_SECONDS = "machine-seconds"
"""Price that counts the seconds of all daemons' machines."""
PRICE_BY_QUANTITY = {
    "processor, core-ms a second": ("processor seconds", 1e3),
    "memory, MB": ("memory, GB x seconds", 1e3),
    "calls to the log a second": ("cloud calls", 1.0),
    "KB to and from the log a second": ("GB at the platform's store", 1e6),
    "new connections to replicas a second": ("new connections to servers", 1.0),
}
"""Row of the table to the price that counts its quantity, and the factor from that price's unit."""


class FittedLine(msgspec.Struct, frozen=True, kw_only=True):
    """Line ``base + slope * x``."""

    base: float
    slope: float


class _SweepDay(msgspec.Struct):
    """Day of a sweep with one number of daemons, as an entry of the journal holds it."""

    name: str
    daemons: int = msgspec.field(name="used")
    replicas: int = msgspec.field(name="servers")
    served: float
    """Share of requests that were served, 0 to 1."""
    prices: list[tuple[str, float, float]]
    """Name, quantity, and by how much it lowers the worth of the day."""
    broken_rules: dict[str, int] = msgspec.field(default={}, name="rules")
    """Name of each broken rule to how often it was broken."""

    def quantity_of(self, name: str) -> float:
        """Return the quantity of a price; raises SettingsError if the day has no such price."""
        for price, quantity, _ in self.prices:
            if price == name:
                return quantity
        raise SettingsError(f"the sweep has no price {name!r}", key=name)

    def rate_per_s(self, name: str) -> float:
        """Return a quantity of all daemons per second of the day; raises SettingsError like quantity_of."""
        return self.quantity_of(name) / (self.quantity_of(MACHINE_SECONDS) / self.daemons)


class _SweepEntry(msgspec.Struct):
    """Entry of the journal that records a sweep."""

    id: str
    cmd: str
    argv: list[str]
    """The first argument is the path of the deployment's file."""
    ok: bool
    at: list[str]
    """Times in ISO 8601; the first is the start."""
    days: list[_SweepDay] = []


class _EntryCommand(msgspec.Struct):
    """Command of an entry, read first, as entries of other commands have other fields."""

    cmd: str


def fit_line(points: Sequence[tuple[float, float]]) -> FittedLine:
    """Return the least-squares line through points ``(x, y)``."""
    slope, base = statistics.linear_regression([x for x, _ in points], [y for _, y in points])
    return FittedLine(base=round(base, 6) + 0.0, slope=round(slope, 6))


def newest_sweep_by_deployment(journal_folder: pathlib.Path) -> dict[str, _SweepEntry]:
    """Return, for each deployment, the newest successful sweep with more than one number of daemons.

    Names of entries begin with their time, so their order is that of the runs.
    """
    sweep_by_deployment: dict[str, _SweepEntry] = {}
    for path in sorted(journal_folder.glob("*.json")):
        data = path.read_bytes()
        if msgspec.json.decode(data, type=_EntryCommand).cmd != "sweep":
            continue
        entry = msgspec.json.decode(data, type=_SweepEntry)
        if entry.ok and len(entry.days) > 1:
            sweep_by_deployment[pathlib.PurePosixPath(entry.argv[0]).stem] = entry
    return sweep_by_deployment


def format_deployment(deployment: str, entry: _SweepEntry) -> str:
    """Return the heading and the Markdown table of one deployment."""
    days = sorted(entry.days, key=lambda day: day.daemons)
    daemon_counts = " | ".join(f"{day.daemons}" for day in days)
    rows = [
        f"### {deployment}",
        "",
        f"Entry {entry.id} of {entry.at[0][:10]}.",
        "",
        f"| all daemons together | {daemon_counts} | of one more daemon |",
        "|---|" + "---|" * (len(days) + 1),
    ]
    for title, (price, factor) in PRICE_BY_QUANTITY.items():
        rates = [day.rate_per_s(price) * factor for day in days]
        line = fit_line([(day.daemons, rate) for day, rate in zip(days, rates, strict=True)])
        cells = " | ".join(f"{rate:,.0f}" for rate in rates)
        rows.append(f"| {title} | {cells} | {line.slope:.2f} |")
    rows.append("| replicas | " + " | ".join(f"{day.replicas}" for day in days) + " | |")
    rows.append("| served | " + " | ".join(f"{day.served:.3f}" for day in days) + " | |")
    rows.append("| rules broken | " + " | ".join(_format_broken_rules(day) for day in days) + " | |")
    return "\n".join(rows)


def _format_broken_rules(day: _SweepDay) -> str:
    return ", ".join(f"{rule} {count}" for rule, count in sorted(day.broken_rules.items())) or "none"


def replace_tables(tables: str, page: str) -> str:
    """Return the page with ``tables`` between its two marks; raises SettingsError if a mark is missing."""
    if TABLES_BEGIN not in page or TABLES_END not in page:
        raise SettingsError(
            "the page lacks the comments that mark where its tables begin and end", key=TABLES_BEGIN
        )
    head, rest = page.split(TABLES_BEGIN, 1)
    foot = rest.split(TABLES_END, 1)[1]
    return f"{head}{TABLES_BEGIN}\n\n{tables}\n\n{TABLES_END}{foot}"


def main(journal: str = "journal", write: bool = False) -> None:
    """Print the tables, or write them into docs/CAPACITY.md.

    Args:
        journal: folder with the journal's entries.
        write: whether to replace the tables of docs/CAPACITY.md.
    """
    sweep_by_deployment = newest_sweep_by_deployment(pathlib.Path(journal))
    tables = "\n\n".join(
        format_deployment(deployment, entry) for deployment, entry in sorted(sweep_by_deployment.items())
    )
    if write:
        CAPACITY_PAGE.write_text(
            replace_tables(tables, CAPACITY_PAGE.read_text(encoding="utf-8")), encoding="utf-8"
        )
    else:
        print(tables)


if __name__ == "__main__":
    fire.Fire(main)
