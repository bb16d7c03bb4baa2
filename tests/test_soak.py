"""Checks of the soak itself: what its callers may conclude from answers."""

import asyncio
import json
import os
import random
import socket
import time
import types

import pytest

from passgate.clients.http_call import HttpCall
from passgate.daemon.http_client import make_http_client
from tests import fake_platform
from tests.fault_proxy import FaultProxy
from tests.soak import faults as faults_module
from tests.soak import world as world_module
from tests.soak.callers import Callers, SubmittedJob
from tests.soak.disturbances import RECOVERY_S, DisturbanceLog
from tests.soak.faults import Faults
from tests.soak.processes import PORT_BLOCK_SIZE, PortAllocator
from tests.soak.result_checker import ENDED_JOB_GRACE_S, ResultChecker
from tests.soak.world import Evacuation, World


class WorldStub:
    """A world without daemons, which only collects violations."""

    def __init__(self):
        self.random = random.Random(1)
        self.daemons = []
        self.stopping = False
        self.disturbances = DisturbanceLog()
        self.requests_of_ended_jobs = set()
        self.violations = []

    def random_daemon(self):
        return None

    def count(self, kind):
        pass

    def report_violation(self, message):
        self.violations.append(message)


async def test_a_job_with_an_unconfirmed_cancellation_need_not_be_complete():
    """An unconfirmed cancellation may take effect: the soak must not wait for the job's results."""
    world = WorldStub()
    callers = Callers(world)
    callers.jobs["j"] = SubmittedJob(items=["a"], min_version=1, accepted_s=1.0)
    answers = [504, 503, 200]

    async def send(daemon, method, path):
        return types.SimpleNamespace(status=answers.pop(0))

    callers.send = send
    await callers.cancel_job("j")
    assert callers.jobs["j"].is_cancelled and not answers
    world.stopping = True
    callers.jobs["j"].is_cancelled = False
    await ResultChecker(world, callers).wait_for_results()
    assert not world.violations


