"""Statuses 408, 421, 429 and 503 guarantee that a request has not run; see docs/design/refusals.md."""

import asyncio

import msgspec
import pytest

import passgate.errors
from passgate.errors import ExecutionStatus, PassgateError
from passgate.gateway.ingress import Ingress
from passgate.gateway.messages import (
    GUARANTEED_NOT_RUN_STATUSES,
    IncomingRequest,
    error_answer,
    error_status,
)
from tests import fake_platform
from tests.crashing_world import in_crashing_world as in_world

STREAMING_ROUTE = fake_platform.batch_route(kind="streaming", maxAttempts=2)
UNSAFE_ROUTE = fake_platform.safe_route(kind="unsafe")
ERROR_CLASSES = [
    each
    for each in vars(passgate.errors).values()
    if isinstance(each, type) and issubclass(each, PassgateError)
]


def runs_of(world, request_id):
    return [
        run for replica in world.replicas.values() for run in replica.runs if run.request_id == request_id
    ]


@pytest.mark.parametrize("kind", ERROR_CLASSES, ids=lambda kind: kind.__name__)
@pytest.mark.parametrize("execution", ExecutionStatus)
def test_a_guaranteed_not_run_status_is_only_given_for_errors_with_not_run(kind, execution):
    answer = error_answer(kind("x", execution=execution))
    assert answer.status not in GUARANTEED_NOT_RUN_STATUSES or execution is ExecutionStatus.NOT_RUN
    assert answer.status == error_status(kind("x", execution=execution))


def test_error_classes_that_may_have_run_by_default_get_no_guaranteed_not_run_status():
    for kind in ERROR_CLASSES:
        if kind.execution is not ExecutionStatus.NOT_RUN:
            assert error_answer(kind("x")).status not in GUARANTEED_NOT_RUN_STATUSES


@pytest.mark.parametrize("status", sorted(GUARANTEED_NOT_RUN_STATUSES - {421}))
@pytest.mark.parametrize(
    ("route", "path"), [(UNSAFE_ROUTE, "/call/a"), (STREAMING_ROUTE, "/stream/a")], ids=["plain", "streamed"]
)
@in_world
async def test_a_replicas_refusal_status_is_not_forwarded_without_its_not_executed_header(
    world, route, path, status
):
    replica = world.replica("i-1", "app" if path.startswith("/call") else "llm")
    replica.faults.failure_status = status
    world.configure(1, route)
    await world.start()
    await world.until(lambda: world.daemon.replicas.get("i-1"))
    answer = await world.call("POST", path, b"x")
    assert answer.status == 502
    assert "X-Replica-Stamp" not in answer.headers
    assert len(runs_of(world, "r1")) == 1


@in_world
async def test_a_repeatable_request_is_sent_again_after_an_unconfirmed_refusal(world):
    world.replica("i-1", "app").faults.failure_status = 503
    world.replica("i-2", "app").faults.failure_status = 503
    world.configure(1, fake_platform.safe_route())
    await world.start()
    await world.until(lambda: len(world.daemon.replicas.all()) == 2)
    assert (await world.call("POST", "/call/a", b"x")).status == 502
    assert len(runs_of(world, "r1")) == 2
    for replica in world.replicas.values():
        replica.faults.failure_status = 0
    await asyncio.sleep(1.2)
    assert (await world.call("POST", "/call/a", b"x", request_id="r2")).status == 200


@pytest.mark.parametrize("path", ["/call/a", "/stream/a"], ids=["plain", "streamed"])
@in_world
async def test_a_request_that_all_replicas_refuse_gets_503_and_never_runs(world, path):
    for name in ("i-1", "i-2"):
        world.replica(name, "app" if path.startswith("/call") else "llm").faults.refusing = True
    world.configure(1, UNSAFE_ROUTE if path.startswith("/call") else STREAMING_ROUTE)
    await world.start()
    await world.until(lambda: len(world.daemon.replicas.all()) == 2)
    assert (await world.call("POST", path, b"x")).status == 503
    for replica in world.replicas.values():
        replica.faults.refusing = False
    await asyncio.sleep(0.5)
    assert runs_of(world, "r1") == []


