"""Replica orders of the leader, against a platform that is slow, unresponsive or out of replicas."""

import asyncio
import random

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.decisions import DecisionLog
from passgate.duties.calls import CallRateLimiter, DutyOutcome
from passgate.duties.scaler import BOOT_MARGIN_S, Scaler
from passgate.duties.scaling_policy import ZoneReplicas, spread_replicas
from passgate.duties.scaling_projection import ScalingProjection
from passgate.eligibility.evacuation import EvacuatedZones
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.topology import Topology
from passgate.emulator.shared_log import MemorySharedLog
from passgate.gateway.replica_table import ReplicaTable
from passgate.gateway.routes import ConfigHolder, GatewayConfig, ScalingRule, Service
from passgate.jobs.journal import Journal
from passgate.jobs.records import WeightDemand, writer_name
from passgate.versions.control_topic import ControlTopic

RULE = ScalingRule(least=1, most=4, boot_s=2.0, spot_price=0.2, zone_prices={"a": 1.0, "b": 0.8})
JOURNAL_LIMITS = {"record_bytes": 262_144, "append_bytes": 2_000_000}
LEASE_S = 3.0


class PlatformStub:
    """Boots ordered replicas; some calls get no answer and are executed seconds later."""

    def __init__(self, daemons, seed=0, lost=0.0):
        self.daemons = daemons
        self.random = random.Random(seed)
        self.unanswered_share = lost
        self.refusing_until_s = 0.0
        self.fences = {}
        self.holders = {}
        self.counts = {}
        self.calls = []
        self.shared_fences = []
        """Pools and fences that two holders sent; an assertion here would only end a daemon's task."""

    async def order_replicas(self, order):
        if self.random.random() < self.unanswered_share:
            asyncio.get_running_loop().call_later(self.random.choice([0.1, 3.0]), self.handle_order, order)
            await asyncio.sleep(1.0)
            return DutyOutcome.UNKNOWN
        await asyncio.sleep(0.01)
        return self.handle_order(order)

    def handle_order(self, order):
        pool = (order.service, order.zone, order.spot)
        self.calls.append((monotonic_s(), order))
        if self.holders.setdefault((pool, order.fence), order.holder) != order.holder:
            self.shared_fences.append((pool, order.fence))
        if order.fence < self.fences.get(pool, -1) or monotonic_s() < self.refusing_until_s:
            return DutyOutcome.REFUSED
        self.fences[pool] = order.fence
        self.counts[pool] = order.count
        asyncio.get_running_loop().call_later(RULE.boot_s, self.boot, pool)
        return DutyOutcome.ACCEPTED

    def boot(self, pool):
        service, zone, spot = pool
        for number in range(self.counts[pool]):
            info = ReplicaInfo(
                replica_id=f"{zone}-{number}-{monotonic_s()}" if spot else f"{zone}-{number}",
                service=service,
                address="h:1",
                zone=zone,
                slots=8,
                spot=spot,
                model_versions={"m": 1},
            )
            for daemon in self.daemons:
                present = [s for s in daemon.replicas.all() if s.info.zone == zone and s.info.spot == spot]
                if len(present) < self.counts[pool]:
                    daemon.replicas.put(info)

    def reclaim(self, zone, for_s):
        self.refusing_until_s = monotonic_s() + for_s
        for daemon in self.daemons:
            for state in daemon.replicas.all():
                if state.info.zone == zone and state.info.spot:
                    daemon.replicas.remove(state.info.replica_id)


