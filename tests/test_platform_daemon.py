"""One platform daemon over real sockets, with stand-ins for the log and the replicas."""

import asyncio
import contextlib
import errno
import json
import pathlib
import socket
import tempfile
import unittest.mock

import msgspec
import pytest

from passgate.clients.http_call import HttpCall, SendPolicy
from passgate.daemon import graceful_shutdown as shutdown
from passgate.daemon.http_client import make_http_client
from passgate.errors import PassgateError
from passgate.jobs import item_run
from passgate.platform.http_api import FrontRequestHandler
from passgate.platform.log_client import PlatformLog
from passgate.platform.program import make_daemon
from passgate.platform.settings import SettingsWatcher, parse_settings
from tests import fake_platform

HOST = "h.example"


MAX_PORT_ATTEMPTS = 4


def is_port_taken(error):
    return isinstance(error, OSError) and error.errno == errno.EADDRINUSE


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class World:
    """Stand-ins for the log and the replicas, and one daemon, in one event loop."""

    def __init__(self):
        self.log = fake_platform.FakeLogService().start()
        self.replicas = {}
        self.http = make_http_client()
        self.daemon = None
        self.task = None
        self.host = HOST

    def replica(self, replica_id, service, **fields):
        self.replicas[replica_id] = fake_platform.FakeReplica(self.log, replica_id, service, **fields).start()
        return self.replicas[replica_id]

    def configure(self, version, *routes, tenants=()):
        document = fake_platform.config_document(version, list(routes), ["app", "llm"], tenants)
        self.log.put("keyed.op", "config", document)

    async def start(self, *, ready=True):
        """Start the daemon; with ``ready``, return when it is ready."""
        self.daemon, self.task = await start_daemon_at_free_ports("d1", self.log.address)
        if ready:
            await self.until(self.daemon.ready)

    async def until(self, condition, timeout_s=8.0):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def call(self, method, path, body=None, request_id="r1", deadline_ms=2000, **headers):
        call = HttpCall(
            method=method,
            url=f"http://{self.daemon.settings.front_address}{path}",
            body=body,
            headers={"Host": self.host, "X-Attempt-Id": request_id, "X-Deadline-Ms": str(deadline_ms)}
            | headers,
            send=SendPolicy.ONCE,
            timeout_s=10.0,
        )
        return await self.http.fetch(call)

    async def submit(self, item_ids, request_id="job1", deadline_ms=2000, **fields):
        body = fake_platform.job_body(item_ids, **fields)
        return await self.call("POST", "/stream/j", body, request_id=request_id, deadline_ms=deadline_ms)

    async def results(self, job_id, after=0, wait_ms=1000):
        answer = await self.call("GET", f"/-/lots/{job_id}?afterRev={after}", **{"X-Wait-Ms": str(wait_ms)})
        assert answer.status == 200
        return json.loads(answer.body)

    async def all_results(self, job_id, timeout_s=8.0):
        rows = []
        async with asyncio.timeout(timeout_s):
            while True:
                page = await self.results(job_id, len(rows))
                rows += page["results"]
                if len(rows) == page["total"]:
                    return rows

    async def close(self):
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(BaseException):
                await self.task
        self.http.close()
        for replica in self.replicas.values():
            await replica.stop()
        await self.log.stop()


def start_daemon(text):
    settings = parse_settings(text)
    http = make_http_client()
    daemon = make_daemon(settings, http, PlatformLog(http, settings.log_address))
    return daemon, asyncio.get_running_loop().create_task(daemon.run(FrontRequestHandler(daemon).handle))


async def start_daemon_at_free_ports(name, log_address):
    """Start a daemon at free ports, again if another process takes one before the daemon listens there."""
    for _ in range(MAX_PORT_ATTEMPTS):
        daemon, task = start_daemon(
            fake_platform.settings_text(name, log_address, free_address(), free_address())
        )
        await asyncio.sleep(0)
        if not (task.done() and is_port_taken(task.exception())):
            break
    return daemon, task


def in_world(test):
    """Decorate a coroutine test: run it in an event loop of its own with a new :class:`World`."""

    def run():
        async def main():
            world = World()
            try:
                await test(world)
            finally:
                await world.close()

        asyncio.run(main())

    run.__name__ = test.__name__
    return run


