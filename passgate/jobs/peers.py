"""Calls about jobs between daemons: the client, and the messages of client and server.

In each zone, one daemon is the watcher of a partition: the zone's group on the log assigns the partition to
the daemon, whose member name contains its address.  A daemon that does not follow a job's partition calls the
watcher.  Watchers also probe owners that are silent on the log, to take their jobs over sooner.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog, JobPeerCallFailed
from passgate.eligibility.regions import is_region_allowed
from passgate.eligibility.topology import Topology
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
from passgate.gateway.zone_distances import ZoneDistances
from passgate.jobs.liveness import AliveResponse
from passgate.jobs.log_access import LogAccess, judge_log_access
from passgate.jobs.partition_owners import UnappendedEntries
from passgate.jobs.reader import ResultPage
from passgate.jobs.records import ItemProgressed, ItemsDone, JobSpec, encode_spec
from passgate.peers.transport import PeerTransport
from passgate.sharedlog.group import GroupDirectory, OtherZoneDirectories
from passgate.sharedlog.member_names import address_of

RESPONSE_TIMEOUT_S = 0.35
"""Timeout of a response from a daemon nearby, in addition to the wait that the request contains."""
OWN_TIMEOUT_S = 0.1
"""Timeout of a response by a watcher nearby that was asked to own a new job."""
MAX_VIEW_AGE_FOR_PEERS_S = 0.6
"""Maximum age of this daemon's view of the log with which another daemon gets a page without results."""
NEXT_CALL_DELAY_S = 0.15
"""Time for a daemon nearby to respond before the next one is called as well."""
MAX_CALLED_IN_ZONE = 3
"""Maximum number of daemons called in the own zone if any daemon can handle the call."""
MAX_CALLED_PER_DISTANCE = 2
"""Maximum number of daemons called in other zones of the own region if any daemon can handle the call; also
the maximum in other regions."""
CATCH_UP_TIMEOUT_S = 3.0
"""Time for a zone that lost its watcher to get another, and for this one to read the partition."""
CATCH_UP_RETRY_PAUSE_S = 0.1
"""Pause before a watcher that has not read its partition to the end yet is called again."""
ALIVE_TIMEOUT_S = 0.3
"""Timeout of a response to a probe by a daemon nearby."""

RELEASE_JOBS_TIMEOUT_S = 0.3
"""Timeout of a response by a daemon nearby that was asked to release its jobs."""

METHOD_ALIVE, METHOD_RELEASE_JOBS, METHOD_OWN, METHOD_SUBMIT = (
    "jobs.alive",
    "jobs.hand_over",
    "jobs.own",
    "jobs.submit",
)
METHOD_READ, METHOD_BODY, METHOD_CANCEL = "jobs.read", "jobs.body", "jobs.end"


class AliveRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks which incarnation of a daemon runs at an address; the response is an :class:`AliveResponse`."""

    partition: int = msgspec.field(name="part")
    """Partition whose jobs the caller may take over; the response is about appends to this partition."""


class ReleaseJobsRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a daemon that is cut off from the log to stop its runs of a partition's jobs."""

    partition: int = msgspec.field(name="part")


class ReleaseJobsResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Results and events of stopped runs that the log has not acknowledged; empty if no run was stopped."""

    entries: tuple[ItemsDone | ItemProgressed, ...] = ()


class OwnRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a watcher whether it will own a new job of its partition."""

    partition: int = msgspec.field(name="part")
    """Partition of the new job; only its watcher in the called daemon's zone accepts."""


class OwnResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Whether the called daemon will own the new job."""

    writer: str
    """Writer name of the called daemon; empty when it will not own the job."""


class SubmitRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks to append a job to the log, for a daemon whose own append fails or is slow."""

    spec: bytes
    """The job, encoded by :func:`passgate.jobs.records.encode_spec`."""
    timeout_s: float = msgspec.field(name="patience_s")
    """Time for which the caller waits."""


class ReadResultsRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for results of a job from a position on; the response is a page of results."""

    host: str
    job_id: str
    position: int
    wait_s: float
    """Longest wait for the first result."""
    relay: bool = False
    """Whether a called daemon that is not up to date passes the request on to the partition's watcher."""


class ReadBodyRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for the body of an item; the response is the body itself."""

    host: str
    job_id: str
    item_id: str


class CancelRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks to cancel a job; the response comes once the cancellation is on the log."""

    host: str
    job_id: str
    timeout_s: float = msgspec.field(name="patience_s")
    """Time for which the caller waits."""
    relay: bool = False
    """Whether to append the cancellation without checking that the job exists."""


