"""Several daemons over one log in virtual time, under faults of the log and of daemons.

Under all faults, every daemon has the same results at the same positions, jobs are completed once
the faults end, and at most one daemon leads.
"""

import asyncio
import contextlib
import random

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.decisions import JobEndUnconfirmed
from passgate.emulator.shared_log import MemorySharedLog, SharedLogFaults
from passgate.errors import DurabilityUnknown, LogUnavailable, NotFound, NotReady
from passgate.jobs.partition import FOLLOW_AFTER_USE_S
from passgate.jobs.partitions import partition_of
from passgate.jobs.reader import find_job
from passgate.jobs.records import (
    Batch,
    ItemsDone,
    Result,
    ResultState,
    encode_batch,
)
from passgate.sharedlog.group import DIRECTORY_REFRESH_S
from tests.job_daemons import (
    FAULTS,
    HOST,
    RUN_START_LIMIT_S,
    Daemon,
    LeaderSampler,
    job_spec,
    network_by_log,
    start_daemons,
    wait_until_complete,
)


@pytest.mark.parametrize("host", ["h", "h1", "h2", "h3"])
def test_a_daemon_cut_off_from_the_log_accepts_jobs_through_another(host):
    """Also when the cut-off daemon is the partition's watcher."""

    async def main():
        log = MemorySharedLog()
        daemons = await start_daemons(log, 3)
        await asyncio.sleep(DIRECTORY_REFRESH_S)
        for number, daemon in enumerate(daemons):
            log.cut_off_clients = {f"d{number}"}
            began_s = monotonic_s()
            await daemon.service.submit(job_spec(f"j{number}", host=host), began_s + 3.0)
            assert monotonic_s() - began_s < 1.0
            log.cut_off_clients = set()
            await asyncio.sleep(1.0)
        await wait_until_complete(daemons, ["j0", "j1", "j2"], host=host)
        for daemon in daemons:
            await daemon.kill()

    run_virtual(main())


@pytest.mark.parametrize("host", ["h", "h1", "h2", "h3"])
def test_new_results_are_read_at_a_daemon_cut_off_from_the_log(host):
    """Also when the cut-off daemon is the watcher and knows only the results up to the cut."""

    async def main():
        log = MemorySharedLog()
        daemons = await start_daemons(log, 4)
        await asyncio.sleep(DIRECTORY_REFRESH_S)
        await daemons[0].service.submit(job_spec("j", 10, host=host), monotonic_s() + 3.0)
        await asyncio.sleep(1.0)
        owner = await daemons[0].read_owner("j", host)
        victim = next(
            daemon for daemon in daemons if daemon.member.assigned_partitions() and daemon.name != owner
        )
        log.cut_off_clients = {victim.name.split(".")[0]}
        await asyncio.sleep(2.0)
        seen = len((await victim.service.read_results(host, "j", 0, 1.0)).results)
        page = await victim.service.read_results(host, "j", seen, 1.0)
        assert page.results
        for daemon in daemons:
            await daemon.kill()

    run_virtual(main())


def test_one_daemon_that_reaches_the_log_serves_its_whole_zone():
    """Through each of the others, and whichever of them watched the partition before the cut."""

    async def main():
        log = MemorySharedLog()
        daemons = await start_daemons(log, 4)
        await asyncio.sleep(DIRECTORY_REFRESH_S)
        await daemons[0].service.submit(job_spec("j", 12), monotonic_s() + 3.0)
        await asyncio.sleep(0.5)
        log.cut_off_clients = {"d0", "d1", "d2"}
        await asyncio.sleep(4.0)
        await daemons[1].service.submit(job_spec("k", 2), monotonic_s() + 2.0)
        for daemon in daemons:
            seen = len((await daemon.service.read_results(HOST, "j", 0, 1.0)).results)
            page = await daemon.service.read_results(HOST, "j", seen, 1.0)
            assert page.results or seen == page.total
            assert (await daemon.service.read_results(HOST, "k", 0, 1.0)).total == 2
        await daemons[2].service.cancel(HOST, "k", monotonic_s() + 2.0)
        assert (await find_job(daemons[3].job_partitions.of_host(HOST), "k")).cancelled
        for daemon in daemons:
            await daemon.kill()

    run_virtual(main())


