"""Daemons over one log, and replicas that a request can crash; crashed replicas restart."""

import asyncio
import contextlib
import functools
import inspect

from passgate.clients.http_call import HttpCall, SendPolicy
from passgate.errors import PassgateError
from passgate.jobs.partitions import partition_of
from tests import fake_platform
from tests.test_platform_daemon import HOST, World, start_daemon_at_free_ports

CRASHING_BODY = b"crash"
RESTART_DELAY_S = 0.4
"""Time after which a crashed replica restarts."""


class CrashingWorld(World):
    """Stand-ins and daemons in one loop; a body in ``crashing_bodies`` crashes the replica that runs it."""

    def __init__(self):
        super().__init__()
        self.daemons = []
        self.tasks = []
        self.restart_tasks = []
        self.ended = []
        """Crashed replicas, in the order of their crashes."""
        self.started_count = 0
        """Number of replica processes started."""
        self.crashing_bodies = {CRASHING_BODY}
        self.crashes_left_by_body = {}
        """Number of further runs of a body that its replicas do not survive, by body."""
        self.crashing_loads = set()
        """Pairs of model and version whose load crashes a replica."""
        self.keep_replica_ids = False
        """Whether replicas restart with the same replica ID and report their start time."""

    def add_replica(self, service="app", port=0, replica_id="", **fields):
        """Start a replica with its own replica ID or, with ``keep_replica_ids``, its own start time."""
        self.started_count += 1
        fields.setdefault("work_s", 0.03)
        start_time_ms = 1_000 + self.started_count if self.keep_replica_ids else 0
        replica = fake_platform.FakeReplica(
            self.log,
            replica_id or f"i-{self.started_count}",
            service,
            started_unix_ms=start_time_ms,
            **fields,
        )
        replica.crashes_on = self._crashes
        replica.crashes_on_load = lambda model, version: (model, version) in self.crashing_loads
        replica.on_crash = lambda crashed: self._record_crash(crashed, fields)
        self.replicas[replica.replica_id] = replica.start(port)
        return replica

    def _crashes(self, request):
        """Return whether the replica of a request crashes, and count the crash if the body has some left."""
        left = self.crashes_left_by_body.get(request.body, 0)
        if left:
            self.crashes_left_by_body[request.body] = left - 1
        return bool(left) or request.body in self.crashing_bodies

    def _record_crash(self, replica, fields):
        self.ended.append(replica)
        task = asyncio.get_running_loop().create_task(self._restart(replica, fields))
        self.restart_tasks.append(task)

    async def _restart(self, replica, fields):
        await asyncio.sleep(RESTART_DELAY_S)
        port = int(replica.address.rpartition(":")[2])
        if self.keep_replica_ids:
            self.add_replica(replica.service, port, replica.replica_id, **fields)
            return
        self.log.put("keyed.servers", replica.replica_id, None)
        self.add_replica(replica.service, port, **fields)

    async def start_daemons(self, count):
        for _ in range(count):
            await self.start_named_daemon(f"d{len(self.daemons) + 1}")
        await self.until(lambda: all(daemon.ready() for daemon in self.daemons))

    async def start_named_daemon(self, name):
        daemon, task = await start_daemon_at_free_ports(name, self.log.address)
        self.daemons.append(daemon)
        self.tasks.append(task)

    async def kill_daemons(self):
        """Kill all daemons; their state in memory is lost."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.daemons, self.tasks = [], []

    async def send_request(self, daemon, body, request_id, path="/call/x", method="POST", **headers):
        """Send a request; return its answer, or None if the connection ended without one."""
        call = HttpCall(
            method=method,
            url=f"http://{daemon.settings.front_address}{path}",
            body=body,
            headers={"Host": HOST, "X-Attempt-Id": request_id, "X-Deadline-Ms": "1500"} | headers,
            send=SendPolicy.ONCE,
            timeout_s=3.0,
        )
        with contextlib.suppress(PassgateError):
            return await self.http.fetch(call)
        return None

    async def send_crashing_request(self, times, gap_s, prefix="crash", path="/call/x"):
        """Send the crashing request several times, to the daemons in turn; return the answers."""
        answers = []
        for number in range(times):
            daemon = self.daemons[number % len(self.daemons)]
            answers.append(await self.send_request(daemon, CRASHING_BODY, f"{prefix}-{number}", path))
            await asyncio.sleep(gap_s)
        return answers

    async def hosts_of(self, daemon, hosts):
        """Return those of the hosts whose jobs a daemon owns."""
        partitions = daemon.settings.log_parts
        await self.until(
            lambda: any(daemon.job_partitions.is_watcher_of(partition) for partition in range(partitions))
        )
        return [host for host in hosts if daemon.job_partitions.is_watcher_of(partition_of(host, partitions))]

    async def submit_to(self, host, job_id, items):
        """Submit a job under a host; later calls of the world for results go to that host."""
        self.daemon, self.host = self.daemons[0], host
        answer = await self.send_request(
            self.daemon, fake_platform.job_body(items), job_id, "/stream/j", Host=host
        )
        assert answer.status == 202

    async def close(self):
        await self.kill_daemons()
        for task in self.restart_tasks:
            task.cancel()
        await super().close()


def in_crashing_world(test):
    """Run a coroutine test with a `CrashingWorld` as its first argument."""

    @functools.wraps(test)
    def run(**parameters):
        async def main():
            world = CrashingWorld()
            try:
                await test(world, **parameters)
            finally:
                await world.close()

        asyncio.run(main())

    parameters = list(inspect.signature(test).parameters.values())[1:]
    run.__signature__ = inspect.Signature(parameters)
    return run
