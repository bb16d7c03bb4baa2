"""Isolated runs: attempts of requests that may crash their replica, each of which has a replica for itself.

A daemon announces an isolated run on the log, and starts it if the announcement is the first unexpired one
for the replica or is not read back in time.  All daemons read the announcements in the same order, so they
normally agree on the first one.  They send no other request there meanwhile if they have another replica.

>>> runs = IsolatedRuns()
>>> first = IsolatedRun(fingerprint="f1", replica_id="r")
>>> runs.record_announcement(first, offset=7, now_s=0.0)
>>> runs.record_announcement(IsolatedRun(fingerprint="f2", replica_id="r"), offset=8, now_s=0.1)
>>> runs.is_first("f1", first.incarnation, now_s=0.2), runs.is_first("f2", first.incarnation, now_s=0.2)
(True, False)
>>> runs.remove_announcement("f1", first.incarnation)
>>> runs.is_first("f2", first.incarnation, now_s=0.3)
True
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from passgate.eligibility.replica_info import ReplicaIncarnation

ANNOUNCEMENT_LIFETIME_S = 6.0
"""Age at which an announcement expires, also that of a run in progress, as its daemon may have crashed."""
UNKNOWN_OFFSET = -1
"""Used as the offset of a record from a snapshot, which is older than all records read after the snapshot."""


class IsolatedRun(msgspec.Struct, frozen=True, kw_only=True):
    """An isolated run of a request at a replica, as announced to all daemons just before its start."""

    fingerprint: str
    replica_id: str
    started_unix_ms: int = msgspec.field(name="born_unix_ms", default=0)
    """Start time of the replica's process in Unix milliseconds; 0 if not reported."""

    @property
    def incarnation(self) -> ReplicaIncarnation:
        """The run of the replica's process at which the request runs."""
        return ReplicaIncarnation(self.replica_id, self.started_unix_ms)


class _Announcement(msgspec.Struct, frozen=True):
    offset: int
    read_s: float
    """Loop time at which this daemon read the announcement."""


class IsolatedRuns:
    """This daemon's isolated runs, and the announcements of all daemons that were read from the log."""

    def __init__(self) -> None:
        self._local_runs_by_fingerprint: dict[str, IsolatedRun] = {}
        """This daemon's isolated runs by fingerprint."""
        self._announcements_by_incarnation: dict[ReplicaIncarnation, dict[str, _Announcement]] = {}
        """Announcements that were read from the log, by incarnation, then by fingerprint."""

    def add_local(self, run: IsolatedRun) -> None:
        """Add an isolated run of this daemon; replaces an earlier run of the same request."""
        self._local_runs_by_fingerprint[run.fingerprint] = run

    def remove_local(self, fingerprint: str) -> IsolatedRun | None:
        """Remove and return this daemon's isolated run of a request; None if there is none."""
        return self._local_runs_by_fingerprint.pop(fingerprint, None)

    @property
    def has_local(self) -> bool:
        """Whether this daemon has any isolated run."""
        return bool(self._local_runs_by_fingerprint)

    def local_run(self, fingerprint: str) -> IsolatedRun | None:
        """Return this daemon's isolated run of a request; None if there is none."""
        return self._local_runs_by_fingerprint.get(fingerprint)

    def record_announcement(self, run: IsolatedRun, offset: int, now_s: float) -> None:
        """Record an announcement that was read from the log; replaces an earlier one of the same run."""
        self._announcements_by_incarnation.setdefault(run.incarnation, {})[run.fingerprint] = _Announcement(
            offset, now_s
        )

    def remove_announcement(self, fingerprint: str, incarnation: ReplicaIncarnation) -> None:
        """Remove an announcement, if it is there."""
        announcements = self._announcements_by_incarnation.get(incarnation, {})
        announcements.pop(fingerprint, None)
        if not announcements:
            self._announcements_by_incarnation.pop(incarnation, None)

    def retain(self, keys: Iterable[tuple[str, ReplicaIncarnation]]) -> None:
        """Remove all announcements but those of the given pairs of fingerprint and incarnation."""
        retained = set(keys)
        for incarnation, announcements in list(self._announcements_by_incarnation.items()):
            for fingerprint in list(announcements):
                if (fingerprint, incarnation) not in retained:
                    self.remove_announcement(fingerprint, incarnation)

    def clear_expired(self, now_s: float) -> list[IsolatedRun]:
        """Remove the expired announcements and return their runs."""
        expired = [
            IsolatedRun(
                fingerprint=fingerprint,
                replica_id=incarnation.replica_id,
                started_unix_ms=incarnation.started_unix_ms,
            )
            for incarnation, announcements in self._announcements_by_incarnation.items()
            for fingerprint, announcement in announcements.items()
            if now_s >= announcement.read_s + ANNOUNCEMENT_LIFETIME_S
        ]
        for run in expired:
            self.remove_announcement(run.fingerprint, run.incarnation)
        return expired

    def is_announced(self, fingerprint: str, incarnation: ReplicaIncarnation) -> bool:
        """Whether the announcement of a run was read from the log and not removed since."""
        return fingerprint in self._announcements_by_incarnation.get(incarnation, {})

    def is_first(self, fingerprint: str, incarnation: ReplicaIncarnation, now_s: float) -> bool:
        """Whether a request's announcement at an incarnation precedes all unexpired ones of other requests.

        True if the request's own announcement was not read.  Announcements of one snapshot don't precede
        each other.
        """
        announcements = self._announcements_by_incarnation.get(incarnation, {})
        if fingerprint not in announcements:
            return True
        return all(
            announcements[fingerprint].offset < announcement.offset
            for other, announcement in announcements.items()
            if other != fingerprint and now_s < announcement.read_s + ANNOUNCEMENT_LIFETIME_S
        )

    def replicas(self, now_s: float, excluding: str = "") -> frozenset[ReplicaIncarnation]:
        """Return the incarnations with isolated runs: this daemon's, and those with unexpired announcements.

        Runs of the request with the fingerprint ``excluding`` are left out.
        """
        local = {
            run.incarnation
            for run in self._local_runs_by_fingerprint.values()
            if run.fingerprint != excluding
        }
        announced = {
            incarnation
            for incarnation, announcements in self._announcements_by_incarnation.items()
            if any(
                other != excluding and now_s < announcement.read_s + ANNOUNCEMENT_LIFETIME_S
                for other, announcement in announcements.items()
            )
        }
        return frozenset(local | announced)
