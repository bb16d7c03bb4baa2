"""Test daemons that send to cold replicas in virtual time, with a lease that changes holders, network cuts,
freezes and kills."""

import asyncio
import random

import msgspec

from passgate.clock import monotonic_s
from passgate.daemon.cold_permits import STALE_LOG_AGE_S
from passgate.decisions import DecisionLog
from passgate.eligibility.cold_replicas import ColdLimit
from passgate.eligibility.permit_client import CHECK_INTERVAL_S, PERMITS_METHOD, PermitClient
from passgate.eligibility.permit_issuer import PermitIssuer
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.rules import ANY_REGION_REQUEST
from passgate.eligibility.topology import Topology
from passgate.errors import SendForbidden
from passgate.gateway.replica_state import FULL_LOAD, ReplicaQuery
from passgate.gateway.replica_table import ReplicaTable
from passgate.peers.memory_transport import MemoryNetwork

LIMIT = ColdLimit(max_duration_s=3.0, max_requests_per_s=29)
QUERY = ReplicaQuery(services=frozenset({"s"}), load_below=FULL_LOAD)
SLOTS = 6
REQUEST_DURATION_S = 0.15
"""Time that a replica takes for a request."""


class StubLease:
    """The leader's lease as one daemon believes it to be."""

    def __init__(self):
        self.fence = -1
        self.valid_until_s = float("-inf")

    def acquire(self, fence, valid_until_s=float("inf")):
        self.fence, self.valid_until_s = fence, valid_until_s

    def may_order(self):
        return monotonic_s() < self.valid_until_s


class Daemon:
    """A daemon's replica table, permit issuer and permit client."""

    def __init__(self, world, number):
        self.world = world
        self.transport = world.network.transport(f"d{number}:7720", "z")
        self.name = f"d{number}@{self.transport.address}"
        self.lease = StubLease()
        self.table = ReplicaTable(Topology(zone="z"), seed=number)
        self.table.cold_replicas.limit_of = {"s": LIMIT}.get
        self.frozen = False
        self.log_age_s = lambda: 0.0
        self.reported_leader = ""
        self.issuer = PermitIssuer(
            self.lease,
            lambda: world.leader,
            {"s": LIMIT}.get,
            self._cold_ms,
            self.table.permit_pool.counters,
            DecisionLog("d", write=len),
        )
        self.peers = PermitClient(
            self.transport,
            self.issuer,
            self.table.permit_pool,
            self.table.cold_replicas,
            self._watcher,
            self._others,
            lambda: self.log_age_s() >= STALE_LOG_AGE_S,
        )
        self.tasks = []
        self.send_times_s_by_id = {}
        """Replica ID to the loop times at which this daemon sent a request there."""

    def _cold_ms(self):
        now_s = monotonic_s()
        remaining_s_by_id = {
            state.info.replica_id: self.table.cold_replicas.remaining_cold_s(state.info, now_s)
            for state in self.table.all()
        }
        return {key: round(left_s * 1000) for key, left_s in remaining_s_by_id.items() if left_s > 0}

    async def _watcher(self):
        return self.world.daemons[0].name

    def _others(self):
        return [daemon.name for daemon in self.world.daemons]

    async def _answer(self, sender, method, payload):
        assert method == PERMITS_METHOD
        return self.peers.handle_request(sender, payload)

    def start(self):
        self.transport.start(lambda sender, payload: None, self._answer)
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.peers.run()), loop.create_task(self._tick())]

    async def _tick(self):
        while True:
            if not self.frozen:
                self.issuer.update()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def send_requests(self, concurrency):
        """Send requests, ``concurrency`` at a time, until cancelled."""
        await asyncio.gather(*(self._send_repeatedly() for _ in range(concurrency)))

    async def _send_repeatedly(self):
        while True:
            state = None if self.frozen else self.table.choose(QUERY, monotonic_s())
            if state is None:
                await asyncio.sleep(0.01)
                continue
            state.in_flight += 1
            try:
                await asyncio.sleep(0)
                await self._send(state)
            finally:
                state.in_flight -= 1

    async def _send(self, state):
        try:
            self.table.send_rules.admit(state.info, ANY_REGION_REQUEST, monotonic_s())
        except SendForbidden:
            await asyncio.sleep(0.02)
            return
        for send_times_s_by_id in (self.send_times_s_by_id, self.world.send_times_s_by_id):
            send_times_s_by_id.setdefault(state.info.replica_id, []).append(monotonic_s())
        await asyncio.sleep(REQUEST_DURATION_S)

    def freeze(self):
        self.frozen = True
        self.transport.pause()

    def resume(self):
        self.frozen = False
        self.transport.resume()

    async def kill(self):
        for task in self.tasks:
            task.cancel()
        self.lease.valid_until_s = float("-inf")
        await self.transport.close()


class World:
    """Daemons that know the same replicas, and the times at which all requests were sent."""

    def __init__(self, daemons=12, replicas=3, seed=1):
        self.network = MemoryNetwork(random.Random(seed))
        self.send_times_s_by_id = {}
        self.leader = ""
        self.daemons = []
        self.daemons.extend(Daemon(self, number) for number in range(daemons))
        self.infos = [
            ReplicaInfo(replica_id=f"r{number}", service="s", address=f"h:{number}", zone="z", slots=SLOTS)
            for number in range(replicas)
        ]
        for daemon in self.daemons:
            daemon.start()

    def read_entries(self, cold_ms, daemons=None):
        """Make daemons read a discovery entry of every replica."""
        for daemon in self.daemons if daemons is None else daemons:
            for info in self.infos:
                daemon.table.apply_entry(msgspec.structs.replace(info, cold_ms=cold_ms), monotonic_s())

    def set_leader(self, number, fence, valid_until_s=float("inf")):
        self.daemons[number].lease.acquire(fence, valid_until_s)
        self.leader = self.daemons[number].name

    def start_requests(self, concurrency, daemons=None):
        loop = asyncio.get_running_loop()
        for daemon in self.daemons if daemons is None else daemons:
            daemon.tasks.append(loop.create_task(daemon.send_requests(concurrency)))

    @property
    def served(self):
        return sum(len(times_s) for times_s in self.send_times_s_by_id.values())

    @property
    def max_sends_per_s(self):
        """Most requests that were sent to one replica within any second."""
        return max((max_sends_in_window(times_s) for times_s in self.send_times_s_by_id.values()), default=0)


def max_sends_in_window(times_s, window_s=1.0):
    times_s = sorted(times_s)
    first, most = 0, 0
    for last, time_s in enumerate(times_s):
        while time_s - times_s[first] > window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
