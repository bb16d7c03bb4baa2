"""Decisions of the reconciler: capacity floors of arbitrary clusters, weight sources, adapters, retries."""

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
    OrderOutcome,
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


class SimulatedEngines:
    """Actual state of the engines, independent of what the reconciler has recorded."""

    def __init__(self, views):
        self.zone_by_replica = {view.replica_id: view.zone for view in views}
        self.version_by_replica = dict.fromkeys(self.zone_by_replica, 1)
        self.swapping = set()
        """Replicas with an order in flight that may interrupt service."""
        self.unconfirmed_until_s = {}
        """Replicas whose order may interrupt service and has an unknown outcome, with its latest end."""
        self.broken = set()
        self.lost = set()

    def out_of_service_in(self, zone=None):
        out = (self.swapping | self.broken | self.unconfirmed_until_s.keys()) - self.lost
        return {replica for replica in out if zone in (None, self.zone_by_replica[replica])}

    def healthy_in(self, zone=None):
        return {
            replica for replica in self.zone_by_replica if zone in (None, self.zone_by_replica[replica])
        } - self.lost

    def expire_unconfirmed(self, now_s):
        self.unconfirmed_until_s = {
            replica: end_s for replica, end_s in self.unconfirmed_until_s.items() if end_s > now_s
        }

    def apply_outcome(self, order, outcome, now_s):
        replica = order.replica_id
        if order.kind in SERVICE_KINDS:
            self.swapping.discard(replica)
            if outcome is not OrderOutcome.UNREACHABLE:
                self.unconfirmed_until_s.pop(replica, None)
            if outcome is OrderOutcome.UNKNOWN:
                self.unconfirmed_until_s[replica] = now_s + MAXIMUM_UNCONFIRMED_SWAP_S
        if outcome is OrderOutcome.UNREACHABLE:
            self.lost.add(replica)
        if order.kind is OrderKind.ACTIVATE_VERSION and outcome is OrderOutcome.FAILED:
            self.version_by_replica[replica] = 0
            self.broken.add(replica)
        if outcome is OrderOutcome.DONE:
            self.lost.discard(replica)
            if order.kind is OrderKind.ACTIVATE_VERSION:
                self.version_by_replica[replica] = order.version
                self.broken.discard(replica)


MAXIMUM_UNCONFIRMED_SWAP_S = 9.0
"""Longest time for which a swap of unknown outcome interrupts service."""
OUTCOMES = [OrderOutcome.DONE] * 6 + [
    OrderOutcome.FAILED,
    OrderOutcome.REFUSED,
    OrderOutcome.UNREACHABLE,
    OrderOutcome.UNKNOWN,
]


