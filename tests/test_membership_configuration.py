import asyncio

import pytest

from passgate.clock import new_virtual_loop
from passgate.errors import DeadlineExceeded, PeerCallFailed, PeerUnreachable
from passgate.membership.configuration_sync import RECORDS_METHOD
from tests.membership_cluster import ClusterShape, HollowCluster, HollowDaemon, change, until

TIMEOUT_S = 30.0


def with_cluster(scenario, daemons: int = 4) -> None:
    async def run():
        cluster = HollowCluster(ClusterShape(daemons=daemons, zones=2), seed=5)
        await cluster.start()
        await cluster.until_agreed(TIMEOUT_S)
        await scenario(cluster)
        await cluster.close()

    loop = new_virtual_loop()
    try:
        loop.run_until_complete(run())
    finally:
        loop.close()


async def set_log(cluster, daemons, down: bool) -> None:
    for daemon in daemons:
        daemon.log.down = down
    cluster.log.wake_readers()
    await asyncio.sleep(0.1)


def pulls(daemon: HollowDaemon) -> int:
    return daemon.sync.counters.pulls


def test_change_reaches_daemons_that_can_not_read_the_log():
    async def scenario(cluster):
        writer, *others = cluster.daemons
        await set_log(cluster, others, down=True)
        await change(writer, 1)
        await until(lambda: all(daemon.revision == writer.revision for daemon in others), TIMEOUT_S)
        assert all(daemon.service.state.get("Pool", "pool-1") for daemon in others)

    with_cluster(scenario)


def test_change_is_in_force_after_a_zone_cut_while_the_zone_can_not_read_the_log():
    in_force_s = 19.0

    async def scenario(cluster):
        inside = [daemon for daemon in cluster.daemons if daemon.zone == "zone-00"]
        writer = next(daemon for daemon in cluster.daemons if daemon not in inside)
        before = [daemon.revision for daemon in cluster.daemons]
        cluster.network.cut(lambda _address, zone: zone == "zone-00")
        await set_log(cluster, inside, down=True)
        await change(writer, 1)
        await asyncio.sleep(60.0)
        assert all(daemon.revision < writer.revision for daemon in inside)
        cluster.network.heal()
        await until(lambda: all(daemon.revision >= writer.revision for daemon in inside), in_force_s)
        assert all(daemon.revision >= old for daemon, old in zip(cluster.daemons, before, strict=True))
        assert sum(pulls(daemon) for daemon in inside) > 0

    with_cluster(scenario, daemons=6)


def test_peers_are_not_asked_while_the_log_brings_changes():
    async def scenario(cluster):
        # Peers tell of a change sooner than these daemons' log clients bring it.
        for daemon in cluster.daemons[1:]:
            daemon.log.latency_s = 0.3
        for number in range(5):
            await change(cluster.daemons[0], number)
            await asyncio.sleep(2.0)
        assert sum(pulls(daemon) for daemon in cluster.daemons) == 0

    with_cluster(scenario)


def test_pull_goes_on_with_another_peer_when_one_fails():
    async def scenario(cluster):
        writer, broken, third, behind = cluster.daemons
        await set_log(cluster, [behind], down=True)

        async def fail(_payload):
            raise RuntimeError("broken handler")

        for daemon in (broken, third):
            daemon.agent.handle(RECORDS_METHOD, fail)
        await change(writer, 1)
        await until(lambda: behind.revision == writer.revision, TIMEOUT_S)

    with_cluster(scenario)


def test_daemon_started_during_a_log_outage_is_brought_up_by_peers():
    async def scenario(cluster):
        for number in range(20):
            await change(cluster.daemons[0], number)
        await cluster.daemons[3].kill()
        await set_log(cluster, cluster.daemons, down=True)
        started = await cluster.replace(3)
        started.log.down = True
        await started.sync.wait_ready(TIMEOUT_S)
        assert started.revision == cluster.daemons[0].revision
        assert len(started.service.state) == 20

    with_cluster(scenario)


def test_snapshot_is_pulled_when_the_entries_are_no_longer_retained():
    async def scenario(cluster):
        writer, *others = cluster.daemons
        for number in range(20):
            await change(writer, number)
        await until(lambda: all(daemon.revision == writer.revision for daemon in others), TIMEOUT_S)
        for daemon in cluster.daemons:
            daemon.service.records_since = lambda _offset: ()
        await cluster.daemons[3].kill()
        started = await cluster.replace(3)
        started.log.down = True
        await started.sync.wait_ready(TIMEOUT_S)
        assert started.sync.counters.snapshots_adopted == 1
        assert len(started.service.state) == 20

    with_cluster(scenario)


def test_starting_daemon_is_not_ready_while_a_peer_has_more():
    async def scenario(cluster):
        writer, *_, behind = cluster.daemons
        await set_log(cluster, [behind], down=True)
        await change(writer, 1)
        behind.service.adopt = lambda _entries: 0
        behind.service.adopt_snapshot = lambda _snapshot: False
        with pytest.raises(DeadlineExceeded):
            await behind.sync.wait_ready(5.0)

    with_cluster(scenario)


def test_revisions_show_who_lags_and_who_does_not_answer():
    async def scenario(cluster):
        writer, behind, cut, _ = cluster.daemons
        await set_log(cluster, [behind], down=True)
        behind.service.adopt = lambda _entries: 0
        behind.service.adopt_snapshot = lambda _snapshot: False
        await change(writer, 1)
        cluster.network.cut(lambda address, _zone: address == cut.transport.address)
        told = {report.member_id: report.next_offset for report in await writer.sync.revisions()}
        assert told[writer.member_id] == 1
        assert told[behind.member_id] == 0
        assert told[cut.member_id] is None

    with_cluster(scenario)


def test_calls_between_members_fail_with_types():
    async def scenario(cluster):
        agent = cluster.daemons[0].agent
        with pytest.raises(PeerUnreachable):
            await agent.call("nobody", "m", b"", 1.0)
        with pytest.raises(PeerCallFailed) as failure:
            await agent.call(cluster.daemons[1].member_id, "no such method", b"", 1.0)
        assert failure.value.details["peer_code"] == "not_found"

    with_cluster(scenario)