def test_soaks_at_the_same_time_use_different_ports():
    """Soaks of one seed used the same ports: a daemon that started again found its port taken."""
    allocators = [PortAllocator(), PortAllocator()]
    ports = [allocator.allocate_port() for allocator in allocators for _ in range(PORT_BLOCK_SIZE // 2)]
    assert len(set(ports)) == len(ports)


@pytest.mark.parametrize("keeps_identifier", [True, False])
async def test_a_crashed_replica_starts_again_in_its_zone(tmp_path, monkeypatch, keeps_identifier):
    """A replica whose restart failed was missed until its service had none left."""
    monkeypatch.setattr(world_module, "RESTART_DELAY_S", (0.0, 0.0))
    monkeypatch.setattr(world_module, "SAME_ID_SHARE", float(keeps_identifier))
    world = World(1, tmp_path, None, 0)
    replica = world.add_replica("app", "b")
    replica.crash()
    await asyncio.gather(*world.restarts)
    (restarted,) = world.replicas
    assert (restarted.service, restarted.zone, restarted.address) == ("app", "b", replica.address)
    assert (restarted.replica_id == replica.replica_id) == keeps_identifier
    assert restarted.replica_id in world.log.newest_values("keyed.servers")


async def test_a_failed_restart_of_a_replica_is_reported(tmp_path, monkeypatch):
    """The exception of a failed restart was lost with its task."""
    monkeypatch.setattr(world_module, "RESTART_DELAY_S", (0.0, 0.0))
    world = World(1, tmp_path, None, 0)
    replica = world.add_replica("app", "a")

    def fail(*arguments):
        raise OSError("address in use")

    monkeypatch.setattr(world, "add_replica", fail)
    replica.crash()
    await asyncio.gather(*world.restarts, return_exceptions=True)
    assert len(world.violations) == 1 and "address in use" in world.violations[0]


class EndedJob:
    """A job "j" with the item "a" that ended long before ``now_s``, in a world with the daemons d0 and d1."""

    def __init__(self):
        self.world = WorldStub()
        self.world.daemons = [types.SimpleNamespace(name="d0"), types.SimpleNamespace(name="d1")]
        self.callers = Callers(self.world)
        self.now_s = time.monotonic()
        self.callers.jobs["j"] = SubmittedJob(items=["a"], min_version=1, ended_s=self.now_s - 60.0)

    def violations_of(self, request_id, sender, received_s):
        """Return the violations that the check reports for one run."""
        run = types.SimpleNamespace(request_id=request_id, sender=sender, received_s=received_s)
        self.world.violations.clear()
        ResultChecker(self.world, self.callers)._check_ended_jobs({request_id: [run]})
        return list(self.world.violations)


@pytest.mark.parametrize("request_id", ["a", fake_platform.reward_id("a")])
async def test_an_undisturbed_daemon_must_not_send_items_of_an_ended_job(request_id):
    job = EndedJob()
    (violation,) = job.violations_of(request_id, "d0", job.now_s)
    assert violation == "['d0'] sent 1 requests of j up to 60.0 s after it ended"
    in_time_s = job.now_s - 60.0 + ENDED_JOB_GRACE_S
    assert not job.violations_of(request_id, "d0", in_time_s)
    assert job.violations_of(request_id, "d0", in_time_s + 0.01)


@pytest.mark.parametrize("target", ["d0", "everywhere"])
async def test_a_disturbance_excuses_late_items_until_the_recovery_time(target):
    job = EndedJob()
    with job.world.disturbances.record("cut", target):
        pass
    assert not job.violations_of("a", "d0", job.now_s + RECOVERY_S)
    assert job.violations_of("a", "d0", job.now_s + RECOVERY_S + 0.1)
    assert bool(job.violations_of("a", "d1", job.now_s + RECOVERY_S)) == (target == "d0")


async def test_a_late_item_of_an_unknown_sender_counts_if_no_daemon_was_disturbed():
    job = EndedJob()
    assert job.violations_of("a", "", job.now_s)
    with job.world.disturbances.record("kill", "d1"):
        pass
    assert not job.violations_of("a", "", job.now_s + 1.0)


async def test_a_job_has_ended_when_all_its_results_were_read_or_its_cancellation_was_confirmed():
    world = WorldStub()
    callers = Callers(world)
    for job_id in ("j1", "j2"):
        callers.jobs[job_id] = SubmittedJob(items=[f"{job_id}-0", f"{job_id}-1"], min_version=1)
    results = [
        {
            "id": f"j1-{n}",
            "state": "succeeded",
            "text": fake_platform.complete_output(f"j1-{n}"),
            "versions": [1],
        }
        for n in range(2)
    ]
    callers.record_results("j1", 0, {"total": 2, "results": results[:1]})
    assert not world.requests_of_ended_jobs and callers.jobs["j1"].ended_s == float("inf")
    callers.record_results("j1", 1, {"total": 2, "results": results[1:]})
    assert callers.jobs["j1"].ended_s <= time.monotonic()
    assert world.requests_of_ended_jobs == {"j1-0", "j1-1", "score-j1-0", "score-j1-1"}

    async def send(daemon, method, path):
        return types.SimpleNamespace(status=200)

    callers.send = send
    await callers.cancel_job("j2")
    assert callers.jobs["j2"].ended_s <= time.monotonic()
    assert {"j2-0", "score-j2-1"} < world.requests_of_ended_jobs
    assert not world.violations


@pytest.mark.parametrize("pid_is_sender", [True, False])
async def test_the_sender_of_an_ended_jobs_item_is_found_by_its_socket(tmp_path, pid_is_sender):
    world = World(1, tmp_path, None, 0)
    pid = os.getpid() if pid_is_sender else os.getppid()
    world.daemons = [types.SimpleNamespace(name="d0", incarnation=types.SimpleNamespace(pid=pid))]
    replica = world.add_replica("app", "a")
    world.requests_of_ended_jobs.add("late")
    for request_id in ("early", "late"):
        url = f"http://{replica.address}/call/x"
        await world.http.fetch(
            HttpCall(method="POST", url=url, body=b"", headers={"X-Attempt-Id": request_id})
        )
    assert [run.sender for run in replica.runs] == ["", "d0" if pid_is_sender else ""]
    assert all(run.received_s <= run.started_s for run in replica.runs)


async def test_the_cancellation_of_an_unknown_job_that_was_not_accepted_ends():
    """The cancellation was repeated for the rest of the run."""
    callers = Callers(WorldStub())
    callers.jobs["j"] = SubmittedJob(items=["a"], min_version=1)

    async def send(daemon, method, path):
        return types.SimpleNamespace(status=404)

    callers.send = send
    await asyncio.wait_for(callers.cancel_job("j"), 5.0)
    assert not callers.jobs["j"].is_cancelled and not callers.world.requests_of_ended_jobs


async def test_the_log_answers_chosen_clients_with_one_record_a_page():
    log = fake_platform.FakeLogService().start()
    proxies = [await FaultProxy(log.address, source_host=host).start() for host in ("127.1.0.1", "127.1.0.2")]
    log.single_record_clients.add("127.1.0.1")
    for key in ("a", "b", "c"):
        log.put("keyed.t", key, key)
    http = make_http_client()
    page_sizes = []
    for proxy in proxies:
        url = f"http://{proxy.address}/-/log-read?topic=keyed.t&part=0&from=1"
        body = (await http.fetch(HttpCall(method="GET", url=url))).body
        assert fake_platform.READ_HEADER.unpack(body[:16]) == (3, 0)
        url = f"http://{proxy.address}/-/log-newest?topic=keyed.t&part=0"
        newest = json.loads((await http.fetch(HttpCall(method="GET", url=url))).body)
        page_sizes.append(
            (len(fake_platform.decode_records(body[16:])), len(newest["requests"]), newest["more"])
        )
        await proxy.stop()
    assert page_sizes == [(1, 1, True), (2, 3, False)]


async def test_a_series_of_cuts_is_recorded_and_ends_whole(tmp_path, monkeypatch):
    monkeypatch.setattr(faults_module, "CUT_DURATION_S", (0.0, 0.0))
    monkeypatch.setattr(faults_module, "GAP_S", (0.0, 0.0))
    monkeypatch.setattr(faults_module, "SINGLE_RECORDS_MAX_S", 0.0)
    world = World(1, tmp_path, None, 1)
    callers = Callers(world)
    faults = Faults(world, callers)
    (daemon,) = world.daemons
    for _ in range(20):
        await faults.cut_owner_off_repeatedly()
    now_s = time.monotonic()
    assert not world.disturbances.was_undisturbed(daemon.name, now_s, now_s)
    assert world.disturbances.was_undisturbed(daemon.name, now_s + RECOVERY_S + 0.1, now_s + RECOVERY_S + 0.1)
    proxy = daemon.proxy
    assert not (proxy.drops_to_target or proxy.drops_from_target or proxy.refuses_connections)
    assert not world.log.single_record_clients


async def test_a_stall_of_the_soaks_own_loop_disturbs_all_daemons(tmp_path, monkeypatch):
    monkeypatch.setattr(world_module, "STALL_CHECK_INTERVAL_S", 0.0)
    monkeypatch.setattr(world_module, "MIN_STALL_S", 0.02)
    world = World(1, tmp_path, None, 0)
    monitor = asyncio.create_task(world._monitor_stalls())
    await asyncio.sleep(0)
    before_s = time.monotonic()
    time.sleep(0.05)  # blocks the loop
    while not world.longest_stall_s >= 0.02:
        await asyncio.sleep(0)
    monitor.cancel()
    assert not world.disturbances.was_undisturbed("d0", before_s, time.monotonic())
    assert world.count_by_kind["stall of the soak"] >= 1


@pytest.mark.parametrize(("received_s", "is_reported"), [(40.0, False), (66.0, True)])
async def test_a_request_counts_as_sent_when_it_arrives(received_s, is_reported):
    """An unresponsive replica that began a request after 30 s made its daemon break the time limits."""
    world = WorldStub()
    world.daemons = [types.SimpleNamespace(name="d0")]
    callers = Callers(world)
    callers.daemon_by_request["r1"] = "d0"
    run = types.SimpleNamespace(request_id="r1", received_s=received_s, started_s=70.0)
    replica = types.SimpleNamespace(replica_id="i-1", zone="b", runs=[run])
    world.evacuations = [Evacuation("b", started_s=57.0, ended_s=80.0)]
    world.removed_replicas, world.leaving_s_by_replica = [replica], {"i-1": 57.0}
    world.all_replicas = lambda: [replica]
    checker = ResultChecker(world, callers)
    checker._check_evacuations()
    checker._check_leaving_replicas()
    assert len(world.violations) == 2 * is_reported


async def test_the_soaks_servers_take_a_burst_of_connections_while_its_loop_is_busy():
    """With 60 daemons, connections that the log had not accepted piled up until files ran out."""
    log = fake_platform.FakeLogService().start()
    proxy = await FaultProxy(log.address).start()
    connections = []
    for address in (log.address, proxy.address):
        host, _, port = address.rpartition(":")
        connections += [socket.create_connection((host, int(port)), timeout=0.5) for _ in range(300)]
    for connection in connections:
        connection.close()
    await proxy.stop()
    await log.stop()
