"""Leadership while a daemon can't read the log, can't append to it, or is far behind, in virtual time."""

import asyncio
import itertools
import random

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.decisions import LeadershipLost
from passgate.duties.meter import FLUSH_INTERVAL_S
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.topology import Topology
from passgate.emulator.shared_log import SharedLogFaults
from passgate.gateway.replica_table import ReplicaTable
from passgate.jobs.records import UsageCounted, WeightDemand
from passgate.quarantine.crash_quarantine import CrashQuarantine
from passgate.versions.leadership import ORDER_LEASE_SHARE, TAKEOVER_MARGIN_S
from passgate.versions.loader import Loader, ReplicaReport, TargetVersions
from tests.leader_daemons import CONTROL_TOPIC, LEASE_S, LeaderFleet

CUT_S = 6.0
CONNECT_S = 1.0
RECOVERY_S = 2.0
"""Time until appends and reads that were under way during a fault have ended."""
MAX_TAKEOVER_S = 2 * LEASE_S + TAKEOVER_MARGIN_S
"""A former leader notices the cut within a lease, and is silent for a lease before others take over."""


def in_fleet(test):
    """Decorate a coroutine test: run it in virtual time; its argument is a fleet that has a leader."""

    def run():
        async def main():
            fleet = LeaderFleet()
            await fleet.leader()
            await test(fleet)
            assert fleet.rivals == []
            assert fleet.alternations == []

        run_virtual(main())

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


async def append_counts(journal):
    """Append usage counts as a leader that batches the counts of other daemons does."""
    for number in itertools.count():
        journal.put(UsageCounted(meter="d", number=number, window=1, counts={"orchard": 1}))
        await asyncio.sleep(FLUSH_INTERVAL_S)


@in_fleet
async def test_another_daemon_takes_over_from_a_leader_that_appends_but_can_not_read(fleet):
    """Guards against a leader that renews its lease for as long as its reads fail, and can do nothing.

    Each record of the leader renews its lease, also one with usage counts.
    """
    former = await fleet.leader()
    counting = asyncio.create_task(append_counts(former.journal))
    former.log.reads_fail = True
    await asyncio.sleep(LEASE_S)
    assert not former.leadership.may_order()
    successor = await fleet.leader(MAX_TAKEOVER_S)
    assert successor not in (None, former)
    (lost,) = [event for event in former.events if isinstance(event, LeadershipLost)]
    assert lost.reason.startswith("log not read for")
    former.log.reads_fail = False
    await asyncio.sleep(1.0)
    assert not former.leadership.leads
    counting.cancel()
    await asyncio.sleep(1.0)
    assert former.journal.has_no_pending_entries


@in_fleet
async def test_a_leader_that_can_not_read_appends_again_once_others_could_take_over(fleet):
    """Guards against counts and demands that are withheld for as long as the reads of a leader fail."""
    former = await fleet.leader()
    former.log.reads_fail = True
    await asyncio.sleep(LEASE_S + 1.0)
    demand = former.journal.put(WeightDemand(model="m", lag=0, items=4))
    await asyncio.sleep(2 * MAX_TAKEOVER_S)
    assert demand.done()
    successor = await fleet.leader()
    assert successor.control.leadership_projection.newest_demand_by_model["m"].items == 4


@in_fleet
async def test_a_leader_that_can_not_read_releases_its_lead_when_it_stops(fleet):
    """Guards against a graceful shutdown whose release is withheld."""
    former = await fleet.leader()
    former.log.reads_fail = True
    await asyncio.sleep(LEASE_S + 0.5)
    released = former.control.release_leadership()
    await asyncio.sleep(0.5)
    assert released.done()
    assert await fleet.leader(1.0) not in (None, former)


@in_fleet
async def test_a_leader_that_can_not_append_loses_the_lease(fleet):
    former = await fleet.leader()
    former.log.appends_fail = True
    await asyncio.sleep(LEASE_S * ORDER_LEASE_SHARE + 0.1)
    assert not former.leadership.may_order()
    assert await fleet.leader(MAX_TAKEOVER_S) not in (None, former)


@in_fleet
async def test_a_leader_that_was_cut_off_does_not_order_before_it_has_read_its_replacement(fleet):
    """Guards against orders on the records before the takeover, if the log answers one record a page."""
    former = await fleet.leader()
    former.log.one_record_a_page = True
    former.cut_off(is_cut=True)
    await asyncio.sleep(CUT_S)
    assert await fleet.leader() not in (None, former)
    former.cut_off(is_cut=False)
    for _ in range(200):
        assert not former.leadership.may_order()
        await asyncio.sleep(0.02)
    assert not former.leadership.leads


class SlowReplica:
    """A replica to which an order leaves only once its connection is ready, after CONNECT_S."""

    def __init__(self):
        self.left_s = []

    async def report(self, replica_id, address):
        return ReplicaReport(orders_taken=0, busy=False, model_versions={"m": 1})

    async def order(self, order):
        await asyncio.sleep(CONNECT_S)
        self.left_s.append(monotonic_s())
        return 202


