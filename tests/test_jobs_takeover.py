"""When jobs are taken over by another daemon, and when they stay with their owner, in virtual time."""

import asyncio

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.emulator.shared_log import MemorySharedLog, SharedLogFaults
from passgate.jobs.ownership import TAKEOVER_AFTER_S, TAKEOVER_JITTER_S
from passgate.jobs.partitions import partition_of
from passgate.jobs.projection import FIRST_EPOCH
from passgate.jobs.reader import find_job
from passgate.jobs.records import ItemsDone
from passgate.sharedlog.group import DIRECTORY_REFRESH_S
from tests.job_daemons import (
    HOST,
    ITEM_S,
    RELEASE_LIMIT_S,
    TAKEOVER_LIMIT_S,
    Daemon,
    daemon_of_writer,
    job_spec,
    network_by_log,
    start_daemons,
    wait_until_complete,
)

IDLE_TIME_S = 6.0
"""Longer than any silence after which an owner counts as dead."""


async def owner_and_others(log, host=HOST):
    """Return daemons, the owner of an open job first; one of the others watches the job's partition."""
    daemons = await start_daemons(log, 3)
    await daemons[0].service.submit(job_spec("j", 40, host), monotonic_s() + 5.0)
    await asyncio.sleep(1.0)
    log.groups.reassign_all()
    await asyncio.sleep(2.5)
    owner = next(daemon for daemon in daemons if daemon.job_partitions.running_jobs)
    assert not owner.job_partitions.is_watcher_of(partition_of(host, log.partition_count))
    return [owner, *(daemon for daemon in daemons if daemon is not owner)]


def partition_number(daemon, host):
    return daemon.job_partitions.of_host(host).number


def non_watcher_in(daemons, zone, host=HOST):
    """Return a daemon of a zone that doesn't watch the partition, and leaves jobs to the zone's watcher."""
    in_zone = [daemon for daemon in daemons if daemon.zone == zone]
    return next(
        daemon
        for daemon in in_zone
        if not daemon.job_partitions.is_watcher_of(partition_number(daemon, host))
    )


def test_a_new_job_stays_with_an_owner_that_was_idle_before():
    """Guards against takeovers because of the silence before the job: an idle writer appends nothing.

    The other job keeps the daemons' views of the partition fresh.
    """

    async def main(host):
        daemons = await start_daemons(MemorySharedLog(), 6, zones=3)
        await non_watcher_in(daemons, "z1", host).service.submit(
            job_spec("other", 60, host), monotonic_s() + 2
        )
        await asyncio.sleep(IDLE_TIME_S)
        await non_watcher_in(daemons, "z0", host).service.submit(job_spec("new", 4, host), monotonic_s() + 2)
        await asyncio.sleep(4 * ITEM_S + 1.0)
        for daemon in daemons:
            assert (await find_job(daemon.job_partitions.of_host(host), "new")).epoch == FIRST_EPOCH
            await daemon.kill()

    for host in (HOST, "h1", "h2", "h3"):
        run_virtual(main(host))


def test_a_new_job_of_an_owner_that_crashes_at_once_is_taken_over_in_time():
    async def main():
        daemons = await start_daemons(MemorySharedLog(), 3, zones=3)
        await daemons[0].service.submit(job_spec("first", 2), monotonic_s() + 2)
        await wait_until_complete(daemons, ["first"])
        await asyncio.sleep(IDLE_TIME_S)
        await daemons[0].service.submit(job_spec("next", 4), monotonic_s() + 2)
        owner = daemon_of_writer(daemons, await daemons[0].read_owner("next"))
        await owner.kill()
        killed_s = monotonic_s()
        left = [daemon for daemon in daemons if daemon is not owner]
        await wait_until_complete(left, ["next"])
        assert monotonic_s() - killed_s < TAKEOVER_AFTER_S + TAKEOVER_JITTER_S + 4 * ITEM_S + 0.5
        for daemon in left:
            await daemon.kill()

    run_virtual(main())


@pytest.mark.parametrize("zones", [1, 3])
@pytest.mark.parametrize("host", ["h", "h1", "h2", "h3", "h4", "h5"])
def test_a_killed_owner_is_replaced_and_positions_agree(host, zones):
    """Also when the owner watched the partition, so that no other daemon of its zone follows it."""

    async def main():
        daemons = await start_daemons(MemorySharedLog(), 3, zones)
        await daemons[0].service.submit(job_spec("j", 6, host), monotonic_s() + 2)
        await asyncio.sleep(1.0)
        owner = daemon_of_writer(daemons, await daemons[0].read_owner("j", host))
        await owner.kill()
        killed_s = monotonic_s()
        left = [daemon for daemon in daemons if daemon is not owner]
        lists = await wait_until_complete(left, ["j"], host=host)
        assert monotonic_s() - killed_s < TAKEOVER_AFTER_S + 1.0 + 6 * ITEM_S
        assert lists[0] == lists[1]
        for daemon in left:
            await daemon.kill()

    run_virtual(main())


