"""Owners of jobs that are cut off from the log while it answers other daemons, in virtual time."""

import asyncio

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.emulator.shared_log import MemorySharedLog
from passgate.jobs.send_permission import MAX_VIEW_AGE_S
from tests.job_daemons import Daemon
from tests.test_jobs_mixed_builds import OBSERVED_S, start_daemons
from tests.test_jobs_old_views import APPLIED_S, client_name, close_all, sends_after


async def sends_after_a_cancellation_during_a_cut(log, daemons, host):
    """Cut the first daemon off, cancel its job at the second; return when the first still sent too late."""
    owner, other, *_ = daemons
    log.cut_off_clients.add(client_name(owner))
    cut_at_s = monotonic_s()
    await other.service.cancel(host, "j", monotonic_s() + 1.0)
    await asyncio.sleep(OBSERVED_S)
    await close_all(daemons)
    return sends_after(owner, cut_at_s + MAX_VIEW_AGE_S + APPLIED_S)


@pytest.mark.parametrize("count", [2, 3, 5])
def test_a_cut_off_owner_does_not_send_again_once_the_partition_has_no_open_job(count):
    """Guards against taking the long polls of others in an idle partition for an outage of the partition.

    The others' views of a partition without open jobs are as old as their longest poll.
    """

    async def main():
        log = MemorySharedLog()
        daemons, host = await start_daemons(log, [Daemon] * count)
        assert await sends_after_a_cancellation_during_a_cut(log, daemons, host) == []

    run_virtual(main())


def test_a_cut_off_owner_alone_in_its_zone_stops_to_send():
    """Guards against an owner that knows no daemon of other zones and takes its own cut for an outage.

    In a single region the directories of other zones are not read in advance.
    """

    async def main():
        log = MemorySharedLog()
        zones = {f"z{number}": "r" for number in range(2)}
        daemons, host = await start_daemons(log, [Daemon] * 2, zones)
        assert await sends_after_a_cancellation_during_a_cut(log, daemons, host) == []

    run_virtual(main())
