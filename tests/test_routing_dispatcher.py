import asyncio
from random import Random

import msgspec
import pytest

from passgate.clock import new_virtual_loop
from passgate.errors import (
    BackendRefused,
    BackendUnreachable,
    DeadlineExceeded,
    ExecutionStatus,
    IncompleteAnswer,
    PassgateError,
    VersionNotReported,
)
from passgate.routing.dispatcher import Dispatcher
from passgate.routing.policies import RoutingPolicy
from passgate.routing.replica_directory import ReplicaDirectory
from passgate.schema import (
    AppRequest,
    AppResponse,
    FinishReason,
    GenerateChunk,
    GenerateRequest,
    LoadReport,
    MachineInfo,
    MachineRole,
    VersionSpan,
)
from passgate.state.specs import DEFAULT_PRIORITY_CLASSES, PoolSpec


class Pool(msgspec.Struct):
    spec: PoolSpec


class FakeConfiguration:
    pools = {
        "llm": Pool(PoolSpec(selector="kind=llm", role=MachineRole.ENGINE, model="m")),
        "app": Pool(PoolSpec(selector="kind=app", role=MachineRole.APP)),
    }

    def get(self, kind, name):
        return self.pools.get(name) if kind == "Pool" else None

    def objects(self, kind):
        return list(self.pools.values())

    def priority_class(self, name):
        return DEFAULT_PRIORITY_CLASSES[name]


def request(**changes):
    values = {
        "request_id": "r1",
        "caller": "trainer",
        "pool": "llm",
        "model": "m",
        "prompt": (1, 2, 3),
        "max_tokens": 6,
    }
    return GenerateRequest(**{**values, **changes})


def piece(start, tokens, version=1, finish=None, request_id="r1"):
    return GenerateChunk(
        request_id=request_id, start=start, tokens=tuple(tokens), version=version, finish_reason=finish
    )


class ScriptedEngine:
    """Plays one script per attempt: chunks, errors, or seconds to sleep."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.calls = []
        self.closed = 0

    async def generate(self, address, request):
        self.calls.append((address, request))
        script = self.scripts.pop(0)
        try:
            for step in script:
                if isinstance(step, Exception):
                    raise step
                if isinstance(step, (int, float)):
                    await asyncio.sleep(step)
                elif step.request_id == "r1":
                    yield msgspec.structs.replace(step, request_id=request.request_id)
                else:
                    yield step
        finally:
            self.closed += 1

    async def cancel(self, address, request_id):
        pass

    async def cache_events(self, address, after_sequence):
        return []

    async def load_report(self, address):
        replica_id = "e" + address[-1]
        return LoadReport(
            replica_id=replica_id,
            sequence=1,
            running=0,
            waiting=0,
            outstanding_tokens=0,
            kv_used_tokens=0,
            kv_capacity_tokens=10_000,
            tokens_per_s=100.0,
        )


class ScriptedApp:
    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.calls = 0

    async def call(self, address, request):
        self.calls += 1
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return AppResponse(request_id=request.request_id, status=200, body=outcome)


def directory(count=3):
    result = ReplicaDirectory()
    machines = [
        MachineInfo(
            machine_id=f"{prefix}{index}",
            role=role,
            address=f"{prefix}:{index}",
            zone="a",
            labels={"kind": kind},
        )
        for prefix, role, kind in (("e", MachineRole.ENGINE, "llm"), ("a", MachineRole.APP, "app"))
        for index in range(count)
    ]
    result.apply_machines(machines, 0.0)
    return result


def dispatcher(engine=None, app=None, policy=None, replicas=3):
    return Dispatcher(
        engine or ScriptedEngine(),
        app or ScriptedApp(),
        directory(replicas),
        FakeConfiguration(),
        "a",
        policy or RoutingPolicy(hedge=False),
        Random(1),
    )


def run(coroutine):
    loop = new_virtual_loop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


WHOLE = [piece(0, [7, 8]), piece(2, [9], finish=FinishReason.STOP)]


def generate(engine, **changes):
    async def main():
        return await dispatcher(engine).generate(request(**changes))

    return run(main())


def test_whole_answer_with_spans():
    result = generate(ScriptedEngine([piece(0, [7, 8], 1), piece(2, [9], 2, FinishReason.STOP)]))
    assert result.tokens == (7, 8, 9)
    assert result.spans == (VersionSpan(0, 2, 1), VersionSpan(2, 3, 2))


def test_crash_in_stream_resumes_elsewhere_from_received_tokens():
    lost = BackendUnreachable(execution=ExecutionStatus.UNKNOWN)
    engine = ScriptedEngine([piece(0, [7, 8], 1), lost], [piece(2, [9], 2, FinishReason.STOP)])
    result = generate(engine)
    assert engine.calls[1][1].resume_tokens == (7, 8)
    assert engine.calls[0][0] != engine.calls[1][0]
    assert result.spans == (VersionSpan(0, 2, 1), VersionSpan(2, 3, 2))
    assert result.attempts == 2


@pytest.mark.parametrize(
    "first",
    [
        [piece(0, [7])],
        [piece(0, [5, 5], request_id="other")],
        [piece(0, [7], version=None)],
        [piece(1, [7])],
        [piece(0, [7] * 9)],
    ],
    ids=["truncated", "crossed", "no version", "gap", "too long"],
)
def test_unverified_output_never_surfaces(first):
    whole = (
        [piece(1, [8], 1, FinishReason.STOP)] if first[0].tokens == (7,) and first[0].start == 0 else WHOLE
    )
    engine = ScriptedEngine(first, whole if first[0].version else WHOLE)
    result = generate(engine)
    assert result.attempts == 2
    assert 5 not in result.tokens
    assert all(span.version for span in result.spans)


def test_not_repeatable_is_not_retried_when_it_may_have_run():
    engine = ScriptedEngine([BackendUnreachable(execution=ExecutionStatus.UNKNOWN)], WHOLE)
    with pytest.raises(BackendUnreachable) as raised:
        generate(engine, repeatable=False)
    assert raised.value.execution is ExecutionStatus.UNKNOWN
    assert len(engine.calls) == 1


def test_not_repeatable_is_retried_after_a_refusal():
    engine = ScriptedEngine([BackendRefused()], WHOLE)
    assert generate(engine, repeatable=False).tokens == (7, 8, 9)


def test_deadline_cancels_the_stream_and_says_that_it_ran():
    engine = ScriptedEngine([piece(0, [7]), 100])
    with pytest.raises(DeadlineExceeded) as raised:
        generate(engine, deadline_s=5.0)
    assert raised.value.execution is ExecutionStatus.RAN
    assert engine.closed == 1


def test_app_call_at_most_once():
    app = ScriptedApp(IncompleteAnswer(execution=ExecutionStatus.UNKNOWN), b"second")

    async def main():
        call = AppRequest(
            request_id="r", caller="c", pool="app", method="POST", path="/", body=b"", repeatable=False
        )
        with pytest.raises(PassgateError) as raised:
            await dispatcher(app=app).call_app(call)
        return raised.value

    error = run(main())
    assert error.execution is ExecutionStatus.UNKNOWN
    assert app.calls == 1


def test_missing_version_is_typed_when_no_attempt_is_left():
    engine = ScriptedEngine(*[[piece(0, [7], version=None)]] * RoutingPolicy().max_attempts)
    with pytest.raises(VersionNotReported):
        generate(engine)
