import asyncio

import pytest

from passgate.clock import new_virtual_loop
from passgate.errors import DeadlineExceeded, PeerCallFailed, PeerUnreachable
from passgate.membership.configuration_sync import RECORDS_METHOD
from tests.membership_cluster import ClusterShape, SimulatedCluster, SimulatedDaemon, put_pool, wait_until

TIMEOUT_S = 30.0


def run_with_cluster(scenario, daemons: int = 4) -> None:
    async def run():
        cluster = SimulatedCluster(ClusterShape(daemons=daemons, zones=2), seed=5)
        await cluster.start()
        await cluster.wait_until_converged(TIMEOUT_S)
        await scenario(cluster)
        await cluster.close()

    loop = new_virtual_loop()
    try:
        loop.run_until_complete(run())
    finally:
        loop.close()


async def set_log_down(cluster, daemons, down: bool) -> None:
    for daemon in daemons:
        daemon.log_client.down = down
    cluster.log.wake_readers()
    await asyncio.sleep(0.1)


def pull_count(daemon: SimulatedDaemon) -> int:
    return daemon.sync.counters.pulls


def test_daemons_that_can_not_read_the_log_pull_a_change_from_peers():
    async def scenario(cluster):
        writer, *others = cluster.daemons
        await set_log_down(cluster, others, down=True)
        await put_pool(writer, 1)
        await wait_until(
            lambda: all(daemon.next_offset == writer.next_offset for daemon in others), TIMEOUT_S
        )
        assert all(daemon.configuration.state.get("Pool", "pool-1") for daemon in others)

    run_with_cluster(scenario)


def test_partitioned_zone_pulls_a_change_after_the_partition_while_it_can_not_read_the_log():
    in_force_s = 19.0

    async def scenario(cluster):
        inside = [daemon for daemon in cluster.daemons if daemon.zone == "zone-00"]
        writer = next(daemon for daemon in cluster.daemons if daemon not in inside)
        before = [daemon.next_offset for daemon in cluster.daemons]
        cluster.network.cut(lambda _address, zone: zone == "zone-00")
        await set_log_down(cluster, inside, down=True)
        await put_pool(writer, 1)
        await asyncio.sleep(60.0)
        assert all(daemon.next_offset < writer.next_offset for daemon in inside)
        cluster.network.heal()
        await wait_until(
            lambda: all(daemon.next_offset >= writer.next_offset for daemon in inside), in_force_s
        )
        assert all(daemon.next_offset >= old for daemon, old in zip(cluster.daemons, before, strict=True))
        assert sum(pull_count(daemon) for daemon in inside) > 0

    run_with_cluster(scenario, daemons=6)


def test_nothing_is_pulled_while_the_log_delivers_changes():
    async def scenario(cluster):
        # Peers report a change before these daemons' log clients deliver it.
        for daemon in cluster.daemons[1:]:
            daemon.log_client.latency_s = 0.3
        for number in range(5):
            await put_pool(cluster.daemons[0], number)
            await asyncio.sleep(2.0)
        assert sum(pull_count(daemon) for daemon in cluster.daemons) == 0

    run_with_cluster(scenario)


def test_failed_pull_is_retried_with_another_peer():
    async def scenario(cluster):
        writer, broken, third, lagging = cluster.daemons
        await set_log_down(cluster, [lagging], down=True)

        async def fail(_payload):
            raise RuntimeError("broken handler")

        for daemon in (broken, third):
            daemon.agent.register_handler(RECORDS_METHOD, fail)
        await put_pool(writer, 1)
        await wait_until(lambda: lagging.next_offset == writer.next_offset, TIMEOUT_S)

    run_with_cluster(scenario)


def test_daemon_started_during_a_log_outage_gets_the_configuration_from_peers():
    async def scenario(cluster):
        for number in range(20):
            await put_pool(cluster.daemons[0], number)
        await cluster.daemons[3].kill()
        await set_log_down(cluster, cluster.daemons, down=True)
        started = await cluster.replace(3)
        started.log_client.down = True
        await started.sync.wait_ready(TIMEOUT_S)
        assert started.next_offset == cluster.daemons[0].next_offset
        assert len(started.configuration.state) == 20

    run_with_cluster(scenario)


def test_snapshot_is_pulled_when_the_entries_are_no_longer_retained():
    async def scenario(cluster):
        writer, *others = cluster.daemons
        for number in range(20):
            await put_pool(writer, number)
        await wait_until(
            lambda: all(daemon.next_offset == writer.next_offset for daemon in others), TIMEOUT_S
        )
        for daemon in cluster.daemons:
            daemon.configuration.records_since = lambda _offset: ()
        await cluster.daemons[3].kill()
        started = await cluster.replace(3)
        started.log_client.down = True
        await started.sync.wait_ready(TIMEOUT_S)
        assert started.sync.counters.snapshots_adopted == 1
        assert len(started.configuration.state) == 20

    run_with_cluster(scenario)


def test_daemon_is_not_ready_while_a_peer_is_ahead():
    async def scenario(cluster):
        writer, *_, lagging = cluster.daemons
        await set_log_down(cluster, [lagging], down=True)
        await put_pool(writer, 1)
        lagging.configuration.adopt = lambda _entries: 0
        lagging.configuration.adopt_snapshot = lambda _snapshot: False
        with pytest.raises(DeadlineExceeded):
            await lagging.sync.wait_ready(5.0)

    run_with_cluster(scenario)


def test_member_revisions_show_lagging_and_unreachable_daemons():
    async def scenario(cluster):
        writer, lagging, unreachable, _ = cluster.daemons
        await set_log_down(cluster, [lagging], down=True)
        lagging.configuration.adopt = lambda _entries: 0
        lagging.configuration.adopt_snapshot = lambda _snapshot: False
        await put_pool(writer, 1)
        cluster.network.cut(lambda address, _zone: address == unreachable.transport.address)
        offset_by_member = {
            report.member_id: report.next_offset for report in await writer.sync.member_revisions()
        }
        assert offset_by_member[writer.member_id] == 1
        assert offset_by_member[lagging.member_id] == 0
        assert offset_by_member[unreachable.member_id] is None

    run_with_cluster(scenario)


def test_failed_calls_between_members_raise_typed_errors():
    async def scenario(cluster):
        agent = cluster.daemons[0].agent
        with pytest.raises(PeerUnreachable):
            await agent.call("nobody", "m", b"", 1.0)
        with pytest.raises(PeerCallFailed) as failure:
            await agent.call(cluster.daemons[1].member_id, "no such method", b"", 1.0)
        assert failure.value.details["peer_code"] == "not_found"

    run_with_cluster(scenario)
