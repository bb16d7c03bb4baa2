"""Counters of what emulated callers received, and of the guarantees that this violates."""

from __future__ import annotations

import msgspec

from passgate.emulator.run_recorder import RunRecorder


class ArrivalOutcomes(msgspec.Struct, kw_only=True):
    """Outcomes of one stream of interactive calls."""

    name: str
    arrived: int = 0
    answered: int = 0
    """Calls with a correct answer, in time or late."""
    late: int = 0
    """Calls whose correct answer came later after their arrival than the deadline of one attempt."""
    wrong: int = 0
    """Violations: incorrect answers."""
    given_up: int = 0
    """Calls whose last attempt failed, except those in ``outcome_lost``."""
    pending: int = 0
    """Calls still unfinished when the run ended."""
    attempts: int = 0
    refused: int = 0
    """Attempts with an error that reports them as not run."""
    unknown: int = 0
    """Attempts that timed out, or with an error that does not exclude that they ran."""
    outcome_lost: int = 0
    """Non-repeatable calls of which passgate reports that the outcome is unknown."""
    latencies_s: list[float] = []
    """Time from arrival to answer of each answered call."""
    not_run_ids: list[str] = []
    """Identifiers of the attempts that passgate reported as not run."""
    errors: dict[str, int] = {}
    """Error code, or ``caller_timeout``, to the number of attempts."""

    def count_error(self, code: str) -> None:
        """Count a typed error."""
        self.errors[code] = self.errors.get(code, 0) + 1

    def not_run_that_ran(self, run_recorder: RunRecorder) -> list[str]:
        """Return the attempts that were reported as not run although a back end started them."""
        return [request_id for request_id in self.not_run_ids if run_recorder.run_count(request_id) > 0]


class TrainerOutcomes(msgspec.Struct, kw_only=True):
    """Outcomes of one trainer."""

    name: str
    steps: int = 0
    version: int = 0
    """Newest weight version of the trainer."""
    idle_s: float = 0.0
    """Time spent waiting for a lot's samples."""
    scoring_s: float = 0.0
    """Time spent waiting for scores of a finished lot."""
    train_s: float = 0.0
    lot_times_s: list[float] = []
    """Time from the opening of each finished lot until its last sample."""
    delivered: int = 0
    """Samples received, without duplicates."""
    lost: int = 0
    """Violations: samples missing from finished lots, neither delivered nor reported as failed."""
    doubled: int = 0
    """Violations: samples received for a prompt that had one already."""
    failed: int = 0
    """Prompts of finished lots whose samples passgate reported as failed."""
    wrong: int = 0
    """Violations: incorrect samples."""
    over_staleness: int = 0
    """Violations: samples further behind the trainer's version than the lot's staleness bound."""
    replaced: int = 0
    """Withdrawn samples that the trainer had not received and has had produced again."""
    staleness: dict[int, int] = {}
    """Number of versions behind the trainer at delivery to number of samples."""
    errors: dict[str, int] = {}
    """Error code, or ``verdict_`` with the reason for an incorrect sample, to its count."""

    def count_error(self, code: str) -> None:
        """Count a typed error."""
        self.errors[code] = self.errors.get(code, 0) + 1

    def idle_share(self) -> float:
        """Return the share of the trainer's time that it spent waiting for samples."""
        total_s = self.idle_s + self.scoring_s + self.train_s
        return self.idle_s / total_s if total_s > 0 else 0.0


class CallerOutcomes(msgspec.Struct, kw_only=True):
    """Outcomes of all callers of a run."""

    trainers: list[TrainerOutcomes] = []
    arrivals: list[ArrivalOutcomes] = []

    def violations(self, run_recorder: RunRecorder) -> int:
        """Return the number of violated guarantees, as counted by the callers and on the back ends."""
        total = len(run_recorder.repeated_unrepeatable_effects())
        for trainer in self.trainers:
            total += trainer.lost + trainer.doubled + trainer.wrong + trainer.over_staleness
        for arrival in self.arrivals:
            total += arrival.wrong + len(arrival.not_run_that_ran(run_recorder))
        return total
