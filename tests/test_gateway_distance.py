"""Distance in the choice of a replica: work stays at home, spills when that is quicker, and damped."""

import asyncio
import collections

from passgate.clock import monotonic_s, run_virtual
from passgate.eligibility.places import Places
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.gateway.distance import MARGIN_S, WINDOW_S, Distances
from passgate.gateway.replicas import FULL_LOAD, ChoiceRequest, ReplicaTable

REGIONS = {f"{region}{number}": region for region in "abc" for number in (1, 2)}
SLOTS, WORK_S, WAY_S = 4, 0.05, 0.024
RUN_S = 6.0
WISH = ChoiceRequest(services=frozenset({"s"}))


class Replica:
    """Works on some requests at once; others wait."""

    def __init__(self, name, zone):
        self.info = ReplicaInfo(replica_id=name, service="s", address=f"{name}:1", zone=zone, slots=SLOTS)
        self.slots = asyncio.Semaphore(SLOTS)
        self.there = 0
        self.most = 0

    async def run(self):
        self.there += 1
        self.most = max(self.most, self.there)
        async with self.slots:
            await asyncio.sleep(WORK_S)
        self.there -= 1
        return self.there


class Fleet:
    """A replica in each zone, and some daemons in each region."""

    def __init__(self, daemons=4):
        self.replicas = [Replica(f"r-{zone}", zone) for zone in REGIONS]
        self.tables = {region: [] for region in "abc"}
        self.sent = collections.Counter()
        self.times = collections.defaultdict(list)
        for number, region in enumerate(region for region in "abc" for _ in range(daemons)):
            table = ReplicaTable(Places(zone=f"{region}1", regions=REGIONS), seed=number)
            self.tables[region].append(table)
            for replica in self.replicas:
                table.put(replica.info)
                away = table.distances.round_trip_s(replica.info.zone)
                table.distances.observe(replica.info.zone, min(away, WAY_S), 0.0)

    async def _request(self, region, table):
        began_s = monotonic_s()
        state = table.choose(WISH, began_s)
        home = REGIONS[state.info.zone]
        self.sent[region, home] += 1
        replica = next(replica for replica in self.replicas if replica.info is state.info)
        way_s = 0.0 if home == region else WAY_S
        state.in_flight += 1
        await asyncio.sleep(way_s / 2)
        occupied = await replica.run()
        await asyncio.sleep(way_s / 2)
        state.in_flight -= 1
        now_s = monotonic_s()
        table.observe_load(state.life, occupied, now_s)
        table.observe_latency(state.life, now_s - began_s, now_s)
        self.times[region].append(now_s - began_s)

    async def _traffic(self, region, load, group):
        """Send requests that fill a share of the region's slots."""
        pause_s = WORK_S / (2 * SLOTS * load)
        until_s = monotonic_s() + RUN_S
        number = 0
        while monotonic_s() < until_s:
            tables = self.tables[region]
            group.create_task(self._request(region, tables[number % len(tables)]))
            number += 1
            await asyncio.sleep(pause_s)

    def run(self, **loads):
        async def main():
            async with asyncio.TaskGroup() as group:
                for region, load in loads.items():
                    group.create_task(self._traffic(region, load, group))

        run_virtual(main())
        return self

    def share(self, region, home):
        return self.sent[region, home] / sum(self.sent[region, other] for other in "abc")

    def usual_s(self, region):
        return sorted(self.times[region])[len(self.times[region]) * 9 // 10]


def test_work_stays_in_its_region_while_that_has_room():
    fleet = Fleet().run(a=0.5, b=0.5, c=0.5)
    assert min(fleet.share(region, region) for region in "abc") > 0.98


def test_an_overloaded_region_sends_a_part_of_its_work_to_both_others():
    fleet = Fleet().run(a=1.6, b=0.2, c=0.2)
    assert 0.2 < fleet.share("a", "b") + fleet.share("a", "c") < 0.75
    assert min(fleet.share("a", "b"), fleet.share("a", "c")) > 0.1
    assert fleet.usual_s("a") < 3 * WORK_S
    assert min(fleet.share("b", "b"), fleet.share("c", "c")) > 0.95


def test_daemons_that_see_the_same_idle_region_do_not_flood_it():
    fleet = Fleet(daemons=20).run(a=1.6, b=0.2, c=0.2)
    away = [replica for replica in fleet.replicas if REGIONS[replica.info.zone] != "a"]
    assert max(replica.most for replica in away) <= 2 * SLOTS
    assert max(fleet.usual_s("b"), fleet.usual_s("c")) < 2 * WORK_S


def test_a_region_without_replicas_is_served_by_both_others():
    fleet = Fleet()
    for tables in fleet.tables.values():
        for table in tables:
            table.remove("r-a1")
            table.remove("r-a2")
    fleet.run(a=0.6, b=0.4, c=0.4)
    assert min(fleet.share("a", "b"), fleet.share("a", "c")) > 0.3
    assert fleet.usual_s("a") < WAY_S + 2 * WORK_S


def test_what_waits_for_room_at_home_waits_no_longer_than_the_way_takes():
    table = Fleet(daemons=1).tables["a"][0]
    wish = ChoiceRequest(services=frozenset({"s"}), load_below=FULL_LOAD)
    for name in ("r-a1", "r-a2"):
        table.get(name).in_flight = SLOTS
    assert table.choose(wish, 10.0) is None
    assert REGIONS[table.choose(wish, 10.0 + 1.1 * WAY_S).info.zone] != "a"
    table.get("r-a1").in_flight = 0
    assert table.choose(wish, 10.1).info.replica_id == "r-a1"


def test_one_region_is_chosen_from_as_if_distance_were_not_measured():
    table = ReplicaTable(Places(zone="a1", regions={"a1": "a", "a2": "a"}), seed=1)
    for zone in ("a1", "a2"):
        table.put(ReplicaInfo(replica_id=zone, service="s", address="h:1", zone=zone, slots=100))
    table.distances.observe("a2", 0.5, 0.0)
    table.get("a1").in_flight = 2
    assert table.choose(WISH, 0.0).info.replica_id == "a1"
    table.get("a1").in_flight = 3
    assert table.choose(WISH, 0.0).info.replica_id == "a2"


def test_a_way_that_gets_longer_is_believed_only_when_no_call_was_shorter():
    distances = Distances(Places(zone="a1", regions=REGIONS))
    distances.observe("b1", 0.02, 0.0)
    distances.observe("b1", 0.9, 1.0)
    distances.observe("b1", 0.03, WINDOW_S)
    assert distances.round_trip_s("b1") == 0.02
    for step in range(1, 8):
        distances.observe("b1", 0.3, WINDOW_S * (1 + step))
    assert distances.round_trip_s("b1") > 0.25


def test_a_slow_way_lengthens_the_wait_for_another_daemon_and_a_short_one_does_not_shorten_it():
    distances = Distances(Places(zone="a1", regions=REGIONS))
    assert distances.patience_s(0.1, "a1") == 0.1
    distances.observe("b1", 0.02, 0.0)
    for step in range(1, 9):
        distances.observe("b1", 0.4, step * WINDOW_S)
    assert distances.patience_s(0.1, "b1") > 0.35 + MARGIN_S
    assert distances.patience_s(0.3) == distances.patience_s(0.1, "b1")
