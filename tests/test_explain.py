"""``passgate explain`` on the lines of a running daemon, and the limits of the decision log."""

import asyncio
import json

import pytest

from passgate.decisions import DecisionLog, ForwardEnded, ForwardSent, JobEnded
from passgate.errors import InvalidRequest
from passgate.explain import explain
from tests import fake_platform
from tests.test_platform_daemon import World


def decision_lines_of(scenario):
    """Return the decision lines that a daemon writes during a scenario, a coroutine function of a world."""
    written = []

    async def main():
        world = World()
        try:
            world.configure(
                1, fake_platform.safe_route(timeoutMs=300, maxAttempts=1), fake_platform.batch_route()
            )
            await world.start()
            world.daemon.decisions._write = lambda data: written.append(data) or len(data)
            await scenario(world)
            world.daemon.decisions.flush()
        finally:
            await world.close()

    asyncio.run(main())
    return b"".join(written).decode().splitlines()


def test_a_refused_request_is_explained():
    async def scenario(world):
        await world.call("POST", "/call/x", b"", request_id="refused")

    result = explain("refused", decision_lines_of(scenario))
    assert "503" in result.verdict
    assert "nothing ran" in result.verdict


def test_request_past_its_time_limit_is_explained():
    async def scenario(world):
        world.replica("i-1", "app", work_s=5.0)
        await world.until(lambda: world.daemon.replicas.get("i-1"))
        await world.call("POST", "/call/x", b"", request_id="late")

    result = explain("late", decision_lines_of(scenario))
    assert "504" in result.verdict
    assert "no replica answered within the time limit; tried i-1" in result.verdict
    assert "forward_sent" in result.lines[0]


def test_item_with_failed_attempts_is_explained():
    async def scenario(world):
        first = world.replica("i-1", "llm", models={"m": 1}.items())
        first.faults.break_after_events = 2
        await world.until(lambda: world.daemon.replicas.get("i-1"))
        await world.submit(["item1"])
        await world.until(lambda: first.runs)
        await asyncio.sleep(0.2)
        first.faults.break_after_events = -1
        await world.all_results("job1")

    lines = decision_lines_of(scenario)
    result = explain("item1", lines)
    assert "incomplete_answer" in result.verdict or "backend_unreachable" in result.verdict
    assert "succeeded" in result.verdict
    assert "accepted 1 times" in explain("job1", lines).verdict


def test_a_line_that_lists_a_fingerprint_among_others_belongs_to_it():
    line = '{"event":"crash_reported","replica_id":"i-1","fingerprints":["f1","f2"]}'
    assert len(explain("f2", [line]).lines) == 1


def test_unknown_identifier_raises_invalid_request():
    with pytest.raises(InvalidRequest):
        explain("unknown", ["no json", '{"event":"x"}'])


def test_lines_with_another_tools_prefix_are_read():
    text = '  30.5 front-1 {"time":1.0,"daemon":"d","event":"job_ended","job_id":"j","listed":1,"total":2}'
    assert "ended with 1 of 2" in explain("j", [text]).verdict


def routine_event(number):
    return ForwardSent(request_id=f"r{number}", route="x", replica_id="e", attempt=1, in_flight=0)


def failure_event(number):
    return ForwardEnded(
        request_id=f"f{number}", route="x", status=504, reason="r", replicas=("e",), elapsed_ms=1.0
    )


def test_important_events_are_kept_and_dropped_routine_events_are_counted():
    written = []
    log = DecisionLog("d", write=lambda data: written.append(data) or len(data), now=lambda: 0.0)
    for number in range(1000):
        log.write(routine_event(number))
    for number in range(50):
        log.write(failure_event(number))
    log.flush()
    events = [json.loads(line) for line in b"".join(written).splitlines()]
    kept = [event for event in events if event["event"] == "forward_ended"]
    assert len(kept) == 50
    dropped = next(event for event in events if event["event"] == "lines_dropped")
    assert dropped["ordinary"] + len([e for e in events if e["event"] == "forward_sent"]) == 1000


def test_buffer_stays_bounded_while_the_reader_accepts_nothing():
    now = [0.0]
    log = DecisionLog("d", write=lambda data: 0, now=lambda: now[0])
    for second in range(60):
        now[0] = float(second)
        for number in range(200):
            log.write(failure_event(number))
        log.flush()
    assert len(log._buffer) < 300 * 1024


def test_partial_writes_are_continued():
    written = bytearray()

    def write(data):
        written.extend(data[:7])
        return min(len(data), 7)

    log = DecisionLog("d", write=write, now=lambda: 0.0)
    log.write(JobEnded(job_id="j", listed=1, total=1))
    log.flush()
    assert json.loads(bytes(written))["job_id"] == "j"


@pytest.mark.parametrize("identifier", ["item1", fake_platform.reward_id("item1")])
def test_an_item_whose_reward_call_fails_is_explained_by_either_id(identifier):
    async def scenario(world):
        world.replica("i-1", "llm", models={"m": 1}.items())
        world.replica("i-2", "app").faults.failure_status = 500
        await world.until(lambda: world.daemon.replicas.get("i-2"))
        await world.submit(["item1"], scored=True)
        await world.all_results("job1")

    result = explain(identifier, decision_lines_of(scenario))
    assert "dead" in result.verdict
    assert "failed attempts of its reward call (the replica answered 500" in result.verdict
    assert any("reward_sent" in line and "i-2" in line for line in result.lines)


def test_requests_with_the_same_content_that_crash_replicas_are_explained_by_their_fingerprint():
    async def scenario(world):
        for name in ("i-1", "i-2"):
            world.replica(name, "app").crashes_on = lambda request: request.body == b"crash"
        await world.until(lambda: len(world.daemon.replicas.all()) == 2)
        await world.call("POST", "/call/x", b"crash", request_id="first")
        (crashed,) = [replica for replica in world.replicas.values() if replica.has_crashed]
        world.log.put("keyed.servers", crashed.replica_id, None)
        await world.until(lambda: len(world.daemon.replicas.all()) == 1)
        await world.call("POST", "/call/x", b"crash", request_id="second")

    lines = decision_lines_of(scenario)
    failed = [json.loads(line) for line in lines if '"attempt_failed"' in line]
    assert {line["request_id"] for line in failed} == {"first", "second"}
    (fingerprint,) = {line["fingerprint"] for line in failed}
    assert {line["execution"] for line in failed} == {"unknown"}
    result = explain(fingerprint, lines)
    assert "2 failed attempts in 2 requests with the same content" in result.verdict
    assert "backend_unreachable: connections to replicas failed after the request was sent" in result.verdict
