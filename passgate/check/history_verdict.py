"""Runs all checkers on a history and collects their results in one verdict.

>>> from passgate.check.output_oracle import emulated_token
>>> verdict = check_history([], oracle=emulated_token)
>>> verdict.holds(), len(verdict.guarantees)
(True, 9)
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from functools import partial

import msgspec

from passgate.check import operation_checks, request_checks, sample_checks
from passgate.check.events import AnyEvent
from passgate.check.history import Checker, Violation, shortest_violation
from passgate.check.sample_checks import TokenOracle


class GuaranteeVerdict(msgspec.Struct, frozen=True, kw_only=True):
    """Result of the checker of one guarantee."""

    guarantee: str = msgspec.field(name="promise")
    violations: int
    shortest_violation: Violation | None = msgspec.field(name="shortest")


class HistoryVerdict(msgspec.Struct, frozen=True, kw_only=True):
    """Results of all checkers on one history."""

    events: int
    kinds: dict[str, int]
    """Number of events by class name; a guarantee whose events are absent was not tested."""
    guarantees: tuple[GuaranteeVerdict, ...] = msgspec.field(name="promises")

    def holds(self) -> bool:
        """Return whether the history violates no guarantee."""
        return not any(verdict.violations for verdict in self.guarantees)

    def violation_counts(self) -> dict[str, int]:
        """Return the number of violations by guarantee; guarantees that hold are left out."""
        return {verdict.guarantee: verdict.violations for verdict in self.guarantees if verdict.violations}

    def shortest_violation(self) -> Violation | None:
        """Return the violation with the shortest excerpt over all guarantees, or None."""
        return shortest_violation(
            verdict.shortest_violation
            for verdict in self.guarantees
            if verdict.shortest_violation is not None
        )


def make_checkers(oracle: TokenOracle) -> dict[str, Checker]:
    """Return the checker of each guarantee by the guarantee's name."""
    return {
        sample_checks.CORRECT_VERSIONS: partial(sample_checks.check_versions, oracle=oracle),
        sample_checks.STALENESS: sample_checks.check_staleness,
        sample_checks.EXACTLY_ONCE: sample_checks.check_exactly_once,
        request_checks.COMPLETE_ANSWER: partial(request_checks.check_complete_answer, oracle=oracle),
        request_checks.NOT_RUN: request_checks.check_not_run,
        request_checks.AT_MOST_ONCE: request_checks.check_at_most_once,
        operation_checks.LEAVING: operation_checks.check_leaving,
        operation_checks.GRACEFUL_SHUTDOWN: operation_checks.check_graceful_shutdown,
        operation_checks.CONFIGURATION: operation_checks.check_configuration,
    }


def check_history(events: Sequence[AnyEvent], oracle: TokenOracle) -> HistoryVerdict:
    """Check a history against every guarantee."""
    guarantees = []
    for guarantee, checker in make_checkers(oracle).items():
        violations = checker(events)
        verdict = GuaranteeVerdict(
            guarantee=guarantee, violations=len(violations), shortest_violation=shortest_violation(violations)
        )
        guarantees.append(verdict)
    kinds = Counter(type(event).__name__ for event in events)
    return HistoryVerdict(events=len(events), kinds=dict(kinds), guarantees=tuple(guarantees))
