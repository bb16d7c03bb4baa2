"""What daemons do for the jobs that they own while their view of the log is old, in virtual time."""

import asyncio

from passgate.clock import monotonic_s, run_virtual
from passgate.emulator.shared_log import MemorySharedLog
from passgate.jobs.records import JobClaimed, job_pieces
from tests.job_daemons import HOST, ITEM_S, job_spec, start_daemons, wait_until_complete
from tests.test_jobs_takeover import owner_and_others

OBSERVED_S = 5.0
"""Time after a cut in which a run that starts or goes on would be seen."""
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
        assert [sent_s for sent_s, _ in owner.sends if sent_s > taken_over_s + APPLIED_S] == []
        assert [sent_s for sent_s, _ in other.sends if sent_s > taken_over_s + APPLIED_S]
        await close_all([owner, other, third])

    run_virtual(main())
