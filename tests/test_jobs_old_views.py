"""What daemons do for the jobs that they own while their view of the log is old, in virtual time."""

import asyncio

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.decisions import JobRunStarted
from passgate.emulator.shared_log import MemorySharedLog
from passgate.jobs.ownership import TAKEOVER_AFTER_S, TAKEOVER_JITTER_S
from passgate.jobs.records import JobClaimed, daemon_of, job_pieces
from passgate.jobs.send_permission import MAX_VIEW_AGE_S
from passgate.sharedlog.group import DIRECTORY_REFRESH_S
from tests.job_daemons import (
    HOST,
    ITEM_S,
    RUN_START_LIMIT_S,
    Daemon,
    job_spec,
    start_daemons,
    wait_until_complete,
)
from tests.test_jobs_takeover import owner_and_others

OBSERVED_S = 5.0
"""Time after a cut in which a run that starts or goes on would be seen."""
LONG_JOB_ITEMS = 60
"""Items of a job that takes longer than any of the tests."""
APPLIED_S = 0.2
"""Time for a record to be read and applied by each daemon that follows its partition."""


async def append_job_of(owner, appender, spec):
    """Append a job that ``owner`` owns, through another daemon."""
    journal = appender.job_partitions.of_host(HOST).journal
    await journal.append_job(
        list(job_pieces(spec, "nonce", journal.max_piece_bytes, owner.name)), monotonic_s() + 1.0
    )


async def close_all(daemons):
    for daemon in daemons:
        await daemon.kill()


async def start_job(log, count, zones=3):
    """Start three daemons in some zones; return them, the owner of an open job first."""
    region_by_zone = {f"z{number}": "r" for number in range(3)}
    daemons = [
        Daemon(log, f"d{number}", zone=f"z{number % zones}", region_by_zone=region_by_zone).start()
        for number in range(3)
    ]
    await asyncio.sleep(DIRECTORY_REFRESH_S + 1.0)
    await daemons[0].service.submit(job_spec("j", count), monotonic_s() + 2.0)
    await asyncio.sleep(1.0)
    return sorted(daemons, key=lambda daemon: not daemon.job_partitions.running_jobs)


def client_name(daemon):
    """Return the name of a daemon's log client."""
    return daemon_of(daemon.name)


def started_runs(daemon):
    return [event for event in daemon.events if isinstance(event, JobRunStarted)]


def sends_after(daemon, since_s):
    return [sent_s for sent_s, _ in daemon.sends if sent_s > since_s]


def test_a_job_that_ended_during_a_cut_is_not_run_when_the_cut_heals():
    """Guards against runs that start on the first page after a cut, which ends before the job's end."""

    async def main():
        log = MemorySharedLog()
        daemons = await start_daemons(log, 3, zones=3)
        cut_off, *others = daemons
        log.cut_off_clients.add("d0")
        await asyncio.sleep(0.1)
        await append_job_of(cut_off, others[0], job_spec("j", count=2))
        await wait_until_complete(others, ["j"])
        await others[0].service.cancel(HOST, "j", monotonic_s() + 1.0)
        assert cut_off.job_partitions.of_host(HOST).is_current
        log.faults.records_per_page = 1
        log.cut_off_clients.clear()
        await asyncio.sleep(OBSERVED_S)
        assert cut_off.sends == []
        assert not started_runs(cut_off)
        await close_all(daemons)

    run_virtual(main())


def test_a_job_is_not_run_on_a_page_that_ends_before_a_claim_to_it():
    """Guards against runs that start on a fresh view although further records are known to be unread."""

    async def main():
        log = MemorySharedLog()
        daemons = await start_daemons(log, 3, zones=3)
        named, appender, _ = daemons
        await asyncio.sleep(1.0)  # until a long poll of the idle partition has begun just before
        assert named.job_partitions.of_host(HOST).send_permission.view_age_s() < MAX_VIEW_AGE_S / 2
        log.faults.records_per_page = 1
        spec = job_spec("j")
        journal = appender.job_partitions.of_host(HOST).journal
        claim = JobClaimed(job_id="j", owner=appender.name, epoch=2)
        pieces = list(job_pieces(spec, "nonce", journal.max_piece_bytes, named.name))
        await journal.append_job([*pieces, claim], monotonic_s() + 1.0)
        log.faults.slow_s = 0.2  # several updates of the ownership fall between two pages
        await asyncio.sleep(OBSERVED_S)
        assert not started_runs(named)
        assert started_runs(appender)
        await close_all(daemons)

    run_virtual(main())


