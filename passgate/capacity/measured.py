"""Reads the committed measurement files into the figures that the capacity model needs."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import numpy

from passgate.errors import SettingsError
from passgate.lab.control_records import ControlCost, FittedSlope
from passgate.lab.control_records import Result as ControlResult

Item = TypeVar("Item")

CONTROL_FILE = "control-scale.jsonl"
ROLLOUT_FILE = "rollout-scale.jsonl"
ROUTING_FILE = "routing-cost.jsonl"
STATE_FILE = "state-cost.jsonl"
CLIENT_FILE = "client-cost.jsonl"
OVERHEAD_FILE = "overhead.jsonl"
LOT_FILE = "lot-step.jsonl"


class Line(msgspec.Struct, frozen=True):
    """A least-squares line through measured points."""

    intercept: float
    slope: float

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.intercept + self.slope * size

    @classmethod
    def through(cls, sizes: Sequence[float], values: Sequence[float]) -> Line:
        """Fit a line.

        >>> Line.through([1, 2, 3], [5, 7, 9]).at(10)
        23.0
        """
        slope, intercept = numpy.polyfit(sizes, values, 1)
        return cls(round(float(intercept), 9), round(float(slope), 9))


class RecordFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Lines of one kind of log record over its size."""

    fold_us: Line
    log_bytes: Line
    memory_bytes: Line


class Measured(msgspec.Struct, frozen=True, kw_only=True):
    """All measured figures; each list keeps the rows of its file."""

    control: tuple[Any, ...]
    rollout: tuple[dict[str, Any], ...]
    routing: tuple[dict[str, Any], ...]
    state: tuple[dict[str, Any], ...]
    client: tuple[dict[str, Any], ...]
    overhead: tuple[dict[str, Any], ...]
    lots: tuple[dict[str, Any], ...]

    # --- control plane ------------------------------------------------------------

    def control_line(self, measure: str, load: str) -> Line:
        """Return the fitted line of a control measure over the number of daemons."""
        for row in self.control:
            if isinstance(row, FittedSlope) and (row.measure, row.load) == (measure, load):
                return Line(row.intercept, row.per_daemon)
        raise SettingsError(f"no slope of {measure} under {load} load", file=CONTROL_FILE)

    def control_cost(self, daemons: int, load: str) -> ControlCost:
        """Return the measured control cost at one size, hollow daemons."""
        for row in self.control:
            found = isinstance(row, ControlCost) and row.transport == "memory"
            if found and (row.daemons, row.load) == (daemons, load):
                return row
        raise SettingsError(f"no control cost of {daemons} daemons under {load} load", file=CONTROL_FILE)

    # --- other parts ----------------------------------------------------------------

    def routing_line(self, measure: str) -> Line:
        """Return the line of a routing cost over the number of replicas."""
        sizes = [row["replicas"] for row in self.routing]
        return Line.through(sizes, [row[measure] for row in self.routing])

    def record(self, kind: str) -> RecordFigures:
        """Return the lines of one kind of log record."""
        rows = [row for row in self.state if row.get("measure") == "record" and row["kind"] == kind]
        return RecordFigures(
            fold_us=_line(rows, "fold_us"),
            log_bytes=_line(rows, "log_bytes"),
            memory_bytes=_line(rows, "memory_bytes"),
        )

    def state_value(self, measure: str, field: str, **matching: object) -> float:
        """Return one figure of the state file."""
        for row in self.state:
            same = all(row.get(name) == value for name, value in matching.items())
            if row.get("measure") == measure and same:
                return row[field]
        raise SettingsError(f"no {measure} {matching}", file=STATE_FILE)

    def lot_step(self, samples: int) -> dict[str, Any]:
        """Return the measured cost of a lot of one size."""
        for row in self.lots:
            if row["samples"] == samples:
                return row
        raise SettingsError(f"no lot of {samples} samples", file=LOT_FILE)

    def client_value(self, name: str, field: str) -> float:
        """Return one figure of the HTTP clients."""
        for row in self.client:
            if row["name"] == name:
                return row[field]
        raise SettingsError(f"no client cost {name}", file=CLIENT_FILE)

    def client_line(self, name: str, size: str, field: str) -> Line:
        """Return the line of a client figure over one of its sizes."""
        rows = [row for row in self.client if row["name"] == name]
        return Line.through([row[size] for row in rows], [row[field] for row in rows])


def read_measured(folder: Path) -> Measured:
    """Read all files; raises SettingsError naming the one that is missing or unreadable."""
    return Measured(
        control=tuple(_rows(folder / CONTROL_FILE, ControlResult)),
        rollout=tuple(_rows(folder / ROLLOUT_FILE, dict)),
        routing=tuple(_rows(folder / ROUTING_FILE, dict)),
        state=tuple(_rows(folder / STATE_FILE, dict)),
        client=tuple(_rows(folder / CLIENT_FILE, dict)),
        overhead=tuple(_rows(folder / OVERHEAD_FILE, dict)),
        lots=tuple(_rows(folder / LOT_FILE, dict)),
    )


def _line(rows: Sequence[dict[str, Any]], field: str) -> Line:
    if len(rows) == 1:
        return Line(rows[0][field], 0.0)
    return Line.through([row["size"] for row in rows], [row[field] for row in rows])


def _rows(path: Path, row_type: Any) -> list[Any]:
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError("measurement file is missing", file=path.name, expected="JSON lines") from error
    try:
        return [msgspec.json.decode(line, type=row_type) for line in text.splitlines() if line.strip()]
    except msgspec.MsgspecError as error:
        raise SettingsError(f"bad measurement: {error}", file=path.name) from error