@in_world
async def test_a_safe_request_reaches_a_replica_unchanged(world):
    app = world.replica("i-1", "app")
    world.configure(3, fake_platform.safe_route())
    await world.start()
    answer = await world.call("POST", "/call/x/%41?q=a//b&r=%20", b"\x00body", request_id="id7")
    assert (answer.status, answer.body) == (200, b"answer of id7 \x00body")
    assert answer.headers["X-Replica-Stamp"] == "i-1.id7"
    (run,) = app.runs
    assert (run.request_id, run.path, run.body) == ("id7", "/call/x/%41?q=a//b&r=%20", b"\x00body")
    assert 0 < int(run.deadline_ms) <= 2000


@in_world
async def test_a_daemon_without_configuration_promises_that_nothing_ran(world):
    await world.start(ready=False)
    answer = await world.call("POST", "/call/x", b"")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    assert not world.daemon.ready()


@in_world
async def test_unmatched_paths_get_404_and_only_newer_configurations_are_applied(world):
    world.replica("i-1", "app")
    world.configure(3, fake_platform.safe_route())
    await world.start()
    assert (await world.call("GET", "/other/x")).status == 404
    world.configure(5, fake_platform.safe_route(), fake_platform.safe_route(name="o", pathPrefix="/other/"))
    await world.until(lambda: world.daemon.config_holder.table.config.version == 5)
    assert (await world.call("GET", "/other/x")).status == 200
    world.configure(4, fake_platform.safe_route())
    await asyncio.sleep(0.2)
    assert (await world.call("GET", "/other/x")).status == 200


@in_world
async def test_a_configuration_survives_a_log_whose_history_is_dropped(world):
    world.replica("i-1", "app")
    world.configure(3, fake_platform.safe_route())
    await world.start()
    world.configure(4, fake_platform.safe_route(timeoutMs=1000))
    await world.until(lambda: world.daemon.config_holder.table.config.version == 4)
    world.log.drop_history("keyed.op")
    await asyncio.sleep(0.1)
    assert world.daemon.config_holder.table.config.version == 4


@in_world
async def test_a_safe_request_goes_to_a_second_replica_when_the_first_loses_its_answer(world):
    first, second = world.replica("i-1", "app"), world.replica("i-2", "app")
    first.faults.lost_response_probability = second.faults.lost_response_probability = 0.0
    first.faults.wrong_attempt_id = True
    world.configure(1, fake_platform.safe_route())
    await world.start()
    for number in range(12):
        answer = await world.call("POST", "/call/x", b"", request_id=f"r{number}")
        assert answer.status == 200
        assert answer.body == f"answer of r{number} ".encode()
    runs = {}
    for run in first.runs + second.runs:
        runs[run.request_id] = runs.get(run.request_id, 0) + 1
    assert max(runs.values()) <= 2


@in_world
async def test_requests_succeed_despite_an_unresponsive_replica(world):
    world.replica("i-1", "app").faults.unresponsive = True
    world.replica("i-2", "app")
    world.configure(1, fake_platform.safe_route())
    await world.start()
    for number in range(6):
        answer = await world.call("POST", "/call/x", b"", request_id=f"r{number}")
        assert answer.status == 200


@in_world
async def test_an_unsafe_request_runs_once_when_its_answer_is_lost(world):
    replicas = [world.replica(f"i-{number}", "app") for number in range(2)]
    for replica in replicas:
        replica.faults.lost_response_probability = 1.0
    world.configure(1, fake_platform.safe_route(kind="unsafe"))
    await world.start()
    answer = await world.call("POST", "/call/x", b"")
    assert answer.status == 502
    assert sum(len(replica.runs) for replica in replicas) == 1


@in_world
async def test_unsafe_request_is_retried_after_a_replica_refused_it_as_not_run(world):
    world.replica("i-1", "app").faults.refusing = True
    world.replica("i-2", "app")
    world.configure(1, fake_platform.safe_route(kind="unsafe"))
    await world.start()
    for number in range(6):
        assert (await world.call("POST", "/call/x", b"", request_id=f"r{number}")).status == 200


@in_world
async def test_request_is_refused_at_once_with_retry_after_when_all_replicas_are_full(world):
    world.replica("i-1", "app").faults.refusing = True
    world.configure(1, fake_platform.safe_route())
    await world.start()
    answer = await world.call("POST", "/call/x", b"", deadline_ms=30_000)
    assert answer.status == 503  # the caller's own timeout is 10 s
    assert 0 < float(answer.headers["Retry-After"]) < 1