@in_fleet
async def test_a_leader_that_stops_is_replaced_only_after_its_last_order_has_left(fleet):
    """Guards against an order under the former fence that arrives after one under the next."""
    former = await fleet.leader()
    replica = SlowReplica()
    replicas, targets = ReplicaTable(Topology(zone="z"), seed=1), TargetVersions(former.decisions)
    replicas.put(
        ReplicaInfo(replica_id="r", service="s", address="h:1", zone="z", slots=4, model_versions={"m": 1})
    )
    targets.offer("m", 2)
    guard = CrashQuarantine(former.log, "crashes", replicas.eject, former.decisions, None).guard
    loader = Loader(targets, replicas, former.leadership, replica, former.name, {}, guard, former.decisions)
    loading = asyncio.create_task(loader.run())
    await asyncio.sleep(CONNECT_S / 2)
    released = former.control.release_leadership()
    assert await fleet.leader() not in (None, former)
    successor_s = monotonic_s()
    await released
    await asyncio.sleep(CONNECT_S)
    loading.cancel()
    (left_s,) = replica.left_s
    assert left_s < successor_s


@in_fleet
async def test_the_leader_keeps_leading_after_an_outage_of_the_log(fleet):
    leader = await fleet.leader()
    fleet.log.faults.silent = True
    await asyncio.sleep(CUT_S)
    assert not leader.leadership.may_order()
    fleet.log.faults.silent = False
    returned_s = monotonic_s()
    assert await fleet.leader() is leader
    assert monotonic_s() - returned_s < 1.5


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("trimmed", [False, True])
def test_leaders_that_are_killed_in_series_do_not_alternate_within_a_lease(seed, trimmed):
    """Guards against orders of A, B and A within a lease, as the exit of B's process is known at once.

    The new process of a daemon learns from the log only when its predecessor led, if it is still there.
    """

    async def main():
        rng = random.Random(seed)
        fleet = LeaderFleet(count=2, seed=seed)
        terms = 0
        while terms < 12:
            leader = await fleet.leader()
            assert leader is not None
            terms += 1
            await asyncio.sleep(rng.uniform(0.0, 0.3))
            if trimmed:
                fleet.log.drop_history(CONTROL_TOPIC)
            for daemon in fleet.daemons:
                daemon.may_lead = True
            fleet.restart(leader).may_lead = rng.random() < 0.5  # the other one may be faster
        assert fleet.alternations == []
        assert fleet.rivals == []

    run_virtual(main())


@in_fleet
async def test_a_leader_that_is_killed_and_started_again_leads_again_at_once(fleet):
    """Guards against a wait for the lease of a daemon's own former process, which nobody has succeeded."""
    former = await fleet.leader()
    other = next(daemon for daemon in fleet.daemons if daemon is not former)
    other.may_lead = False
    killed_s = monotonic_s()
    successor = fleet.restart(former)
    assert await fleet.leader() is successor
    assert monotonic_s() - killed_s < LEASE_S / 2


@in_fleet
async def test_a_daemon_that_never_led_takes_over_at_once(fleet):
    """Guards against a wait for the lease by a daemon that has sent no orders before."""
    former = await fleet.leader()
    released_s = monotonic_s()
    await former.control.release_leadership()
    successor = await fleet.leader()
    assert successor not in (None, former)
    assert monotonic_s() - released_s < LEASE_S / 2


def disturb(fleet, rng):
    """Change the faults of one daemon, or of the log for all."""
    daemon = rng.choice(fleet.daemons)
    daemon.log.reads_fail = rng.random() < 0.4
    daemon.log.appends_fail = rng.random() < 0.3
    daemon.log.one_record_a_page = rng.random() < 0.5
    daemon.may_lead = rng.random() < 0.8
    fleet.log.faults = SharedLogFaults(
        lost_answers=rng.choice([0.0, 0.0, 0.3]),
        late_s=(0.0, 5.0),
        slow_s=rng.choice([0.0, 0.0, 0.3]),
        refusing=rng.random() < 0.1,
        silent=rng.random() < 0.1,
    )


@pytest.mark.parametrize("seed", range(16))
def test_random_faults_leave_at_most_one_daemon_that_may_order_and_one_after_they_end(seed):
    """Guards against two leaders, and against a leadership or entries that nobody can use afterwards."""

    async def main():
        rng = random.Random(seed)
        fleet = LeaderFleet(seed=seed)
        await fleet.leader()
        counting = [asyncio.create_task(append_counts(daemon.journal)) for daemon in fleet.daemons]
        for _ in range(20):
            disturb(fleet, rng)
            await asyncio.sleep(rng.uniform(0.2, 6.0))
        fleet.log.faults = SharedLogFaults()
        for daemon in fleet.daemons:
            daemon.log.reads_fail = daemon.log.appends_fail = daemon.log.one_record_a_page = False
            daemon.may_lead = True
        assert await fleet.leader(MAX_TAKEOVER_S + RECOVERY_S) is not None
        for task in counting:
            task.cancel()
        async with asyncio.timeout(2 * MAX_TAKEOVER_S):
            for daemon in fleet.daemons:
                while not daemon.journal.has_no_pending_entries:
                    await asyncio.sleep(0.01)
        assert fleet.rivals == []
        assert fleet.alternations == []

    run_virtual(main())
