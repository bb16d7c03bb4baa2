import asyncio

from passgate.clock import new_virtual_loop
from passgate.membership.config import MembershipConfig
from tests.membership_cluster import ClusterShape, SimulatedCluster, wait_until


def run_with_cluster(scenario, daemons: int, zones: int, seed: int = 7) -> None:
    async def run():
        cluster = SimulatedCluster(ClusterShape(daemons=daemons, zones=zones), seed)
        await scenario(cluster)
        await cluster.close()

    loop = new_virtual_loop()
    try:
        loop.run_until_complete(run())
    finally:
        loop.close()


def test_daemons_started_together_converge_within_seconds():
    async def scenario(cluster):
        await cluster.start()
        assert await cluster.wait_until_converged(10.0) < 10.0

    run_with_cluster(scenario, daemons=24, zones=3)


def test_leaving_daemon_is_removed_everywhere_without_a_suspicion():
    async def scenario(cluster):
        await cluster.start_converged()
        leaver, *others = cluster.daemons
        await leaver.agent.leave(MembershipConfig().leave_linger_s)
        await leaver.kill()
        assert not any(other.agent.is_alive(leaver.member_id) for other in others)
        assert sum(other.agent.counters.suspicions for other in others) == 0

    run_with_cluster(scenario, daemons=12, zones=3)


def test_every_remaining_daemon_detects_the_loss_of_a_zone():
    async def scenario(cluster):
        await cluster.start_converged()
        victims = [daemon for daemon in cluster.daemons if daemon.zone == "zone-00"]
        await asyncio.gather(*(victim.kill() for victim in victims))
        survivors = cluster.running_daemons()
        assert (len(victims), len(survivors)) == (3, 6)
        gone = {victim.member_id for victim in victims}
        await wait_until(
            lambda: not any(other.agent.is_alive(name) for other in survivors for name in gone), 60.0
        )

    run_with_cluster(scenario, daemons=9, zones=3, seed=1)


def test_change_listener_is_called_once_for_suspicion_and_death():
    async def scenario(cluster):
        await cluster.start_converged()
        observer, victim, *_ = cluster.daemons
        changes = []
        observer.agent.subscribe(changes.append)
        await victim.kill()
        await asyncio.sleep(30)
        states = [view.state.value for view in changes if view.member_id == victim.member_id]
        assert states == ["suspect", "dead"]

    run_with_cluster(scenario, daemons=6, zones=3)
