"""Jobs that are bound to regions: who holds their bodies and who owns them, over one log in virtual time."""

import asyncio
import contextlib
from types import SimpleNamespace

import msgspec
import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.eligibility.places import Places
from passgate.emulator.shared_log import MemorySharedLog
from passgate.errors import DurabilityUnknown, LogUnavailable, NoRegionAllowed, NotReady
from passgate.gateway.distance import WINDOW_S, Distances
from passgate.gateway.routes import ITEM_TIME_TO_LIVE_S, ConfigHolder, GatewayConfig, Route, RoutePart
from passgate.jobs.bound_bodies import BodiesReader, RestrictedJob, bodies_topic
from passgate.jobs.reader import find_job
from passgate.jobs.records import BodiesLocation, ItemBodies, ResultState, RewardSpec
from passgate.jobs.runner import EXPIRY_MARGIN_S
from passgate.sharedlog.group import REFRESH_S
from tests.job_daemons import HOST, TAKEN_OVER_SOON_S, Daemon, by_name, job_spec, networks, settle

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}
BODY = b"what only some regions may hold"
SOON_S = 1.0


def configuration(version, *regions):
    route = Route(
        name="r", host=HOST, path_prefix="/p/", parts=(RoutePart("s", 1),), allowed_regions=frozenset(regions)
    )
    return GatewayConfig(version=version, routes=(route,))


def spec_with_bodies(job_id, count=4):
    spec = job_spec(job_id, count)
    reward = RewardSpec(id="x", host=HOST, path="/p/", body=BODY)
    items = tuple(msgspec.structs.replace(item, body=BODY, reward=reward) for item in spec.items)
    return msgspec.structs.replace(spec, items=items)


class Fleet:
    """Two daemons in each zone, under one configuration."""

    def __init__(self, log, *regions):
        self.log = log
        self.config = ConfigHolder()
        self.config.offer(configuration(1, *regions))
        self.daemons = [
            Daemon(log, f"d{number}{zone}", zone=zone, config=self.config, regions=REGIONS).start()
            for zone in REGIONS
            for number in (1, 2)
        ]

    def of(self, region):
        return [daemon for daemon in self.daemons if REGIONS[daemon.zone] == region]

    def holders(self, job_id):
        """Return the regions of the daemons that hold a body of a job."""
        found = set()
        for daemon in self.daemons:
            job = daemon.shards.of(HOST).fold.jobs.get(job_id)
            if job is not None and any(item.body or item.reward.body for item in job.spec().items):
                found.add(REGIONS[daemon.zone])
        return found

    async def region_of_owner(self, job_id):
        owner = await self.of("a")[0].owner(job_id)
        return REGIONS[by_name(self.daemons, owner).zone] if owner else ""

    async def close(self):
        for daemon in self.daemons:
            await daemon.kill()


def in_fleet(*regions):
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


@in_fleet("b", "c")
async def test_bodies_reach_only_daemons_of_allowed_regions_wherever_the_job_is_submitted(fleet):
    for number, region in enumerate("abc"):
        await submit(fleet.of(region)[0], f"j{number}")
        await asyncio.sleep(SOON_S)
        assert fleet.holders(f"j{number}") == {"b", "c"}
        assert await fleet.region_of_owner(f"j{number}") in {"b", "c"}
    await settle(fleet.daemons, ["j0", "j1", "j2"])
    topic = bodies_topic("jobs", frozenset("bc"))
    bound = [part for part in range(fleet.log.parts) if fleet.log.partition(topic, part).end]
    assert len(bound) == 1


@in_fleet("b")
async def test_a_body_is_read_at_any_daemon_and_kept_at_none_outside(fleet):
    await submit(fleet.of("a")[0], "j")
    await asyncio.sleep(SOON_S)
    for daemon in fleet.daemons:
        assert await daemon.service.body(HOST, "j", "j-0") == BODY
    assert fleet.holders("j") == {"b"}


@in_fleet("b")
async def test_a_body_is_not_had_from_elsewhere_while_its_region_is_lost(fleet):
    await submit(fleet.of("b")[0], "j")
    await asyncio.sleep(SOON_S)
    networks[fleet.log].cut(lambda address, zone: address[2:].startswith("b"))
    with pytest.raises(NotReady):
        await fleet.of("a")[0].service.body(HOST, "j", "j-0")
    networks[fleet.log].heal()
    assert await fleet.of("a")[0].service.body(HOST, "j", "j-0") == BODY


