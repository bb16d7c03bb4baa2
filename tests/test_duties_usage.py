"""Usage reports of several daemons over one log in virtual time, under kills and lost answers.

The platform stand-in records every report it accepts: one for each window, never two that
differ, each within the tolerance of what the daemons counted.
"""

import asyncio
import random

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.decisions import DecisionLog
from passgate.duties.calls import CallBudget, DutyOutcome
from passgate.duties.meter import FLUSH_S, UsageMeter
from passgate.duties.usage_channel import COUNT_METHOD, UsageChannel
from passgate.duties.usage_fold import UsageFold
from passgate.duties.usage_reporter import UsageReporter
from passgate.duties.wall_clock import AgreedWallClock
from passgate.duties.windows import UsageWindows
from passgate.emulator.shared_log import MemorySharedLog
from passgate.jobs.journal import Journal
from passgate.jobs.records import UsageCommitted, UsageCounted, writer_name
from passgate.peers.memory_transport import MemoryNetwork
from passgate.versions.control import ControlTopic

WINDOWS = UsageWindows(length_s=5.0)
DUE_S = 10.0
LEASE_S = 3.0
SIZES = {"record_bytes": 262_144, "append_bytes": 2_000_000}


class Platform:
    """Takes reports; some answers are lost, and some calls are carried out seconds later."""

    def __init__(self, seed=1, lost=0.0):
        self.random = random.Random(seed)
        self.lost = lost
        self.fence = -1
        self.accepted = {}
        self.accepted_s = {}
        self.conflicts = []
        self.fences = {}

    async def report_usage(self, report):
        if self.random.random() < self.lost:
            late_s = self.random.choice([0.0, 0.5, 4.0])
            asyncio.get_running_loop().call_later(late_s, self.take, report)
            await asyncio.sleep(1.0)
            return DutyOutcome.UNKNOWN
        await asyncio.sleep(0.01)
        return self.take(report)

    def take(self, report):
        holder = self.fences.setdefault(report.fence, report.holder)
        assert holder == report.holder, "two holders sent one fence"
        if report.fence < self.fence:
            return DutyOutcome.REFUSED
        self.fence = report.fence
        earlier = self.accepted.setdefault(report.window, dict(report.counts))
        self.accepted_s.setdefault(report.window, monotonic_s())
        if earlier != dict(report.counts):
            self.conflicts.append(report.window)
        return DutyOutcome.ACCEPTED