@in_world
async def test_the_time_limit_of_a_route_ends_a_request(world):
    world.replica("i-1", "app", work_s=5.0)
    world.configure(1, fake_platform.safe_route(timeoutMs=300, maxAttempts=1))
    await world.start()
    answer = await world.call("POST", "/call/x", b"", deadline_ms=8000)
    assert answer.status == 504  # the replica would have answered after 5 s


@in_world
async def test_request_is_not_run_by_another_replica_at_a_reused_address(world):
    app = world.replica("i-1", "app")
    world.configure(1, fake_platform.safe_route())
    await world.start()
    app.replica_id = "i-9"
    answer = await world.call("POST", "/call/x", b"")
    assert answer.status == 503
    assert app.runs == []


@in_world
async def test_a_draining_replica_gets_no_new_request(world):
    leaving, staying = world.replica("i-1", "app"), world.replica("i-2", "app")
    world.configure(1, fake_platform.safe_route())
    await world.start()
    leaving.draining = True
    leaving.write_entry()
    await world.until(lambda: world.daemon.replicas.get("i-1").info.draining)
    for number in range(8):
        assert (await world.call("POST", "/call/x", b"", request_id=f"r{number}")).status == 200
    assert leaving.runs == []
    assert len(staying.runs) == 8


@in_world
async def test_repeated_job_is_accepted_once_and_its_results_are_read_from_any_position(world):
    world.replica("i-1", "llm", models={"m": 1}.items())
    world.configure(1, fake_platform.batch_route())
    await world.start()
    ids = [f"item{number}" for number in range(8)]
    for _ in range(2):
        answer = await world.call("POST", "/stream/j", fake_platform.job_body(ids), request_id="job1")
        assert answer.status == 202
    rows = await world.all_results("job1")
    assert sorted(row["id"] for row in rows) == sorted(ids)
    for row in rows:
        assert row["state"] == "succeeded"
        assert row["text"] == fake_platform.complete_output(row["id"])
        assert row["versions"] == [1]
    assert (await world.results("job1", 3))["results"] == rows[3:]
    body = await world.call("GET", "/-/items/job1?id=item3")
    assert (body.status, body.body) == (200, b"body item3")
    assert (await world.call("DELETE", "/-/lots/job1")).status == 200
    assert (await world.call("DELETE", "/-/lots/job1")).status == 200
    assert (await world.results("job1"))["results"] == rows


@in_world
async def test_interrupted_stream_of_an_item_resumes_after_its_last_event(world):
    replicas = [world.replica(f"i-{number}", "llm", models={"m": 1}.items()) for number in range(2)]
    for replica in replicas:
        replica.faults.break_after_events = 2
    world.configure(1, fake_platform.batch_route())
    await world.start()
    ids = [f"item{number}" for number in range(4)]
    await world.call("POST", "/stream/j", fake_platform.job_body(ids), request_id="job1")
    rows = await world.all_results("job1")
    assert all(row["text"] == fake_platform.complete_output(row["id"]) for row in rows)
    runs = [run for replica in replicas for run in replica.runs]
    assert any(run.last_event_id for run in runs)


@in_world
async def test_an_older_job_gets_free_slots_before_a_newer_one(world):
    replica = world.replica("i-1", "llm", models={"m": 1}.items(), slots=1, event_s=0.02)
    world.configure(1, fake_platform.batch_route())
    await world.start()
    assert (await world.submit([f"old{number}" for number in range(4)], "job1")).status == 202
    assert (await world.submit([f"new{number}" for number in range(4)], "job2")).status == 202
    await world.all_results("job2", timeout_s=20.0)
    order = [run.request_id[:3] for run in replica.runs]
    assert order == ["old"] * 4 + ["new"] * 4


