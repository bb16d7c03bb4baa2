"""Several daemons over one log in virtual time, under faults of the log and of daemons.

Whatever happens, all daemons list the same results at the same positions, every
job is finished once the faults end, and no two daemons may give orders at once.
"""

import asyncio
import random

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.decisions import DecisionLog
from passgate.emulator.shared_log import MemorySharedLog, SharedLogFaults
from passgate.errors import DurabilityUnknown, LogUnavailable
from passgate.jobs.fold import JobFold
from passgate.jobs.journal import Journal
from passgate.jobs.ownership import TAKEOVER_S, Ownership
from passgate.jobs.records import (
    ItemsDone,
    ItemSpec,
    JobSpec,
    Result,
    ResultState,
    WriterStopped,
    decode_batch,
)
from passgate.jobs.service import JobService
from passgate.sharedlog.tail import RecordTail, TailSettings
from passgate.versions.leadership import Leadership

LEASE_S = 3.0
ITEM_S = 0.4


class Runner:
    """Stands for the items' runs: each takes some time, its text names who made it."""

    def __init__(self, daemon, job):
        self.daemon = daemon
        self.job = job

    async def run(self):
        for item in self.job.spec().items:
            if item.id not in self.job.listed:
                await asyncio.sleep(ITEM_S)
                text = f"{item.id} by {self.daemon.name}"
                result = Result(item_id=item.id, state=ResultState.SUCCEEDED, text=text, versions=(1,))
                self.daemon.journal.put(ItemsDone(job_id=self.job.job_id, results=(result,)))

    def save(self):
        pass


