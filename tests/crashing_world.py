"""Several daemons over one log, and replicas that a request can end; they come back, mostly under new ids."""

import asyncio
import contextlib
import functools
import inspect

from passgate.clients.calls import HttpCall, SendPolicy
from passgate.errors import PassgateError
from passgate.jobs.shards import partition_of
from tests import platform_stand_ins as stand_ins
from tests.test_platform_daemon import HOST, World, start_daemon_anywhere

CRASHING_BODY = b"crash"
BACK_AFTER_S = 0.4
"""Time for which a replica is away that a request has ended."""


class CrashingWorld(World):
    """Stand-ins and daemons, in one loop; the body ``crash`` ends the replica that runs it."""

    def __init__(self):
        super().__init__()
        self.daemons = []
        self.tasks = []
        self.restarts = []
        self.ended = []
        """Replicas that a request has ended, in order."""
        self.started = 0
        self.crashing_bodies = {CRASHING_BODY}
        self.crashing_loads = set()
        """Models and versions whose load ends a replica."""
        self.same_ids = False
        """Whether replicas start again under the identifier that they had, and tell when they started."""

    def add_replica(self, service="app", port=0, replica_id="", **fields):
        """Start a replica; every life has an id of its own, or at least a start of its own."""
        self.started += 1
        fields.setdefault("work_s", 0.03)
        born = 1_000 + self.started if self.same_ids else 0
        replica = stand_ins.Replica(self.log, replica_id or f"i-{self.started}", service, born=born, **fields)
        replica.crash_on = lambda request: request.body in self.crashing_bodies
        replica.crash_on_load = lambda model, version: (model, version) in self.crashing_loads
        replica.on_end = lambda ended: self._note_end(ended, fields)
        self.replicas[replica.replica_id] = replica.start(port)
        return replica

    def _note_end(self, replica, fields):
        self.ended.append(replica)
        task = asyncio.get_running_loop().create_task(self._restart(replica, fields))
        self.restarts.append(task)

    async def _restart(self, replica, fields):
        await asyncio.sleep(BACK_AFTER_S)
        port = int(replica.address.rpartition(":")[2])
        if self.same_ids:
            self.add_replica(replica.service, port, replica.replica_id, **fields)
            return
        self.log.put("keyed.servers", replica.replica_id, None)
        self.add_replica(replica.service, port, **fields)

    async def start_daemons(self, count):
        for _ in range(count):
            await self.start_one(f"d{len(self.daemons) + 1}")
        await self.until(lambda: all(daemon.ready() for daemon in self.daemons))

    async def start_one(self, name):
        daemon, task = await start_daemon_anywhere(name, self.log.address)
        self.daemons.append(daemon)
        self.tasks.append(task)

    async def kill_daemons(self):
        """End all daemons without a word; what they knew is gone."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.daemons, self.tasks = [], []

    async def ask(self, daemon, body, request_id, path="/call/x", method="POST", **headers):
        """Return the status of a request; None when the connection ended without an answer."""
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

    async def crash_again_and_again(self, times, gap_s, prefix="crash", path="/call/x"):
        """Send the crashing request as several tries, to one daemon after the other."""
        answers = []
        for number in range(times):
            daemon = self.daemons[number % len(self.daemons)]
            answers.append(await self.ask(daemon, CRASHING_BODY, f"{prefix}-{number}", path))
            await asyncio.sleep(gap_s)
        return answers

    async def hosts_of(self, daemon, hosts):
        """Return the hosts whose jobs a daemon owns."""
        parts = daemon.settings.log_parts
        await self.until(lambda: any(daemon.shards.watches(part) for part in range(parts)))
        return [host for host in hosts if daemon.shards.watches(partition_of(host, parts))]

    async def submit_to(self, host, job_id, items):
        """Submit a job under a host, which then is asked for results."""
        self.daemon, self.host = self.daemons[0], host
        answer = await self.ask(self.daemon, stand_ins.job_body(items), job_id, "/stream/j", Host=host)
        assert answer.status == 202

    async def close(self):
        await self.kill_daemons()
        for task in self.restarts:
            task.cancel()
        await super().close()


def in_crashing_world(test):
    """Run a coroutine test with such a world."""

    @functools.wraps(test)
    def run(**parameters):
        async def main():
            world = CrashingWorld()
            try:
                await test(world, **parameters)
            finally:
                await world.close()

        asyncio.run(main())

    taken = list(inspect.signature(test).parameters.values())[1:]
    run.__signature__ = inspect.Signature(taken)
    return run