@in_world
async def test_output_of_weights_older_than_the_job_allows_is_discarded(world):
    old = world.replica("i-1", "llm", models={"m": 1}.items())
    world.replica("i-2", "llm", models={"m": 3}.items())
    world.configure(1, fake_platform.batch_route())
    await world.start()
    # The daemon takes the replica to hold version 3, but it still generates events of version 1.
    world.daemon.replicas.get("i-1").reported_versions["m"] = 3
    ids = [f"item{number}" for number in range(6)]
    await world.call("POST", "/stream/j", fake_platform.job_body(ids, min_version=3), request_id="job1")
    rows = await world.all_results("job1")
    assert all(row["versions"] == [3] for row in rows)
    assert all(row["text"] == fake_platform.complete_output(row["id"]) for row in rows)
    assert old.version_by_model["m"] == 1


@in_world
async def test_item_is_dead_after_as_many_failures_as_its_route_allows(world):
    world.replica("i-1", "llm", models={"m": 1}.items()).faults.failure_status = 500
    world.configure(1, fake_platform.batch_route(maxAttempts=3))
    await world.start()
    await world.call("POST", "/stream/j", fake_platform.job_body(["item1"]), request_id="job1")
    (row,) = await world.all_results("job1")
    assert row["state"] == "dead"
    assert len(world.replicas["i-1"].runs) == 3


@in_world
async def test_item_that_a_replica_rejects_as_invalid_is_dead_after_one_attempt(world):
    world.replica("i-1", "llm", models={"m": 1}.items()).faults.failure_status = 422
    world.configure(1, fake_platform.batch_route())
    await world.start()
    await world.call("POST", "/stream/j", fake_platform.job_body(["item1"]), request_id="job1")
    (row,) = await world.all_results("job1")
    assert row["state"] == "dead"
    assert len(world.replicas["i-1"].runs) == 1


@in_world
async def test_a_job_that_the_log_surely_did_not_take_is_refused_and_never_runs(world):
    replica = world.replica("i-1", "llm", models={"m": 1}.items())
    world.configure(1, fake_platform.batch_route())
    await world.start()
    world.log.faults.refusing = True
    answer = await world.call(
        "POST", "/stream/j", fake_platform.job_body(["item1"]), request_id="job1", deadline_ms=600
    )
    assert answer.status == 503
    world.log.faults.refusing = False
    await asyncio.sleep(0.5)
    assert replica.runs == []
    tail = world.daemon.job_partitions.of_host(HOST).tail
    await world.until(lambda: tail.freshness.age_s(asyncio.get_running_loop().time()) < 1)
    assert (await world.call("GET", "/-/lots/job1")).status == 404


@in_world
async def test_job_with_an_unconfirmed_append_is_not_reported_as_refused(world):
    world.replica("i-1", "llm", models={"m": 1}.items())
    world.configure(1, fake_platform.batch_route())
    await world.start()
    world.log.faults.lost_append_share, world.log.faults.lost_append_delay_s = 1.0, 2.0
    answer = await world.call(
        "POST", "/stream/j", fake_platform.job_body(["item1"]), request_id="job1", deadline_ms=900
    )
    assert answer.status not in (202, 408, 421, 429, 503)
    world.log.faults.lost_append_share = 0.0
    await world.until(lambda: "job1" in world.daemon.job_partitions.of_host(HOST).projection.jobs)
    assert (await world.all_results("job1"))[0]["state"] == "succeeded"


@in_world
async def test_unknown_job_gets_503_instead_of_404_while_the_log_is_unavailable(world):
    world.configure(1, fake_platform.batch_route())
    await world.start()
    async with asyncio.timeout(8.0):
        # The daemon answers 503 until its view of the partition is current.
        while (status := (await world.call("GET", "/-/lots/nojob")).status) != 404:
            assert status == 503
    world.log.faults.refusing = True
    assert (await world.call("GET", "/-/lots/nojob")).status == 503
    assert (await world.call("GET", "/-/items/nojob?id=x")).status == 503


@in_world
async def test_unknown_job_gets_503_instead_of_404_while_the_log_is_slow(world):
    world.configure(1, fake_platform.batch_route())
    await world.start()
    world.log.faults.slow_s = 1.0
    assert (await world.call("GET", "/-/lots/nojob")).status == 503


@in_world
async def test_malformed_jobs_are_refused_as_not_run(world):
    world.configure(1, fake_platform.batch_route())
    await world.start()
    for body in (b"", b"{", b'{"requests":[]}', fake_platform.job_body(["same", "same"])):
        answer = await world.call("POST", "/stream/j", body, request_id="bad")
        assert answer.status == 400
        assert json.loads(answer.body)["error"]["execution"] == "not_run"


