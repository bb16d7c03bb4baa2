"""What one daemon needs against requests that crash replicas: the guard, and the reports of all daemons."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from passgate.decisions import DecisionLog
from passgate.eligibility.replica_info import ReplicaLife
from passgate.quarantine.channel import CrashChannel
from passgate.quarantine.guard import CrashGuard, CrashReporter
from passgate.quarantine.ledger import CrashLedger
from passgate.quarantine.liveness import has_ended
from passgate.sharedlog.log import SharedLog


class Crashes:
    """The guard of a daemon, connected with those of all others by the log."""

    def __init__(
        self,
        log: SharedLog,
        topic: str,
        set_aside: Callable[[ReplicaLife, float], None],
        decisions: DecisionLog,
        read_life: Callable[[ReplicaLife, str], Awaitable[ReplicaLife | None]],
    ) -> None:
        """Connect the parts.

        Args:
            log: keeps the reports.
            topic: keyed topic of the reports.
            set_aside: sends nothing to a replica from a loop time on, as it has ended.
            decisions: where decisions are noted.
            read_life: asks the replica at an address, known so far as the given life, which life it is
                in; returns None when it does not tell.
        """
        ledger = CrashLedger()
        self.channel = CrashChannel(log, topic, ledger, set_aside, decisions)
        reporter = CrashReporter(
            has_ended=has_ended,
            report=self.channel.report,
            clear=self.channel.clear,
            set_aside=set_aside,
            read_life=read_life,
            is_current=self.channel.is_current,
        )
        self.guard = CrashGuard(ledger, reporter, decisions)

    @property
    def loaded(self) -> bool:
        """Whether all reports that stood on the log were read once."""
        return self.channel.loaded

    async def run(self) -> None:
        """Carry reports until cancelled."""
        await self.channel.run()
