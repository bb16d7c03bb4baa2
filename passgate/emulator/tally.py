"""Outcomes as emulated callers saw them."""

from __future__ import annotations

import msgspec

from passgate.emulator.ledger import RunLedger


class ArrivalTally(msgspec.Struct, kw_only=True):
    """Outcomes of one stream of interactive calls."""

    name: str
    arrived: int = 0
    answered: int = 0
    """Calls with a right answer, in time or late."""
    late: int = 0
    """Right answers after the call's deadline, counted from its arrival."""
    wrong: int = 0
    given_up: int = 0
    """Calls without an answer after their last attempt."""
    pending: int = 0
    """Calls still open when the run ended."""
    attempts: int = 0
    refused: int = 0
    """Attempts that ended with a typed refusal."""
    unknown: int = 0
    """Attempts that may have run and have no answer."""
    outcome_lost: int = 0
    """Not-repeatable calls of which passgate says that the outcome is lost."""
    latencies_s: list[float] = []
    """Arrival to right answer, of answered calls."""
    not_run_ids: list[str] = []
    """Attempts that passgate declared as not run."""
    errors: dict[str, int] = {}
    """Typed errors by their code."""

    def note_error(self, code: str) -> None:
        """Count a typed error."""
        self.errors[code] = self.errors.get(code, 0) + 1

    def not_run_that_ran(self, ledger: RunLedger) -> list[str]:
        """Return the attempts that were declared as not run and yet ran."""
        return [request_id for request_id in self.not_run_ids if ledger.runs(request_id) > 0]


class TrainerTally(msgspec.Struct, kw_only=True):
    """Outcomes of one trainer."""

    name: str
    steps: int = 0
    version: int = 0
    idle_s: float = 0.0
    """Waited for a lot that was not whole."""
    scoring_s: float = 0.0
    """Waited for scores of a lot that was whole."""
    train_s: float = 0.0
    lot_times_s: list[float] = []
    """Opening to whole lot."""
    delivered: int = 0
    lost: int = 0
    """Samples missing from lots that were declared finished."""
    doubled: int = 0
    """Samples that arrived for a slot that had one already."""
    failed: int = 0
    """Slots that passgate declared as failed."""
    wrong: int = 0
    over_staleness: int = 0
    replaced: int = 0
    staleness: dict[int, int] = {}
    """Versions behind at hand-over to number of samples."""
    errors: dict[str, int] = {}

    def note_error(self, code: str) -> None:
        """Count a typed error."""
        self.errors[code] = self.errors.get(code, 0) + 1

    def idle_share(self) -> float:
        """Return the share of time spent waiting for lots."""
        total_s = self.idle_s + self.scoring_s + self.train_s
        return self.idle_s / total_s if total_s > 0 else 0.0


class Tally(msgspec.Struct, kw_only=True):
    """Outcomes of all callers of a run."""

    trainers: list[TrainerTally] = []
    arrivals: list[ArrivalTally] = []

    def violations(self, ledger: RunLedger) -> int:
        """Return how many broken promises callers and back ends can prove."""
        total = len(ledger.repeated_single_effects())
        for trainer in self.trainers:
            total += trainer.lost + trainer.doubled + trainer.wrong + trainer.over_staleness
        for arrival in self.arrivals:
            total += arrival.wrong + len(arrival.not_run_that_ran(ledger))
        return total