def test_a_run_stops_when_its_job_is_taken_over_in_a_partition_that_is_needed_for_nothing_else():
    """Guards against runs that go on for ever, because the partition is not followed after the takeover."""

    async def main():
        owner, other, third = await owner_and_others(MemorySharedLog())
        await asyncio.sleep(5.0)
        claim = JobClaimed(job_id="j", owner=other.name, epoch=2)
        await other.job_partitions.of_host(HOST).journal.put(claim)
        taken_over_s = monotonic_s()
        await asyncio.sleep(5 * ITEM_S)
        assert sends_after(owner, taken_over_s + APPLIED_S) == []
        assert sends_after(other, taken_over_s + APPLIED_S)
        await close_all([owner, other, third])

    run_virtual(main())


def test_an_isolated_owner_stops_to_send_when_its_view_is_old():
    """Guards against an owner that is cut off from the log and from all daemons, and sends on for ever."""

    async def main():
        log = MemorySharedLog()
        owner, *others = daemons = await start_job(log, LONG_JOB_ITEMS, zones=1)
        log.cut_off_clients.add(client_name(owner))
        owner.network.cut(lambda address, zone: address == owner.transport.address)
        cut_at_s = monotonic_s()
        await asyncio.sleep(8.0)
        assert sends_after(owner, cut_at_s)
        assert sends_after(owner, cut_at_s + MAX_VIEW_AGE_S + APPLIED_S) == []
        assert any(sends_after(daemon, cut_at_s + MAX_VIEW_AGE_S) for daemon in others)
        await close_all(daemons)

    run_virtual(main())


def test_an_owner_whose_reads_are_not_answered_loses_its_job():
    """Guards against leases that are renewed by a daemon whose appends succeed although its reads fail."""

    async def main():
        log = MemorySharedLog()
        owner, *others = daemons = await start_job(log, LONG_JOB_ITEMS)
        log.clients_without_reads.add(client_name(owner))
        cut_at_s = monotonic_s()
        await asyncio.sleep(8.0)
        limit_s = MAX_VIEW_AGE_S + TAKEOVER_AFTER_S + TAKEOVER_JITTER_S + ITEM_S + APPLIED_S
        assert sends_after(owner, cut_at_s + limit_s) == []
        assert any(sends_after(daemon, cut_at_s + limit_s) for daemon in others)
        await close_all(daemons)

    run_virtual(main())


@pytest.mark.parametrize("is_partition_only", [False, True])
def test_owners_go_on_during_an_outage_of_the_log(is_partition_only):
    """Guards against pauses when the log, or one partition, answers nobody, so that nobody can take over."""

    async def main():
        log = MemorySharedLog()
        owner, *_ = daemons = await start_job(log, LONG_JOB_ITEMS)
        if is_partition_only:
            log.silent_partitions.add(("jobs", owner.job_partitions.of_host(HOST).number))
        else:
            log.faults.silent = True
        outage_at_s = monotonic_s()
        await asyncio.sleep(8.0)
        in_time = sends_after(owner, outage_at_s)
        assert len(in_time) >= 8.0 / ITEM_S - 3
        await close_all(daemons)

    run_virtual(main())


@pytest.mark.parametrize("idle_s", [6.0, 7.0, 8.0, 8.8])
def test_a_new_job_in_an_idle_partition_is_run_at_once(idle_s):
    """Guards against delays of new jobs in idle partitions, whose view is as old as a long poll."""

    async def main():
        log = MemorySharedLog()
        daemons = await start_daemons(log, 3, zones=3)
        await asyncio.sleep(idle_s)
        await daemons[0].service.submit(job_spec("j"), monotonic_s() + 2.0)
        accepted_s = monotonic_s()
        await asyncio.sleep(RUN_START_LIMIT_S)
        assert sum(len(sends_after(daemon, accepted_s - ITEM_S)) for daemon in daemons) == 1
        await close_all(daemons)

    run_virtual(main())


def test_an_owner_forgets_a_job_whose_end_the_log_removed_before_it_was_read():
    """Guards against views that count as fresh although records between two reads are gone."""

    async def main():
        log = MemorySharedLog()
        owner, other, _ = daemons = await start_job(log, LONG_JOB_ITEMS)
        partition = log.partition("jobs", owner.job_partitions.of_host(HOST).number)
        log.cut_off_clients.add(client_name(owner))
        await asyncio.sleep(1.0)
        await other.service.cancel(HOST, "j", monotonic_s() + 1.0)
        partition.drop_before(partition.end)
        log.cut_off_clients.clear()
        await asyncio.sleep(2.0)
        healed_s = monotonic_s()
        await asyncio.sleep(OBSERVED_S)
        assert sends_after(owner, healed_s) == []
        await close_all(daemons)

    run_virtual(main())
