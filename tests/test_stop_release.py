"""A planned stop while the log takes a daemon's appends but does not answer its reads, in virtual time."""

import asyncio

from passgate.clock import monotonic_s, run_virtual
from tests.job_daemons import ITEM_S, TAKEOVER_LIMIT_S, job_spec, start_daemons
from tests.leader_daemons import FaultyLog

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
