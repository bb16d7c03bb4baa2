"""Region-restricted jobs: which daemons hold their bodies and own them, over one log in virtual time."""

import asyncio
import contextlib
from types import SimpleNamespace

import msgspec
import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.eligibility.topology import Topology
from passgate.emulator.shared_log import MemorySharedLog
from passgate.errors import DurabilityUnknown, LogUnavailable, NoRegionAllowed, NotReady
from passgate.gateway.routes import ITEM_TIME_TO_LIVE_S, ConfigHolder, GatewayConfig, Route, WeightedService
from passgate.gateway.zone_distances import RTT_WINDOW_S, ZoneDistances
from passgate.jobs.reader import find_job
from passgate.jobs.records import BodiesLocation, ItemBodies, ResultState, RewardSpec
from passgate.jobs.restricted_bodies import BodiesReader, RestrictedJob, bodies_topic
from passgate.jobs.runner import EXPIRY_MARGIN_S
from passgate.sharedlog.group import DIRECTORY_REFRESH_S
from tests.job_daemons import (
    HOST,
    TAKEOVER_LIMIT_S,
    Daemon,
    daemon_of_writer,
    job_spec,
    network_by_log,
    wait_until_complete,
)

REGION_BY_ZONE = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}
BODY = b"what only some regions may hold"
PROPAGATION_S = 1.0


def configuration(version, *regions):
    route = Route(
        name="r",
        host=HOST,
        path_prefix="/p/",
        parts=(WeightedService("s", 1),),
        allowed_regions=frozenset(regions),
    )
    return GatewayConfig(version=version, routes=(route,))


def spec_with_bodies(job_id, count=4):
    spec = job_spec(job_id, count)
    reward = RewardSpec(id="x", host=HOST, path="/p/", body=BODY)
    items = tuple(msgspec.structs.replace(item, body=BODY, reward=reward) for item in spec.items)
    return msgspec.structs.replace(spec, items=items)


class Fleet:
    """Two daemons in each zone, which share one configuration."""

    def __init__(self, log, *regions):
        self.log = log
        self.config_holder = ConfigHolder()
        self.config_holder.apply_if_newer(configuration(1, *regions))
        self.daemons = [
            Daemon(
                log,
                f"d{number}{zone}",
                zone=zone,
                config_holder=self.config_holder,
                region_by_zone=REGION_BY_ZONE,
            ).start()
            for zone in REGION_BY_ZONE
            for number in (1, 2)
        ]

    def daemons_in(self, region):
        return [daemon for daemon in self.daemons if REGION_BY_ZONE[daemon.zone] == region]

    def regions_with_bodies(self, job_id):
        """Return the regions of the daemons that hold bodies of a job."""
        found = set()
        for daemon in self.daemons:
            job = daemon.job_partitions.of_host(HOST).projection.jobs.get(job_id)
            if job is not None and any(item.body or item.reward.body for item in job.spec().items):
                found.add(REGION_BY_ZONE[daemon.zone])
        return found

    async def owner_region(self, job_id):
        owner = await self.daemons_in("a")[0].read_owner(job_id)
        return REGION_BY_ZONE[daemon_of_writer(self.daemons, owner).zone] if owner else ""

    async def close(self):
        for daemon in self.daemons:
            await daemon.kill()


def with_fleet(*regions):
    def decorate(test):
        def run():
            async def main():
                fleet = Fleet(MemorySharedLog(), *regions)
                await asyncio.sleep(2.5)
                try:
                    await test(fleet)
                finally:
                    await fleet.close()

            run_virtual(main())

        run.__name__ = test.__name__
        return run

    return decorate


async def submit(daemon, job_id, count=4):
    await daemon.service.submit(spec_with_bodies(job_id, count), monotonic_s() + 3.0)


@with_fleet("b", "c")
async def test_bodies_reach_only_daemons_of_allowed_regions_wherever_the_job_is_submitted(fleet):
    for number, region in enumerate("abc"):
        await submit(fleet.daemons_in(region)[0], f"j{number}")
        await asyncio.sleep(PROPAGATION_S)
        assert fleet.regions_with_bodies(f"j{number}") == {"b", "c"}
        assert await fleet.owner_region(f"j{number}") in {"b", "c"}
    await wait_until_complete(fleet.daemons, ["j0", "j1", "j2"])
    topic = bodies_topic("jobs", frozenset("bc"))
    partitions_with_bodies = [
        partition
        for partition in range(fleet.log.partition_count)
        if fleet.log.partition(topic, partition).end
    ]
    assert len(partitions_with_bodies) == 1


@with_fleet("b")
async def test_a_body_is_readable_at_any_daemon_and_stored_at_none_outside_its_regions(fleet):
    await submit(fleet.daemons_in("a")[0], "j")
    await asyncio.sleep(PROPAGATION_S)
    for daemon in fleet.daemons:
        assert await daemon.service.read_body(HOST, "j", "j-0") == BODY
    assert fleet.regions_with_bodies("j") == {"b"}


