"""Choice of a replica among regions: requests stay local, and only a share spills over if that is faster."""

import asyncio
import collections

from passgate.clock import monotonic_s, run_virtual
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.topology import Topology
from passgate.gateway.replica_state import FULL_LOAD, ReplicaQuery
from passgate.gateway.replica_table import ReplicaTable
from passgate.gateway.zone_distances import RESPONSE_MARGIN_S, RTT_WINDOW_S, ZoneDistances

REGIONS = {f"{region}{number}": region for region in "abc" for number in (1, 2)}
SLOTS, SERVICE_TIME_S, NETWORK_COST_S = 4, 0.05, 0.024
DURATION_S = 6.0
QUERY = ReplicaQuery(services=frozenset({"s"}))


class SimulatedReplica:
    """Runs up to SLOTS requests at a time; further ones wait."""

    def __init__(self, name, zone):
        self.info = ReplicaInfo(replica_id=name, service="s", address=f"{name}:1", zone=zone, slots=SLOTS)
        self.slots = asyncio.Semaphore(SLOTS)
        self.in_flight = 0
        self.max_in_flight = 0

    async def run(self):
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        async with self.slots:
            await asyncio.sleep(SERVICE_TIME_S)
        self.in_flight -= 1
        return self.in_flight


class Fleet:
    """A replica in each zone, and some daemons' replica tables in each region; runs in virtual time."""

    def __init__(self, daemons_per_region=4):
        self.replicas = [SimulatedReplica(f"r-{zone}", zone) for zone in REGIONS]
        self.tables_by_region = {region: [] for region in "abc"}
        self.sent_by_regions = collections.Counter()
        self.answer_times_s = collections.defaultdict(list)
        for number, region in enumerate(region for region in "abc" for _ in range(daemons_per_region)):
            table = ReplicaTable(Topology(zone=f"{region}1", region_by_zone=REGIONS), seed=number)
            self.tables_by_region[region].append(table)
            for replica in self.replicas:
                table.put(replica.info)
                default_s = table.distances.round_trip_s(replica.info.zone)
                table.distances.record_round_trip(replica.info.zone, min(default_s, NETWORK_COST_S), 0.0)

    async def _send_request(self, region, table):
        start_s = monotonic_s()
        state = table.choose(QUERY, start_s)
        destination = REGIONS[state.info.zone]
        self.sent_by_regions[region, destination] += 1
        replica = next(replica for replica in self.replicas if replica.info is state.info)
        round_trip_s = 0.0 if destination == region else NETWORK_COST_S
        state.in_flight += 1
        await asyncio.sleep(round_trip_s / 2)
        in_flight = await replica.run()
        await asyncio.sleep(round_trip_s / 2)
        state.in_flight -= 1
        now_s = monotonic_s()
        table.record_load(state.incarnation, in_flight, now_s)
        table.record_latency(state.incarnation, now_s - start_s, now_s)
        self.answer_times_s[region].append(now_s - start_s)

    async def _generate_load(self, region, load, group):
        """Send requests at the rate that occupies the share ``load`` of the region's slots."""
        interval_s = SERVICE_TIME_S / (2 * SLOTS * load)
        until_s = monotonic_s() + DURATION_S
        number = 0
        while monotonic_s() < until_s:
            tables = self.tables_by_region[region]
            group.create_task(self._send_request(region, tables[number % len(tables)]))
            number += 1
            await asyncio.sleep(interval_s)

    def run(self, **load_by_region):
        async def main():
            async with asyncio.TaskGroup() as group:
                for region, load in load_by_region.items():
                    group.create_task(self._generate_load(region, load, group))

        run_virtual(main())
        return self

    def sent_share(self, region, destination):
        return self.sent_by_regions[region, destination] / sum(
            self.sent_by_regions[region, other] for other in "abc"
        )

    def p90_answer_time_s(self, region):
        return sorted(self.answer_times_s[region])[len(self.answer_times_s[region]) * 9 // 10]


def test_requests_stay_in_their_region_while_it_has_free_slots():
    fleet = Fleet().run(a=0.5, b=0.5, c=0.5)
    assert min(fleet.sent_share(region, region) for region in "abc") > 0.98


def test_an_overloaded_region_sends_a_share_of_its_requests_to_both_others():
    fleet = Fleet().run(a=1.6, b=0.2, c=0.2)
    assert 0.2 < fleet.sent_share("a", "b") + fleet.sent_share("a", "c") < 0.75
    assert min(fleet.sent_share("a", "b"), fleet.sent_share("a", "c")) > 0.1
    assert fleet.p90_answer_time_s("a") < 3 * SERVICE_TIME_S
    assert min(fleet.sent_share("b", "b"), fleet.sent_share("c", "c")) > 0.95


def test_many_daemons_that_spill_over_to_an_idle_region_do_not_overload_it():
    fleet = Fleet(daemons_per_region=20).run(a=1.6, b=0.2, c=0.2)
    remote = [replica for replica in fleet.replicas if REGIONS[replica.info.zone] != "a"]
    assert max(replica.max_in_flight for replica in remote) <= 2 * SLOTS
    assert max(fleet.p90_answer_time_s("b"), fleet.p90_answer_time_s("c")) < 2 * SERVICE_TIME_S


def test_a_region_without_replicas_is_served_by_both_others():
    fleet = Fleet()
    for tables in fleet.tables_by_region.values():
        for table in tables:
            table.remove("r-a1")
            table.remove("r-a2")
    fleet.run(a=0.6, b=0.4, c=0.4)
    assert min(fleet.sent_share("a", "b"), fleet.sent_share("a", "c")) > 0.3
    assert fleet.p90_answer_time_s("a") < NETWORK_COST_S + 2 * SERVICE_TIME_S


def test_a_request_waits_for_a_local_slot_no_longer_than_the_network_cost():
    table = Fleet(daemons_per_region=1).tables_by_region["a"][0]
    query = ReplicaQuery(services=frozenset({"s"}), load_below=FULL_LOAD)
    for name in ("r-a1", "r-a2"):
        table.get(name).in_flight = SLOTS
    assert table.choose(query, 10.0) is None
    assert REGIONS[table.choose(query, 10.0 + 1.1 * NETWORK_COST_S).info.zone] != "a"
    table.get("r-a1").in_flight = 0
    assert table.choose(query, 10.1).info.replica_id == "r-a1"


def test_with_a_single_region_recorded_round_trips_do_not_affect_the_choice():
    table = ReplicaTable(Topology(zone="a1", region_by_zone={"a1": "a", "a2": "a"}), seed=1)
    for zone in ("a1", "a2"):
        table.put(ReplicaInfo(replica_id=zone, service="s", address="h:1", zone=zone, slots=100))
    table.distances.record_round_trip("a2", 0.5, 0.0)
    table.get("a1").in_flight = 2
    assert table.choose(QUERY, 0.0).info.replica_id == "a1"
    table.get("a1").in_flight = 3
    assert table.choose(QUERY, 0.0).info.replica_id == "a2"


def test_the_round_trip_estimate_rises_only_if_no_sample_of_a_window_was_short():
    distances = ZoneDistances(Topology(zone="a1", region_by_zone=REGIONS))
    distances.record_round_trip("b1", 0.02, 0.0)
    distances.record_round_trip("b1", 0.9, 1.0)
    distances.record_round_trip("b1", 0.03, RTT_WINDOW_S)
    assert distances.round_trip_s("b1") == 0.02
    for step in range(1, 8):
        distances.record_round_trip("b1", 0.3, RTT_WINDOW_S * (1 + step))
    assert distances.round_trip_s("b1") > 0.25


def test_a_long_round_trip_raises_the_answer_timeout_and_a_short_one_does_not_lower_it():
    distances = ZoneDistances(Topology(zone="a1", region_by_zone=REGIONS))
    assert distances.response_timeout_s(0.1, "a1") == 0.1
    distances.record_round_trip("b1", 0.02, 0.0)
    for step in range(1, 9):
        distances.record_round_trip("b1", 0.4, step * RTT_WINDOW_S)
    assert distances.response_timeout_s(0.1, "b1") > 0.35 + RESPONSE_MARGIN_S
    assert distances.response_timeout_s(0.3) == distances.response_timeout_s(0.1, "b1")