class Daemon:
    """The parts of a daemon that the duty needs."""

    def __init__(self, log, network, platform, name, life=0):
        self.client = log.client(name)
        self.transport = network.transport(f"{name}:7720", name)
        writer = writer_name(name, str(life), self.transport.address)
        decisions = DecisionLog(name, write=len)
        self.fold = UsageFold()
        journal = Journal(self.client, "control", 0, writer, **SIZES)
        self.control = ControlTopic(
            self.client, "control", journal, lambda: True, decisions, lease_s=LEASE_S, folds=(self.fold,)
        )
        self.channel = UsageChannel(self.transport, journal, lambda: self.control.fold.leader, self.watcher)
        self.meter = UsageMeter(writer, WINDOWS, monotonic_s, self.channel.send)
        self.reporter = UsageReporter(
            self.fold,
            journal,
            self.control.leadership,
            platform,
            CallBudget(40.0),
            WINDOWS,
            monotonic_s,
            decisions,
            holder=name,
            due_s=DUE_S,
        )
        self.name = name
        self.tasks = []

    async def watcher(self, part):
        return None

    def start(self):
        self.transport.start(lambda sender, payload: None, self.answer)
        parts = (self.control.run(), self.meter.run(), self.reporter.run())
        self.tasks = [asyncio.get_running_loop().create_task(part) for part in parts]
        return self

    async def answer(self, sender, method, payload):
        assert method == COUNT_METHOD
        return await self.channel.answer(payload)

    async def kill(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.transport.close()


async def serve(daemons, truth, until_s, gap_s=0.05):
    """Let requests begin at all daemons in turn; note the truth by window."""
    number = 0
    while monotonic_s() < until_s:
        daemon = daemons[number % len(daemons)]
        tenant = f"t{number % 3}"
        daemon.meter.began(tenant, monotonic_s())
        counts = truth.setdefault(WINDOWS.at(monotonic_s()), {})
        counts[tenant] = counts.get(tenant, 0) + 1
        number += 1
        await asyncio.sleep(gap_s)


def whole_windows(truth):
    """Return the windows between the first and the last, which are not whole."""
    return sorted(truth)[1:-1]


def test_each_window_is_reported_once_in_time_and_exactly():
    async def main():
        log, network, platform, truth = MemorySharedLog(), MemoryNetwork(random.Random(1)), Platform(), {}
        daemons = [Daemon(log, network, platform, f"d{number}").start() for number in range(4)]
        await asyncio.sleep(5.0)
        await serve(daemons, truth, 40.0)
        await asyncio.sleep(15.0)
        for window in whole_windows(truth):
            assert platform.accepted[window] == truth[window]
            assert platform.accepted_s[window] <= WINDOWS.end_s(window) + DUE_S
        assert platform.conflicts == []

    run_virtual(main())


def test_windows_without_requests_are_reported_as_empty():
    async def main():
        log, network, platform = MemorySharedLog(), MemoryNetwork(random.Random(1)), Platform()
        Daemon(log, network, platform, "d0").start()
        await asyncio.sleep(40.0)
        assert sorted(platform.accepted) == list(range(min(platform.accepted), max(platform.accepted) + 1))
        assert len(platform.accepted) >= 4
        assert all(counts == {} for counts in platform.accepted.values())

    run_virtual(main())


@pytest.mark.parametrize("seed", range(6))
def test_a_holder_that_is_killed_costs_no_report_and_no_second_version(seed):
    async def main():
        log, network = MemorySharedLog(), MemoryNetwork(random.Random(seed))
        platform, truth = Platform(seed, lost=0.3), {}
        daemons = [Daemon(log, network, platform, f"d{number}").start() for number in range(4)]
        await asyncio.sleep(3.0)
        work = asyncio.get_running_loop().create_task(serve(daemons, truth, 60.0))
        for life in range(1, 5):
            await asyncio.sleep(9.0 + seed * 0.37)
            leaders = [daemon for daemon in daemons if daemon.control.leadership.leads]
            place = daemons.index(leaders[0] if leaders else daemons[0])
            await daemons[place].kill()
            daemons[place] = Daemon(log, network, platform, daemons[place].name, life).start()
        await work
        await asyncio.sleep(25.0)
        assert platform.conflicts == []
        for window in whole_windows(truth):
            assert window in platform.accepted
            missing = sum(truth[window].values()) - sum(platform.accepted[window].values())
            # A killed daemon loses what it counted since its last flush, and what was under way.
            assert 0 <= missing <= 2 * FLUSH_S / 0.05

    run_virtual(main())


def test_a_count_that_is_handed_on_twice_counts_once():
    fold = UsageFold()
    entry = UsageCounted(meter="d1.a", number=4, window=9, counts={"orchard": 3})
    for writer in ("d1.a", "d2.a", "d1.a"):
        fold.apply(0, writer, entry, leads=False)
    assert fold.counts_of(9) == {"orchard": 3}


def test_a_late_count_changes_no_committed_window_and_is_noted():
    fold = UsageFold()
    fold.apply(0, "d1.a", UsageCommitted(window=9, counts={"orchard": 3}), leads=True)
    fold.apply(0, "d2.a", UsageCounted(meter="d2.a", number=0, window=9, counts={"mill": 2}), leads=False)
    assert (fold.unreported, fold.counts_of(9), fold.late) == ({9: {"orchard": 3}}, {}, 2)


def test_only_the_leader_commits_and_the_first_commit_counts():
    fold = UsageFold()
    fold.apply(0, "d2.a", UsageCommitted(window=9, counts={}), leads=False)
    assert fold.through is None
    fold.apply(0, "d1.a", UsageCommitted(window=9, counts={"orchard": 3}), leads=True)
    fold.apply(0, "d2.a", UsageCommitted(window=9, counts={"orchard": 4}), leads=True)
    assert fold.unreported == {9: {"orchard": 3}}


def test_without_the_oldest_records_no_counted_window_is_taken_as_uncommitted():
    fold = UsageFold()
    fold.begin(first_offset=40)
    fold.apply(0, "d2.a", UsageCounted(meter="d2.a", number=0, window=9, counts={"mill": 2}), leads=False)
    assert fold.first_open() is None


@pytest.mark.parametrize("step_s", [-2.0, 2.0])
def test_steps_of_a_third_of_the_clocks_move_no_count_to_another_window(step_s):
    """Of 10 daemons 3 start while their clocks are wrong; the others' clocks step later."""
    steady = 100.0
    clocks = [
        AgreedWallClock(lambda wrong=number < 3: 1000.0 + steady + (step_s if wrong else 0.0), lambda: steady)
        for number in range(10)
    ]
    for clock in clocks:
        clock.agree([other.now_s() for other in clocks if other is not clock][-4:], asked_s=steady)
    assert {clock.now_s() for clock in clocks} == {1100.0}


def test_refused_attempts_do_not_count_and_tenants_are_told_apart():
    async def main():
        sent = []

        async def send(entries):
            sent.extend(entries)
            return True

        meter = UsageMeter("d1.a", WINDOWS, lambda: 0.0, send)
        meter.began("orchard", 4.9)
        meter.began("orchard", 5.1)
        meter.began(None, 5.1)
        meter.began("", 5.1)
        await meter.flush()
        assert [(entry.window, entry.counts) for entry in sent] == [(0, {"orchard": 1}), (1, {"orchard": 1})]

    run_virtual(main())


def test_counts_that_nobody_takes_are_handed_on_again_under_the_same_numbers():
    async def main():
        tries = []

        async def send(entries):
            tries.append([entry.number for entry in entries])
            return len(tries) > 1

        meter = UsageMeter("d1.a", WINDOWS, lambda: 0.0, send)
        meter.began("orchard", 1.0)
        await meter.flush()
        meter.began("orchard", 1.0)
        await meter.flush()
        await meter.flush()
        assert tries == [[0], [0, 1]]

    run_virtual(main())
