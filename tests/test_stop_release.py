"""What a daemon that stops releases, and when, while the log or a replica is hard to reach."""

import asyncio

from passgate.clock import monotonic_s, run_virtual
from passgate.errors import BackendUnreachable, ExecutionStatus
from passgate.platform.http_api import ORDER_TIMEOUT_S
from tests import fake_platform
from tests.job_daemons import ITEM_S, TAKEOVER_LIMIT_S, job_spec, start_daemons
from tests.leader_daemons import FaultyLog
from tests.test_platform_daemon import in_world

CLAIM_S = 3.5
"""Time until the watcher has found the owner dead and has queued its claim."""


def test_a_daemon_that_stops_does_not_run_the_jobs_that_it_has_released():
    """Guards against a job that two daemons run: the former owner waits to read its own release."""

    async def main():
        log = FaultyLog()
        daemons = await start_daemons(log, 3)
        await daemons[0].service.submit(job_spec("job", count=40), monotonic_s() + 4.0)
        await asyncio.sleep(ITEM_S)
        (owner,) = [daemon for daemon in daemons if daemon.job_partitions.running_jobs]
        owner.client.reads_fail = True
        await owner.stop()
        await asyncio.sleep(TAKEOVER_LIMIT_S)
        assert [daemon.name for daemon in daemons if daemon.job_partitions.running_jobs] != [owner.name]
        assert owner.job_partitions.running_jobs == 0

    run_virtual(main())


def test_a_daemon_that_stops_while_its_claim_is_under_way_does_not_run_the_job():
    """Guards against a claim that reaches the log after the stop: its daemon releases the job no more."""

    async def main():
        log = FaultyLog()
        daemons = await start_daemons(log, 2)
        await daemons[0].service.submit(job_spec("job", count=40), monotonic_s() + 4.0)
        await asyncio.sleep(ITEM_S)
        (owner,) = [daemon for daemon in daemons if daemon.job_partitions.running_jobs]
        (claimer,) = [daemon for daemon in daemons if daemon is not owner]
        await owner.kill()
        claimer.client.appends_fail = True
        await asyncio.sleep(CLAIM_S)
        stopping = asyncio.create_task(claimer.stop())
        await asyncio.sleep(0.1)
        claimer.client.appends_fail = False
        await stopping
        await asyncio.sleep(TAKEOVER_LIMIT_S)
        assert await claimer.read_owner("job") != claimer.name
        assert claimer.job_partitions.running_jobs == 0

    run_virtual(main())


@in_world
async def test_a_leader_that_stops_leaves_its_group_without_waiting_for_its_orders(world):
    """Guards against jobs that no daemon watches while an order waits for a replica that does not answer."""
    world.replica("i-1", "llm", models={"m": 1}.items())
    world.configure(1, fake_platform.batch_route())
    await world.start()
    order_started, order_ended = asyncio.Event(), asyncio.Event()

    async def wait_for_replica(order):
        order_started.set()
        await asyncio.sleep(ORDER_TIMEOUT_S)
        order_ended.set()
        raise BackendUnreachable("no answer", execution=ExecutionStatus.UNKNOWN)

    world.daemon._version_loader._control.order = wait_for_replica
    world.log.put("keyed.op", "version/m", {"model": "m", "version": 2})
    await asyncio.wait_for(order_started.wait(), 8.0)
    world.daemon.stop()
    await world.until(lambda: not world.log.groups.holders(world.daemon._group_member._group))
    assert not order_ended.is_set()
