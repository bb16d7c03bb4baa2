"""Keeps requests that crash replicas away from them; asked by each attempt before it is sent.

An attempt that broke off makes its request a suspect.  If its replica has ended, that is
reported to all daemons; a request that has ended as many replicas as its limit is refused.
What a replica answers clears the request, and an answer clears the replica.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec

from passgate.clock import monotonic_s, unix_s
from passgate.decisions import CrashReportsCleared, DecisionLog, LastChanceBegun, ReplicaCrashed
from passgate.eligibility.replica_info import ReplicaLife
from passgate.errors import (
    BackendUnreachable,
    ExecutionStatus,
    IncompleteAnswer,
    PassgateError,
    RequestQuarantined,
)
from passgate.quarantine.identity import RequestIdentity
from passgate.quarantine.last_chances import LastChance
from passgate.quarantine.ledger import CrashLedger, CrashReport

ASK_AGAIN_S = 1.0
"""Time between two questions to a replica which life it is in; answers may come by the hundred a second."""
SETTLED_S = 5.0
"""Time after a crash report within which discovery tells of the replica's next life, or of its end: an entry
is written with each start, and goes after a silence of some 4 s."""
RELEASE_STEP_S = 0.5
"""Time between looks whether a request is held still; holds last for minutes."""
LAST_CHANCE_PAUSE_S = (0.5, 1.5)
"""Random pause, about the length of an item's run, before a request is sent that one more crash would hold.
When several requests end replicas, all others crowd at the few that live, the causes among them; sent apart,
fewer of the others are held for crashes that they did not cause."""
ANNOUNCED_S = 0.3
"""Time for an announcement to be read back from the log, which takes some 20 ms.  A log that is slower leaves
last chances apart from those of the same daemon only."""
ANNOUNCED_STEP_S = 0.005
"""Time between looks whether an announcement was read back."""


class ReplicaPlace(msgspec.Struct, frozen=True, kw_only=True):
    """A replica, its service, and where it listened when an attempt was sent to it."""

    life: ReplicaLife
    service: str
    address: str
    replaced: bool = False
    """Whether a newer life of the replica is known, so that this one has ended."""


class CrashReporter(msgspec.Struct, frozen=True, kw_only=True):
    """What a guard does about a replica's end."""

    has_ended: Callable[[str], Awaitable[bool]]
    """Returns whether nothing listens at an address any more."""
    report: Callable[[CrashReport | LastChance], None]
    """Tells all daemons of a crash, or of a last chance."""
    clear: Callable[[CrashReport | LastChance], None]
    """Tells all daemons that such a record no longer stands."""
    set_aside: Callable[[ReplicaLife, float], None]
    """Sends no further requests to a replica that has ended, from a loop time on."""
    read_life: Callable[[ReplicaLife, str], Awaitable[ReplicaLife | None]]
    """Asks the replica at an address, known so far as the given life, which life it is in; None if it does
    not tell."""
    is_current: Callable[[], bool]
    """Returns whether the log answers this daemon, so that it knows what discovery tells."""