@in_world
async def test_target_versions_are_loaded_with_one_fence_and_consecutive_order_counts(world):
    replicas = [world.replica(f"i-{number}", "llm", models={"m": 1}.items()) for number in range(3)]
    world.configure(1, fake_platform.batch_route())
    await world.start()
    for version in (2, 3):
        world.log.put("keyed.op", "version/m", {"model": "m", "version": version})
        await world.until(
            lambda target=version: all(replica.version_by_model["m"] == target for replica in replicas)
        )
    for replica in replicas:
        assert [order["expected"] for order in replica.received_orders] == list(
            range(len(replica.received_orders))
        )
        assert len({order["fence"] for order in replica.received_orders}) == 1


@in_world
async def test_caller_disconnect_cancels_the_request_to_the_replica(world):
    app = world.replica("i-1", "app", work_s=3.0)
    world.configure(1, fake_platform.safe_route(maxAttempts=1, timeoutMs=5000))
    await world.start()
    call = asyncio.create_task(world.call("POST", "/call/x", b"", deadline_ms=5000))
    await world.until(lambda: app.runs)
    call.cancel()
    await world.until(lambda: world.daemon._ingress.in_flight == 0, timeout_s=1.0)
    await world.until(lambda: world.daemon.replicas.get("i-1").in_flight == 0, timeout_s=1.0)


@in_world
async def test_graceful_shutdown_answers_requests_in_flight(world):
    world.replica("i-1", "app", work_s=0.5)
    world.configure(1, fake_platform.safe_route(maxAttempts=1))
    await world.start()
    call = asyncio.create_task(world.call("POST", "/call/x", b""))
    await world.until(lambda: world.daemon._ingress.in_flight == 1)
    world.daemon.stop()
    assert (await call).status == 200
    assert not world.daemon.ready()
    again = await world.call("POST", "/call/x", b"", request_id="r2")
    assert (again.status, again.headers.get("Connection")) == (200, "close")
    async with asyncio.timeout(8):
        await world.task
    world.task = None
    with pytest.raises(PassgateError):
        await world.call("POST", "/call/x", b"", request_id="r3")


def stream_route(**fields):
    return (
        fake_platform.safe_route(name="chat", pathPrefix="/stream/", kind="streaming", service="llm") | fields
    )


@in_world
async def test_stream_is_forwarded_completely(world):
    world.replica("i-1", "llm", models={"m": 2}.items())
    world.configure(1, stream_route(resumable=False))
    await world.start()
    answer = await world.call("POST", "/stream/x", b"", request_id="chat1", **{"X-Model": "m"})
    assert answer.status == 200
    assert answer.headers["X-Replica-Stamp"] == "i-1.chat1"
    data = [line[6:] for line in answer.body.decode().split("\n") if line.startswith("data: ")]
    assert "\n".join(data) == fake_platform.complete_output("chat1")


@in_world
async def test_resumable_stream_continues_at_another_replica_within_one_response(world):
    replicas = [world.replica(f"i-{number}", "llm", models={"m": 2}.items()) for number in range(3)]
    for replica in replicas[:2]:
        replica.faults.break_after_events = 2
    world.configure(1, stream_route(resumable=True, maxAttempts=3))
    await world.start()
    answer = await world.call("POST", "/stream/x", b"", request_id="chat1", **{"X-Model": "m"})
    data = [line[6:] for line in answer.body.decode().split("\n") if line.startswith("data: ")]
    assert "\n".join(data) == fake_platform.complete_output("chat1")


@in_world
async def test_resumable_stream_moves_away_from_a_much_slower_replica(world):
    slow = world.replica("i-1", "llm", models={"m": 2}.items())
    slow.faults.slowdown_factor = 30.0
    world.configure(1, stream_route(resumable=True, maxAttempts=3, timeoutMs=9000))
    await world.start()
    request_id = next(f"chat{n}" for n in range(99) if fake_platform.event_count(f"chat{n}") >= 12)
    calling = asyncio.create_task(
        world.call("POST", "/stream/x", b"", request_id=request_id, deadline_ms=9000, **{"X-Model": "m"})
    )
    await world.until(lambda: slow.runs)
    fast = world.replica("i-2", "llm", models={"m": 2}.items())
    answer = await calling
    data = [line[6:] for line in answer.body.decode().split("\n") if line.startswith("data: ")]
    assert "\n".join(data) == fake_platform.complete_output(request_id)
    assert [run.completed for run in slow.runs + fast.runs] == [False, True]
    assert int(fast.runs[0].last_event_id) >= 4


