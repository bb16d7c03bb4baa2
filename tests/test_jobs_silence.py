"""When a silent stream is left: soon, but only while other replicas are heard."""

import asyncio
import time

import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.jobs.silence import MAX_SILENCE_LIMIT_S, StreamSilence, silence_limit_s

PAUSE_S = 0.04
NEAR_S = 0.05


async def never():
    await asyncio.sleep(3600.0)


async def speak(silence, replica_id):
    while True:
        silence.heard(replica_id, monotonic_s())
        await asyncio.sleep(PAUSE_S)


async def left_after_s(silence, speaking):
    tasks = [asyncio.get_running_loop().create_task(speak(silence, name)) for name in speaking]
    began_s = monotonic_s()
    with pytest.raises(TimeoutError):
        await silence.wait_for("r", never, silence_limit_s(PAUSE_S))
    for task in tasks:
        task.cancel()
    return monotonic_s() - began_s


def test_a_replica_that_fell_silent_is_left_soon_while_others_speak():
    assert run_virtual(left_after_s(StreamSilence(), ["other"])) <= silence_limit_s(PAUSE_S) + NEAR_S


def test_a_stream_is_waited_for_longer_while_nobody_speaks():
    after_s = run_virtual(left_after_s(StreamSilence(), []))
    assert MAX_SILENCE_LIMIT_S <= after_s <= MAX_SILENCE_LIMIT_S + silence_limit_s(PAUSE_S)


def test_a_stream_is_waited_for_longer_while_others_of_its_replica_speak():
    assert run_virtual(left_after_s(StreamSilence(), ["r", "other"])) >= MAX_SILENCE_LIMIT_S


def test_patience_grows_with_the_replicas_usual_pause():
    assert (
        silence_limit_s(0.01)
        < silence_limit_s(0.06)
        < silence_limit_s(0.1)
        < silence_limit_s(1.0)
        <= MAX_SILENCE_LIMIT_S
    )


def test_a_daemon_that_was_held_up_reads_what_came_meanwhile():
    async def main():
        silence = StreamSilence()
        arrived = asyncio.get_running_loop().create_future()

        async def read():
            return await asyncio.shield(arrived)

        waiting = asyncio.get_running_loop().create_task(silence.wait_for("r", read, 0.05))
        silence.heard("other", monotonic_s() + 1.0)
        await asyncio.sleep(0)
        time.sleep(0.3)  # the loop stands still, as in a process that was stopped
        await asyncio.sleep(0.01)
        arrived.set_result(b"event")
        return await waiting

    assert asyncio.run(main()) == b"event"