@settings(max_examples=60, deadline=None)
@given(
    zones=st.lists(st.sampled_from("abc"), min_size=1, max_size=14),
    floor=st.sampled_from([0.0, 0.3, 0.5, 0.75, 0.9, 1.0]),
    zone_floor=st.sampled_from([0.0, 0.5, 1.0]),
    cut_through=st.booleans(),
    seed=st.integers(0, 2**32),
)
def test_capacity_floors_hold_and_the_target_is_reached_without_failures(
    zones, floor, zone_floor, cut_through, seed
):
    random = Random(seed)
    views = views_in(zones)
    engines = SimulatedEngines(views)
    reconciler = Reconciler(
        RolloutSettings(
            capacity_floor=floor,
            zone_capacity_floor=zone_floor,
            distribution=DistributionSettings(fan_out=2, cut_through=cut_through),
        ),
        random,
    )
    reconciler.set_replicas(views, 0.0)
    in_flight, now_s, version = [], 0.0, 2
    for step in range(400):
        with_failures = step < 150
        if step == 0 or (with_failures and random.random() < 0.03):
            version += 1
            withdrawn = frozenset({version - 1}) if random.random() < 0.3 else frozenset()
            target = RolloutTarget(model="m", version=version, withdrawn=withdrawn, adapters=("a",))
            reconciler.set_targets([target], now_s)
        for replica in reconciler.take_due_reports(now_s):
            if with_failures and random.random() < 0.1:
                engines.lost.add(replica)
                reconciler.record_unreadable_report(replica, now_s)
            else:
                engines.lost.discard(replica)
                reported_versions = (
                    {"m": engines.version_by_replica[replica]} if engines.version_by_replica[replica] else {}
                )
                reconciler.record_report(replica, reported_versions, random.randrange(100), now_s)
        for order in reconciler.start_orders(now_s):
            assert order.replica_id not in {other.replica_id for other in in_flight}
            in_flight.append(order)
            assert order.source != order.address
            if order.kind in SERVICE_KINDS and order.replica_id not in engines.out_of_service_in():
                for zone, share in ((None, floor), (engines.zone_by_replica[order.replica_id], zone_floor)):
                    healthy = len(engines.healthy_in(zone))
                    serving = healthy - len(engines.out_of_service_in(zone)) - 1
                    assert serving >= replicas_to_keep(healthy, share)
                engines.swapping.add(order.replica_id)
        for order in random.sample(in_flight, k=random.randint(0, len(in_flight))):
            in_flight.remove(order)
            outcome = random.choice(OUTCOMES) if with_failures else OrderOutcome.DONE
            engines.apply_outcome(order, outcome, now_s)
            reconciler.record_outcome(order, outcome, now_s)
        now_s += random.choice([0.1, 0.5, 2.0, 5.0])
        engines.expire_unconfirmed(now_s)
    while in_flight:
        order = in_flight.pop()
        engines.apply_outcome(order, OrderOutcome.DONE, now_s)
        reconciler.record_outcome(order, OrderOutcome.DONE, now_s)
    assert set(engines.version_by_replica.values()) == {version}
    [progress] = reconciler.progress()
    assert progress.settled


def settled_reconciler(replicas=4, **options):
    """Return a reconciler whose replicas have all confirmed version 1 under its fence."""
    reconciler = Reconciler(RolloutSettings(**options), Random(1))
    views = views_in(["a"] * replicas)
    reconciler.set_replicas(views, 0.0)
    reconciler.set_targets([RolloutTarget(model="m", version=1)], 0.0)
    for replica in reconciler.take_due_reports(0.0):
        reconciler.record_report(replica, {"m": 1}, 0, 0.0)
    execute_all(reconciler, 0.0)
    return reconciler


def execute_all(reconciler, now_s, outcome=OrderOutcome.DONE):
    """Give ``outcome`` to all orders until none is left; return the orders."""
    carried_out = []
    while orders := reconciler.start_orders(now_s):
        carried_out += orders
        for order in orders:
            reconciler.record_outcome(order, outcome, now_s)
    return carried_out


def test_new_leader_confirms_each_replica_under_its_fence():
    reconciler = Reconciler(RolloutSettings(), Random(1))
    reconciler.set_replicas(views_in(["a"] * 4), 0.0)
    reconciler.set_targets([RolloutTarget(model="m", version=1)], 0.0)
    for replica in reconciler.take_due_reports(0.0):
        reconciler.record_report(replica, {"m": 1}, 0, 0.0)
    assert not reconciler.progress()[0].settled, "a report alone does not confirm the version"
    orders = execute_all(reconciler, 0.0)
    assert {(order.kind, order.version) for order in orders} == {(OrderKind.ACTIVATE_VERSION, 1)}
    assert all(order.is_confirmation for order in orders)
    assert reconciler.progress()[0].settled


def test_adapters_and_role_are_ordered_after_the_version():
    reconciler = settled_reconciler()
    target = RolloutTarget(model="m", version=2, adapters=("grade", "notes"), engine_role="decode")
    reconciler.set_targets([target], 1.0)
    orders = [order for order in execute_all(reconciler, 1.0) if order.replica_id == "r0"]
    assert [(order.kind, order.argument) for order in orders] == [
        (OrderKind.STAGE_VERSION, ""),
        (OrderKind.ACTIVATE_VERSION, ""),
        (OrderKind.LOAD_ADAPTER, "grade"),
        (OrderKind.LOAD_ADAPTER, "notes"),
        (OrderKind.SET_ROLE, "decode"),
    ]
    assert reconciler.progress()[0].settled


