"""The rollout's decisions, driven directly: capacity floors for arbitrary clusters, sources, adapters."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passgate.rollout.capacity import replicas_to_keep
from passgate.rollout.reconciler import Reconciler
from passgate.rollout.sources import SourceTable
from passgate.rollout.types import (
    STORE_SOURCE,
    DistributionSettings,
    Outcome,
    ReplicaView,
    RolloutSettings,
    RolloutTarget,
)
from passgate.schema import OrderKind

SERVICE_KINDS = {OrderKind.ACTIVATE_VERSION, OrderKind.LOAD_ADAPTER, OrderKind.SET_ROLE}


def views_in(zones):
    return [
        ReplicaView(replica_id=f"r{index}", address=f"10.0.0.{index}:1", zone=zone)
        for index, zone in enumerate(zones)
    ]


class Engines:
    """True state of engines, kept apart from what the reconciler believes."""

    def __init__(self, views):
        self.zone = {view.replica_id: view.zone for view in views}
        self.version = dict.fromkeys(self.zone, 1)
        self.swapping = set()
        """Replicas with an order in flight that interrupts service."""
        self.doubtful = {}
        """Replicas whose such order ended in doubt, with the time at which it has surely ended."""
        self.broken = set()
        self.lost = set()

    def out_in(self, zone=None):
        out = (self.swapping | self.broken | self.doubtful.keys()) - self.lost
        return {replica for replica in out if zone in (None, self.zone[replica])}

    def healthy_in(self, zone=None):
        return {replica for replica in self.zone if zone in (None, self.zone[replica])} - self.lost

    def pass_time(self, now_s):
        self.doubtful = {replica: end_s for replica, end_s in self.doubtful.items() if end_s > now_s}

    def end(self, order, outcome, now_s):
        replica = order.replica_id
        if order.kind in SERVICE_KINDS:
            self.swapping.discard(replica)
            if outcome is not Outcome.UNREACHABLE:
                self.doubtful.pop(replica, None)
            if outcome is Outcome.IN_DOUBT:
                self.doubtful[replica] = now_s + SWAP_S
        if outcome is Outcome.UNREACHABLE:
            self.lost.add(replica)
        if order.kind is OrderKind.ACTIVATE_VERSION and outcome is Outcome.FAILED:
            self.version[replica] = 0
            self.broken.add(replica)
        if outcome is Outcome.DONE:
            self.lost.discard(replica)
            if order.kind is OrderKind.ACTIVATE_VERSION:
                self.version[replica] = order.version
                self.broken.discard(replica)


SWAP_S = 9.0
"""Longest time that a swap takes whose answer was lost."""
OUTCOMES = [Outcome.DONE] * 6 + [Outcome.FAILED, Outcome.REFUSED, Outcome.UNREACHABLE, Outcome.IN_DOUBT]


@settings(max_examples=60, deadline=None)
@given(
    zones=st.lists(st.sampled_from("abc"), min_size=1, max_size=14),
    floor=st.sampled_from([0.0, 0.3, 0.5, 0.75, 0.9, 1.0]),
    zone_floor=st.sampled_from([0.0, 0.5, 1.0]),
    cut_through=st.booleans(),
    seed=st.integers(0, 2**32),
)
def test_capacity_floors_hold_and_good_outcomes_lead_to_the_target(
    zones, floor, zone_floor, cut_through, seed
):
    random = Random(seed)
    views = views_in(zones)
    engines = Engines(views)
    reconciler = Reconciler(
        RolloutSettings(
            capacity_floor=floor,
            zone_capacity_floor=zone_floor,
            distribution=DistributionSettings(fan_out=2, cut_through=cut_through),
        ),
        random,
    )
    reconciler.observe_replicas(views, 0.0)
    in_flight, now_s, version = [], 0.0, 2
    for step in range(400):
        troubled = step < 150
        if step == 0 or (troubled and random.random() < 0.03):
            version += 1
            withdrawn = frozenset({version - 1}) if random.random() < 0.3 else frozenset()
            target = RolloutTarget(model="m", version=version, withdrawn=withdrawn, adapters=("a",))
            reconciler.set_targets([target], now_s)
        for replica in reconciler.due_reports(now_s):
            if troubled and random.random() < 0.1:
                engines.lost.add(replica)
                reconciler.observe_silence(replica, now_s)
            else:
                engines.lost.discard(replica)
                shown = {"m": engines.version[replica]} if engines.version[replica] else {}
                reconciler.observe_report(replica, shown, random.randrange(100), now_s)
        for order in reconciler.next_orders(now_s):
            assert order.replica_id not in {other.replica_id for other in in_flight}
            in_flight.append(order)
            assert order.source != order.address
            if order.kind in SERVICE_KINDS and order.replica_id not in engines.out_in():
                for zone, share in ((None, floor), (engines.zone[order.replica_id], zone_floor)):
                    healthy = len(engines.healthy_in(zone))
                    serving = healthy - len(engines.out_in(zone)) - 1
                    assert serving >= replicas_to_keep(healthy, share)
                engines.swapping.add(order.replica_id)
        for order in random.sample(in_flight, k=random.randint(0, len(in_flight))):
            in_flight.remove(order)
            outcome = random.choice(OUTCOMES) if troubled else Outcome.DONE
            engines.end(order, outcome, now_s)
            reconciler.finish(order, outcome, now_s)
        now_s += random.choice([0.1, 0.5, 2.0, 5.0])
        engines.pass_time(now_s)
    while in_flight:
        order = in_flight.pop()
        engines.end(order, Outcome.DONE, now_s)
        reconciler.finish(order, Outcome.DONE, now_s)
    assert set(engines.version.values()) == {version}
    [progress] = reconciler.progress()
    assert progress.settled


def settled(replicas=4, **options):
    """Return a reconciler whose replicas all run version 1 under its fence."""
    reconciler = Reconciler(RolloutSettings(**options), Random(1))
    views = views_in(["a"] * replicas)
    reconciler.observe_replicas(views, 0.0)
    reconciler.set_targets([RolloutTarget(model="m", version=1)], 0.0)
    for replica in reconciler.due_reports(0.0):
        reconciler.observe_report(replica, {"m": 1}, 0, 0.0)
    finish_all(reconciler, 0.0)
    return reconciler


def finish_all(reconciler, now_s, outcome=Outcome.DONE):
    """Carry out everything that is asked for; return the orders."""
    carried_out = []
    while orders := reconciler.next_orders(now_s):
        carried_out += orders
        for order in orders:
            reconciler.finish(order, outcome, now_s)
    return carried_out


def test_a_new_holder_proves_each_replica_under_its_fence_first():
    reconciler = Reconciler(RolloutSettings(), Random(1))
    reconciler.observe_replicas(views_in(["a"] * 4), 0.0)
    reconciler.set_targets([RolloutTarget(model="m", version=1)], 0.0)
    for replica in reconciler.due_reports(0.0):
        reconciler.observe_report(replica, {"m": 1}, 0, 0.0)
    assert not reconciler.progress()[0].settled, "a report alone is no proof"
    orders = finish_all(reconciler, 0.0)
    assert {(order.kind, order.version) for order in orders} == {(OrderKind.ACTIVATE_VERSION, 1)}
    assert all(order.confirms for order in orders)
    assert reconciler.progress()[0].settled


def test_adapters_and_roles_follow_the_version_by_the_same_path():
    reconciler = settled()
    target = RolloutTarget(model="m", version=2, adapters=("grade", "notes"), engine_role="decode")
    reconciler.set_targets([target], 1.0)
    orders = [order for order in finish_all(reconciler, 1.0) if order.replica_id == "r0"]
    assert [(order.kind, order.argument) for order in orders] == [
        (OrderKind.STAGE_VERSION, ""),
        (OrderKind.ACTIVATE_VERSION, ""),
        (OrderKind.LOAD_ADAPTER, "grade"),
        (OrderKind.LOAD_ADAPTER, "notes"),
        (OrderKind.SET_ROLE, "decode"),
    ]
    assert reconciler.progress()[0].settled


def test_one_replica_in_place_of_another_starts_unknown():
    reconciler = settled()
    views = [*views_in(["a"] * 3), ReplicaView(replica_id="r3", address="10.0.0.9:1", zone="a", generation=1)]
    reconciler.observe_replicas(views, 5.0)
    assert reconciler.due_reports(5.0) == ["r3"]
    assert not reconciler.progress()[0].settled


def test_outcome_of_a_replaced_replica_changes_nothing():
    reconciler = settled()
    reconciler.set_targets([RolloutTarget(model="m", version=2)], 1.0)
    [order] = reconciler.next_orders(1.0)
    reconciler.observe_replicas(views_in(["a"] * 0), 1.0)
    reconciler.finish(order, Outcome.DONE, 1.0)
    assert reconciler.progress()[0].replicas == 0


def test_report_older_than_a_swap_does_not_undo_it():
    reconciler = settled()
    reconciler.set_targets([RolloutTarget(model="m", version=2)], 1.0)
    finish_all(reconciler, 1.0)
    reconciler.observe_report("r0", {"m": 1}, 0, 1.5)
    assert reconciler.progress()[0].settled
    reconciler.observe_report("r0", {"m": 1}, 0, 60.0)
    assert not reconciler.progress()[0].settled, "a restarted engine is noticed"


def test_engines_that_fail_as_sources_are_avoided():
    reconciler = settled(replicas=2, capacity_floor=0.0)
    reconciler.set_targets([RolloutTarget(model="m", version=2)], 1.0)
    [first] = reconciler.next_orders(1.0)
    reconciler.finish(first, Outcome.DONE, 1.0)
    now_s, sources = 1.0, []
    while len(sources) < 3:
        for order in reconciler.next_orders(now_s):
            stages = order.kind is OrderKind.STAGE_VERSION
            if stages:
                sources.append(order.source)
            reconciler.finish(order, Outcome.REFUSED if stages else Outcome.DONE, now_s)
        now_s += 1.0
    assert sources == [first.address, first.address, STORE_SOURCE]


def test_withdrawn_version_is_never_put_back():
    reconciler = settled(replicas=1)
    reconciler.set_targets([RolloutTarget(model="m", version=2, withdrawn=frozenset({1}))], 1.0)
    now_s, versions = 1.0, set()
    for _ in range(20):
        for order in reconciler.next_orders(now_s):
            activates = order.kind is OrderKind.ACTIVATE_VERSION
            versions.add(order.version)
            reconciler.finish(order, Outcome.FAILED if activates else Outcome.DONE, now_s)
        now_s += 20.0
    assert versions == {2}


def test_engines_never_wait_for_each_others_pieces():
    table = SourceTable(DistributionSettings(fan_out=2))
    table.begin(STORE_SOURCE, "a", "z")
    table.add_partial_holder("a", "z")
    table.begin("a", "b", "z")
    table.add_partial_holder("b", "z")
    table.end(STORE_SOURCE, "a", "z")
    table.remove_holder("a")
    assert table.choose("a", "z") is None, "b still waits for pieces of a"
    table.end("a", "b", "z")
    assert table.choose("a", "z") == "b"


@pytest.mark.parametrize(("healthy", "floor", "keep"), [(1, 1.0, 0), (2, 1.0, 1), (8, 0.75, 6), (5, 0.0, 0)])
def test_floor_always_leaves_room_for_one(healthy, floor, keep):
    assert replicas_to_keep(healthy, floor) == keep