def test_restarted_daemons_watch_their_partitions_at_once():
    """They do not wait until the log removes the members of the previous incarnations from the group."""

    async def main():
        log = MemorySharedLog()
        daemons = await start_daemons(log, 3)
        held = [daemon.member.assigned_partitions() for daemon in daemons]
        await daemons[0].service.submit(job_spec("j"), monotonic_s() + 2)
        for daemon in daemons:
            await daemon.kill()
        back = [Daemon(log, f"d{number}", incarnation=1, zone="z0").start() for number in range(3)]
        await asyncio.sleep(0.1)
        assert [daemon.member.assigned_partitions() for daemon in back] == held
        await asyncio.sleep(0.4)
        assert await back[0].read_owner("j") in {daemon.name for daemon in back}
        await wait_until_complete(back, ["j"])
        for daemon in back:
            await daemon.kill()

    run_virtual(main())


def test_an_outage_of_one_partition_leaves_its_jobs_with_their_owners():
    """Guards against daemons that take an owner for cut off because its partition answers nobody."""

    async def main():
        log = MemorySharedLog()
        daemons = await start_daemons(log, 3, zones=3)
        for job_id in ("j", "k"):
            await daemons[0].service.submit(job_spec(job_id, 40), monotonic_s() + 2)
        await asyncio.sleep(1.0)
        log.silent_partitions.add(("jobs", partition_number(daemons[0], HOST)))
        owner = daemon_of_writer(daemons, await daemons[0].read_owner("j"))
        await asyncio.sleep(4.0)
        assert owner.job_partitions.running_jobs == 2
        for daemon in daemons:
            await daemon.kill()

    run_virtual(main())


def test_a_graceful_shutdown_releases_jobs_at_once():
    async def main():
        daemons = await start_daemons(MemorySharedLog(), 3)
        await daemons[0].service.submit(job_spec("j"), monotonic_s() + 2)
        await asyncio.sleep(0.2)
        owner = daemon_of_writer(daemons, await daemons[0].read_owner("j"))
        await owner.stop()
        await asyncio.sleep(0.9)
        left = [daemon for daemon in daemons if daemon is not owner]
        assert await left[0].read_owner("j") in {daemon.name for daemon in left}
        await owner.service.submit(job_spec("late"), monotonic_s() + 2)
        await asyncio.sleep(0.5)
        assert await left[0].read_owner("late") in {daemon.name for daemon in left}
        await wait_until_complete(daemons, ["j", "late"])
        for daemon in daemons:
            await daemon.kill()

    run_virtual(main())


def test_a_stopping_daemon_owns_no_job_that_it_accepts():
    async def main():
        (stopping,) = await start_daemons(MemorySharedLog(), 1)
        await stopping.stop()
        await stopping.service.submit(job_spec("j"), monotonic_s() + 2)
        await asyncio.sleep(0.3)
        assert await stopping.read_owner("j") == ""
        await stopping.kill()

    run_virtual(main())


def test_reassigned_partitions_leave_jobs_with_their_owners():
    async def main():
        log = MemorySharedLog()
        daemons = await start_daemons(log, 4)
        await daemons[0].service.submit(job_spec("j", 20), monotonic_s() + 2)
        await asyncio.sleep(0.5)
        owner = await daemons[0].read_owner("j")
        log.groups.reassign_all()
        await asyncio.sleep(3.0)
        assert await daemons[0].read_owner("j") == owner
        await wait_until_complete(daemons, ["j"])
        for daemon in daemons:
            await daemon.kill()

    run_virtual(main())


def test_daemons_that_all_restart_complete_their_jobs():
    async def main():
        log = MemorySharedLog()
        daemons = await start_daemons(log, 4)
        await daemons[0].service.submit(job_spec("j", 8), monotonic_s() + 2)
        await asyncio.sleep(1.0)
        for daemon in daemons:
            await daemon.kill()
        await asyncio.sleep(0.6)
        daemons = [Daemon(log, f"d{number}", incarnation=1).start() for number in range(4)]
        began_s = monotonic_s()
        await wait_until_complete(daemons, ["j"])
        assert monotonic_s() - began_s < 2.5 + 8 * ITEM_S
        for daemon in daemons:
            await daemon.kill()

    run_virtual(main())