def test_replica_with_a_new_generation_is_tracked_as_new():
    reconciler = settled_reconciler()
    views = [*views_in(["a"] * 3), ReplicaView(replica_id="r3", address="10.0.0.9:1", zone="a", generation=1)]
    reconciler.set_replicas(views, 5.0)
    assert reconciler.take_due_reports(5.0) == ["r3"]
    assert not reconciler.progress()[0].settled


def test_outcome_of_a_removed_replica_is_ignored():
    reconciler = settled_reconciler()
    reconciler.set_targets([RolloutTarget(model="m", version=2)], 1.0)
    [order] = reconciler.start_orders(1.0)
    reconciler.set_replicas(views_in(["a"] * 0), 1.0)
    reconciler.record_outcome(order, OrderOutcome.DONE, 1.0)
    assert reconciler.progress()[0].replicas == 0


def test_report_that_may_be_older_than_a_swap_is_ignored():
    reconciler = settled_reconciler()
    reconciler.set_targets([RolloutTarget(model="m", version=2)], 1.0)
    execute_all(reconciler, 1.0)
    reconciler.record_report("r0", {"m": 1}, 0, 1.5)
    assert reconciler.progress()[0].settled
    reconciler.record_report("r0", {"m": 1}, 0, 60.0)
    assert not reconciler.progress()[0].settled, "a later report shows a restarted engine"


def test_replica_uses_the_store_after_failed_fetches_from_engines():
    reconciler = settled_reconciler(replicas=2, capacity_floor=0.0)
    reconciler.set_targets([RolloutTarget(model="m", version=2)], 1.0)
    [first] = reconciler.start_orders(1.0)
    reconciler.record_outcome(first, OrderOutcome.DONE, 1.0)
    now_s, sources = 1.0, []
    while len(sources) < 3:
        for order in reconciler.start_orders(now_s):
            stages = order.kind is OrderKind.STAGE_VERSION
            if stages:
                sources.append(order.source)
            reconciler.record_outcome(order, OrderOutcome.REFUSED if stages else OrderOutcome.DONE, now_s)
        now_s += 1.0
    assert sources == [first.address, first.address, STORE_SOURCE]


def test_roll_back_never_activates_a_withdrawn_version():
    reconciler = settled_reconciler(replicas=1)
    reconciler.set_targets([RolloutTarget(model="m", version=2, withdrawn=frozenset({1}))], 1.0)
    now_s, versions = 1.0, set()
    for _ in range(20):
        for order in reconciler.start_orders(now_s):
            activates = order.kind is OrderKind.ACTIVATE_VERSION
            versions.add(order.version)
            reconciler.record_outcome(order, OrderOutcome.FAILED if activates else OrderOutcome.DONE, now_s)
        now_s += 20.0
    assert versions == {2}


def test_engines_never_fetch_from_each_other():
    table = SourceTable(DistributionSettings(fan_out=2))
    table.start_fetch(STORE_SOURCE, "a", "z")
    table.add_partial_holder("a", "z")
    table.start_fetch("a", "b", "z")
    table.add_partial_holder("b", "z")
    table.end_fetch(STORE_SOURCE, "a", "z")
    table.remove_holder("a")
    assert table.choose("a", "z") is None, "b is still fetching from a"
    table.end_fetch("a", "b", "z")
    assert table.choose("a", "z") == "b"


@pytest.mark.parametrize(("healthy", "floor", "keep"), [(1, 1.0, 0), (2, 1.0, 1), (8, 0.75, 6), (5, 0.0, 0)])
def test_floor_allows_at_least_one_replica_out_of_service(healthy, floor, keep):
    assert replicas_to_keep(healthy, floor) == keep
