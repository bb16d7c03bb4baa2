"""Record of the executions and side effects that really happened on the emulated back ends.

Tests and simulations compare it with what passgate reported to callers: a request that
was refused as "not run" must have no execution here, and a call that is not repeatable
at most one side effect.

>>> run_recorder = RunRecorder()
>>> run_recorder.record_run("r1", "linha-0", now_s=1.0)
>>> run_recorder.run_count("r1"), run_recorder.run_count("r2")
(1, 0)
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import msgspec

from passgate.schema import AppRequest, GenerateRequest


class RunRecord(msgspec.Struct, frozen=True):
    """Start of one execution of a request on a replica."""

    request_id: str
    replica_id: str
    at_s: float
    """Time of the start on the loop's clock."""


class RunRecorder:
    """Counts executions by request and side effects by effect key.

    ``on_run_start`` is called with the record of each execution when it starts.
    """

    def __init__(self, on_run_start: Callable[[RunRecord], None] | None = None) -> None:
        self._on_run_start = on_run_start
        self.records: list[RunRecord] = []
        self._run_counts: Counter[str] = Counter()
        self._effect_counts: Counter[str] = Counter()
        self._unrepeatable_effects: set[str] = set()

    def record_run(
        self,
        request_id: str,
        replica_id: str,
        now_s: float,
        request: GenerateRequest | AppRequest | None = None,
    ) -> None:
        """Record that a replica starts to execute a request; ``request`` is for subclasses."""
        record = RunRecord(request_id, replica_id, now_s)
        self.records.append(record)
        if self._on_run_start is not None:
            self._on_run_start(record)
        self._run_counts[request_id] += 1

    def record_effect(self, effect_key: str, *, repeatable: bool = True) -> None:
        """Count a side effect; ``repeatable`` is False if it must happen at most once."""
        self._effect_counts[effect_key] += 1
        if not repeatable:
            self._unrepeatable_effects.add(effect_key)

    def run_count(self, request_id: str) -> int:
        """Return how many executions of a request have started on all replicas."""
        return self._run_counts[request_id]

    def effect_count(self, effect_key: str) -> int:
        """Return how often a side effect has happened."""
        return self._effect_counts[effect_key]

    def repeated_unrepeatable_effects(self) -> list[str]:
        """Return the sorted keys of side effects that happened more than once but must not."""
        return sorted(key for key in self._unrepeatable_effects if self._effect_counts[key] > 1)