class CrashGuard:
    """What one daemon knows of requests that crash replicas."""

    def __init__(self, ledger: CrashLedger, reporter: CrashReporter, decisions: DecisionLog) -> None:
        self._ledger = ledger
        self._reporter = reporter
        self._decisions = decisions
        self._looks: dict[str, set[asyncio.Task[None]]] = {}
        """Looks at replicas that are under way, by the request that broke off there."""
        self._last_chances = ledger.last_chances
        self._asked_s: dict[ReplicaLife, float] = {}
        """When replicas that were reported, and answer, were asked last which life they are in."""
        self._questions: set[asyncio.Task[None]] = set()

    def check(self, identity: RequestIdentity) -> None:
        """Let a request pass; raises RequestQuarantined, not run, if it has ended too many replicas."""
        held_s = self._held_for_s(identity)
        if held_s > 0.0:
            raise RequestQuarantined(
                "the request has crashed replicas",
                execution=ExecutionStatus.NOT_RUN,
                retry_after_s=held_s,
            )

    def is_held(self, identity: RequestIdentity) -> bool:
        """Whether a request must not be sent now."""
        return self._held_for_s(identity) > 0.0

    async def released(self, identity: RequestIdentity) -> None:
        """Wait until a request may be sent; returns at once if it is not held."""
        while self.is_held(identity):
            await asyncio.sleep(RELEASE_STEP_S)

    def is_suspect(self, identity: RequestIdentity) -> bool:
        """Whether a replica ended, or may have ended, under a request; it runs at one replica at a time."""
        if not len(self._ledger) and not self._looks:
            return False
        fingerprint = identity.fingerprint()
        return fingerprint in self._looks or self._ledger.crashes(fingerprint, unix_s()) > 0

    async def settled(self, identity: RequestIdentity) -> None:
        """Wait for the looks under way if they may decide whether a request is held.

        Most attempts break off at live replicas, so a request's first retry does not wait.
        """
        if not self._looks:
            return
        fingerprint = identity.fingerprint()
        looks = self._looks.get(fingerprint, set())
        if looks and len(looks) + self._ledger.crashes(fingerprint, unix_s()) >= identity.crash_limit:
            await asyncio.wait(list(looks))

    def is_last_chance(self, identity: RequestIdentity) -> bool:
        """Whether one more crash would hold a request."""
        if not len(self._ledger):
            return False
        return self._ledger.crashes(identity.fingerprint(), unix_s()) >= identity.crash_limit - 1

    async def paused(self, identity: RequestIdentity) -> None:
        """Wait for the looks that may decide on a request, and pause before its last chance."""
        await self.settled(identity)
        if self.is_last_chance(identity):
            await asyncio.sleep(random.uniform(*LAST_CHANCE_PAUSE_S))

    def apart_from(self, identity: RequestIdentity) -> frozenset[ReplicaLife]:
        """Return the replicas that a request must not share, as one more crash would hold it.

        Requests that a crash took from one replica are sent on together, and the cause would take
        its bystanders from the next replica too.  Apart from each other only the cause ends its
        replica; without this one of five bystanders was held with it.
        """
        if not self.is_last_chance(identity):
            return frozenset()
        return self._last_chances.replicas(monotonic_s(), besides=identity.fingerprint())

    def spared(self) -> frozenset[ReplicaLife]:
        """Return the replicas that any request better leaves to a last chance while others have room.

        A cause ends its replica with all that runs there, and a further cause there hides it.
        """
        return self._last_chances.replicas(monotonic_s()) if len(self._ledger) else frozenset()

    def placed(self, identity: RequestIdentity, life: ReplicaLife) -> None:
        """Announce where a request is about to run, if one more crash would hold it."""
        if not self.is_last_chance(identity):
            return
        chance = LastChance(
            fingerprint=identity.fingerprint(), replica_id=life.replica_id, born_unix_ms=life.born_unix_ms
        )
        self._last_chances.begin(chance)
        self._reporter.report(chance)

    async def has_place(self, identity: RequestIdentity) -> bool:
        """Return whether a request that was placed may run there: no other last chance was there before."""
        if not len(self._ledger) or (chance := self._last_chances.here(identity.fingerprint())) is None:
            return True
        until_s = monotonic_s() + ANNOUNCED_S
        while not self._last_chances.is_heard(chance.fingerprint, chance.life):
            if monotonic_s() >= until_s:
                break
            await asyncio.sleep(ANNOUNCED_STEP_S)
        is_first = self._last_chances.is_first(chance.fingerprint, chance.life, monotonic_s())
        self._decisions.write(
            LastChanceBegun(
                replica_id=chance.replica_id,
                fingerprint=chance.fingerprint,
                announced=self._last_chances.is_heard(chance.fingerprint, chance.life),
                is_first=is_first,
            )
        )
        return is_first

    def left(self, identity: RequestIdentity) -> None:
        """Note that a request does not run any more where it was placed."""
        if not self._last_chances.any_here:
            return
        chance = self._last_chances.end(identity.fingerprint())
        if chance is not None:
            self._reporter.clear(chance)

    def broke_off(self, identity: RequestIdentity, replica: ReplicaPlace, error: PassgateError) -> None:
        """Look at a replica whose answer broke off, and report it if it has ended."""
        if _may_be_crash(error):
            self.look_at(identity, replica)

    def look_at(self, identity: RequestIdentity, replica: ReplicaPlace) -> None:
        """Look whether a replica has ended that runs a request, and report it if so."""
        fingerprint = identity.fingerprint()
        look = asyncio.get_running_loop().create_task(self._look(identity, replica))
        looks = self._looks.setdefault(fingerprint, set())
        looks.add(look)
        look.add_done_callback(lambda done: self._forget_look(fingerprint, done))

    def answered(self, replica: ReplicaPlace, began_s: float) -> None:
        """Take an answer's head, of an attempt begun at a loop time, as a proof that its replica lives.

        A replica that has started again answers under the same identifier before discovery tells of
        it, so one that tells its start is asked for it first.  Where it does not tell, it is the same
        life if discovery still lists that one when another would long be listed.
        """
        life = replica.life
        if not len(self._ledger) or not self._ledger.names(life, began_s):
            return
        if not life.born_unix_ms:
            self._clear_replica(life, began_s)
        elif not replica.replaced and self._may_ask(life, monotonic_s()):
            question = asyncio.get_running_loop().create_task(self._confirm(replica, began_s))
            self._questions.add(question)
            question.add_done_callback(self._questions.discard)

    def succeeded(self, identity: RequestIdentity, service: str) -> None:
        """Take a whole answer as a proof that the request does not crash replicas of a service."""
        if len(self._ledger):
            cleared = self._ledger.clear_request(identity.fingerprint(), service)
            self._clear(cleared, "the request was answered")

    def _may_ask(self, life: ReplicaLife, now_s: float) -> bool:
        """Return whether a replica may be asked now which life it is in, and note that it is."""
        self._asked_s = {asked: at_s for asked, at_s in self._asked_s.items() if now_s - at_s < ASK_AGAIN_S}
        if life in self._asked_s:
            return False
        self._asked_s[life] = now_s
        return True

    async def _confirm(self, replica: ReplicaPlace, began_s: float) -> None:
        told = await self._reporter.read_life(replica.life, replica.address)
        if told == replica.life:
            self._clear_replica(replica.life, began_s)
        elif told is None and self._reporter.is_current():
            self._clear_replica(replica.life, began_s - SETTLED_S)

    def _clear_replica(self, replica: ReplicaLife, began_s: float) -> None:
        self._clear(self._ledger.clear_replica(replica, began_s), "the replica lives")

    def _held_for_s(self, identity: RequestIdentity) -> float:
        if not len(self._ledger):
            return 0.0
        return self._ledger.held_for_s(identity.fingerprint(), unix_s())

    async def _look(self, identity: RequestIdentity, replica: ReplicaPlace) -> None:
        if replica.replaced or await self._reporter.has_ended(replica.address):
            self.ended(identity, replica)

    def ended(self, identity: RequestIdentity, replica: ReplicaPlace) -> None:
        """Report a replica that has certainly ended while it ran a request."""
        fingerprint = identity.fingerprint()
        self._reporter.set_aside(replica.life, monotonic_s())
        report = CrashReport(
            fingerprint=fingerprint,
            replica_id=replica.life.replica_id,
            born_unix_ms=replica.life.born_unix_ms,
            service=replica.service,
            limit=identity.crash_limit,
            at_unix_s=unix_s(),
        )
        if not self._ledger.add(report, monotonic_s()):
            return
        self._reporter.report(report)
        self._decisions.write(
            ReplicaCrashed(
                replica_id=replica.life.replica_id,
                fingerprint=fingerprint,
                crashes=self._ledger.crashes(fingerprint, unix_s()),
            )
        )

    def _forget_look(self, fingerprint: str, look: asyncio.Task[None]) -> None:
        looks = self._looks[fingerprint]
        looks.discard(look)
        if not looks:
            del self._looks[fingerprint]

    def _clear(self, reports: list[CrashReport], reason: str) -> None:
        for report in reports:
            self._reporter.clear(report)
            self._decisions.write(
                CrashReportsCleared(
                    replica_id=report.replica_id, fingerprint=report.fingerprint, reason=reason
                )
            )


def _may_be_crash(error: PassgateError) -> bool:
    """Whether a replica that ended fails an attempt like this: cut off after it was sent."""
    broken = isinstance(error, (BackendUnreachable, IncompleteAnswer))
    return broken and error.execution is ExecutionStatus.UNKNOWN