@pytest.mark.parametrize("path", ["/call/a", "/stream/a"], ids=["plain", "streamed"])
@in_world
async def test_a_refusal_after_an_attempt_that_may_have_run_gets_502(world, path):
    """The first attempt loses its answer, and the replica of the second one refuses."""
    service = "app" if path.startswith("/call") else "llm"
    streamed = fake_platform.batch_route(kind="streaming", resumable=True)
    first, second = world.replica("i-1", service), world.replica("i-2", service)
    world.configure(1, fake_platform.safe_route() if service == "app" else streamed)
    await world.start()
    await world.until(lambda: len(world.daemon.replicas.all()) == 2)

    def make_refuse(other):
        other.faults.refusing = True
        return False

    for replica, other in ((first, second), (second, first)):
        replica.faults.lost_response_probability = 1.0
        replica.crashes_on = lambda request, other=other: make_refuse(other)
    answer = await world.call("POST", path, b"x")
    assert answer.status == 502
    assert len(runs_of(world, "r1")) == 1


@in_world
async def test_replaced_replicas_do_not_count_towards_the_maximum_of_attempts(world):
    """Guards against refusing a request that met two stale discovery entries, although a replica is free."""
    replica = world.replica("i-1", "app")
    for name in ("old-1", "old-2"):
        entry = {"service": "app", "address": replica.address, "zone": "a", "slots": 8, "state": "ready"}
        world.log.put("keyed.servers", name, entry)
    world.configure(1, fake_platform.safe_route(maxAttempts=2))
    await world.start()
    await world.until(lambda: len(world.daemon.replicas.all()) == 3)
    world.daemon.replicas.get("i-1").in_flight += 7
    assert (await world.call("POST", "/call/a", b"x")).status == 200
    assert len(runs_of(world, "r1")) == 1


@in_world
async def test_a_request_that_times_out_at_a_replica_gets_504(world):
    world.replica("i-1", "app", work_s=1.0)
    world.configure(1, fake_platform.safe_route(kind="unsafe", timeoutMs=300))
    await world.start()
    await world.until(lambda: world.daemon.replicas.get("i-1"))
    assert (await world.call("POST", "/call/a", b"x")).status == 504
    assert len(runs_of(world, "r1")) == 1


@in_world
async def test_a_request_that_found_no_replica_never_runs(world):
    world.configure(1, fake_platform.safe_route(kind="unsafe"))
    await world.start()
    assert (await world.call("POST", "/call/a", b"x")).status == 503
    world.replica("i-1", "app")
    await world.until(lambda: world.daemon.replicas.get("i-1"))
    await asyncio.sleep(0.5)
    assert runs_of(world, "r1") == []


@in_world
async def test_a_failing_handler_gets_502_and_a_stopping_daemon_starts_no_request(world):
    handled = []

    async def handle(request):
        handled.append(request)
        raise RuntimeError("unexpected failure after the request may have been sent")

    ingress = Ingress(handle)
    written = []
    ingress._write_answer = lambda answer, method, connection: written.append(answer.status)
    request = IncomingRequest(method="POST", path="/a", host="h", headers=(), body=b"", received_s=0.0)
    await ingress._handle(request, None)
    ingress.refuse_new_requests()
    await ingress._handle(request, None)
    assert (written, len(handled)) == ([502, 503], 1)


@in_world
async def test_ending_a_job_with_an_unconfirmed_outcome_gets_502(world):
    world.configure(1, fake_platform.batch_route())
    await world.start()
    assert (await world.submit(["a"])).status == 202
    world.log.faults.lost_append_share = 1.0
    answer = await world.call("DELETE", "/-/lots/job1", deadline_ms=800)
    assert answer.status == 502


@in_world
async def test_a_submission_with_an_unconfirmed_outcome_gets_502_and_the_decision_log_says_so(world):
    world.configure(1, fake_platform.batch_route())
    await world.start()
    events = []
    world.daemon.decisions._observe = events.append
    world.log.faults.lost_append_share = 1.0
    answer = await world.submit(["a"], deadline_ms=800)
    assert answer.status == 502
    failures = [event for event in events if event.name == "job_accept_failed"]
    assert [event.status for event in failures] == [502]
    assert msgspec.to_builtins(failures[0])["reason"] == "durability_unknown"