@in_fleet("b")
async def test_a_job_of_a_lost_region_waits_for_it(fleet):
    lost = fleet.of("b")
    await submit(lost[0], "j", count=20)
    await asyncio.sleep(SOON_S)
    for daemon in lost:
        await daemon.kill()
    fleet.daemons = fleet.of("a") + fleet.of("c")
    await asyncio.sleep(6.0)
    job = await find_job(fleet.daemons[0].shards.of(HOST), "j")
    assert job.open and job.owner in {daemon.name for daemon in lost}
    fleet.daemons += [
        Daemon(fleet.log, f"d{n}b1", life=1, zone="b1", config=fleet.config, regions=REGIONS).start()
        for n in (1, 2)
    ]
    await settle(fleet.daemons, ["j"])


@in_fleet()
async def test_an_unbound_job_stands_whole_on_the_common_topic(fleet):
    await submit(fleet.of("a")[0], "j")
    await asyncio.sleep(SOON_S)
    assert fleet.holders("j") == {"a", "b", "c"}
    assert {topic for topic, _ in fleet.log._partitions if "bodies" in topic} == set()


@in_fleet()
async def test_a_job_moves_to_the_regions_that_a_changed_configuration_allows(fleet):
    await submit(fleet.of("a")[0], "j", count=30)
    await asyncio.sleep(SOON_S)
    before = await fleet.region_of_owner("j")
    allowed = next(region for region in "abc" if region != before)
    fleet.config.offer(configuration(2, allowed))
    await asyncio.sleep(TAKEN_OVER_SOON_S)
    assert await fleet.region_of_owner("j") == allowed
    owner = by_name(fleet.daemons, await fleet.of("a")[0].owner("j"))
    assert [daemon.name for daemon in fleet.daemons if daemon.shards.running] == [owner.name]
    await settle(fleet.daemons, ["j"])


@in_fleet("b")
async def test_bodies_stay_in_their_regions_when_the_route_of_their_job_is_removed(fleet):
    await submit(fleet.of("b")[0], "j", count=30)
    await asyncio.sleep(SOON_S)
    fleet.config.offer(GatewayConfig(version=2, routes=()))
    await asyncio.sleep(SOON_S)
    assert fleet.holders("j") == {"b"}


@in_fleet("b")
async def test_a_daemon_cut_off_from_the_log_hands_no_bodies_to_neighbours_that_may_not_have_them(fleet):
    outside = fleet.of("a")[0]
    await asyncio.sleep(6.0)
    fleet.log.cut_off = {outside.name.split(".")[0]}
    with contextlib.suppress(Exception):
        await outside.service.submit(spec_with_bodies("j"), monotonic_s() + 2.0)
    fleet.log.cut_off = set()
    await asyncio.sleep(SOON_S)
    assert fleet.holders("j") <= {"b"}
    sent = [event for daemon in fleet.of("a")[1:] for event in daemon.events if event.name == "job_accepted"]
    assert sent == []


def cut_off_from_the_log(fleet, region):
    fleet.log.cut_off = {daemon.name.split(".")[0] for daemon in fleet.of(region)}


@in_fleet()
async def test_a_region_cut_off_from_the_log_accepts_jobs_through_another_region(fleet):
    await asyncio.sleep(REFRESH_S)
    cut_off_from_the_log(fleet, "a")
    await asyncio.sleep(3.0)
    began_s = monotonic_s()
    await submit(fleet.of("a")[0], "j")
    assert monotonic_s() - began_s < 1.5
    await asyncio.sleep(SOON_S)
    assert (await fleet.of("a")[0].service.read(HOST, "j", 0, 1.0)).total == 4
    fleet.log.cut_off = set()
    await settle(fleet.daemons, ["j"])


