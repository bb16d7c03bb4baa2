"""All judges together: one verdict on a history.

>>> from passgate.check.output_oracle import emulated_token
>>> verdict = judge_history([], oracle=emulated_token)
>>> verdict.holds(), len(verdict.promises)
(True, 9)
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from functools import partial

import msgspec

from passgate.check import judges_operations, judges_requests, judges_samples
from passgate.check.events import AnyEvent
from passgate.check.history import Judge, Violation, shortest
from passgate.check.judges_samples import TokenOracle


class PromiseVerdict(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one judge."""

    promise: str
    violations: int
    shortest: Violation | None


class HistoryVerdict(msgspec.Struct, frozen=True, kw_only=True):
    """Result of all judges on one history."""

    events: int
    kinds: dict[str, int]
    """Number of events by kind: a promise without events was not put to the test."""
    promises: tuple[PromiseVerdict, ...]

    def holds(self) -> bool:
        """Return whether no promise was broken."""
        return not any(verdict.violations for verdict in self.promises)

    def broken(self) -> dict[str, int]:
        """Return the number of violations of each broken promise."""
        return {verdict.promise: verdict.violations for verdict in self.promises if verdict.violations}

    def shortest(self) -> Violation | None:
        """Return the violation with the shortest excerpt over all promises."""
        return shortest(verdict.shortest for verdict in self.promises if verdict.shortest is not None)


def judges(oracle: TokenOracle) -> dict[str, Judge]:
    """Return one judge for each of the nine promises."""
    return {
        judges_samples.TRUE_VERSIONS: partial(judges_samples.judge_true_versions, oracle=oracle),
        judges_samples.STALENESS: judges_samples.judge_staleness,
        judges_samples.EXACTLY_ONCE: judges_samples.judge_exactly_once,
        judges_requests.WHOLE_ANSWER: partial(judges_requests.judge_whole_answer, oracle=oracle),
        judges_requests.NOT_RUN: judges_requests.judge_not_run,
        judges_requests.AT_MOST_ONCE: judges_requests.judge_at_most_once,
        judges_operations.LEAVING: judges_operations.judge_leaving,
        judges_operations.PLANNED_STOP: judges_operations.judge_planned_stop,
        judges_operations.CONFIGURATION: judges_operations.judge_configuration,
    }


def judge_history(events: Sequence[AnyEvent], oracle: TokenOracle) -> HistoryVerdict:
    """Judge a history against every promise."""
    promises = []
    for promise, judge in judges(oracle).items():
        violations = judge(events)
        verdict = PromiseVerdict(promise=promise, violations=len(violations), shortest=shortest(violations))
        promises.append(verdict)
    kinds = Counter(type(event).__name__ for event in events)
    return HistoryVerdict(events=len(events), kinds=dict(kinds), promises=tuple(promises))
