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
from passgate.jobs.liveness import AliveResponse
from passgate.jobs.reader import ResultPage
from passgate.jobs.records import ItemProgressed, ItemsDone, JobSpec, encode_spec
from passgate.jobs.take_over import UnappendedEntries
from passgate.peers.transport import PeerTransport
from passgate.sharedlog.group import GroupDirectory, OtherZones
from passgate.sharedlog.member_names import address_of

RESPONSE_TIMEOUT_S = 0.35
"""Time for an answer beyond the wait that is asked for."""
OWN_TIMEOUT_S = 0.1
"""Time for a watcher to say that it takes a new job."""
MAX_VIEW_AGE_FOR_PEERS_S = 0.6
"""Greatest age of the view of the log with which "nothing new" is said to another daemon."""
NEXT_CALL_DELAY_S = 0.15
"""Time for a daemon to answer before another one is asked as well."""
MAX_CALLED_IN_ZONE = 3
"""Daemons that are asked by one that can not reach the log."""
MAX_CALLED_PER_DISTANCE = 2
"""Daemons of other zones of the region, and of other regions, that are asked after those."""
CATCH_UP_TIMEOUT_S = 3.0
"""Time for a zone to find a watcher (a lost one lapses after 1.2 s) and for it to read a partition."""
CATCH_UP_RETRY_PAUSE_S = 0.1
"""Time before a watcher that still reads its partition is asked again."""
ALIVE_TIMEOUT_S = 0.3
"""Time for a daemon to say that it lives."""

RELEASE_JOBS_TIMEOUT_S = 0.3
"""Time for a daemon that is cut off from the log to hand over what it made."""

METHOD_ALIVE, METHOD_RELEASE_JOBS, METHOD_OWN, METHOD_SUBMIT = (
    "jobs.alive",
    "jobs.hand_over",
    "jobs.own",
    "jobs.submit",
)
METHOD_READ, METHOD_BODY, METHOD_END = "jobs.read", "jobs.body", "jobs.end"


class AliveRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks which life of a daemon runs at an address; answered by :class:`AliveResponse`."""

    part: int
    """Partition of which the asker judges the daemon's jobs."""


class ReleaseJobsRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a daemon that is cut off from the log to stop the runs of a partition's jobs."""

    part: int


class ReleaseJobsResponse(msgspec.Struct, frozen=True, kw_only=True):
    """What the runs made that does not stand on the log."""

    entries: tuple[ItemsDone | ItemProgressed, ...] = ()


class OwnRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks whether the watcher of a partition takes a new job."""

    part: int


class OwnResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Writer that owns the new job; empty when it does not."""

    writer: str


class SubmitRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks to put a job on the log, for a daemon that can not reach it."""

    spec: bytes
    """Encoded, see :func:`passgate.jobs.records.encode_spec`."""
    patience_s: float


class ReadResultsRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for results from a position on."""

    host: str
    job_id: str
    position: int
    wait_s: float
    relay: bool = False
    """The sender can not reach the log; whoever is asked shall ask the watcher if need be."""


class ReadBodyRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for the body of an item."""

    host: str
    job_id: str
    item_id: str


class EndRequest(msgspec.Struct, frozen=True, kw_only=True):
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
        member_name: str,
        decisions: DecisionLog,
        distances: Distances | None = None,
        other_zones: OtherZones | None = None,
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
        self._other_zones = other_zones
        self._transport = transport
        self._directory = directory
        self._member_name = member_name
        self._decisions = decisions
        self._unanswered_since_s_by_partition: dict[int, float] = {}
        """Since when nobody could tell of a partition, by partition."""

    @property
    def zone(self) -> str:
        """Zone of this daemon."""
        return self._distances.places.zone

    async def life_at(self, writer: str, partition: int) -> AliveResponse | None:
        """Return what is answered at a writer's address; None when nobody answers."""
        payload_of_request = msgspec.json.encode(AliveRequest(part=partition))
        try:
            began_s = monotonic_s()
            patience_s = self._distances.patience_s(ALIVE_TIMEOUT_S)
            payload = await self._transport.call(
                address_of(writer), METHOD_ALIVE, payload_of_request, patience_s
            )
            alive = msgspec.json.decode(payload, type=AliveResponse)
            if alive.zone:
                self._distances.observe(alive.zone, monotonic_s() - began_s, monotonic_s())
            return alive
        except (PeerError, msgspec.DecodeError):
            return None  # the caller notes who counts as dead, and why

    async def release_jobs(self, writer: str, partition: int) -> UnappendedEntries:
        """Let a writer that is cut off from the log stop; nothing is handed over when it does not answer."""
        question = msgspec.json.encode(ReleaseJobsRequest(part=partition))
        try:
            patience_s = self._distances.patience_s(RELEASE_JOBS_TIMEOUT_S)
            payload = await self._transport.call(
                address_of(writer), METHOD_RELEASE_JOBS, question, patience_s
            )
            return msgspec.json.decode(payload, type=ReleaseJobsResponse).entries
        except (PeerError, msgspec.DecodeError) as error:
            self._decisions.write(PeerFailed(peer=address_of(writer), part=partition, reason=str(error)))
            return ()

    async def find_owner(self, partition: int) -> str:
        """Return the writer of the watcher that takes a new job, or nothing."""
        try:
            patience_s = self._distances.patience_s(OWN_TIMEOUT_S, self.zone)
            payload = await self._call_watcher(partition, METHOD_OWN, OwnRequest(part=partition), patience_s)
        except PeerError:
            return ""
        return msgspec.json.decode(payload, type=OwnResponse).writer

    async def find_owner_in_regions(self, partition: int, regions: frozenset[str] | None) -> str:
        """Return the writer of the nearest watcher in some regions that takes a new job, or nothing.

        Such a watcher claims a job that nobody owns, but only once its view of the log is fresh.
        """
        question = OwnRequest(part=partition)
        for zone, watcher in await self._watchers_in_other_zones(partition):
            if not may_be_in(regions, self._distances.places.region_of(zone)):
                continue
            patience_s = self._distances.patience_s(OWN_TIMEOUT_S, zone)
            began_s = monotonic_s()
            try:
                payload = await self._call_member(watcher, partition, METHOD_OWN, question, patience_s)
            except PeerError:
                continue  # noted with its reason; the next one is asked
            self._distances.observe(zone, monotonic_s() - began_s, monotonic_s())
            if writer := msgspec.json.decode(payload, type=OwnResponse).writer:
                return writer
        return ""

    async def submit(
        self, partition: int, spec: JobSpec, timeout_s: float, regions: frozenset[str] | None = None
    ) -> None:
        """Let a daemon of some regions put a job on the log; raises PeerError when it may not stand there."""
        request = SubmitRequest(spec=encode_spec(spec), patience_s=timeout_s)
        await self._call_any(partition, METHOD_SUBMIT, request, timeout_s, regions)

    async def read_results(self, partition: int, request: ReadResultsRequest) -> ResultPage:
        """Return results from a position on; raises PeerError or NotFound."""
        payload = await self._call_until_caught_up(
            partition, METHOD_READ, request, request.wait_s + self._response_timeout_s()
        )
        return msgspec.json.decode(payload, type=ResultPage)

    async def read_results_via_any(self, partition: int, request: ReadResultsRequest) -> ResultPage:
        """Do the same for a daemon that can not reach the log, and so may not know who watches."""
        relay_request = msgspec.structs.replace(request, relay=True)
        payload = await self._call_any(
            partition, METHOD_READ, relay_request, request.wait_s + 2 * self._response_timeout_s()
        )
        return msgspec.json.decode(payload, type=ResultPage)

    async def read_body(self, partition: int, request: ReadBodyRequest) -> bytes:
        """Return the body of an item; raises PeerError or NotFound."""
        return await self._call_until_caught_up(partition, METHOD_BODY, request, self._response_timeout_s())

    async def read_body_in_other_zones(self, partition: int, request: ReadBodyRequest) -> bytes:
        """Return the body of an item that other regions hold; raises PeerError or NotFound."""
        failure: PassgateError | None = None
        for zone, watcher in await self._watchers_in_other_zones(partition):
            patience_s = self._distances.patience_s(RESPONSE_TIMEOUT_S, zone)
            try:
                return await self._call_member(watcher, partition, METHOD_BODY, request, patience_s)
            except (PeerError, BodiesElsewhere) as error:
                failure = error
        raise PeerUnreachable("no daemon of another zone has the body", part=partition) from failure

    async def _watchers_in_other_zones(self, partition: int) -> list[tuple[str, str]]:
        """Return other zones and their watchers of a partition: own region, then others, nearest first."""
        if self._other_zones is None:
            return []
        zones = self._other_zones.nearest_first()
        watchers = await asyncio.gather(*(directory.member_of(partition) for _, directory in zones))
        return [(zone, watcher) for (zone, _), watcher in zip(zones, watchers, strict=True) if watcher]

    def _response_timeout_s(self) -> float:
        """Return the time for an answer; the watcher may be in another zone when this one has none."""
        return self._distances.patience_s(RESPONSE_TIMEOUT_S)

    async def end_job(self, partition: int, request: EndRequest) -> None:
        """End a job and return once that stands on the log; raises PeerError or NotFound."""
        await self._call_watcher(partition, METHOD_END, request, request.patience_s)

    async def end_job_via_any(self, partition: int, request: EndRequest) -> None:
        """Do the same for a daemon that can not reach the log."""
        relay_request = msgspec.structs.replace(request, relay=True)
        await self._call_any(partition, METHOD_END, relay_request, request.patience_s)

    async def _call_until_caught_up(
        self, partition: int, method: str, request: msgspec.Struct, timeout_s: float
    ) -> bytes:
        """Ask until an answer comes or its time is over; a watcher that has just begun reads first.

        Raises PeerCatchingUp when an answer may soon be had, and after a while PeerUnreachable.
        """
        until_s = monotonic_s() + timeout_s
        while True:
            try:
                payload = await self._call_watcher(partition, method, request, until_s - monotonic_s())
                self._unanswered_since_s_by_partition.pop(partition, None)
                return payload
            except PeerCatchingUp as error:
                now_s = monotonic_s()
                if (
                    now_s - self._unanswered_since_s_by_partition.setdefault(partition, now_s)
                    > CATCH_UP_TIMEOUT_S
                ):
                    raise PeerUnreachable("nobody can tell of the partition", part=partition) from error
                if now_s + CATCH_UP_RETRY_PAUSE_S >= until_s:
                    raise
            await asyncio.sleep(CATCH_UP_RETRY_PAUSE_S)

    async def _call_watcher(
        self, partition: int, method: str, request: msgspec.Struct, timeout_s: float
    ) -> bytes:
        """Ask the watcher; when it can not tell, ask the one before it, which reads on for some time."""
        until_s = monotonic_s() + timeout_s
        watcher = await self._directory.member_of(partition)
        if watcher is None and self._distances.several_regions:
            watcher = await self._nearest_watcher_in_other_zones(partition)
        if watcher is None:
            raise PeerCatchingUp("no watcher is known", part=partition)
        if watcher == self._member_name:
            raise PeerUnreachable("nobody else watches the partition", part=partition)
        try:
            return await self._call_member(watcher, partition, method, request, timeout_s)
        except PeerCatchingUp:
            earlier = self._directory.earlier_member_of(partition)
            if earlier is None or earlier in (self._member_name, watcher):
                raise
            return await self._call_member(earlier, partition, method, request, until_s - monotonic_s())

    async def _nearest_watcher_in_other_zones(self, partition: int) -> str | None:
        """Return the nearest watcher of another zone, as there is none in this one."""
        return next((watcher for _, watcher in await self._watchers_in_other_zones(partition)), None)

    def _members_to_call(self, regions: frozenset[str] | None) -> list[str]:
        """Return members of some regions: those of the own zone last, as the last is asked first."""
        places = self._distances.places
        remote_members = self._other_zones.known_members() if self._other_zones is not None else []
        remote_members = [
            (zone, member) for zone, member in remote_members if may_be_in(regions, places.region_of(zone))
        ]
        local_region = [member for zone, member in remote_members if self._distances.is_home(zone)][
            :MAX_CALLED_PER_DISTANCE
        ]
        remote_regions = [member for zone, member in remote_members if not self._distances.is_home(zone)]
        members = [*local_region, *remote_regions[:MAX_CALLED_PER_DISTANCE]][::-1]
        if may_be_in(regions, places.region):
            members += self._directory.others(self._member_name)[:MAX_CALLED_IN_ZONE]
        return members

    async def _call_any(
        self,
        partition: int,
        method: str,
        request: msgspec.Struct,
        timeout_s: float,
        regions: frozenset[str] | None = None,
    ) -> bytes:
        """Ask members one after the other, without waiting long for each; return the first answer."""
        members = self._members_to_call(regions)
        if not members:
            raise PeerUnreachable("no other daemon is known", part=partition)
        pending_calls: set[asyncio.Task[bytes]] = set()
        failure: BaseException | None = None
        try:
            while members or pending_calls:
                if members:
                    call = self._call_member(members.pop(), partition, method, request, timeout_s)
                    pending_calls.add(asyncio.get_running_loop().create_task(call))
                patience_s = self._distances.patience_s(NEXT_CALL_DELAY_S, self.zone) if members else None
                done, pending_calls = await asyncio.wait(
                    pending_calls, timeout=patience_s, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    if task.exception() is None or isinstance(task.exception(), NotFound):
                        return task.result()
                    failure = task.exception()
        finally:
            for task in pending_calls:
                task.cancel()
        raise PeerError("no other daemon can tell", part=partition) from failure

    async def _call_member(
        self, member: str, partition: int, method: str, request: msgspec.Struct, timeout_s: float
    ) -> bytes:
        address = address_of(member)
        try:
            return await self._transport.call(address, method, msgspec.json.encode(request), timeout_s)
        except PeerCallFailed as error:
            if error.details.get("peer_code") == NotFound.code:
                raise NotFound(str(error), execution=ExecutionStatus.NOT_RUN) from error
            self._write_failure(address, partition, error)
            if error.details.get("peer_code") == BodiesElsewhere.code:
                raise BodiesElsewhere(str(error), execution=ExecutionStatus.NOT_RUN) from error
            if error.details.get("peer_code") == NotReady.code:
                raise PeerCatchingUp(str(error), part=partition) from error
            self._directory.forget()
            raise
        except PeerError as error:
            self._write_failure(address, partition, error)
            self._directory.forget()
            raise

    def _write_failure(self, address: str, partition: int, error: PassgateError) -> None:
        reason = error.details.get("peer_code", error.code)
        self._decisions.write(PeerFailed(peer=address, part=partition, reason=reason))