class Daemon:
    """A daemon without replicas and callers; the rest is the product's own code."""

    def __init__(self, log, name, life=0):
        self.name = f"{name}.{life}"
        self.client = log.client(name)
        self.fold = JobFold()
        self.journal = Journal(
            self.client, "jobs", 0, self.name, record_bytes=262_144, append_bytes=2_000_000
        )
        self.tail = RecordTail(self.client, TailSettings(topic="jobs"), self.apply)
        decisions = DecisionLog(name, write=len)
        self.ownership = Ownership(
            self.fold, self.journal, self.tail.freshness, lambda job: Runner(self, job), decisions
        )
        self.leadership = Leadership(self.fold, self.journal, self.ownership, decisions, lease_s=LEASE_S)
        self.service = JobService(self.fold, self.journal, self.tail, decisions)
        self.tasks = []

    def apply(self, page):
        for index, record in enumerate(page.records):
            batch = decode_batch(record)
            self.fold.apply(page.start + index, batch, monotonic_s())
            if batch.writer == self.name:
                self.leadership.read_back(batch)

    def start(self):
        loop = asyncio.get_running_loop()
        parts = (self.journal.run(), self.tail.run(), self.ownership.run(), self.leadership.run())
        self.tasks = [loop.create_task(part) for part in parts]
        return self

    async def kill(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def positions(self):
        return {
            job.job_id: [(result.item_id, result.text) for result in job.results]
            for job in self.fold.jobs.values()
        }


def job_spec(job_id, count=4):
    items = tuple(ItemSpec(id=f"{job_id}-{number}", path="/p/x") for number in range(count))
    return JobSpec(job_id=job_id, host="h", path="/p/", items=items)


class Orders:
    """Samples who may give orders."""

    def __init__(self, daemons):
        self.daemons = daemons
        self.turns = []

    async def watch(self):
        while True:
            allowed = [
                daemon.name for daemon in self.daemons if daemon.tasks and daemon.leadership.may_order()
            ]
            assert len(allowed) <= 1, f"{allowed} may order at once"
            if allowed and (not self.turns or self.turns[-1][1] != allowed[0]):
                self.turns.append((monotonic_s(), allowed[0]))
            await asyncio.sleep(0.05)


async def settle(daemons, jobs, timeout_s=60.0):
    until_s = monotonic_s() + timeout_s
    while monotonic_s() < until_s:
        whole = all(
            len(daemon.fold.jobs[job_id].results) == daemon.fold.jobs[job_id].total
            for daemon in daemons
            for job_id in jobs
            if job_id in daemon.fold.jobs
        ) and all(job_id in daemon.fold.jobs for daemon in daemons for job_id in jobs)
        if whole:
            return
        await asyncio.sleep(0.2)
    raise AssertionError("jobs are not finished everywhere")


def test_a_killed_owner_is_replaced_and_positions_agree():
    async def main():
        log = MemorySharedLog()
        daemons = [Daemon(log, f"d{number}").start() for number in range(3)]
        await asyncio.sleep(1.0)
        await daemons[0].service.submit(job_spec("j", 6), monotonic_s() + 2)
        await asyncio.sleep(1.0)
        await daemons[0].kill()
        killed_s = monotonic_s()
        await settle(daemons[1:], ["j"])
        assert monotonic_s() - killed_s < TAKEOVER_S + 1.0 + 6 * ITEM_S
        assert daemons[1].positions() == daemons[2].positions()
        for daemon in daemons[1:]:
            await daemon.kill()

    run_virtual(main())


def test_a_planned_stop_hands_jobs_over_at_once():
    async def main():
        log = MemorySharedLog()
        daemons = [Daemon(log, f"d{number}").start() for number in range(3)]
        await asyncio.sleep(1.0)
        await daemons[0].service.submit(job_spec("j"), monotonic_s() + 2)
        daemons[0].ownership.stopping = True
        daemons[0].service.stopping = True
        await daemons[0].journal.put(WriterStopped())
        await asyncio.sleep(0.5)
        assert daemons[1].fold.jobs["j"].owner in {"d1.0", "d2.0"}
        await daemons[0].service.submit(job_spec("late"), monotonic_s() + 2)
        await asyncio.sleep(0.5)
        assert daemons[1].fold.jobs["late"].owner in {"d1.0", "d2.0"}
        await settle(daemons, ["j", "late"])
        for daemon in daemons:
            await daemon.kill()

    run_virtual(main())


def test_a_stopping_daemon_owns_no_job_that_it_accepts():
    async def main():
        log = MemorySharedLog()
        stopping = Daemon(log, "d0").start()
        await asyncio.sleep(1.0)
        stopping.service.stopping = True
        stopping.ownership.stopping = True
        await stopping.service.submit(job_spec("j"), monotonic_s() + 2)
        await asyncio.sleep(0.3)
        assert stopping.fold.jobs["j"].owner == ""
        await stopping.kill()

    run_virtual(main())


def test_refused_appends_are_a_promise_and_lost_answers_are_not():
    async def main():
        log = MemorySharedLog()
        daemon = Daemon(log, "d0").start()
        await asyncio.sleep(1.0)
        log.faults = SharedLogFaults(refusing=True)
        with pytest.raises(LogUnavailable):
            await daemon.service.submit(job_spec("refused"), monotonic_s() + 1)
        log.faults = SharedLogFaults(lost_answers=1.0, late_s=(3.0, 4.0))
        with pytest.raises(DurabilityUnknown):
            await daemon.service.submit(job_spec("doubtful"), monotonic_s() + 1)
        log.faults = SharedLogFaults()
        await asyncio.sleep(6.0)
        assert "refused" not in daemon.fold.jobs
        assert "doubtful" in daemon.fold.jobs
        await daemon.kill()

    run_virtual(main())


def test_an_append_in_doubt_is_never_called_refused_later():
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
def test_random_faults_leave_one_order_giver_and_one_list(seed):
    async def main():
        chance = random.Random(seed)
        log = MemorySharedLog(seed)
        daemons = [Daemon(log, f"d{number}").start() for number in range(4)]
        lives = dict.fromkeys(range(4), 0)
        watch = asyncio.create_task(Orders(daemons).watch())
        await asyncio.sleep(1.0)
        jobs = []
        for step in range(14):
            await asyncio.sleep(chance.uniform(0.3, 1.5))
            victim = chance.randrange(4)
            match chance.choice(["kill", "cut", "silent", "refuse", "lost", "slow", "none"]):
                case "kill":
                    await daemons[victim].kill()
                    lives[victim] += 1
                    daemons[victim] = Daemon(log, f"d{victim}", lives[victim]).start()
                case "cut":
                    log.cut_off = {f"d{victim}"}
                case "silent":
                    log.faults = SharedLogFaults(silent=True)
                case "refuse":
                    log.faults = SharedLogFaults(refusing=True)
                case "lost":
                    log.faults = SharedLogFaults(lost_answers=0.4, late_s=(0.5, 4.0))
                case "slow":
                    log.faults = SharedLogFaults(slow_s=0.25)
                case "none":
                    log.faults, log.cut_off = SharedLogFaults(), set()
            job_id = f"j{step}"
            try:
                await daemons[chance.randrange(4)].service.submit(job_spec(job_id), monotonic_s() + 2)
                jobs.append(job_id)
            except (LogUnavailable, DurabilityUnknown):
                pass
        log.faults, log.cut_off = SharedLogFaults(), set()
        await settle(daemons, jobs)
        if watch.done():
            watch.result()
        lists = [{job_id: daemon.positions()[job_id] for job_id in jobs} for daemon in daemons]
        assert all(positions == lists[0] for positions in lists)
        for positions in lists[0].values():
            assert len({item for item, _ in positions}) == len(positions)
        watch.cancel()
        for daemon in daemons:
            await daemon.kill()

    run_virtual(main())
