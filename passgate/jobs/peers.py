"""Questions about jobs between daemons.

A daemon that does not follow a job's partition asks the one that watches it in its zone.  The
watcher's name in the log's group holds its address, so no daemon needs to know the
others.  An answer that does not come costs little: the partition is then read from
the log.  The watcher of a partition also asks an owner that is silent on the log
whether it lives, and so need not wait for its whole patience when it does not.
"""

from __future__ import annotations

import asyncio

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, PeerFailed
from passgate.eligibility.places import Places
from passgate.eligibility.regions import may_be_in
from passgate.errors import (
    BodiesElsewhere,
    ExecutionStatus,
    NotFound,
    NotReady,
    PassgateError,
    PeerCallFailed,
    PeerCatchingUp,
    PeerError,
    PeerUnreachable,
)
from passgate.gateway.distance import Distances
from passgate.jobs.liveness import Alive
from passgate.jobs.reader import ResultPage
from passgate.jobs.records import ItemProgressed, ItemsDone, JobSpec, encode_spec
from passgate.jobs.take_over import Handed
from passgate.peers.transport import PeerTransport
from passgate.sharedlog.group import GroupDirectory, OtherZones
from passgate.sharedlog.member_names import address_of

ANSWER_S = 0.35
"""Time for an answer beyond the wait that is asked for."""
OWN_S = 0.1
"""Time for a watcher to say that it takes a new job."""
REMOTE_FRESH_S = 0.6
"""Greatest age of the view of the log with which "nothing new" is said to another daemon."""
NEXT_ASKED_S = 0.15
"""Time for a daemon to answer before another one is asked as well."""
MOST_ASKED = 3
"""Daemons that are asked by one that can not reach the log."""
MOST_ASKED_ELSEWHERE = 2
"""Daemons of other zones of the region, and of other regions, that are asked after those."""
CATCH_UP_S = 3.0
"""Time for a zone to find a watcher (a lost one lapses after 1.2 s) and for it to read a partition."""
CATCH_UP_STEP_S = 0.1
"""Time before a watcher that still reads its partition is asked again."""
ALIVE_S = 0.3
"""Time for a daemon to say that it lives."""

HAND_OVER_S = 0.3
"""Time for a daemon that is cut off from the log to hand over what it made."""

ALIVE, HAND_OVER, OWN, SUBMIT = "jobs.alive", "jobs.hand_over", "jobs.own", "jobs.submit"
READ, BODY, END = "jobs.read", "jobs.body", "jobs.end"


class AskAlive(msgspec.Struct, frozen=True, kw_only=True):
    """Asks which life of a daemon runs at an address; answered by :class:`Alive`."""

    part: int
    """Partition of which the asker judges the daemon's jobs."""


