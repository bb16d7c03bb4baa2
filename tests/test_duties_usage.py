"""Usage reports of several daemons under kills and lost answers.

Guards against windows that are missing, reported twice with different counts, or miscounted.
"""

import asyncio
import random

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.decisions import DecisionLog
from passgate.duties.calls import CallRateLimiter, DutyOutcome
from passgate.duties.meter import FLUSH_INTERVAL_S, UsageMeter
from passgate.duties.usage_forwarder import RECORD_COUNTS_METHOD, UsageForwarder
from passgate.duties.usage_projection import UsageProjection
from passgate.duties.usage_reporter import UsageReporter
from passgate.duties.wall_clock import SynchronizedWallClock
from passgate.duties.windows import UsageWindows
from passgate.emulator.shared_log import MemorySharedLog, SharedLogFaults
from passgate.jobs.journal import Journal
from passgate.jobs.records import UsageCommitted, UsageCounted, writer_name
from passgate.peers.memory_transport import MemoryNetwork
from passgate.versions.control_topic import ControlTopic

WINDOWS = UsageWindows(length_s=5.0)
DUE_S = 10.0
LEASE_S = 3.0
JOURNAL_LIMITS = {"record_bytes": 262_144, "append_bytes": 2_000_000}


class PlatformStub:
    """Accepts reports; some answers are lost, and some calls are executed seconds later."""

    def __init__(self, seed=1, unanswered_share=0.0):
        self.random = random.Random(seed)
        self.unanswered_share = unanswered_share
        self.fence = -1
        self.accepted = {}
        self.accepted_s = {}
        self.conflicts = []
        self.fences = {}

    async def report_usage(self, report):
        if self.random.random() < self.unanswered_share:
            late_s = self.random.choice([0.0, 0.5, 4.0])
            asyncio.get_running_loop().call_later(late_s, self.handle_report, report)
            await asyncio.sleep(1.0)
            return DutyOutcome.UNKNOWN
        await asyncio.sleep(0.01)
        return self.handle_report(report)

    def handle_report(self, report):
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
    """The parts of a daemon that usage reports need."""

    def __init__(self, log, network, platform, name, incarnation=0):
        self.client = log.client(name)
        self.transport = network.transport(f"{name}:7720", name)
        writer = writer_name(name, str(incarnation), self.transport.address)
        decisions = DecisionLog(name, write=len)
        self.usage_projection = UsageProjection()
        journal = Journal(self.client, "control", 0, writer, **JOURNAL_LIMITS)
        self.control = ControlTopic(
            self.client,
            "control",
            journal,
            lambda: self.may_lead,
            decisions,
            lease_s=LEASE_S,
            projections=(self.usage_projection,),
        )
        self.usage_forwarder = UsageForwarder(
            self.transport,
            journal,
            self.control.leadership.known_leader,
            self.find_watcher,
            lambda: self.other_members,
        )
        self.meter = UsageMeter(writer, WINDOWS, monotonic_s, self.usage_forwarder.send)
        self.reporter = UsageReporter(
            self.usage_projection,
            journal,
            self.control.leadership,
            platform,
            CallRateLimiter(40.0),
            WINDOWS,
            monotonic_s,
            decisions,
            daemon_id=name,
            due_s=DUE_S,
        )
        self.name = name
        self.writer = writer
        self.other_members = []
        """Other daemons that this one knows."""
        self.knows_watcher = False
        """Whether the first of them is the watcher of the control partition; otherwise none is known."""
        self.may_lead = True
        self.tasks = []

    async def find_watcher(self, part):
        return self.other_members[0] if self.knows_watcher else None

    def start(self):
        self.transport.start(lambda sender, payload: None, self.answer)
        parts = (self.control.run(), self.meter.run(), self.reporter.run())
        self.tasks = [asyncio.get_running_loop().create_task(part) for part in parts]
        return self

    async def answer(self, sender, method, payload):
        assert method == RECORD_COUNTS_METHOD
        return await self.usage_forwarder.handle_request(payload)

    async def kill(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.transport.close()


async def generate_requests(daemons, expected, until_s, gap_s=0.05):
    """Start requests at all daemons in turn and record the expected counts by window."""
    number = 0
    while monotonic_s() < until_s:
        daemon = daemons[number % len(daemons)]
        tenant = f"t{number % 3}"
        daemon.meter.record_started(tenant, monotonic_s())
        counts = expected.setdefault(WINDOWS.window_at(monotonic_s()), {})
        counts[tenant] = counts.get(tenant, 0) + 1
        number += 1
        await asyncio.sleep(gap_s)


def complete_windows(expected):
    """Return all windows but the first and the last, which are incomplete."""
    return sorted(expected)[1:-1]


def test_each_window_is_reported_once_on_time_and_exactly():
    async def main():
        log, network, platform, expected = (
            MemorySharedLog(),
            MemoryNetwork(random.Random(1)),
            PlatformStub(),
            {},
        )
        daemons = [Daemon(log, network, platform, f"d{number}").start() for number in range(4)]
        await asyncio.sleep(5.0)
        await generate_requests(daemons, expected, 40.0)
        await asyncio.sleep(15.0)
        for window in complete_windows(expected):
            assert platform.accepted[window] == expected[window]
            assert platform.accepted_s[window] <= WINDOWS.end_s(window) + DUE_S
        assert platform.conflicts == []

    run_virtual(main())


def test_windows_without_requests_are_reported_as_empty():
    async def main():
        log, network, platform = MemorySharedLog(), MemoryNetwork(random.Random(1)), PlatformStub()
        Daemon(log, network, platform, "d0").start()
        await asyncio.sleep(40.0)
        assert sorted(platform.accepted) == list(range(min(platform.accepted), max(platform.accepted) + 1))
        assert len(platform.accepted) >= 4
        assert all(counts == {} for counts in platform.accepted.values())

    run_virtual(main())


@pytest.mark.parametrize("seed", range(6))
def test_a_killed_leader_loses_no_report_and_causes_no_conflicting_one(seed):
    async def main():
        log, network = MemorySharedLog(), MemoryNetwork(random.Random(seed))
        platform, expected = PlatformStub(seed, unanswered_share=0.3), {}
        daemons = [Daemon(log, network, platform, f"d{number}").start() for number in range(4)]
        await asyncio.sleep(3.0)
        requests = asyncio.get_running_loop().create_task(generate_requests(daemons, expected, 60.0))
        for incarnation in range(1, 5):
            await asyncio.sleep(9.0 + seed * 0.37)
            leaders = [daemon for daemon in daemons if daemon.control.leadership.leads]
            index = daemons.index(leaders[0] if leaders else daemons[0])
            await daemons[index].kill()
            daemons[index] = Daemon(log, network, platform, daemons[index].name, incarnation).start()
        await requests
        await asyncio.sleep(25.0)
        assert platform.conflicts == []
        for window in complete_windows(expected):
            assert window in platform.accepted
            missing = sum(expected[window].values()) - sum(platform.accepted[window].values())
            # A killed daemon loses what it counted since its last flush, and what was being sent.
            assert 0 <= missing <= 2 * FLUSH_INTERVAL_S / 0.05

    run_virtual(main())


@pytest.mark.parametrize("knows_watcher", [True, False])
@pytest.mark.parametrize("cut_at_s", [13.5, 14.5])
def test_counts_are_reported_although_the_leader_is_cut_off_from_the_log(cut_at_s, knows_watcher):
    """Guards against counts that wait in a daemon which believes that it still leads."""

    async def main():
        log, network, platform, expected = (
            MemorySharedLog(),
            MemoryNetwork(random.Random(1)),
            PlatformStub(),
            {},
        )
        daemons = [Daemon(log, network, platform, f"d{number}").start() for number in range(4)]
        for daemon in daemons:
            daemon.other_members = [other.writer for other in daemons if other is not daemon]
            daemon.knows_watcher = knows_watcher
        await asyncio.sleep(5.0)
        requests = asyncio.get_running_loop().create_task(generate_requests(daemons, expected, 40.0))
        await asyncio.sleep(cut_at_s - monotonic_s())
        (leader,) = [daemon for daemon in daemons if daemon.control.leadership.leads]
        log.cut_off_clients.add(leader.name)
        await asyncio.sleep(6.0)
        log.cut_off_clients.clear()
        await requests
        await asyncio.sleep(15.0)
        for window in complete_windows(expected):
            assert (window, platform.accepted[window]) == (window, expected[window])
        assert platform.conflicts == []

    run_virtual(main())


@pytest.mark.parametrize(
    "faults", [{"refusing": True}, {"slow_s": 0.8}, {"silent": True}], ids=lambda faults: next(iter(faults))
)
@pytest.mark.parametrize("starts_s", [12.5, 13.5, 14.5])
def test_counts_that_a_disturbance_of_the_log_delays_are_reported_in_time(starts_s, faults):
    """Guards against a commit that is due when the log returns, on counts as they were before."""

    async def main():
        log, network, platform, expected = (
            MemorySharedLog(),
            MemoryNetwork(random.Random(1)),
            PlatformStub(),
            {},
        )
        daemons = [Daemon(log, network, platform, f"d{number}").start() for number in range(4)]
        for daemon in daemons:
            daemon.other_members = [other.writer for other in daemons if other is not daemon]
            daemon.knows_watcher = True
        await asyncio.sleep(5.0)
        requests = asyncio.get_running_loop().create_task(generate_requests(daemons, expected, 40.0))
        await asyncio.sleep(starts_s - monotonic_s())
        log.faults = SharedLogFaults(**faults)
        await asyncio.sleep(6.0)
        log.faults = SharedLogFaults()
        await requests
        await asyncio.sleep(15.0)
        for window in complete_windows(expected):
            assert (window, platform.accepted[window]) == (window, expected[window])
            assert platform.accepted_s[window] <= WINDOWS.end_s(window) + DUE_S

    run_virtual(main())


def test_a_daemon_that_follows_the_topic_no_more_does_not_call_the_leader_of_that_time():
    """Guards against a belief about the leader that lasts as long as the process."""

    async def main():
        log, network, platform = MemorySharedLog(), MemoryNetwork(random.Random(1)), PlatformStub()
        daemons = [Daemon(log, network, platform, f"d{number}").start() for number in range(3)]
        await asyncio.sleep(4.0)
        (leader,) = [daemon for daemon in daemons if daemon.control.leadership.leads]
        observer = next(daemon for daemon in daemons if daemon is not leader)
        observer.may_lead = False
        await leader.kill()
        await asyncio.sleep(10.0)
        called = []
        call = observer.transport.call

        async def record_call(address, *arguments):
            called.append(address)
            return await call(address, *arguments)

        observer.transport.call = record_call
        await generate_requests([observer], {}, monotonic_s() + 5.0)
        assert leader.transport.address not in called

    run_virtual(main())


def test_a_repeated_count_is_added_once():
    projection = UsageProjection()
    entry = UsageCounted(meter="d1.a", number=4, window=9, counts={"orchard": 3})
    for writer in ("d1.a", "d2.a", "d1.a"):
        projection.apply(0, writer, entry, by_leader=False)
    assert projection.counts_of(9) == {"orchard": 3}


def test_a_late_count_changes_no_committed_window_and_is_recorded_as_late():
    projection = UsageProjection()
    projection.apply(0, "d1.a", UsageCommitted(window=9, counts={"orchard": 3}), by_leader=True)
    projection.apply(
        0, "d2.a", UsageCounted(meter="d2.a", number=0, window=9, counts={"mill": 2}), by_leader=False
    )
    assert (projection.unreported_counts_by_window, projection.counts_of(9), projection.late_requests) == (
        {9: {"orchard": 3}},
        {},
        2,
    )


def test_only_the_leader_commits_and_the_first_commit_holds():
    projection = UsageProjection()
    projection.apply(0, "d2.a", UsageCommitted(window=9, counts={}), by_leader=False)
    assert projection.last_committed_window is None
    projection.apply(0, "d1.a", UsageCommitted(window=9, counts={"orchard": 3}), by_leader=True)
    projection.apply(0, "d2.a", UsageCommitted(window=9, counts={"orchard": 4}), by_leader=True)
    assert projection.unreported_counts_by_window == {9: {"orchard": 3}}


def test_after_truncated_history_no_counted_window_is_considered_uncommitted():
    projection = UsageProjection()
    projection.set_first_offset(first_offset=40)
    projection.apply(
        0, "d2.a", UsageCounted(meter="d2.a", number=0, window=9, counts={"mill": 2}), by_leader=False
    )
    assert projection.first_uncommitted_window() is None


@pytest.mark.parametrize("step_s", [-2.0, 2.0])
def test_wrong_clocks_of_a_minority_do_not_shift_the_agreed_time(step_s):
    """Of 10 daemons, 3 start with a wrong clock; the median must not move."""
    monotonic_s = 100.0
    clocks = [
        SynchronizedWallClock(
            lambda wrong=number < 3: 1000.0 + monotonic_s + (step_s if wrong else 0.0), lambda: monotonic_s
        )
        for number in range(10)
    ]
    for clock in clocks:
        clock.adjust_to_median(
            [other.now_s() for other in clocks if other is not clock][-4:], at_monotonic_s=monotonic_s
        )
    assert {clock.now_s() for clock in clocks} == {1100.0}


def test_counts_are_kept_per_window_and_tenant():
    async def main():
        sent = []

        async def send(entries):
            sent.extend(entries)
            return True

        meter = UsageMeter("d1.a", WINDOWS, lambda: 0.0, send)
        meter.record_started("orchard", 4.9)
        meter.record_started("orchard", 5.1)
        meter.record_started(None, 5.1)
        meter.record_started("", 5.1)
        await meter.flush()
        assert [(entry.window, entry.counts) for entry in sent] == [(0, {"orchard": 1}), (1, {"orchard": 1})]

    run_virtual(main())


def test_unsent_counts_are_sent_again_under_the_same_numbers():
    async def main():
        sent_numbers = []

        async def send(entries):
            sent_numbers.append([entry.number for entry in entries])
            return len(sent_numbers) > 1

        meter = UsageMeter("d1.a", WINDOWS, lambda: 0.0, send)
        meter.record_started("orchard", 1.0)
        await meter.flush()
        meter.record_started("orchard", 1.0)
        await meter.flush()
        await meter.flush()
        assert sent_numbers == [[0], [0, 1]]

    run_virtual(main())
