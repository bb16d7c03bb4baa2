"""Which requests crash replicas: folded from crash reports, the same at all daemons.

A report says that a replica ended under a request.  A bystander that ran beside the
cause gets a report as well; it is cleared as soon as a replica answers it.  A request
whose reports name as many replicas as its limit is held: it reaches no replica until
its newest report expires or a report proves wrong.

>>> ledger = CrashLedger()
>>> for replica_id in ("r1", "r2"):
...     report = CrashReport(fingerprint="f", replica_id=replica_id, service="s", limit=2, at_unix_s=100.0)
...     _ = ledger.add(report, now_s=5.0)
>>> ledger.held_for_s("f", unix_s=160.0)
540.0
>>> [report.replica_id for report in ledger.clear_request("f", "s")]
['r1', 'r2']
>>> ledger.held_for_s("f", unix_s=160.0)
0.0
"""

from __future__ import annotations

import heapq
from typing import TypeVar

import msgspec

from passgate.eligibility.replica_info import ReplicaLife
from passgate.quarantine.identity import ITEM_CRASH_LIMIT
from passgate.quarantine.last_chances import LastChances

REPORT_LIFE_S = 600.0
"""Age at which a report expires: minutes, as a release that mends the replicas takes; after it one more
crash holds the request again."""
MOST_REPORTS = 4096
"""Reports kept, about 1 MB; the oldest go first.  A crash makes one for each request that ran there."""


Outer, Inner = TypeVar("Outer"), TypeVar("Inner")


class CrashReport(msgspec.Struct, frozen=True, kw_only=True):
    """A replica ended while it ran a request."""

    fingerprint: str
    replica_id: str
    service: str
    """Service of the replica."""
    limit: int
    """Replicas that may end under the request before it is held."""
    at_unix_s: float
    """Time of day at which the reporting daemon knew."""
    born_unix_ms: int = 0
    """Moment of the replica's start; 0 where it tells none."""

    @property
    def life(self) -> ReplicaLife:
        """The life of the replica that ended."""
        return ReplicaLife(self.replica_id, self.born_unix_ms)


class _Known(msgspec.Struct, frozen=True):
    report: CrashReport
    since_s: float
    """Loop time since when this daemon knows the report."""


