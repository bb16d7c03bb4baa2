"""What truly ran on the emulated back ends, for judging what callers were told.

The ledger belongs to the emulator, not to passgate: a request that was refused
as "not run" must have no run here, and a not-repeatable call at most one effect.

>>> ledger = RunLedger()
>>> ledger.record_run("r1", "linha-0", now_s=1.0)
>>> ledger.runs("r1"), ledger.runs("r2")
(1, 0)
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import msgspec

from passgate.schema import AppRequest, GenerateRequest


class RunRecord(msgspec.Struct, frozen=True):
    """One start of one request on one replica."""

    request_id: str
    replica_id: str
    at_s: float


class RunLedger:
    """Counts starts per request and side effects per effect key; ``on_run`` is told each start."""

    def __init__(self, on_run: Callable[[RunRecord], None] | None = None) -> None:
        self._on_run = on_run
        self.records: list[RunRecord] = []
        self._runs: Counter[str] = Counter()
        self._effects: Counter[str] = Counter()
        self._single_effects: set[str] = set()

    def record_run(
        self,
        request_id: str,
        replica_id: str,
        now_s: float,
        request: GenerateRequest | AppRequest | None = None,
    ) -> None:
        """Note that a replica began to execute a request; subclasses may look at the request itself."""
        record = RunRecord(request_id, replica_id, now_s)
        self.records.append(record)
        if self._on_run is not None:
            self._on_run(record)
        self._runs[request_id] += 1

    def record_effect(self, effect_key: str, *, repeatable: bool = True) -> None:
        """Note that a side effect happened once more."""
        self._effects[effect_key] += 1
        if not repeatable:
            self._single_effects.add(effect_key)

    def runs(self, request_id: str) -> int:
        """Return how often a request began to run anywhere."""
        return self._runs[request_id]

    def effects(self, effect_key: str) -> int:
        """Return how often a side effect happened."""
        return self._effects[effect_key]

    def repeated_single_effects(self) -> list[str]:
        """Return the side effects of not-repeatable calls that happened more than once."""
        return sorted(key for key in self._single_effects if self._effects[key] > 1)
