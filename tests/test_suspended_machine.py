"""A machine that was suspended for seconds: its steady clock did not go on, the world did.

All times of a daemon (leases, ages of what it has read, deadlines of callers, windows of usage)
come from its loop, so they are right after a suspension if the loop's clock counts it.
"""

import asyncio
import time

import pytest

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog
from passgate.duties.wall_clock import AgreedWallClock
from passgate.platform import program
from passgate.sharedlog.log import LogPage
from passgate.sharedlog.tail import SLOWEST_ANSWER_S, RecordTail, TailSettings
from passgate.versions.leadership import Leadership

SUSPENDED_S = 8.0
LEASE_S = 3.0


class SuspendableLoop(asyncio.SelectorEventLoop):
    """A loop whose clock counts suspensions; a test adds one."""

    def __init__(self):
        super().__init__()
        self.suspended_s = 0.0

    def time(self):
        return super().time() + self.suspended_s


def suspendably(test):
    """Run a coroutine test on such a loop."""

    def run():
        with asyncio.Runner(loop_factory=SuspendableLoop) as runner:
            runner.run(test(runner.get_loop()))

    run.__name__ = test.__name__
    return run


@pytest.fixture
def boot_clock(monkeypatch):
    """The clock that counts suspensions; its entry ``suspended_s`` is added to it."""
    state = {"suspended_s": 0.0}
    real = time.clock_gettime

    def read(clock):
        return real(clock) + (state["suspended_s"] if clock == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(time, "clock_gettime", read)
    return state


def test_the_loop_of_a_daemon_counts_the_time_for_which_its_machine_was_suspended(boot_clock):
    async def main():
        began_s = monotonic_s()
        reminder = asyncio.get_running_loop().create_task(asyncio.sleep(SUSPENDED_S))
        await asyncio.sleep(0)
        boot_clock["suspended_s"] = SUSPENDED_S
        await asyncio.sleep(0.01)  # a daemon's loop wakes at least each 0.1 s
        assert monotonic_s() - began_s >= SUSPENDED_S
        assert reminder.done()

    with program.runner() as runner:
        runner.run(main())


@suspendably
async def test_what_was_read_before_a_suspension_is_as_old_as_it(loop):
    """The log answered that there is nothing new, and the machine was suspended before that was read."""

    class Log:
        calls = 0

        async def read(self, topic, part, start, *, wait_s, max_bytes):
            self.calls += 1
            if self.calls > 2:
                await asyncio.sleep(3600)
            await asyncio.sleep(0.01)
            if self.calls == 2:
                loop.suspended_s += SUSPENDED_S
            return LogPage(start=start, end=start, records=())

    log = Log()
    tail = RecordTail(log, TailSettings(topic="t"), apply=lambda page: None)
    following = loop.create_task(tail.run())
    while log.calls < 3:
        await asyncio.sleep(0.005)
    longest_s = TailSettings(topic="t").wait_s + SLOWEST_ANSWER_S
    assert tail.freshness.age_s(monotonic_s()) >= SUSPENDED_S - longest_s
    following.cancel()


@suspendably
async def test_a_leader_that_was_suspended_gives_no_order(loop):
    class Fold:
        leader, leader_fence = "me", 7

    class Journal:
        writer = "me"

        def read_back(self, batch):
            return monotonic_s()

    leadership = Leadership(Fold(), Journal(), None, DecisionLog("d", write=len), lease_s=LEASE_S)
    leadership.read_back(None)
    assert leadership.may_order()
    loop.suspended_s += SUSPENDED_S
    assert not leadership.may_order()


@suspendably
async def test_the_time_of_day_that_daemons_agreed_on_goes_on_during_a_suspension(loop):
    clock = AgreedWallClock(lambda: 1000.0, monotonic_s)
    loop.suspended_s += SUSPENDED_S
    assert clock.now_s() >= 1000.0 + SUSPENDED_S