class Daemon:
    def __init__(self, log, platform, name, incarnation=0):
        client = log.client(name)
        writer = writer_name(name, str(incarnation), f"{name}:7720")
        decisions = DecisionLog(name, write=len)
        self.scaling_projection = ScalingProjection()
        self.replicas = ReplicaTable(Topology(zone="a"), seed=1)
        self.evacuated_zones = EvacuatedZones(decisions)
        config_holder = ConfigHolder()
        config_holder.apply_if_newer(GatewayConfig(version=1, services=(Service(name="llm", scaling=RULE),)))
        journal = Journal(client, "control", 0, writer, **JOURNAL_LIMITS)
        self.control = ControlTopic(
            client,
            "control",
            journal,
            lambda: True,
            decisions,
            lease_s=LEASE_S,
            projections=(self.scaling_projection,),
        )
        self.scaler = Scaler(
            self.scaling_projection,
            journal,
            self.control.leadership,
            platform,
            CallRateLimiter(40.0),
            config_holder,
            self.replicas,
            self.control.leadership_projection.newest_demand_by_model,
            decisions,
            evacuated_zones=self.evacuated_zones,
            daemon_id=name,
        )
        for zone in ("a", "b"):
            info = ReplicaInfo(
                replica_id=f"{zone}-own",
                service="llm",
                address="h:1",
                zone=zone,
                slots=8,
                model_versions={"m": 1},
            )
            self.replicas.put(info)
        self.name = name
        self.tasks = []

    def start(self):
        parts = (self.control.run(), self.scaler.run())
        self.tasks = [asyncio.get_running_loop().create_task(part) for part in parts]
        return self

    async def kill(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def present(self):
        return sum(1 for state in self.replicas.all())


def start_daemons(seed=0, unanswered_share=0.0, count=3):
    daemons = []
    log, platform = MemorySharedLog(), PlatformStub(daemons, seed, unanswered_share)
    daemons.extend(Daemon(log, platform, f"d{number}").start() for number in range(count))
    return log, platform, daemons


def submit_job(daemon, items):
    daemon.control.journal.put(WeightDemand(model="m", lag=1, items=items))


def test_replicas_for_a_whole_step_are_ordered_within_the_limits():
    async def main():
        _, platform, daemons = start_daemons()
        await asyncio.sleep(2.0)
        submit_job(daemons[0], items=36)
        await asyncio.sleep(8.0)
        assert daemons[0].present() == 5
        submit_job(daemons[0], items=1000)
        await asyncio.sleep(8.0)
        assert daemons[0].present() == 2 * RULE.most
        assert all(order.spot for _, order in platform.calls)

    run_virtual(main())


def test_nothing_is_ordered_when_present_replicas_suffice():
    async def main():
        _, platform, daemons = start_daemons()
        submit_job(daemons[0], items=16)
        await asyncio.sleep(20.0)
        assert platform.calls == []

    run_virtual(main())


@pytest.mark.parametrize("seed", range(6))
def test_late_orders_and_killed_leaders_leave_one_count_and_unshared_fences(seed):
    async def main():
        log, platform, daemons = start_daemons(seed, unanswered_share=0.4)
        await asyncio.sleep(2.0)
        for incarnation in range(1, 4):
            submit_job(daemons[seed % 3], items=16 + 10 * incarnation)
            await asyncio.sleep(5.0)
            leaders = [daemon for daemon in daemons if daemon.control.leadership.leads]
            index = daemons.index(leaders[0] if leaders else daemons[0])
            await daemons[index].kill()
            daemons[index] = Daemon(log, platform, f"d{index}", incarnation).start()
        platform.unanswered_share = 0.0
        await asyncio.sleep(20.0)
        count_by_pool = {
            pool: decision.count for pool, decision in daemons[0].scaling_projection.decision_by_pool.items()
        }
        assert {pool.zone: count for pool, count in count_by_pool.items()} == {
            zone: count for (_, zone, _), count in platform.counts.items()
        }
        assert sum(platform.counts.values()) == 4
        assert platform.shared_fences == []

    run_virtual(main())


@pytest.mark.parametrize("seed", range(6))
def test_a_new_leader_does_not_repeat_an_order_under_the_fence_of_the_former_one(seed):
    """Guards against two holders that send one fence, after a leader that got no answer was cut off."""

    async def main():
        log, platform, daemons = start_daemons(seed, unanswered_share=1.0)
        await asyncio.sleep(2.0)
        submit_job(daemons[0], items=36)
        await asyncio.sleep(1.0)
        former = next(daemon for daemon in daemons if daemon.control.leadership.leads)
        log.cut_off_clients.add(former.name)
        await asyncio.sleep(8.0)
        platform.unanswered_share = 0.0
        await asyncio.sleep(10.0)
        assert len({order.holder for _, order in platform.calls}) == 2
        assert platform.shared_fences == []
        assert former.present() == 5

    run_virtual(main())


def test_after_a_reclaim_replicas_are_ordered_again_at_a_limited_rate():
    async def main():
        _, platform, daemons = start_daemons()
        await asyncio.sleep(2.0)
        submit_job(daemons[0], items=36)
        await asyncio.sleep(10.0)
        before = len(platform.calls)
        for zone in ("a", "b"):
            platform.reclaim(zone, for_s=9.0)
        await asyncio.sleep(30.0)
        assert daemons[0].present() == 5
        assert len(platform.calls) - before <= 2 * 4

    run_virtual(main())


def test_added_replicas_are_spread_over_zones_up_to_the_maximum():
    present = {"a": ZoneReplicas(on_demand=3), "b": ZoneReplicas(on_demand=4)}
    spread = spread_replicas(RULE, present, total=20)
    assert spread == {"a": ZoneReplicas(on_demand=3, spot=1), "b": ZoneReplicas(on_demand=4)}
    assert BOOT_MARGIN_S > 0
