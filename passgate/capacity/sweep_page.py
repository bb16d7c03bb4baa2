"""Makes the tables of docs/CAPACITY.md from the journal's sweeps.

    python -m passgate.capacity.sweep_page --journal journal --write

A sweep plays one day of a deployment at several numbers of daemons.  For each quantity a line
``total = base + slope * daemons`` is fitted; the slope is what one more daemon costs, replicas
and requests growing along.

>>> fit_line([(30, 60.0), (100, 200.0), (300, 600.0)])
Line(base=0.0, slope=2.0)
"""

from __future__ import annotations

import pathlib
import statistics
from collections.abc import Sequence

import fire
import msgspec

from passgate.errors import SettingsError

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "CAPACITY.md"
BEGIN = "<!-- made by passgate.capacity.sweep_page: begin -->"
END = "<!-- made by passgate.capacity.sweep_page: end -->"
MACHINE_SECONDS = "machine-seconds"
QUANTITIES = {
    "processor, core-ms a second": ("processor seconds", 1e3),
    "memory, MB": ("memory, GB x seconds", 1e3),
    "calls to the log a second": ("cloud calls", 1.0),
    "KB to and from the log a second": ("GB at the platform's store", 1e6),
    "new connections to replicas a second": ("new connections to servers", 1.0),
}
"""Row of the table to the name of the price that counts it, and the factor to the row's unit."""


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """A fitted line."""

    base: float
    slope: float
    """What one more daemon adds."""


class _Day(msgspec.Struct):
    """One size of a sweep as it stands in the journal; names are the bench's own."""

    name: str
    used: int
    """Daemons."""
    servers: int
    served: float
    prices: list[tuple[str, float, float]]
    """Name, quantity, worth taken off."""
    rules: dict[str, int] = {}

    def quantity(self, name: str) -> float:
        """Return a counted quantity; raises SettingsError when the entry has none of the name."""
        for row, amount, _ in self.prices:
            if row == name:
                return amount
        raise SettingsError(f"a sweep counts no {name!r}", key=name)

    def rate(self, name: str) -> float:
        """Return a quantity by second of the day, all daemons together."""
        return self.quantity(name) / (self.quantity(MACHINE_SECONDS) / self.used)


class _Entry(msgspec.Struct):
    """A journal entry of a sweep."""

    id: str
    cmd: str
    argv: list[str]
    ok: bool
    at: list[str]
    days: list[_Day] = []


class _Kind(msgspec.Struct):
    cmd: str


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through points."""
    slope, base = statistics.linear_regression([x for x, _ in points], [y for _, y in points])
    return Line(base=round(base, 6) + 0.0, slope=round(slope, 6))


def newest_sweeps(journal: pathlib.Path) -> dict[str, _Entry]:
    """Return the newest whole sweep of each deployment."""
    found: dict[str, _Entry] = {}
    for path in sorted(journal.glob("*.json")):
        data = path.read_bytes()
        if msgspec.json.decode(data, type=_Kind).cmd != "sweep":
            continue
        entry = msgspec.json.decode(data, type=_Entry)
        if entry.ok and len(entry.days) > 1:
            found[pathlib.PurePosixPath(entry.argv[0]).stem] = entry
    return found


def table(site: str, entry: _Entry) -> str:
    """Return the tables of one deployment."""
    days = sorted(entry.days, key=lambda day: day.used)
    sizes = " | ".join(f"{day.used}" for day in days)
    rows = [
        f"### {site}",
        "",
        f"Entry {entry.id} of {entry.at[0][:10]}.",
        "",
        f"| all daemons together | {sizes} | of one more daemon |",
        "|---|" + "---|" * (len(days) + 1),
    ]
    for title, (name, factor) in QUANTITIES.items():
        rates = [day.rate(name) * factor for day in days]
        line = fit_line([(day.used, rate) for day, rate in zip(days, rates, strict=True)])
        cells = " | ".join(f"{rate:,.0f}" for rate in rates)
        rows.append(f"| {title} | {cells} | {line.slope:.2f} |")
    rows.append("| replicas | " + " | ".join(f"{day.servers}" for day in days) + " | |")
    rows.append("| served | " + " | ".join(f"{day.served:.3f}" for day in days) + " | |")
    rows.append("| rules broken | " + " | ".join(_broken(day) for day in days) + " | |")
    return "\n".join(rows)


def _broken(day: _Day) -> str:
    return ", ".join(f"{rule} {count}" for rule, count in sorted(day.rules.items())) or "none"


def page_with(tables: str, page: str) -> str:
    """Return the page with other tables between its marks; raises SettingsError without marks."""
    if BEGIN not in page or END not in page:
        raise SettingsError("the page has no marks for the tables", key=BEGIN)
    head, rest = page.split(BEGIN, 1)
    tail = rest.split(END, 1)[1]
    return f"{head}{BEGIN}\n\n{tables}\n\n{END}{tail}"


def main(journal: str = "journal", write: bool = False) -> None:
    """Print the tables, or write them into the page.

    Args:
        journal: folder of the journal's entries.
        write: whether to write docs/CAPACITY.md.
    """
    sweeps = newest_sweeps(pathlib.Path(journal))
    tables = "\n\n".join(table(site, entry) for site, entry in sorted(sweeps.items()))
    if write:
        PAGE.write_text(page_with(tables, PAGE.read_text(encoding="utf-8")), encoding="utf-8")
    else:
        print(tables)


if __name__ == "__main__":
    fire.Fire(main)