class HandOver(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a daemon that is cut off from the log to stop the runs of a partition's jobs."""

    part: int


class HandedOver(msgspec.Struct, frozen=True, kw_only=True):
    """What the runs made that does not stand on the log."""

    entries: tuple[ItemsDone | ItemProgressed, ...] = ()


class OwnJob(msgspec.Struct, frozen=True, kw_only=True):
    """Asks whether the watcher of a partition takes a new job."""

    part: int


class JobTaken(msgspec.Struct, frozen=True, kw_only=True):
    """Writer that owns the new job; empty when it does not."""

    writer: str


class SubmitJob(msgspec.Struct, frozen=True, kw_only=True):
    """Asks to put a job on the log, for a daemon that can not reach it."""

    spec: bytes
    """Encoded, see :func:`passgate.jobs.records.encode_spec`."""
    patience_s: float


class ReadJob(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for results from a position on."""

    host: str
    job_id: str
    position: int
    wait_s: float
    relay: bool = False
    """The sender can not reach the log; whoever is asked shall ask the watcher if need be."""


class ReadBody(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for the body of an item."""

    host: str
    job_id: str
    item_id: str


class EndJob(msgspec.Struct, frozen=True, kw_only=True):
    """Asks to end a job."""

    host: str
    job_id: str
    patience_s: float
    relay: bool = False
    """The sender can not reach the log; the end is to be written unchecked."""


class JobPeers:
    """Asks the watchers of partitions; every failure is a PeerError, but for NotFound."""

    def __init__(
        self,
        transport: PeerTransport,
        directory: GroupDirectory,
        member: str,
        decisions: DecisionLog,
        distances: Distances | None = None,
        elsewhere: OtherZones | None = None,
    ) -> None:
        """Connect the parts.

        Args:
            transport: carries questions to other daemons.
            directory: the members of this daemon's zone.
            member: this daemon's own name among them.
            decisions: where decisions are noted.
            distances: round trips to the zones; without them, all is taken to be near.
            elsewhere: the members of the other zones; None where no other region is known.
        """
        self._distances = distances or Distances(Places(zone=""))
        self._elsewhere = elsewhere
        self._transport = transport
        self._directory = directory
        self._member = member
        self._decisions = decisions
        self._in_doubt_since_s: dict[int, float] = {}
        """Since when nobody could tell of a partition, by partition."""

    @property
    def zone(self) -> str:
        """Zone of this daemon."""
        return self._distances.places.zone

    async def life_at(self, writer: str, part: int) -> Alive | None:
        """Return what is answered at a writer's address; None when nobody answers."""
        question = msgspec.json.encode(AskAlive(part=part))
        try:
            began_s = monotonic_s()
            patience_s = self._distances.patience_s(ALIVE_S)
            payload = await self._transport.call(address_of(writer), ALIVE, question, patience_s)
            alive = msgspec.json.decode(payload, type=Alive)
            if alive.zone:
                self._distances.observe(alive.zone, monotonic_s() - began_s, monotonic_s())
            return alive
        except (PeerError, msgspec.DecodeError):
            return None  # the caller notes who counts as dead, and why

    async def hand_over(self, writer: str, part: int) -> Handed:
        """Let a writer that is cut off from the log stop; nothing is handed over when it does not answer."""
        question = msgspec.json.encode(HandOver(part=part))
        try:
            patience_s = self._distances.patience_s(HAND_OVER_S)
            payload = await self._transport.call(address_of(writer), HAND_OVER, question, patience_s)
            return msgspec.json.decode(payload, type=HandedOver).entries
        except (PeerError, msgspec.DecodeError) as error:
            self._decisions.write(PeerFailed(peer=address_of(writer), part=part, reason=str(error)))
            return ()

    async def owner_of_new(self, part: int) -> str:
        """Return the writer of the watcher that takes a new job, or nothing."""
        try:
            patience_s = self._distances.patience_s(OWN_S, self.zone)
            payload = await self._ask(part, OWN, OwnJob(part=part), patience_s)
        except PeerError:
            return ""
        return msgspec.json.decode(payload, type=JobTaken).writer

    async def owner_in(self, part: int, regions: frozenset[str] | None) -> str:
        """Return the writer of the nearest watcher in some regions that takes a new job, or nothing.

        Such a watcher claims a job that nobody owns, but only once its view of the log is fresh.
        """
        question = OwnJob(part=part)
        for zone, watcher in await self._watchers_elsewhere(part):
            if not may_be_in(regions, self._distances.places.region_of(zone)):
                continue
            patience_s = self._distances.patience_s(OWN_S, zone)
            began_s = monotonic_s()
            try:
                payload = await self._ask_member(watcher, part, OWN, question, patience_s)
            except PeerError:
                continue  # noted with its reason; the next one is asked
            self._distances.observe(zone, monotonic_s() - began_s, monotonic_s())
            if writer := msgspec.json.decode(payload, type=JobTaken).writer:
                return writer
        return ""

    async def submit(
        self, part: int, spec: JobSpec, patience_s: float, regions: frozenset[str] | None = None
    ) -> None:
        """Let a daemon of some regions put a job on the log; raises PeerError when it may not stand there."""
        question = SubmitJob(spec=encode_spec(spec), patience_s=patience_s)
        await self._ask_several(part, SUBMIT, question, patience_s, regions)

    async def read(self, part: int, question: ReadJob) -> ResultPage:
        """Return results from a position on; raises PeerError or NotFound."""
        payload = await self._ask_patiently(part, READ, question, question.wait_s + self._answer_s())
        return msgspec.json.decode(payload, type=ResultPage)

    async def read_anywhere(self, part: int, question: ReadJob) -> ResultPage:
        """Do the same for a daemon that can not reach the log, and so may not know who watches."""
        relayed = msgspec.structs.replace(question, relay=True)
        payload = await self._ask_several(part, READ, relayed, question.wait_s + 2 * self._answer_s())
        return msgspec.json.decode(payload, type=ResultPage)

    async def body(self, part: int, question: ReadBody) -> bytes:
        """Return the body of an item; raises PeerError or NotFound."""
        return await self._ask_patiently(part, BODY, question, self._answer_s())

    async def body_elsewhere(self, part: int, question: ReadBody) -> bytes:
        """Return the body of an item that other regions hold; raises PeerError or NotFound."""
        failure: PassgateError | None = None
        for zone, watcher in await self._watchers_elsewhere(part):
            patience_s = self._distances.patience_s(ANSWER_S, zone)
            try:
                return await self._ask_member(watcher, part, BODY, question, patience_s)
            except (PeerError, BodiesElsewhere) as error:
                failure = error
        raise PeerUnreachable("no daemon of another zone has the body", part=part) from failure

    async def _watchers_elsewhere(self, part: int) -> list[tuple[str, str]]:
        """Return other zones and their watchers of a partition: own region, then others, nearest first."""
        if self._elsewhere is None:
            return []
        zones = self._elsewhere.nearest_first()
        watchers = await asyncio.gather(*(directory.member_of(part) for _, directory in zones))
        return [(zone, watcher) for (zone, _), watcher in zip(zones, watchers, strict=True) if watcher]

    def _answer_s(self) -> float:
        """Return the time for an answer; the watcher may be in another zone when this one has none."""
        return self._distances.patience_s(ANSWER_S)

    async def end(self, part: int, question: EndJob) -> None:
        """End a job and return once that stands on the log; raises PeerError or NotFound."""
        await self._ask(part, END, question, question.patience_s)

    async def end_anywhere(self, part: int, question: EndJob) -> None:
        """Do the same for a daemon that can not reach the log."""
        relayed = msgspec.structs.replace(question, relay=True)
        await self._ask_several(part, END, relayed, question.patience_s)

    async def _ask_patiently(
        self, part: int, method: str, question: msgspec.Struct, timeout_s: float
    ) -> bytes:
        """Ask until an answer comes or its time is over; a watcher that has just begun reads first.

        Raises PeerCatchingUp when an answer may soon be had, and after a while PeerUnreachable.
        """
        until_s = monotonic_s() + timeout_s
        while True:
            try:
                payload = await self._ask(part, method, question, until_s - monotonic_s())
                self._in_doubt_since_s.pop(part, None)
                return payload
            except PeerCatchingUp as error:
                now_s = monotonic_s()
                if now_s - self._in_doubt_since_s.setdefault(part, now_s) > CATCH_UP_S:
                    raise PeerUnreachable("nobody can tell of the partition", part=part) from error
                if now_s + CATCH_UP_STEP_S >= until_s:
                    raise
            await asyncio.sleep(CATCH_UP_STEP_S)

    async def _ask(self, part: int, method: str, question: msgspec.Struct, timeout_s: float) -> bytes:
        """Ask the watcher; when it can not tell, ask the one before it, which reads on for some time."""
        until_s = monotonic_s() + timeout_s
        watcher = await self._directory.member_of(part)
        if watcher is None and self._distances.several_regions:
            watcher = await self._nearest_elsewhere(part)
        if watcher is None:
            raise PeerCatchingUp("no watcher is known", part=part)
        if watcher == self._member:
            raise PeerUnreachable("nobody else watches the partition", part=part)
        try:
            return await self._ask_member(watcher, part, method, question, timeout_s)
        except PeerCatchingUp:
            earlier = self._directory.earlier_member_of(part)
            if earlier is None or earlier in (self._member, watcher):
                raise
            return await self._ask_member(earlier, part, method, question, until_s - monotonic_s())

    async def _nearest_elsewhere(self, part: int) -> str | None:
        """Return the nearest watcher of another zone, as there is none in this one."""
        return next((watcher for _, watcher in await self._watchers_elsewhere(part)), None)

    def _members_to_ask(self, regions: frozenset[str] | None) -> list[str]:
        """Return members of some regions: those of the own zone last, as the last is asked first."""
        places = self._distances.places
        far = self._elsewhere.known_members() if self._elsewhere is not None else []
        far = [(zone, member) for zone, member in far if may_be_in(regions, places.region_of(zone))]
        home = [member for zone, member in far if self._distances.is_home(zone)][:MOST_ASKED_ELSEWHERE]
        others = [member for zone, member in far if not self._distances.is_home(zone)]
        members = [*home, *others[:MOST_ASKED_ELSEWHERE]][::-1]
        if may_be_in(regions, places.region):
            members += self._directory.others(self._member)[:MOST_ASKED]
        return members

    async def _ask_several(
        self,
        part: int,
        method: str,
        question: msgspec.Struct,
        timeout_s: float,
        regions: frozenset[str] | None = None,
    ) -> bytes:
        """Ask members one after the other, without waiting long for each; return the first answer."""
        members = self._members_to_ask(regions)
        if not members:
            raise PeerUnreachable("no other daemon is known", part=part)
        waiting: set[asyncio.Task[bytes]] = set()
        failure: BaseException | None = None
        try:
            while members or waiting:
                if members:
                    call = self._ask_member(members.pop(), part, method, question, timeout_s)
                    waiting.add(asyncio.get_running_loop().create_task(call))
                patience_s = self._distances.patience_s(NEXT_ASKED_S, self.zone) if members else None
                done, waiting = await asyncio.wait(
                    waiting, timeout=patience_s, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    if task.exception() is None or isinstance(task.exception(), NotFound):
                        return task.result()
                    failure = task.exception()
        finally:
            for task in waiting:
                task.cancel()
        raise PeerError("no other daemon can tell", part=part) from failure

    async def _ask_member(
        self, member: str, part: int, method: str, question: msgspec.Struct, timeout_s: float
    ) -> bytes:
        address = address_of(member)
        try:
            return await self._transport.call(address, method, msgspec.json.encode(question), timeout_s)
        except PeerCallFailed as error:
            if error.details.get("peer_code") == NotFound.code:
                raise NotFound(str(error), execution=ExecutionStatus.NOT_RUN) from error
            self._note(address, part, error)
            if error.details.get("peer_code") == BodiesElsewhere.code:
                raise BodiesElsewhere(str(error), execution=ExecutionStatus.NOT_RUN) from error
            if error.details.get("peer_code") == NotReady.code:
                raise PeerCatchingUp(str(error), part=part) from error
            self._directory.forget()
            raise
        except PeerError as error:
            self._note(address, part, error)
            self._directory.forget()
            raise

    def _note(self, address: str, part: int, error: PassgateError) -> None:
        reason = error.details.get("peer_code", error.code)
        self._decisions.write(PeerFailed(peer=address, part=part, reason=reason))
