"""Evacuated zones: which view a daemon holds, from the log or from peers, and that nothing is sent there."""

import asyncio
import types
from functools import partial

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from passgate.clock import monotonic_s, run_virtual
from passgate.decisions import DecisionLog, EvacuationEnded, ZoneEvacuated
from passgate.eligibility.evacuation import EvacuatedZones, EvacuationChange, EvacuationRule, EvacuationView
from passgate.eligibility.replica_info import ReplicaIncarnation, ReplicaInfo
from passgate.eligibility.topology import Topology
from passgate.emulator.shared_log import MemorySharedLog
from passgate.errors import InvalidConfiguration
from passgate.gateway.peer_configuration import POLL_AFTER_S, ConfigurationSnapshot
from passgate.gateway.replica_state import ReplicaQuery
from passgate.gateway.replica_table import ReplicaTable
from passgate.jobs.group_affinity import GroupAffinity
from passgate.jobs.records import WeightDemand
from passgate.platform.documents import zone_of_evacuation_key
from passgate.platform.topic_records import OperatorTopicHandler
from passgate.quarantine.crash_quarantine import CrashQuarantine
from passgate.sharedlog.log import KeyedRecord
from passgate.versions.loader import Loader, ReplicaReport, TargetVersions, read_incarnation
from tests import test_duties_scaling as scaling
from tests import test_gateway_peer_configuration as peers
from tests.leader_daemons import LeaderStub

EVACUATION_S = 5.0
"""Time after an operator's record by which nothing may reach the zone any more, with default settings."""


def decision_log(events=None):
    return DecisionLog("d", write=len, observe=events.append if events is not None else None)


def replica_table(evacuated, zones="ab", count=2, models=("m",)):
    replicas = ReplicaTable(Topology(zone="a"), seed=1)
    replicas.send_rules.add(EvacuationRule(evacuated))
    for zone in zones:
        for number in range(count):
            replicas.put(
                ReplicaInfo(
                    replica_id=f"{zone}{number}",
                    service="llm",
                    address="h:1",
                    zone=zone,
                    slots=8,
                    model_versions=dict.fromkeys(models, 1),
                )
            )
    return replicas


# --- views of the evacuated zones ---------------------------------------------------


def test_each_change_writes_one_decision_line_with_its_source_and_age():
    events, ended = [], []
    zones = EvacuatedZones(decision_log(events))
    zones.on_evacuation_ended.append(ended.append)
    zones.apply_snapshot({"a"}, next_offset=3)
    zones.apply_snapshot({"a"}, next_offset=4)
    zones.adopt_newer_view(EvacuationView(offset=9, zones=frozenset({"b"})), peer="h:1", age_s=0.25)
    assert events == [
        ZoneEvacuated(zone="a", source="log", peer="", age_ms=0.0, offset=3),
        ZoneEvacuated(zone="b", source="peer", peer="h:1", age_ms=250.0, offset=9),
        EvacuationEnded(zone="a", source="peer", peer="h:1", age_ms=250.0, offset=9),
    ]
    assert ended == ["a"]


def test_records_already_contained_in_a_peers_view_are_skipped():
    zones = EvacuatedZones(decision_log())
    zones.adopt_newer_view(EvacuationView(offset=2), peer="h:1", age_s=0.0)
    contained = EvacuationChange(offset=0, zone="a", evacuated=True)
    zones.apply_changes([contained], next_offset=1)
    assert "a" not in zones
    zones.apply_changes([EvacuationChange(offset=2, zone="a", evacuated=True)], next_offset=3)
    assert "a" in zones


ZONES = st.sampled_from(["a", "b", "a/b", "\u00e5 \n", "z" * 300])
KEYS = ZONES.map("evacuate/{}".format) | st.text() | st.sampled_from(["evacuate", "evacuate/", "config"])
VALUES = st.just(b"") | st.just(b"{}") | st.binary()
RECORDS = st.lists(st.builds(KeyedRecord, key=KEYS, value=VALUES))


def make_topic_handler():
    def apply_configuration(config):
        raise msgspec.ValidationError("configurations are not read in these tests")

    zones = EvacuatedZones(decision_log())
    daemon = types.SimpleNamespace(
        evacuated_zones=zones,
        apply_configuration=apply_configuration,
        target_versions=TargetVersions(decision_log()),
    )
    return OperatorTopicHandler(daemon), zones


def evacuated_by(records):
    """Return the zones whose newest record evacuates them."""
    newest = {record.key: record.value for record in records}
    keys = {key for key, value in newest.items() if key.startswith("evacuate/") and value}
    return {key.removeprefix("evacuate/") for key in keys} - {""}