@with_fleet("b")
async def test_a_body_is_not_readable_while_its_region_is_unreachable(fleet):
    await submit(fleet.daemons_in("b")[0], "j")
    await asyncio.sleep(PROPAGATION_S)
    network_by_log[fleet.log].cut(lambda address, zone: address[2:].startswith("b"))
    with pytest.raises(NotReady):
        await fleet.daemons_in("a")[0].service.read_body(HOST, "j", "j-0")
    network_by_log[fleet.log].heal()
    assert await fleet.daemons_in("a")[0].service.read_body(HOST, "j", "j-0") == BODY


@with_fleet("b")
async def test_a_job_of_a_lost_region_waits_until_the_region_is_back(fleet):
    lost = fleet.daemons_in("b")
    await submit(lost[0], "j", count=20)
    await asyncio.sleep(PROPAGATION_S)
    for daemon in lost:
        await daemon.kill()
    fleet.daemons = fleet.daemons_in("a") + fleet.daemons_in("c")
    await asyncio.sleep(6.0)
    job = await find_job(fleet.daemons[0].job_partitions.of_host(HOST), "j")
    assert job.is_open and job.owner in {daemon.name for daemon in lost}
    fleet.daemons += [
        Daemon(
            fleet.log,
            f"d{n}b1",
            incarnation=1,
            zone="b1",
            config_holder=fleet.config_holder,
            region_by_zone=REGION_BY_ZONE,
        ).start()
        for n in (1, 2)
    ]
    await wait_until_complete(fleet.daemons, ["j"])


@with_fleet()
async def test_a_job_without_restrictions_is_stored_with_its_bodies_on_the_common_topic(fleet):
    await submit(fleet.daemons_in("a")[0], "j")
    await asyncio.sleep(PROPAGATION_S)
    assert fleet.regions_with_bodies("j") == {"a", "b", "c"}
    assert {topic for topic, _ in fleet.log._partitions if "bodies" in topic} == set()


@with_fleet()
async def test_a_job_moves_to_the_regions_that_a_changed_configuration_allows(fleet):
    await submit(fleet.daemons_in("a")[0], "j", count=30)
    await asyncio.sleep(PROPAGATION_S)
    before = await fleet.owner_region("j")
    allowed = next(region for region in "abc" if region != before)
    fleet.config_holder.apply_if_newer(configuration(2, allowed))
    await asyncio.sleep(TAKEOVER_LIMIT_S)
    assert await fleet.owner_region("j") == allowed
    owner = daemon_of_writer(fleet.daemons, await fleet.daemons_in("a")[0].read_owner("j"))
    assert [daemon.name for daemon in fleet.daemons if daemon.job_partitions.running_jobs] == [owner.name]
    await wait_until_complete(fleet.daemons, ["j"])


@with_fleet("b")
async def test_bodies_stay_in_their_regions_when_the_route_of_their_job_is_removed(fleet):
    await submit(fleet.daemons_in("b")[0], "j", count=30)
    await asyncio.sleep(PROPAGATION_S)
    fleet.config_holder.apply_if_newer(GatewayConfig(version=2, routes=()))
    await asyncio.sleep(PROPAGATION_S)
    assert fleet.regions_with_bodies("j") == {"b"}


@with_fleet("b")
async def test_a_daemon_cut_off_from_the_log_sends_no_bodies_to_daemons_of_other_regions(fleet):
    outside = fleet.daemons_in("a")[0]
    await asyncio.sleep(6.0)
    fleet.log.cut_off_clients = {outside.name.split(".")[0]}
    with contextlib.suppress(Exception):
        await outside.service.submit(spec_with_bodies("j"), monotonic_s() + 2.0)
    fleet.log.cut_off_clients = set()
    await asyncio.sleep(PROPAGATION_S)
    assert fleet.regions_with_bodies("j") <= {"b"}
    sent = [
        event
        for daemon in fleet.daemons_in("a")[1:]
        for event in daemon.events
        if event.name == "job_accepted"
    ]
    assert sent == []


def cut_off_region(fleet, region):
    fleet.log.cut_off_clients = {daemon.name.split(".")[0] for daemon in fleet.daemons_in(region)}


@with_fleet()
async def test_a_region_cut_off_from_the_log_accepts_jobs_through_another_region(fleet):
    await asyncio.sleep(DIRECTORY_REFRESH_S)
    cut_off_region(fleet, "a")
    await asyncio.sleep(3.0)
    began_s = monotonic_s()
    await submit(fleet.daemons_in("a")[0], "j")
    assert monotonic_s() - began_s < 1.5
    await asyncio.sleep(PROPAGATION_S)
    assert (await fleet.daemons_in("a")[0].service.read_results(HOST, "j", 0, 1.0)).total == 4
    fleet.log.cut_off_clients = set()
    await wait_until_complete(fleet.daemons, ["j"])