@in_world
async def test_non_resumable_stream_ends_incomplete_when_its_replica_breaks_off(world):
    replicas = [world.replica(f"i-{number}", "llm", models={"m": 2}.items()) for number in range(2)]
    for replica in replicas:
        replica.faults.break_after_events = 2
    world.configure(1, stream_route(resumable=False, maxAttempts=3))
    await world.start()
    with pytest.raises(PassgateError):
        await world.call("POST", "/stream/x", b"", request_id="chat1", **{"X-Model": "m"})
    assert sum(len(replica.runs) for replica in replicas) == 1


@in_world
async def test_a_stream_refused_by_all_replicas_is_refused(world):
    world.replica("i-1", "llm", models={"m": 2}.items()).faults.refusing = True
    world.configure(1, stream_route(resumable=False, maxAttempts=3))
    await world.start()
    assert (await world.call("POST", "/stream/x", b"", request_id="chat1")).status == 503


@in_world
async def test_changed_settings_file_is_applied_and_an_invalid_one_ignored(world):
    world.configure(1, fake_platform.safe_route())
    await world.start()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "node.yaml")
        settings = world.daemon.settings
        addresses = (settings.front_address, settings.ready_address)
        path.write_text(fake_platform.settings_text("d1", world.log.address, *addresses))
        log = PlatformLog(world.http, "127.0.0.1:1")
        watcher = SettingsWatcher(world.daemon, log, str(path))
        path.write_text(fake_platform.settings_text("d1", world.log.address, *addresses, grace_s=5))
        watcher.reload()
        assert world.daemon.settings.stop_grace_s == 5
        assert (await log.newest("keyed.op", 0)).records
        path.write_text("node: [")
        watcher.reload()
        assert world.daemon.settings.stop_grace_s == 5


@in_world
async def test_long_keyed_topic_is_read_completely_despite_throttling(world):
    for number in range(1200):
        world.log.put("keyed.long", f"k{number:04}", {"n": number})
    log = PlatformLog(world.http, world.log.address)
    reading = asyncio.create_task(log.newest("keyed.long", 0))
    await world.until(lambda: world.log.call_count)
    world.log.faults.throttling = True
    await asyncio.sleep(0.3)
    world.log.faults.throttling = False
    calls = world.log.call_count
    assert len((await reading).records) == 1200
    assert world.log.call_count - calls <= 4


@in_world
async def test_a_long_output_moves_once_to_a_replica_that_is_somewhat_faster(world):
    slower = world.replica("i-1", "llm", models={"m": 1}.items(), event_s=0.09)
    world.configure(1, fake_platform.batch_route())
    await world.start()
    item_id = next(f"item{n}" for n in range(99) if fake_platform.event_count(f"item{n}") >= 13)
    with unittest.mock.patch.object(item_run, "LONG_OUTPUT_EVENTS", 4):
        await world.submit([item_id])
        await world.until(lambda: slower.runs)
        faster = world.replica("i-2", "llm", models={"m": 1}.items(), event_s=0.06)
        (row,) = await world.all_results("job1")
    assert row["text"] == fake_platform.complete_output(item_id)
    assert len(slower.runs) == 1
    assert [run.completed for run in faster.runs] == [True]


async def stop_under_load(world, *, stagger_s, calls_per_caller):
    """Stop the daemon while eight callers, started ``stagger_s`` apart, send requests one after another.

    Returns each request's identifier with its status, None for a request without a response.
    """
    statuses = {}

    async def send_requests(number):
        await asyncio.sleep(number * stagger_s)
        for step in range(calls_per_caller):
            request_id = f"r{number}-{step}"
            statuses[request_id] = None
            try:
                statuses[request_id] = (
                    await world.call("POST", "/call/x", b"", request_id=request_id)
                ).status
            except PassgateError:
                if world.task.done():
                    return

    callers = [asyncio.create_task(send_requests(number)) for number in range(8)]
    await asyncio.sleep(0.2)
    world.daemon.stop()
    await asyncio.gather(*callers)
    await world.task
    world.task = None
    return statuses