@given(RECORDS, RECORDS)
def test_view_follows_from_keys_of_any_records(snapshot, further):
    snapshot = list({record.key: record for record in snapshot}.values())
    handler, zones = make_topic_handler()
    handler.apply_snapshot(tuple(snapshot), 7)
    assert zones.view == EvacuationView(offset=7, zones=frozenset(evacuated_by(snapshot)))
    handler.apply_records(tuple(further), 7)
    all_zones = frozenset(evacuated_by(snapshot + further))
    assert zones.view == EvacuationView(offset=7 + len(further), zones=all_zones)


def test_key_without_zone_is_rejected_and_logged(caplog):
    with pytest.raises(InvalidConfiguration):
        zone_of_evacuation_key("evacuate/")
    handler, zones = make_topic_handler()
    handler.apply_snapshot((KeyedRecord(key="evacuate/", value=b"{}"),), 1)
    assert len(zones) == 0
    assert [record.message for record in caplog.records] == ["unreadable_record"]


# --- views of peers -----------------------------------------------------------------


def test_daemon_cut_off_from_log_gets_start_and_end_of_evacuations_from_peers():
    async def main():
        _, daemons = peers.make_daemons(6)
        cut_off, connected = daemons[0], daemons[1:]
        peers.publish(daemons, peers.make_config(1))
        tasks = [daemon.start() for daemon in daemons]
        cut_off.cut_off_s = monotonic_s()
        for offset, zones in ((4, {"a"}), (5, {"b"}), (9, set())):
            for daemon in connected:
                daemon.evacuated_zones.apply_snapshot(zones, offset)
            await asyncio.sleep(EVACUATION_S)
            assert cut_off.evacuated_zones.view == EvacuationView(offset=offset, zones=frozenset(zones))
            assert cut_off.peers.evacuations_age_s() < EVACUATION_S
        for task in tasks:
            task.cancel()

    run_virtual(main())


def test_older_view_of_peers_is_ignored():
    async def main():
        _, daemons = peers.make_daemons(3)
        for daemon in daemons[1:]:
            daemon.evacuated_zones.apply_snapshot(set(), 3)
        daemons[0].evacuated_zones.apply_snapshot({"a"}, 4)
        daemons[0].cut_off_s = monotonic_s()
        task = daemons[0].start()
        for daemon in daemons[1:]:
            daemon.start()
        await asyncio.sleep(POLL_AFTER_S + 4.0)
        assert "a" in daemons[0].evacuated_zones
        assert daemons[0].peers.evacuations_age_s() > 4.0
        task.cancel()

    run_virtual(main())


def test_messages_without_evacuations_are_compatible():
    async def main():
        _, (daemon, *_) = peers.make_daemons(2)
        daemon.config_holder.apply_if_newer(peers.make_config(3))
        old = msgspec.json.decode(b'{"age_s":0.1,"config":null}', type=ConfigurationSnapshot)
        assert old.evacuations is None
        known = msgspec.json.decode(daemon.peers.handle_request(b'{"version":3}'), type=ConfigurationSnapshot)
        assert (known.config, known.evacuations.view) == (None, EvacuationView(offset=0))

    run_virtual(main())


def test_daemon_sends_no_view_before_it_has_read_the_log():
    async def main():
        _, (daemon, *_) = peers.make_daemons(2)
        daemon.cut_off_s = float("-inf")
        assert b'"evacuations":null' in daemon.peers.handle_request(b'{"version":0}')

    run_virtual(main())


# --- load orders --------------------------------------------------------------------


class Control:
    """Replicas' control endpoint, where loads take 0.1 s; ``on_report`` gets the zone of each report."""

    def __init__(self, replicas):
        self.replicas = replicas
        self.calls = []
        self.ordered = []
        self.on_report = lambda zone: None

    async def report(self, replica_id, address):
        self.calls.append(("report", replica_id))
        await asyncio.sleep(0.01)
        self.on_report(replica_id[0])
        state = self.replicas.get(replica_id)
        versions = {model: state.weight_version(model) for model in state.info.model_versions}
        return ReplicaReport(orders_taken=0, busy=False, model_versions=versions)

    async def order(self, order):
        self.calls.append(("order", order.replica_id))
        self.ordered.append(order)
        await asyncio.sleep(0.1)
        self.replicas.get(order.replica_id).reported_versions[order.model] = order.version
        return 202

    def calls_to(self, zone, kind="order"):
        return [replica_id for called, replica_id in self.calls if called == kind and replica_id[0] == zone]

    def models_ordered(self, zone):
        return [order.model for order in self.ordered if order.replica_id[0] == zone]