class JobPeerClient:
    """Calls the watchers of partitions, the owners of jobs, and other daemons.

    Failed calls raise PeerError unless a method's text says otherwise.  A response that a job or item
    does not exist raises NotFound; one that the called daemon's region may not hold the job's bodies raises
    BodiesElsewhere.
    """

    def __init__(
        self,
        transport: PeerTransport,
        directory: GroupDirectory,
        member_name: str,
        decisions: DecisionLog,
        distances: ZoneDistances | None = None,
        other_zones: OtherZoneDirectories | None = None,
    ) -> None:
        """Create the client.

        Args:
            transport: carries the calls.
            directory: members of this daemon's zone and the partitions that they watch.
            member_name: this daemon's own name among them.
            decisions: decision log.
            distances: round-trip times to the zones; None to treat all daemons as nearby.
            other_zones: directories of the other zones; None to call no daemon there.
        """
        self._distances = distances or ZoneDistances(Topology(zone=""))
        self._other_zones = other_zones
        self._transport = transport
        self._directory = directory
        self._member_name = member_name
        self._decisions = decisions
        self._catching_up_since_s_by_partition: dict[int, float] = {}
        """Loop time, by partition, since which the watcher has been catching up at every call."""

    @property
    def zone(self) -> str:
        """Zone of this daemon."""
        return self._distances.topology.zone

    async def probe(self, writer: str, partition: int) -> AliveResponse | None:
        """Return the response of the daemon at the address in a name; None without a valid response.

        Args:
            writer: name of a writer, or of a member of a zone's group.
            partition: partition that the response is about.
        """
        request = msgspec.json.encode(AliveRequest(partition=partition))
        try:
            started_s = monotonic_s()
            timeout_s = self._distances.response_timeout_s(ALIVE_TIMEOUT_S)
            payload = await self._transport.call(address_of(writer), METHOD_ALIVE, request, timeout_s)
            alive = msgspec.json.decode(payload, type=AliveResponse)
            if alive.zone:
                self._distances.record_round_trip(alive.zone, monotonic_s() - started_s, monotonic_s())
            return alive
        except (PeerError, msgspec.DecodeError):
            return None  # expected of a writer that has ended, so no decision line is written

    async def find_log_access(self, partition: int, writers: Sequence[str]) -> LogAccess:
        """Ask other daemons whether the log answers them; return why it does not answer this one.

        Asks the partition's watchers and some members of zones, as far as they are known without the log, and
        ``writers``, which have appended to the partition.
        """
        watchers = [self._directory.known_holder_of(partition)]
        if self._other_zones is not None:
            watchers += self._other_zones.known_holders_of(partition)
        names = [*watchers, *self._members_to_call(None)[::-1], *writers]
        name_by_address = {address_of(name): name for name in names if name}
        name_by_address.pop(address_of(self._member_name), None)
        probes = [self.probe(name, partition) for name in name_by_address.values()]
        responses = [response for response in await asyncio.gather(*probes) if response is not None]
        if not probes and self._distances.other_zones_nearest_first():
            return LogAccess.CUT_OFF  # there may be other daemons, but none is known
        knows_other_zones = self._other_zones is not None and bool(self._other_zones.known_members())
        return judge_log_access(responses, len(probes), self.zone if knows_other_zones else None)

    async def release_jobs(self, writer: str, partition: int) -> UnappendedEntries:
        """Make a writer that is cut off from the log stop its runs of a partition's jobs.

        Returns the results and events that the log has not acknowledged; none if the call fails, or if the
        writer is not cut off any more.
        """
        request = msgspec.json.encode(ReleaseJobsRequest(partition=partition))
        try:
            timeout_s = self._distances.response_timeout_s(RELEASE_JOBS_TIMEOUT_S)
            payload = await self._transport.call(address_of(writer), METHOD_RELEASE_JOBS, request, timeout_s)
            return msgspec.json.decode(payload, type=ReleaseJobsResponse).entries
        except (PeerError, msgspec.DecodeError) as error:
            self._decisions.write(
                JobPeerCallFailed(peer=address_of(writer), part=partition, reason=str(error))
            )
            return ()

    async def find_owner(self, partition: int) -> str:
        """Return the writer name of the partition's watcher if it will own a new job, else ""."""
        try:
            timeout_s = self._distances.response_timeout_s(OWN_TIMEOUT_S, self.zone)
            payload = await self._call_watcher(
                partition, METHOD_OWN, OwnRequest(partition=partition), timeout_s
            )
        except PeerError:
            return ""
        return msgspec.json.decode(payload, type=OwnResponse).writer

    async def find_owner_in_regions(self, partition: int, regions: frozenset[str] | None) -> str:
        """Return the writer name of the nearest watcher in the regions that will own a new job, or "".

        Asks the watchers of other zones only.  Without an owner from the start, the job would wait until a
        watcher with a fresh view of the log claims it.

        Args:
            partition: partition of the job.
            regions: regions in which the owner may be; None for any.
        """
        request = OwnRequest(partition=partition)
        for zone, watcher in await self._watchers_in_other_zones(partition):
            if not is_region_allowed(regions, self._distances.topology.region_of(zone)):
                continue
            timeout_s = self._distances.response_timeout_s(OWN_TIMEOUT_S, zone)
            started_s = monotonic_s()
            try:
                payload = await self._call_member(watcher, partition, METHOD_OWN, request, timeout_s)
            except PeerError:
                continue  # the failed call has written a decision line; try the next watcher
            self._distances.record_round_trip(zone, monotonic_s() - started_s, monotonic_s())
            if writer := msgspec.json.decode(payload, type=OwnResponse).writer:
                return writer
        return ""

    async def submit(
        self, partition: int, spec: JobSpec, timeout_s: float, regions: frozenset[str] | None = None
    ) -> None:
        """Have another daemon, in one of the regions if any are given, append a job to the log.

        Raises PeerError if no daemon has confirmed the append; the job may still be on the log, unless the
        error's execution is NOT_RUN.
        """
        request = SubmitRequest(spec=encode_spec(spec), timeout_s=timeout_s)
        await self._call_any(partition, METHOD_SUBMIT, request, timeout_s, regions)

    async def read_results(self, partition: int, request: ReadResultsRequest) -> ResultPage:
        """Read results at the partition's watcher; raises PeerError or NotFound."""
        payload = await self._call_until_caught_up(
            partition, METHOD_READ, request, request.wait_s + self._response_timeout_s()
        )
        return msgspec.json.decode(payload, type=ResultPage)

    async def read_results_via_any(self, partition: int, request: ReadResultsRequest) -> ResultPage:
        """Read results through any other daemon; raises PeerError or NotFound.

        For a daemon that is cut off from the log, so that it may not know the watcher.
        """
        relay_request = msgspec.structs.replace(request, relay=True)
        payload = await self._call_any(
            partition, METHOD_READ, relay_request, request.wait_s + 2 * self._response_timeout_s()
        )
        return msgspec.json.decode(payload, type=ResultPage)

    async def read_body(self, partition: int, request: ReadBodyRequest) -> bytes:
        """Read the body of an item at the partition's watcher.

        Raises PeerError, NotFound, or BodiesElsewhere when the watcher's region may not hold the body.
        """
        return await self._call_until_caught_up(partition, METHOD_BODY, request, self._response_timeout_s())

    async def read_body_in_other_zones(self, partition: int, request: ReadBodyRequest) -> bytes:
        """Read the body of an item at the watchers of other zones in turn; raises PeerError or NotFound."""
        failure: PassgateError | None = None
        for zone, watcher in await self._watchers_in_other_zones(partition):
            timeout_s = self._distances.response_timeout_s(RESPONSE_TIMEOUT_S, zone)
            try:
                return await self._call_member(watcher, partition, METHOD_BODY, request, timeout_s)
            except (PeerError, BodiesElsewhere) as error:
                failure = error
        raise PeerUnreachable("no watcher in another zone returned the body", part=partition) from failure

    async def _watchers_in_other_zones(self, partition: int) -> list[tuple[str, str]]:
        """Return pairs of another zone and its watcher: first in the local region, then by distance."""
        if self._other_zones is None:
            return []
        zones = self._other_zones.directories_by_distance()
        watchers = await asyncio.gather(*(directory.holder_of(partition) for _, directory in zones))
        return [(zone, watcher) for (zone, _), watcher in zip(zones, watchers, strict=True) if watcher]

    def _response_timeout_s(self) -> float:
        """Return the timeout of a response from any zone, as the watcher may be in another one."""
        return self._distances.response_timeout_s(RESPONSE_TIMEOUT_S)

    async def cancel_job(self, partition: int, request: CancelRequest) -> None:
        """Have the partition's watcher cancel a job; return once that is on the log.

        Raises PeerError or NotFound.
        """
        await self._call_watcher(partition, METHOD_CANCEL, request, request.timeout_s)

    async def cancel_job_via_any(self, partition: int, request: CancelRequest) -> None:
        """Have any other daemon cancel a job, without a check that the job exists; raises PeerError."""
        relay_request = msgspec.structs.replace(request, relay=True)
        await self._call_any(partition, METHOD_CANCEL, relay_request, request.timeout_s)

    async def _call_until_caught_up(
        self, partition: int, method: str, request: msgspec.Struct, timeout_s: float
    ) -> bytes:
        """Call the watcher, and repeat the call until the timeout while the watcher is still catching up.

        Raises PeerCatchingUp if it is still catching up at the timeout, PeerUnreachable if it has been for
        longer than CATCH_UP_TIMEOUT_S in all calls, and what :meth:`_call_watcher` raises.
        """
        until_s = monotonic_s() + timeout_s
        while True:
            try:
                payload = await self._call_watcher(partition, method, request, until_s - monotonic_s())
                self._catching_up_since_s_by_partition.pop(partition, None)
                return payload
            except PeerCatchingUp as error:
                now_s = monotonic_s()
                if (
                    now_s - self._catching_up_since_s_by_partition.setdefault(partition, now_s)
                    > CATCH_UP_TIMEOUT_S
                ):
                    raise PeerUnreachable("no watcher has caught up in time", part=partition) from error
                if now_s + CATCH_UP_RETRY_PAUSE_S >= until_s:
                    raise
            await asyncio.sleep(CATCH_UP_RETRY_PAUSE_S)

    async def _call_watcher(
        self, partition: int, method: str, request: msgspec.Struct, timeout_s: float
    ) -> bytes:
        """Call the watcher; if it is still catching up, call the previous one, if known.

        Without a watcher in this zone, calls that of the nearest other zone if there are several regions.
        Raises PeerCatchingUp if no watcher is known, and PeerUnreachable if this daemon is the watcher.
        """
        until_s = monotonic_s() + timeout_s
        watcher = await self._directory.holder_of(partition)
        if watcher is None and self._distances.has_multiple_regions:
            watcher = await self._nearest_watcher_in_other_zones(partition)
        if watcher is None:
            raise PeerCatchingUp("no watcher is known", part=partition)
        if watcher == self._member_name:
            raise PeerUnreachable("this daemon itself is the partition's watcher", part=partition)
        try:
            return await self._call_member(watcher, partition, method, request, timeout_s)
        except PeerCatchingUp:
            earlier = self._directory.previous_holder_of(partition)
            if earlier is None or earlier in (self._member_name, watcher):
                raise
            return await self._call_member(earlier, partition, method, request, until_s - monotonic_s())

    async def _nearest_watcher_in_other_zones(self, partition: int) -> str | None:
        """Return the member name of the nearest watcher in another zone, or None."""
        return next((watcher for _, watcher in await self._watchers_in_other_zones(partition)), None)

    def _members_to_call(self, regions: frozenset[str] | None) -> list[str]:
        """Return members in the regions (None: any) in reverse order of calls: the own zone's are last."""
        topology = self._distances.topology
        remote_members = self._other_zones.known_members() if self._other_zones is not None else []
        remote_members = [
            (zone, member)
            for zone, member in remote_members
            if is_region_allowed(regions, topology.region_of(zone))
        ]
        local_region_members = [
            member for zone, member in remote_members if self._distances.is_local_region(zone)
        ][:MAX_CALLED_PER_DISTANCE]
        other_region_members = [
            member for zone, member in remote_members if not self._distances.is_local_region(zone)
        ]
        members = [*local_region_members, *other_region_members[:MAX_CALLED_PER_DISTANCE]][::-1]
        if is_region_allowed(regions, topology.region):
            members += self._directory.other_members(self._member_name)[:MAX_CALLED_IN_ZONE]
        return members

    async def _call_any(
        self,
        partition: int,
        method: str,
        request: msgspec.Struct,
        timeout_s: float,
        regions: frozenset[str] | None = None,
    ) -> bytes:
        """Call members, each after a short delay even if those before have not responded.

        Returns the first successful response and cancels the other calls.  A response that the job does not
        exist ends the calls too and raises NotFound.  Raises PeerUnreachable if there is no member to call,
        and PeerError if all calls have failed.
        """
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
                next_call_delay_s = (
                    self._distances.response_timeout_s(NEXT_CALL_DELAY_S, self.zone) if members else None
                )
                done, pending_calls = await asyncio.wait(
                    pending_calls, timeout=next_call_delay_s, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    if task.exception() is None or isinstance(task.exception(), NotFound):
                        return task.result()
                    failure = task.exception()
        finally:
            for task in pending_calls:
                task.cancel()
        raise PeerError("the calls to all other daemons failed", part=partition) from failure

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
            self._directory.invalidate()
            raise
        except PeerError as error:
            self._write_failure(address, partition, error)
            self._directory.invalidate()
            raise

    def _write_failure(self, address: str, partition: int, error: PassgateError) -> None:
        reason = error.details.get("peer_code", error.code)
        self._decisions.write(JobPeerCallFailed(peer=address, part=partition, reason=reason))