def test_jobs_are_taken_over_soon_after_all_daemons_were_killed():
    """Guards against counting old records read after a restart as a sign that the owner is alive."""

    async def main():
        log = MemorySharedLog()
        daemons = await start_daemons(log, 3)
        await daemons[0].service.submit(job_spec("j", count=40), monotonic_s() + 5.0)
        await asyncio.sleep(1.0)
        for daemon in daemons:
            await daemon.kill()
        await asyncio.sleep(0.3)
        log.groups.expire_all_members()
        log.groups.assignment_offset += 1  # another daemon than the owner will watch
        restarted_s = monotonic_s()
        daemons = [Daemon(log, f"d{number}", incarnation=1).start() for number in range(3)]
        while not any(daemon.job_partitions.running_jobs for daemon in daemons):
            await asyncio.sleep(0.02)
        assert monotonic_s() - restarted_s < TAKEOVER_LIMIT_S

    run_virtual(main())


def test_a_daemon_on_a_small_machine_leaves_accepted_jobs_to_a_watcher():
    """Also when no watcher responds that it will own the job, as after a loss of all daemons."""

    async def main():
        log = MemorySharedLog()
        large = await start_daemons(log, 4)
        small = Daemon(log, "s", zone="z0", cores=0.5).start()
        await asyncio.sleep(DIRECTORY_REFRESH_S)
        network_by_log[log].cut(lambda address, zone: address)
        await small.service.submit(job_spec("j", 2), monotonic_s() + 2)
        await asyncio.sleep(0.5)
        assert (await large[0].read_owner("j")) in {daemon.name for daemon in large}
        assert not small.job_partitions.running_jobs
        await wait_until_complete(large, ["j"])
        for daemon in (small, *large):
            await daemon.kill()

    run_virtual(main())


def test_an_owner_cut_off_from_the_log_releases_its_jobs_with_their_progress():
    """Guards against a wait for the full silence, after which the owner's progress would be lost."""

    async def main():
        log = MemorySharedLog()
        owner, *others = await owner_and_others(log)
        name = owner.name.partition(".")[0]
        log.cut_off_clients = {name}
        cut_s = monotonic_s()
        while not any(daemon.job_partitions.running_jobs for daemon in others):
            await asyncio.sleep(0.02)
        assert monotonic_s() - cut_s < RELEASE_LIMIT_S
        assert not owner.job_partitions.running_jobs
        unacknowledged = owner.job_partitions.of_host(HOST).journal.unacknowledged_entries()
        texts = {entry.results[0].text for entry in unacknowledged if isinstance(entry, ItemsDone)}
        assert texts
        await asyncio.sleep(0.5)
        result_texts = {
            result.text for result in (await find_job(others[0].job_partitions.of_host(HOST), "j")).results
        }
        assert texts <= result_texts
        log.cut_off_clients = set()
        await wait_until_complete(others, ["j"])
        for daemon in (owner, *others):
            await daemon.kill()

    run_virtual(main())


def test_jobs_stay_with_their_owner_while_the_log_answers_no_daemon():
    async def main():
        log = MemorySharedLog()
        owner, *others = await owner_and_others(log)
        log.faults = SharedLogFaults(silent=True)
        await asyncio.sleep(4.0)
        log.faults = SharedLogFaults()
        await asyncio.sleep(2.0)
        assert owner.job_partitions.running_jobs
        assert (await find_job(others[0].job_partitions.of_host(HOST), "j")).epoch == FIRST_EPOCH
        await wait_until_complete(others, ["j"])
        for daemon in (owner, *others):
            await daemon.kill()

    run_virtual(main())


def test_an_owner_resumes_released_jobs_that_no_daemon_has_claimed_once_the_log_is_back():
    """The daemon that requested the release was killed before its claim was on the log."""

    async def main():
        log = MemorySharedLog()
        owner, *others = await owner_and_others(log)
        log.cut_off_clients = {owner.name.partition(".")[0]}
        while owner.job_partitions.running_jobs:
            await asyncio.sleep(0.02)
        for daemon in others:
            await daemon.kill()
        await asyncio.sleep(1.0)
        log.cut_off_clients = set()
        await wait_until_complete([owner], ["j"])
        await owner.kill()

    run_virtual(main())