class CrashLedger:
    """All reports that stand."""

    def __init__(self) -> None:
        self._by_request: dict[str, dict[ReplicaLife, _Known]] = {}
        """Fingerprint to replica to report."""
        self._by_replica: dict[ReplicaLife, dict[str, _Known]] = {}
        self._count = 0
        self.last_chances = LastChances()
        """Where requests run that one more crash would hold."""

    def __len__(self) -> int:
        return self._count

    def add(self, report: CrashReport, now_s: float) -> bool:
        """Take a report at a loop time; return whether it is new."""
        if self.knows(report.fingerprint, report.life):
            return False
        if self._count >= MOST_REPORTS:
            self._drop_oldest()
        known = _Known(report, now_s)
        self._by_request.setdefault(report.fingerprint, {})[report.life] = known
        self._by_replica.setdefault(report.life, {})[report.fingerprint] = known
        self._count += 1
        return True

    def knows(self, fingerprint: str, replica: ReplicaLife) -> bool:
        """Whether a report stands."""
        return replica in self._by_request.get(fingerprint, {})

    def remove(self, fingerprint: str, replica: ReplicaLife) -> bool:
        """Drop a report; return whether it stood."""
        if not self.knows(fingerprint, replica):
            return False
        _drop(self._by_request, fingerprint, replica)
        _drop(self._by_replica, replica, fingerprint)
        self._count -= 1
        return True

    def clear_request(self, fingerprint: str, service: str) -> list[CrashReport]:
        """Drop the reports of a request that a replica of a service has answered; return them.

        Those of other services stand: one release of a split route may crash where another does not.
        """
        known = self._by_request.get(fingerprint, {}).values()
        return self._remove_all([each for each in known if each.report.service == service])

    def names(self, replica: ReplicaLife, before_s: float) -> bool:
        """Whether a report that was known before a loop time tells of the end of a replica."""
        return any(before_s > each.since_s for each in self._by_replica.get(replica, {}).values())

    def clear_replica(self, replica: ReplicaLife, began_s: float) -> list[CrashReport]:
        """Drop the reports of a life that answered an attempt begun after them; return them.

        Such a replica has not ended: a restarted one has another life.
        """
        known = self._by_replica.get(replica, {}).values()
        return self._remove_all([each for each in known if began_s > each.since_s])

    def clear_expired(self, unix_s: float) -> list[CrashReport]:
        """Drop the reports that are too old to count; return them."""
        known = [each for reports in self._by_request.values() for each in reports.values()]
        return self._remove_all([each for each in known if _is_expired(each.report, unix_s)])

    def crashes(self, fingerprint: str, unix_s: float) -> int:
        """Return how many replicas have ended under a request."""
        known = self._by_request.get(fingerprint, {}).values()
        return sum(not _is_expired(each.report, unix_s) for each in known)

    def held_for_s(self, fingerprint: str, unix_s: float) -> float:
        """Return for how much longer a request is held; 0 if it is not."""
        known = list(self._by_request.get(fingerprint, {}).values())
        if not known or len(known) < (limit := known[0].report.limit):
            return 0.0
        left_s = sorted((_left_s(each.report, unix_s) for each in known), reverse=True)
        if left_s[limit - 1] <= 0.0 or self._is_bystander(fingerprint):
            return 0.0
        return left_s[limit - 1]

    def _is_bystander(self, fingerprint: str) -> bool:
        """Whether other requests explain all crashes of one.

        They do if each of its replicas also ended under a request at its limit that has ended a
        further replica without any other such request.  With the pause before the last chance this
        let 0 of 180 jobs lose an item instead of 9 (8 causes, 3 replicas, 4 daemons, 15 runs).

        While no such request is known, company alone gives an item one more chance, as it runs apart from
        all others near their limit: a cause ends one more replica, alone, and is held then.  On a busy
        machine 2 of 24 runs with 12 such jobs lost an item without it, 0 of 48 with it.
        """
        replicas = self._by_request[fingerprint]
        if all(self._is_explained(fingerprint, replica) for replica in replicas):
            return True
        limit = next(iter(replicas.values())).report.limit
        may_run_apart = limit >= ITEM_CRASH_LIMIT and len(replicas) == limit
        return may_run_apart and all(len(self._at_limit_at(replica)) > 1 for replica in replicas)

    def _is_explained(self, fingerprint: str, replica: ReplicaLife) -> bool:
        """Whether a replica ended under another request that ends replicas alone."""
        others = (other for other in self._at_limit_at(replica) if other != fingerprint)
        return any(self._ended_alone(other) for other in others)

    def _ended_alone(self, fingerprint: str) -> bool:
        """Whether a replica ended under a request and under no other one at its limit."""
        return any(self._at_limit_at(replica) == [fingerprint] for replica in self._by_request[fingerprint])

    def _at_limit_at(self, replica: ReplicaLife) -> list[str]:
        """Return the requests at their limit under which a replica ended."""
        known = self._by_replica[replica].values()
        return [
            each.report.fingerprint
            for each in known
            if len(self._by_request[each.report.fingerprint]) >= each.report.limit
        ]

    def pairs(self) -> set[tuple[str, ReplicaLife]]:
        """Return fingerprint and replica of each report."""
        return {(request, replica) for request, known in self._by_request.items() for replica in known}

    def newest(self, most: int) -> tuple[CrashReport, ...]:
        """Return the newest reports."""
        reports = (each.report for known in self._by_request.values() for each in known.values())
        return tuple(heapq.nlargest(most, reports, key=lambda report: report.at_unix_s))

    def _remove_all(self, known: list[_Known]) -> list[CrashReport]:
        reports = [each.report for each in known]
        for report in reports:
            self.remove(report.fingerprint, report.life)
        return reports

    def _drop_oldest(self) -> None:
        known = (each.report for reports in self._by_request.values() for each in reports.values())
        oldest = min(known, key=lambda report: report.at_unix_s)
        self.remove(oldest.fingerprint, oldest.life)


def _left_s(report: CrashReport, unix_s: float) -> float:
    return report.at_unix_s + REPORT_LIFE_S - unix_s


def _is_expired(report: CrashReport, unix_s: float) -> bool:
    return _left_s(report, unix_s) <= 0.0


def _drop(index: dict[Outer, dict[Inner, _Known]], outer: Outer, inner: Inner) -> None:
    del index[outer][inner]
    if not index[outer]:
        del index[outer]
