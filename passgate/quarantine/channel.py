"""Carries crash reports between daemons, over a keyed topic of the shared log.

A report has a key of its own, so daemons that report at the same time never overwrite each
other, and one that is sent twice counts once.  The topic keeps the newest record of each key
for good: a daemon that starts, also after all have lost power, knows what is held.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable

import msgspec

from passgate.clock import monotonic_s, unix_s
from passgate.decisions import CrashReported, DecisionLog, RecordUnreadable
from passgate.eligibility.replica_info import ReplicaLife
from passgate.errors import LogError
from passgate.quarantine.last_chances import UNKNOWN_OFFSET, LastChance
from passgate.quarantine.ledger import CrashLedger, CrashReport
from passgate.sharedlog.log import KeyedRecord, SharedLog
from passgate.sharedlog.tail import KeyedTail, TailSettings

logger = logging.getLogger("passgate.quarantine")

POLL_S = 2.0
"""Longest wait of a read, which costs half a call a second and daemon.  A record ends the wait at once;
a connection that died in silence delays it by this and the time-out of a call (1.2 s)."""
FIRST_PAUSE_S = 0.05
"""Pause after a failed append."""
MAX_PAUSE_S = 1.0
"""Longest such pause; a log that is back takes the reports within this."""
DROPPED = b""
"""Value of a record that drops its key."""
CURRENT_S = 2.5
"""Age of the view of the topic up to which the log counts as answering; a calm one confirms it each 2 s."""
MOST_TOLD = 256
"""Reports told to another daemon at once, the newest; some 40 KB."""
KEY_SEPARATOR = "/"
LAST_CHANCE_KEY = "last-chance"
"""First part of the keys of last chances; the keys of reports begin with a fingerprint."""

Record = CrashReport | LastChance


class CrashChannel:
    """This daemon's reader and writer of the topic."""

    def __init__(
        self,
        log: SharedLog,
        topic: str,
        ledger: CrashLedger,
        set_aside: Callable[[ReplicaLife, float], None],
        decisions: DecisionLog,
    ) -> None:
        """Connect the parts.

        Args:
            log: keeps the reports.
            topic: keyed topic of the reports.
            ledger: where reports are kept.
            set_aside: sends nothing to a replica from a loop time on, as it has ended.
            decisions: where decisions are noted.
        """
        self._set_aside = set_aside
        self._log = log
        self._topic = topic
        self._ledger = ledger
        self._decisions = decisions
        settings = TailSettings(topic=topic, wait_s=POLL_S, urgent=True)
        self._tail = KeyedTail(log, settings, replace=self._replace, update=self._update)
        self._unwritten: dict[str, bytes] = {}
        """Records that are not on the log yet, by key; an empty value drops the key."""
        self._changed = asyncio.Event()

    @property
    def loaded(self) -> bool:
        """Whether all reports that stood on the log were read once."""
        return self._tail.loaded

    def report(self, record: Record) -> None:
        """Tell all daemons of a crash, or of a last chance."""
        self._write(_key(record), msgspec.json.encode(record))

    def clear(self, record: Record) -> None:
        """Tell all daemons that a record does not stand any more."""
        self._write(_key(record), DROPPED)

    def is_current(self) -> bool:
        """Whether the log answers this daemon, so that it knows what others report."""
        return self._tail.freshness.age_s(monotonic_s()) < CURRENT_S

    def newest(self) -> tuple[CrashReport, ...]:
        """Return the newest reports that stand."""
        return self._ledger.newest(MOST_TOLD)

    def learn(self, reports: Iterable[CrashReport]) -> None:
        """Take reports from another daemon, and write new ones to the log if it answers this daemon."""
        for report in reports:
            if self._is_cleared(report) or self._ledger.knows(report.fingerprint, report.life):
                continue
            self._take(report, "peer")
            if self.is_current():
                self.report(report)

    def _is_cleared(self, report: CrashReport) -> bool:
        """Whether this daemon has dropped a report, and the log does not know yet."""
        return self._unwritten.get(_key(report)) == DROPPED

    async def run(self) -> None:
        """Read and write until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._tail.run())
            tasks.create_task(self._append_changes())

    def _write(self, key: str, value: bytes) -> None:
        self._unwritten[key] = value
        self._changed.set()

    async def _append_changes(self) -> None:
        pause_s = FIRST_PAUSE_S
        while True:
            await self._changed.wait()
            self._changed.clear()
            for record in self._clear_expired():
                self._unwritten[_key(record)] = DROPPED
            try:
                await self._append(dict(self._unwritten))
                pause_s = FIRST_PAUSE_S
            except LogError as error:
                logger.info("crash_reports_not_written", extra={"error": str(error)})
                self._changed.set()
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2.0, MAX_PAUSE_S)

    def _clear_expired(self) -> list[Record]:
        expired: list[Record] = []
        expired += self._ledger.clear_expired(unix_s())
        expired += self._ledger.last_chances.clear_expired(monotonic_s())
        return expired

    async def _append(self, records: dict[str, bytes]) -> None:
        encoded = [
            self._log.encode_keyed(KeyedRecord(key=key, value=value)) for key, value in records.items()
        ]
        if encoded:
            await self._log.append(self._topic, 0, encoded)
        for key, value in records.items():
            if self._unwritten.get(key) == value:
                del self._unwritten[key]

    def _replace(self, records: tuple[KeyedRecord, ...], next_offset: int) -> None:
        """Take the newest record of each key; what is not there was cleared."""
        listed = {record.key for record in records if record.value}
        for fingerprint, replica in self._ledger.pairs():
            key = KEY_SEPARATOR.join((fingerprint, replica.text()))
            if key not in listed and key not in self._unwritten:
                self._ledger.remove(fingerprint, replica)
        self._ledger.last_chances.keep_only(
            _pair_of(key) for key in listed if key.startswith(LAST_CHANCE_KEY)
        )
        for record in records:
            self._apply(record, UNKNOWN_OFFSET)

    def _update(self, records: tuple[KeyedRecord, ...], start: int) -> None:
        for index, record in enumerate(records):
            self._apply(record, start + index)

    def _apply(self, record: KeyedRecord, offset: int) -> None:
        if self._unwritten.get(record.key, record.value) != record.value:
            return  # what this daemon is about to write is newer
        if not record.value:
            self._drop(record.key)
            return
        try:
            if record.key.startswith(LAST_CHANCE_KEY):
                chance = msgspec.json.decode(record.value, type=LastChance)
                self._ledger.last_chances.heard(chance, offset, monotonic_s())
            else:
                self._take(msgspec.json.decode(record.value, type=CrashReport), "log")
        except msgspec.DecodeError as error:
            self._decisions.write(RecordUnreadable(offset=offset, reason=str(error)))

    def _drop(self, key: str) -> None:
        if key.startswith(LAST_CHANCE_KEY):
            self._ledger.last_chances.drop(*_pair_of(key))
        else:
            self._ledger.remove(*_pair_of(key))

    def _take(self, report: CrashReport, source: str) -> None:
        if self._ledger.add(report, monotonic_s()):
            self._set_aside(report.life, monotonic_s())
            self._decisions.write(
                CrashReported(
                    replica_id=report.replica_id,
                    fingerprint=report.fingerprint,
                    source=source,
                    crashes=self._ledger.crashes(report.fingerprint, unix_s()),
                    age_ms=round((unix_s() - report.at_unix_s) * 1000, 1),
                )
            )


def _key(record: Record) -> str:
    pair = (record.fingerprint, record.life.text())
    prefix = (LAST_CHANCE_KEY,) if isinstance(record, LastChance) else ()
    return KEY_SEPARATOR.join(prefix + pair)


def _pair_of(key: str) -> tuple[str, ReplicaLife]:
    """Return the fingerprint and the replica that a key names."""
    fingerprint, _, replica = key.removeprefix(LAST_CHANCE_KEY + KEY_SEPARATOR).partition(KEY_SEPARATOR)
    return fingerprint, ReplicaLife.from_text(replica)
