"""When a silent stream counts as stalled: soon, but only while other replicas send data."""

import asyncio
import time

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.jobs.stall_detector import MAX_SILENCE_LIMIT_S, StallDetector, silence_limit_s

PAUSE_S = 0.04
TOLERANCE_S = 0.05


async def wait_forever():
    await asyncio.sleep(3600.0)


async def send_data(stall_detector, replica_id):
    while True:
        stall_detector.record_data(replica_id, monotonic_s())
        await asyncio.sleep(PAUSE_S)


async def time_until_stalled_s(stall_detector, speaking):
    tasks = [asyncio.get_running_loop().create_task(send_data(stall_detector, name)) for name in speaking]
    began_s = monotonic_s()
    with pytest.raises(TimeoutError):
        await stall_detector.wait_for("r", wait_forever, silence_limit_s(PAUSE_S))
    for task in tasks:
        task.cancel()
    return monotonic_s() - began_s


def test_a_silent_stream_stalls_soon_while_other_replicas_send_data():
    assert (
        run_virtual(time_until_stalled_s(StallDetector(), ["other"]))
        <= silence_limit_s(PAUSE_S) + TOLERANCE_S
    )


def test_the_limit_is_longer_while_all_replicas_are_silent():
    after_s = run_virtual(time_until_stalled_s(StallDetector(), []))
    assert MAX_SILENCE_LIMIT_S <= after_s <= MAX_SILENCE_LIMIT_S + silence_limit_s(PAUSE_S)


def test_the_limit_is_longer_while_other_streams_of_the_replica_send_data():
    assert run_virtual(time_until_stalled_s(StallDetector(), ["r", "other"])) >= MAX_SILENCE_LIMIT_S


def test_the_limit_grows_with_the_usual_pause():
    assert (
        silence_limit_s(0.01)
        < silence_limit_s(0.06)
        < silence_limit_s(0.1)
        < silence_limit_s(1.0)
        <= MAX_SILENCE_LIMIT_S
    )


def test_data_that_arrived_while_the_event_loop_was_blocked_is_read():
    async def main():
        stall_detector = StallDetector()
        arrived = asyncio.get_running_loop().create_future()

        async def read():
            return await asyncio.shield(arrived)

        waiting = asyncio.get_running_loop().create_task(stall_detector.wait_for("r", read, 0.05))
        stall_detector.record_data("other", monotonic_s() + 1.0)
        await asyncio.sleep(0)
        time.sleep(0.3)  # blocks the event loop, as a suspension of the process does
        await asyncio.sleep(0.01)
        arrived.set_result(b"event")
        return await waiting

    assert asyncio.run(main()) == b"event"