@in_world
async def test_graceful_shutdown_cuts_off_no_request_that_a_replica_received(world):
    app = world.replica("i-1", "app", work_s=0.03)
    world.configure(1, fake_platform.safe_route(maxAttempts=1))
    await world.start()
    with unittest.mock.patch.object(shutdown, "MIN_SERVING_S", 0.3):
        statuses = await stop_under_load(world, stagger_s=0.0, calls_per_caller=400)
    cut_off = [run.request_id for run in app.runs if statuses[run.request_id] != 200]
    assert cut_off == []
    assert set(statuses.values()) <= {200, 503, None}


@in_world
async def test_requests_in_flight_at_the_end_of_the_grace_period_are_answered(world):
    """Staggered callers keep a request in flight at all times, so the shutdown uses up its grace period."""
    app = world.replica("i-1", "app", work_s=0.1)
    world.configure(1, fake_platform.safe_route(maxAttempts=1))
    await world.start()
    world.daemon.settings = msgspec.structs.replace(world.daemon.settings, stop_grace_s=2.0)
    with unittest.mock.patch.object(shutdown, "MIN_SERVING_S", 0.3):
        statuses = await stop_under_load(world, stagger_s=0.013, calls_per_caller=100)
    assert [run.request_id for run in app.runs if statuses[run.request_id] != 200] == []


@in_world
async def test_slow_requests_in_flight_at_the_end_of_the_grace_period_are_answered(world):
    """Guards against accepting a request that can't be answered before the connections are closed."""
    app = world.replica("i-1", "app", work_s=1.2)
    world.configure(1, fake_platform.safe_route(maxAttempts=1, timeoutMs=2000))
    await world.start()
    world.daemon.settings = msgspec.structs.replace(world.daemon.settings, stop_grace_s=4.0)
    with unittest.mock.patch.object(shutdown, "MIN_SERVING_S", 0.3):
        statuses = await stop_under_load(world, stagger_s=0.15, calls_per_caller=20)
    assert [run.request_id for run in app.runs if statuses[run.request_id] != 200] == []


@in_world
async def test_request_received_after_draining_began_is_refused_as_not_run(world):
    app = world.replica("i-1", "app")
    world.configure(1, fake_platform.safe_route())
    await world.start()
    world.daemon._ingress.refuse_new_requests()
    answer = await world.call("POST", "/call/x", b"")
    assert (answer.status, app.runs) == (503, [])


@in_world
async def test_world_starts_when_its_first_port_is_taken(world):
    """Test processes that run in parallel choose from the same free ports."""
    with socket.socket() as other:
        other.bind(("127.0.0.1", 0))
        other.listen()
        occupied = f"127.0.0.1:{other.getsockname()[1]}"
        addresses = [occupied, free_address(), free_address(), free_address()]
        world.replica("i-1", "app")
        world.configure(1, fake_platform.safe_route())
        with unittest.mock.patch(f"{__name__}.free_address", side_effect=addresses):
            await world.start()
        assert world.daemon.ready()


@in_world
async def test_cold_replica_is_rate_limited_until_it_is_warm(world):
    per_s = 5
    replica = world.replica("i-1", "app", cold_ms=30_000)
    document = fake_platform.config_document(1, [fake_platform.safe_route()], ["app"])
    document["services"][0] |= {"coldStartS": 30, "coldPerS": per_s}
    world.log.put("keyed.op", "config", document)
    await world.start()
    for number in range(300):
        await world.call("POST", "/call/x", b"", request_id=f"r{number}")
        if len(replica.runs) >= 3 * per_s:
            break
    began_s = sorted(run.started_s for run in replica.runs)
    assert len(began_s) >= 3 * per_s
    assert all(later - first > 1.0 for first, later in zip(began_s, began_s[per_s:], strict=False))
    replica.cold_ms = 0
    replica.write_entry()
    await world.until(
        lambda: not world.daemon.replicas.cold_replicas.is_cold(info_of(world, "i-1"), loop_time_s())
    )
    answers = [await world.call("POST", "/call/x", b"", request_id=f"w{number}") for number in range(20)]
    assert {answer.status for answer in answers} == {200}


def info_of(world, replica_id):
    return world.daemon.replicas.get(replica_id).info


def loop_time_s():
    return asyncio.get_running_loop().time()