def test_a_submission_that_no_daemon_can_append_fails_by_its_deadline():
    async def main():
        log = MemorySharedLog()
        daemons = await start_daemons(log, 3)
        await asyncio.sleep(DIRECTORY_REFRESH_S)
        log.faults.silent = True
        for daemon in daemons:
            deadline_s = monotonic_s() + 2.0
            with pytest.raises(DurabilityUnknown):
                await daemon.service.submit(job_spec("j"), deadline_s)
            assert monotonic_s() <= deadline_s + 0.01
        log.faults.silent, log.faults.refusing = False, True
        with pytest.raises((LogUnavailable, DurabilityUnknown)):
            await daemons[0].service.submit(job_spec("k"), monotonic_s() + 1.0)
        for daemon in daemons:
            await daemon.kill()

    run_virtual(main())


@pytest.mark.parametrize("zones", [1, 3])
def test_only_daemons_that_need_a_partition_follow_it(zones):
    """Twelve daemons, four partitions: a job is read everywhere and followed by one in each zone."""

    async def main():
        daemons = await start_daemons(MemorySharedLog(), 12, zones)
        await daemons[0].service.submit(job_spec("j", 8), monotonic_s() + 2)
        await wait_until_complete(daemons, ["j"])
        await asyncio.sleep(
            FOLLOW_AFTER_USE_S + 0.5
        )  # those that held the partition while the group formed read on
        partition = partition_of(HOST, 4)
        followers = [
            daemon for daemon in daemons if daemon.job_partitions._get_or_create(partition).is_current
        ]
        assert zones <= len(followers) <= zones + 1
        for daemon in daemons:
            await daemon.kill()

    run_virtual(main())


def test_a_job_is_read_from_the_log_when_its_watcher_does_not_answer():
    async def main():
        log = MemorySharedLog()
        daemons = await start_daemons(log, 4)
        await daemons[0].service.submit(job_spec("j", 2), monotonic_s() + 2)
        await wait_until_complete(daemons, ["j"])
        network_by_log[log].cut(lambda address, zone: address)
        for daemon in daemons:
            assert (await daemon.read_all("j"))[0]
        with pytest.raises(NotFound):
            await daemons[1].service.read_results(HOST, "unknown", 0, 0.0)
        await daemons[2].service.cancel(HOST, "j", monotonic_s() + 2)
        for daemon in daemons:
            assert (await find_job(daemon.job_partitions.of_host(HOST), "j")).cancelled
            await daemon.kill()

    run_virtual(main())


def test_a_cancellation_is_appended_if_it_is_unknown_whether_the_job_exists():
    """Guards against items that run on because the caller stops retrying."""

    async def main():
        log = MemorySharedLog()
        daemons = await start_daemons(log, 3)
        await daemons[0].service.submit(job_spec("j", 50), monotonic_s() + 2)
        await asyncio.sleep(0.5)
        other = next(daemon for daemon in daemons if not daemon.job_partitions.of_host(HOST).is_current)
        network_by_log[log].cut(lambda address, zone: address)
        log.faults = SharedLogFaults(refusing=True)
        with pytest.raises(DurabilityUnknown):
            await other.service.cancel(HOST, "j", monotonic_s() + 1)
        assert JobEndUnconfirmed(job_id="j", reason="durability_unknown") in other.events
        log.faults = SharedLogFaults()
        await asyncio.sleep(1.0)
        assert (await find_job(other.job_partitions.of_host(HOST), "j")).cancelled
        for daemon in daemons:
            await daemon.kill()

    run_virtual(main())


def test_a_job_whose_append_was_refused_never_runs_and_one_with_a_lost_answer_may():
    async def main():
        log = MemorySharedLog()
        daemon = Daemon(log, "d0").start()
        await asyncio.sleep(1.0)
        log.faults = SharedLogFaults(refusing=True)
        with pytest.raises(LogUnavailable):
            await daemon.service.submit(job_spec("refused"), monotonic_s() + 1)
        log.faults = SharedLogFaults(lost_answers=1.0, late_s=(3.0, 4.0))
        with pytest.raises(DurabilityUnknown):
            await daemon.service.submit(job_spec("unconfirmed"), monotonic_s() + 1)
        log.faults = SharedLogFaults()
        await asyncio.sleep(6.0)
        assert await daemon.read_all("unconfirmed")
        with pytest.raises(NotFound):
            await daemon.read_all("refused")
        await daemon.kill()

    run_virtual(main())


