"""Leases, ages and deadlines must include the time for which the machine was suspended."""

import asyncio
import time

import msgspec
import pytest

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog
from passgate.duties.clock_sync import FIRST_SYNC_DELAY_S, ClockResponse, ClockSync
from passgate.duties.wall_clock import SynchronizedWallClock
from passgate.platform import program
from passgate.sharedlog.log import LogPage
from passgate.sharedlog.tail import MAX_RESPONSE_DELAY_S, RecordTail, TailSettings
from passgate.versions.leadership import Leadership

SUSPENDED_S = 8.0
LEASE_S = 3.0


class SuspendableLoop(asyncio.SelectorEventLoop):
    """A loop whose clock includes ``suspended_s``, which a test sets to simulate a suspension."""

    def __init__(self):
        super().__init__()
        self.suspended_s = 0.0

    def time(self):
        return super().time() + self.suspended_s


def run_on_suspendable_loop(test):
    """Decorate a coroutine test: run it on a :class:`SuspendableLoop`, which is its argument."""

    def run():
        with asyncio.Runner(loop_factory=SuspendableLoop) as runner:
            runner.run(test(runner.get_loop()))

    run.__name__ = test.__name__
    return run


@pytest.fixture
def fake_boot_clock(monkeypatch):
    """Replace CLOCK_BOOTTIME by one that is ahead by the entry ``suspended_s`` of the returned mapping."""
    state = {"suspended_s": 0.0}
    real_clock_gettime = time.clock_gettime

    def clock_gettime(clock):
        return real_clock_gettime(clock) + (state["suspended_s"] if clock == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(time, "clock_gettime", clock_gettime)
    return state


def test_daemon_loop_clock_includes_suspensions(fake_boot_clock):
    async def main():
        started_s = monotonic_s()
        sleeper = asyncio.get_running_loop().create_task(asyncio.sleep(SUSPENDED_S))
        await asyncio.sleep(0)
        fake_boot_clock["suspended_s"] = SUSPENDED_S
        await asyncio.sleep(0.01)  # a daemon's loop wakes at least every 0.1 s
        assert monotonic_s() - started_s >= SUSPENDED_S
        assert sleeper.done()

    with program.make_runner() as runner:
        runner.run(main())


@run_on_suspendable_loop
async def test_log_view_read_before_a_suspension_counts_as_old_afterwards(loop):
    """The machine is suspended after the log has answered and before the daemon reads the answer."""

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
    max_response_s = TailSettings(topic="t").wait_s + MAX_RESPONSE_DELAY_S
    assert tail.freshness.age_s(monotonic_s()) >= SUSPENDED_S - max_response_s
    following.cancel()


@run_on_suspendable_loop
async def test_leader_sends_no_order_after_a_suspension(loop):
    class Projection:
        leader, leader_fence = "me", 7

    class Journal:
        writer = "me"

        def take_send_time_s(self, batch):
            return monotonic_s()

    leadership = Leadership(Projection(), Journal(), None, DecisionLog("d", write=len), lease_s=LEASE_S)
    leadership.confirm_batch(None)
    assert leadership.may_order()
    loop.suspended_s += SUSPENDED_S
    assert not leadership.may_order()


@run_on_suspendable_loop
async def test_agreed_wall_clock_includes_suspensions(loop):
    clock = SynchronizedWallClock(lambda: 1000.0, monotonic_s)
    loop.suspended_s += SUSPENDED_S
    assert clock.now_s() >= 1000.0 + SUSPENDED_S


@run_on_suspendable_loop
async def test_clock_readings_that_are_processed_after_a_suspension_are_ignored(loop):
    """Guards against a clock set back by half the suspension: the answers had arrived before it."""
    started_s = monotonic_s()

    class Transport:
        async def call(self, address, method, payload, timeout_s):
            answer = ClockResponse(wall_s=1000.0 + monotonic_s() - started_s)
            await asyncio.sleep(0.01)
            loop.suspended_s = SUSPENDED_S
            return msgspec.json.encode(answer)

    clock = SynchronizedWallClock(lambda: 1000.0, monotonic_s)
    sync = ClockSync(clock, Transport(), lambda: ["d1@h:1", "d2@h:2", "d3@h:3"])
    running = loop.create_task(sync.run())
    await asyncio.sleep(FIRST_SYNC_DELAY_S + 0.1)
    running.cancel()
    assert loop.suspended_s
    assert abs(clock.now_s() - (1000.0 + monotonic_s() - started_s)) < 1.0