@with_fleet("a")
async def test_a_job_restricted_to_a_region_cut_off_from_the_log_goes_to_no_other_region(fleet):
    await asyncio.sleep(DIRECTORY_REFRESH_S)
    cut_off_region(fleet, "a")
    await asyncio.sleep(3.0)
    with pytest.raises((LogUnavailable, DurabilityUnknown)):
        await submit(fleet.daemons_in("a")[0], "j")
    fleet.log.cut_off_clients = set()
    await asyncio.sleep(PROPAGATION_S)
    assert fleet.regions_with_bodies("j") <= {"a"}


def test_a_job_that_no_region_may_serve_is_refused():
    async def main():
        fleet = Fleet(MemorySharedLog(), "a")
        fleet.config_holder.send_context_for = allow_no_region(fleet.config_holder.send_context_for)
        for daemon in fleet.daemons:
            daemon.job_partitions.restricted_bodies._find_send_context = fleet.config_holder.send_context_for
        await asyncio.sleep(2.5)
        with pytest.raises(NoRegionAllowed):
            await submit(fleet.daemons_in("a")[0], "j")
        await fleet.close()

    run_virtual(main())


def allow_no_region(send_context_for):
    def context_without_regions(*arguments):
        return msgspec.structs.replace(send_context_for(*arguments), allowed_regions=frozenset())

    return context_without_regions


@with_fleet("a")
async def test_items_of_a_job_that_no_daemon_may_own_any_more_expire(fleet):
    await submit(fleet.daemons_in("a")[0], "j", count=30)
    partition = fleet.daemons_in("a")[0].job_partitions.of_host(HOST)
    while len((await find_job(partition, "j")).results) < 2:
        await asyncio.sleep(0.05)
    no_region = allow_no_region(fleet.config_holder.send_context_for)
    for daemon in fleet.daemons:
        daemon.job_partitions.restricted_bodies._find_send_context = no_region
    await asyncio.sleep(PROPAGATION_S)
    results_before = list((await find_job(partition, "j")).results)
    assert 2 <= len(results_before) < 5
    await asyncio.sleep(ITEM_TIME_TO_LIVE_S - PROPAGATION_S)
    assert (await find_job(partition, "j")).results == results_before
    await asyncio.sleep(EXPIRY_MARGIN_S + PROPAGATION_S)
    job = await find_job(partition, "j")
    assert job.results[: len(results_before)] == results_before and not job.is_open
    assert {result.state for result in job.results[len(results_before) :]} == {ResultState.DEAD}
    assert not any(daemon.job_partitions.running_jobs for daemon in fleet.daemons)


def test_failed_reads_of_bodies_are_retried_with_growing_pauses_and_mismatched_bodies_are_not():
    async def main():
        reads, lost_bodies_events = [], []
        bodies = SimpleNamespace(
            may_hold=lambda *names: True,
            decisions=SimpleNamespace(write=lost_bodies_events.append),
            read=None,
        )
        reader = BodiesReader(bodies, deliver=lambda job_id, found: len(found) == 1)
        location = BodiesLocation(topic="t", partition=0, first=0, last=0, nonce="n")
        job = RestrictedJob(job_id="j", host="h", path="/p/", tenant=None, location=location)

        async def unreadable(where):
            reads.append(monotonic_s())
            raise LogUnavailable("some pieces of the job's bodies are missing")

        async def mismatched(where):
            return (ItemBodies(b"one"), ItemBodies(b"two"))

        bodies.read = unreadable
        until_s = monotonic_s() + 20.0
        while monotonic_s() < until_s:
            await reader.start_reading(job)
        assert len(reads) < 20 and not lost_bodies_events
        bodies.read = mismatched
        await reader.start_reading(job)
        assert [event.job_id for event in lost_bodies_events] == ["j"]
        assert reader.start_reading(job) is None

    run_virtual(main())


def test_timeouts_do_not_change_with_distances_within_one_region():
    distances = ZoneDistances(Topology(zone="a1", region_by_zone={"a1": "a", "a2": "a"}))
    for step in range(10):
        distances.record_round_trip("a2", 3.0, RTT_WINDOW_S * step)
    assert distances.response_timeout_s(0.1) == distances.response_timeout_s(0.1, "a2") == 0.1


@with_fleet("b")
async def test_discarded_bodies_are_read_again_when_their_region_is_allowed_again(fleet):
    await submit(fleet.daemons_in("b")[0], "j", count=400)
    await asyncio.sleep(PROPAGATION_S)
    assert fleet.regions_with_bodies("j") == {"b"}
    fleet.config_holder.apply_if_newer(configuration(2, "a"))
    await asyncio.sleep(PROPAGATION_S)
    assert fleet.regions_with_bodies("j") == {"a"}
    fleet.config_holder.apply_if_newer(configuration(3, "b"))
    await asyncio.sleep(PROPAGATION_S)
    assert fleet.regions_with_bodies("j") == {"b"}