def test_an_unconfirmed_append_is_not_reported_as_refused_later():
    async def main():
        log = MemorySharedLog()
        daemon = Daemon(log, "d0").start()
        await asyncio.sleep(1.0)
        log.faults = SharedLogFaults(lost_answers=1.0, late_s=(3.0, 4.0))
        submit = asyncio.create_task(daemon.service.submit(job_spec("j"), monotonic_s() + 3))
        await asyncio.sleep(1.3)
        log.faults = SharedLogFaults(refusing=True)
        with pytest.raises(DurabilityUnknown):
            await submit
        await daemon.kill()

    run_virtual(main())


@pytest.mark.parametrize("seed", range(24))
def test_random_faults_leave_at_most_one_leader_and_equal_results_everywhere(seed):
    async def main():
        rng = random.Random(seed)
        log = MemorySharedLog(seed)
        zones = rng.choice([1, 2, 4])
        daemons = [Daemon(log, f"d{number}", zone=f"z{number % zones}").start() for number in range(4)]
        incarnation_by_daemon = dict.fromkeys(range(4), 0)
        sampler_task = asyncio.create_task(LeaderSampler(daemons).sample())
        await asyncio.sleep(1.0)
        jobs = []
        for step in range(14):
            await asyncio.sleep(rng.uniform(0.3, 1.5))
            victim = rng.randrange(4)
            match rng.choice(FAULTS):
                case "kill":
                    await daemons[victim].kill()
                    incarnation_by_daemon[victim] += 1
                    zone = f"z{victim % zones}"
                    daemons[victim] = Daemon(log, f"d{victim}", incarnation_by_daemon[victim], zone).start()
                case "cut_off":
                    log.cut_off_clients = {f"d{victim}"}
                case "reassign":
                    log.groups.reassign_all()
                case "expire_members":
                    log.groups.expire_all_members()
                case "split_zone":
                    network_by_log[log].cut(
                        lambda address, zone, split_daemon=f"d{victim}": zone == split_daemon
                    )
                case "silent":
                    log.faults = SharedLogFaults(silent=True)
                case "refuse":
                    log.faults = SharedLogFaults(refusing=True)
                case "lose_answers":
                    log.faults = SharedLogFaults(lost_answers=0.4, late_s=(0.5, 4.0))
                case "slow":
                    log.faults = SharedLogFaults(slow_s=0.25)
                case "none":
                    log.faults, log.cut_off_clients = SharedLogFaults(), set()
                    network_by_log[log].heal()
            job_id = f"j{step}"
            try:
                await daemons[rng.randrange(4)].service.submit(job_spec(job_id), monotonic_s() + 2)
                jobs.append(job_id)
            except (LogUnavailable, DurabilityUnknown):
                pass
        log.faults, log.cut_off_clients = SharedLogFaults(), set()
        network_by_log[log].heal()
        lists = await wait_until_complete(daemons, jobs)
        if sampler_task.done():
            sampler_task.result()
        assert all(positions == lists[0] for positions in lists)
        for positions in lists[0]:
            assert len({item for item, _ in positions}) == len(positions)
        sampler_task.cancel()
        for daemon in daemons:
            await daemon.kill()

    run_virtual(main())


def test_a_new_job_starts_as_soon_as_its_record_was_read():
    async def main():
        log = MemorySharedLog()
        (daemon,) = await start_daemons(log, 1)
        await daemon.service.submit(job_spec("warm"), monotonic_s() + 5.0)
        await wait_until_complete([daemon], ["warm"])
        spent = []
        for number in range(8):
            await daemon.service.submit(job_spec(f"j{number}", count=1), monotonic_s() + 5.0)
            accepted_s = monotonic_s()
            while not daemon.job_partitions.running_jobs:
                await asyncio.sleep(0.005)
            spent.append(monotonic_s() - accepted_s)
            await wait_until_complete([daemon], [f"j{number}"])
        assert max(spent) <= RUN_START_LIMIT_S

    run_virtual(main())


SLOW_LOG = SharedLogFaults(slow_s=0.5)