@in_fleet("a")
async def test_a_job_bound_to_a_region_cut_off_from_the_log_goes_to_no_other(fleet):
    await asyncio.sleep(REFRESH_S)
    cut_off_from_the_log(fleet, "a")
    await asyncio.sleep(3.0)
    with pytest.raises((LogUnavailable, DurabilityUnknown)):
        await submit(fleet.of("a")[0], "j")
    fleet.log.cut_off = set()
    await asyncio.sleep(SOON_S)
    assert fleet.holders("j") <= {"a"}


def test_a_job_that_no_region_may_serve_is_refused():
    async def main():
        fleet = Fleet(MemorySharedLog(), "a")
        fleet.config.terms_for = _nowhere(fleet.config.terms_for)
        for daemon in fleet.daemons:
            daemon.shards.restricted_bodies._find_send_context = fleet.config.terms_for
        await asyncio.sleep(2.5)
        with pytest.raises(NoRegionAllowed):
            await submit(fleet.of("a")[0], "j")
        await fleet.close()

    run_virtual(main())


def _nowhere(terms_for):
    def terms(*told):
        return msgspec.structs.replace(terms_for(*told), regions=frozenset())

    return terms


@in_fleet("a")
async def test_items_of_a_job_that_no_daemon_may_own_any_more_are_listed_as_dead_in_time(fleet):
    await submit(fleet.of("a")[0], "j", count=30)
    shard = fleet.of("a")[0].shards.of(HOST)
    while len((await find_job(shard, "j")).results) < 2:
        await asyncio.sleep(0.05)
    nowhere = _nowhere(fleet.config.terms_for)
    for daemon in fleet.daemons:
        daemon.shards.restricted_bodies._find_send_context = nowhere
    await asyncio.sleep(SOON_S)
    listed = list((await find_job(shard, "j")).results)
    assert 2 <= len(listed) < 5
    await asyncio.sleep(ITEM_TIME_TO_LIVE_S - SOON_S)
    assert (await find_job(shard, "j")).results == listed
    await asyncio.sleep(EXPIRY_MARGIN_S + SOON_S)
    job = await find_job(shard, "j")
    assert job.results[: len(listed)] == listed and not job.open
    assert {result.state for result in job.results[len(listed) :]} == {ResultState.DEAD}
    assert not any(daemon.shards.running for daemon in fleet.daemons)


def test_bodies_that_can_not_be_read_are_asked_for_ever_more_rarely_and_foreign_ones_are_given_up():
    async def main():
        reads, lost = [], []
        bodies = SimpleNamespace(
            may_hold=lambda *names: True, decisions=SimpleNamespace(write=lost.append), read=None
        )
        reader = BodiesReader(bodies, deliver=lambda job_id, found: len(found) == 1)
        place = BodiesLocation(topic="t", part=0, first=0, last=0, nonce="n")
        job = RestrictedJob(job_id="j", host="h", path="/p/", tenant=None, location=place)

        async def unreadable(where):
            reads.append(monotonic_s())
            raise LogUnavailable("not all pieces of the bodies can be read")

        async def foreign(where):
            return (ItemBodies(b"one"), ItemBodies(b"two"))

        bodies.read = unreadable
        until_s = monotonic_s() + 20.0
        while monotonic_s() < until_s:
            await reader.start_reading(job)
        assert len(reads) < 20 and not lost
        bodies.read = foreign
        await reader.start_reading(job)
        assert [event.job_id for event in lost] == ["j"]
        assert reader.start_reading(job) is None

    run_virtual(main())


def test_time_outs_stay_as_they_are_where_there_is_one_region():
    distances = Distances(Places(zone="a1", regions={"a1": "a", "a2": "a"}))
    for step in range(10):
        distances.observe("a2", 3.0, WINDOW_S * step)
    assert distances.patience_s(0.1) == distances.patience_s(0.1, "a2") == 0.1


@in_fleet("b")
async def test_bodies_that_were_dropped_for_a_while_are_read_again(fleet):
    await submit(fleet.of("b")[0], "j", count=400)
    await asyncio.sleep(SOON_S)
    assert fleet.holders("j") == {"b"}
    fleet.config.offer(configuration(2, "a"))
    await asyncio.sleep(SOON_S)
    assert fleet.holders("j") == {"a"}
    fleet.config.offer(configuration(3, "b"))
    await asyncio.sleep(SOON_S)
    assert fleet.holders("j") == {"b"}