def make_loader(replicas, jobs=None):
    control, targets = Control(replicas), TargetVersions(decision_log())
    quarantine = CrashQuarantine(
        MemorySharedLog().client("d"),
        "crashes",
        replicas.eject,
        decision_log(),
        partial(read_incarnation, control),
    )
    return (
        control,
        targets,
        Loader(targets, replicas, LeaderStub(), control, "d", jobs or {}, quarantine.guard, decision_log()),
    )


def test_load_is_not_ordered_if_its_zone_is_evacuated_just_before_the_order():
    async def main():
        zones = EvacuatedZones(decision_log())
        replicas = replica_table(zones)
        control, targets, loads = make_loader(replicas)
        control.on_report = lambda zone: zones.apply_snapshot({"b"}, 1) if zone == "b" else None
        targets.offer("m", 2)
        task = asyncio.get_running_loop().create_task(loads.run())
        await asyncio.sleep(10.0)
        assert len(control.calls_to("b", "report")) == 1
        assert (len(control.calls_to("a")), control.calls_to("b")) == (2, [])
        task.cancel()

    run_virtual(main())


def test_after_evacuation_model_with_largest_shortage_is_loaded_first():
    async def main():
        zones = EvacuatedZones(decision_log())
        replicas = replica_table(zones, count=3, models=("m", "n"))
        jobs = {
            model: WeightDemand(model=model, lag=0, items=items) for model, items in (("m", 8), ("n", 48))
        }
        control, targets, loads = make_loader(replicas, jobs)
        targets.offer("m", 2)
        targets.offer("n", 2)
        zones.apply_snapshot({"b"}, 1)
        task = asyncio.get_running_loop().create_task(loads.run())
        await asyncio.sleep(10.0)
        assert control.calls_to("b", "report") == control.calls_to("b") == []
        assert all(replicas.get(f"a{n}").weight_version("n") == 2 for n in range(3))
        zones.apply_snapshot(set(), 2)
        await asyncio.sleep(10.0)
        # Model n lacks half of the six replicas that its job needs, model m one of three.
        assert control.models_ordered("b")[0] == "n"
        assert sorted(control.models_ordered("b")) == ["m", "n", "n", "n"]
        task.cancel()

    run_virtual(main())


def test_scaler_excludes_evacuated_zones():
    async def main():
        _, platform, daemons = scaling.start_daemons()
        for daemon in daemons:
            daemon.evacuated_zones.apply_snapshot({"b"}, 1)
        await asyncio.sleep(2.0)
        scaling.submit_job(daemons[0], items=16)
        await asyncio.sleep(8.0)
        assert {(order.zone, order.count) for _, order in platform.calls} == {("a", 1)}
        scaling.submit_job(daemons[0], items=36)
        for daemon in daemons:
            daemon.evacuated_zones.apply_snapshot(set(), 2)
        await asyncio.sleep(8.0)
        assert {order.zone for _, order in platform.calls} == {"a", "b"}

    run_virtual(main())


def test_unsent_scaling_decision_waits_for_end_of_evacuation():
    async def main():
        _, platform, daemons = scaling.start_daemons(unanswered_share=1.0)
        await asyncio.sleep(2.0)
        scaling.submit_job(daemons[0], items=36)
        await asyncio.sleep(3.0)
        for daemon in daemons:
            daemon.evacuated_zones.apply_snapshot({"a", "b"}, 1)
        platform.unanswered_share = 0.0
        await asyncio.sleep(4.0)  # lets the platform execute earlier calls that it answers late
        platform.calls.clear()
        await asyncio.sleep(6.0)
        assert platform.calls == []
        for daemon in daemons:
            daemon.evacuated_zones.apply_snapshot(set(), 2)
        await asyncio.sleep(6.0)
        assert {order.zone for _, order in platform.calls} == {"a", "b"}

    run_virtual(main())


# --- replicas preferred for groups of items -----------------------------------------


def test_groups_of_evacuated_zone_are_moved_to_different_replicas_and_stay_there():
    zones = EvacuatedZones(decision_log())
    replicas = replica_table(zones, count=6)
    groups = GroupAffinity(replicas, zones)
    query = ReplicaQuery(services=frozenset({"llm"}), model="m", min_version=1)
    for number in range(5):
        groups.record_send(f"g{number}", ReplicaIncarnation(f"b{number}"))
    groups.record_send("g5", ReplicaIncarnation("a0"))
    zones.apply_snapshot({"b"}, 1)
    planned = {f"g{number}": groups.choose_preferred(f"g{number}", query, 0.0) for number in range(6)}
    assert planned["g5"] == ReplicaIncarnation("a0")
    assert set(planned.values()) == {ReplicaIncarnation(f"a{number}") for number in range(6)}
    assert planned == {group: groups.choose_preferred(group, query, 1.0) for group in planned}