def fill_partition(log):
    """Append so much to the jobs' partition that it takes seconds to read from a slow log."""
    texts = [log.random.randbytes(1_000_000).hex() for _ in range(4)]
    results = (Result(item_id="i", state=ResultState.SUCCEEDED, text=text, versions=(1,)) for text in texts)
    for result in results:
        batch = Batch(writer="d9.0", entries=(ItemsDone(job_id="unknown", results=(result,)),))
        log.append_now("jobs", partition_of(HOST, log.partition_count), [encode_batch(batch)])


def test_a_job_is_read_through_the_earlier_watcher_while_the_next_one_reads_the_log():
    async def main():
        log = MemorySharedLog()
        daemons = await start_daemons(log, 6)
        await daemons[0].service.submit(job_spec("j", 4), monotonic_s() + 2)
        await wait_until_complete(daemons, ["j"])
        fill_partition(log)
        await asyncio.sleep(FOLLOW_AFTER_USE_S + DIRECTORY_REFRESH_S)
        partition = partition_of(HOST, log.partition_count)
        first = next(daemon for daemon in daemons if daemon.job_partitions.is_watcher_of(partition))
        log.faults = SLOW_LOG
        log.groups.reassign_all()
        while not any(
            daemon.job_partitions.is_watcher_of(partition) for daemon in daemons if daemon is not first
        ):
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        for daemon in daemons:
            page = await daemon.service.read_results(HOST, "j", 0, 0.0)
            assert len(page.results) == 4
        watching = {daemon.name for daemon in daemons if daemon.job_partitions.is_watcher_of(partition)}
        following = {
            daemon.name for daemon in daemons if daemon.job_partitions.of_host(HOST).followed_tail.following
        }
        assert following <= watching | {first.name}
        for daemon in daemons:
            await daemon.kill()

    run_virtual(main())


async def read_periodically(daemons):
    await asyncio.sleep(1.2)  # until the log was read once
    while True:
        for daemon in daemons:
            with contextlib.suppress(NotReady):
                await daemon.service.read_results(HOST, "j", 0, 0.0)


def test_daemons_wait_for_a_watcher_that_reads_the_log_instead_of_reading_it_themselves():
    """Guards against an overload of the log after a restart of all daemons."""

    async def main():
        log = MemorySharedLog()
        daemons = await start_daemons(log, 6)
        await daemons[0].service.submit(job_spec("j", 4), monotonic_s() + 2)
        await wait_until_complete(daemons, ["j"])
        for daemon in daemons:
            await daemon.kill()
        log.groups.expire_all_members()
        fill_partition(log)
        log.faults = SLOW_LOG
        daemons = [Daemon(log, f"d{number}", incarnation=1).start() for number in range(6)]
        partition = partition_of(HOST, log.partition_count)
        watched = set()
        asking = asyncio.get_running_loop().create_task(read_periodically(daemons))
        for _ in range(100):
            watched.add(log.groups.holders("watch.a").get(("jobs", partition), "").partition("~")[0])
            await asyncio.sleep(0.02)
        asking.cancel()
        following = {
            f"d{number}"
            for number, daemon in enumerate(daemons)
            if daemon.job_partitions.of_host(HOST).followed_tail.following
        }
        assert following <= watched
        assert len(watched) < len(daemons)
        await wait_until_complete(daemons, ["j"])
        for daemon in daemons:
            await daemon.kill()

    run_virtual(main())


ELECTION_LIMIT_S = 1.5
"""Limit from the start of all daemons until one leads: join, read, silence, one probe, claim."""


def test_restarted_daemons_do_not_wait_for_the_lease_of_a_leader_that_has_ended():
    async def main():
        log = MemorySharedLog(partition_count=4)
        daemons = [Daemon(log, f"d{number}").start() for number in range(3)]
        await asyncio.sleep(8.0)
        assert any(daemon.leadership.may_order() for daemon in daemons)
        for daemon in daemons:
            await daemon.kill()
        daemons = [Daemon(log, f"d{number}", incarnation=1).start() for number in range(3)]
        await asyncio.sleep(ELECTION_LIMIT_S)
        assert sum(daemon.leadership.may_order() for daemon in daemons) == 1

    run_virtual(main())
