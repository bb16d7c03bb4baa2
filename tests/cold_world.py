"""Daemons that send to cold replicas, in virtual time: a lease that passes on, cuts, freezes, ends."""

import asyncio
import random

import msgspec

from passgate.clock import monotonic_s
from passgate.decisions import DecisionLog
from passgate.eligibility.cold_replicas import ColdLimit
from passgate.eligibility.permit_grantor import PermitGrantor
from passgate.eligibility.permit_peers import PERMITS_METHOD, TICK_S, PermitPeers
from passgate.eligibility.places import Places
from passgate.eligibility.replica_info import ReplicaInfo
from passgate.eligibility.rules import ANY_REQUEST
from passgate.errors import SendForbidden
from passgate.gateway.replicas import FULL_LOAD, ChoiceRequest, ReplicaTable
from passgate.peers.memory_transport import MemoryNetwork

LIMIT = ColdLimit(lasts_s=3.0, most_per_s=29)
WISH = ChoiceRequest(services=frozenset({"s"}), load_below=FULL_LOAD)
SLOTS = 6
RUN_S = 0.15
"""Time that a request takes at a replica."""


class Lead:
    """What one daemon believes of the lease."""

    def __init__(self):
        self.fence = -1
        self.until_s = float("-inf")

    def take(self, fence, until_s=float("inf")):
        self.fence, self.until_s = fence, until_s

    def may_order(self):
        return monotonic_s() < self.until_s


class Daemon:
    def __init__(self, world, number):
        self.world = world
        self.transport = world.network.transport(f"d{number}:7720", "z")
        self.name = f"d{number}@{self.transport.address}"
        self.lead = Lead()
        self.table = ReplicaTable(Places(zone="z"), seed=number)
        self.table.cold.limit_of = {"s": LIMIT}.get
        self.frozen = False
        self.log_age_s = lambda: 0.0
        self.told_leader = ""
        self.grantor = PermitGrantor(
            self.lead,
            lambda: world.leader,
            {"s": LIMIT}.get,
            self._cold_ms,
            self.table.permits.tally,
            DecisionLog("d", write=len),
        )
        self.peers = PermitPeers(
            self.transport,
            self.grantor,
            self.table.permits,
            self.table.cold,
            self._watcher,
            self._others,
            lambda: self.log_age_s(),
        )
        self.tasks = []
        self.sent = {}
        """Replica to the times at which this daemon sent there."""

    def _cold_ms(self):
        now_s = monotonic_s()
        left = {
            state.info.replica_id: self.table.cold.left_s(state.info, now_s) for state in self.table.all()
        }
        return {key: round(left_s * 1000) for key, left_s in left.items() if left_s > 0}

    async def _watcher(self):
        return self.world.daemons[0].name

    def _others(self):
        return [daemon.name for daemon in self.world.daemons]

    async def _answer(self, sender, method, payload):
        assert method == PERMITS_METHOD
        return self.peers.answer(sender, payload)

    def start(self):
        self.transport.start(lambda sender, payload: None, self._answer)
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.peers.run()), loop.create_task(self._tick())]

    async def _tick(self):
        while True:
            if not self.frozen:
                self.grantor.tick()
            await asyncio.sleep(TICK_S)

    async def load(self, waiting):
        """Send ``waiting`` requests at a time for as long as the world runs."""
        await asyncio.gather(*(self._send_often() for _ in range(waiting)))

    async def _send_often(self):
        while True:
            state = None if self.frozen else self.table.choose(WISH, monotonic_s())
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
            self.table.rules.admit(state.info, ANY_REQUEST, monotonic_s())
        except SendForbidden:
            await asyncio.sleep(0.02)
            return
        for sent in (self.sent, self.world.sent):
            sent.setdefault(state.info.replica_id, []).append(monotonic_s())
        await asyncio.sleep(RUN_S)

    def freeze(self):
        self.frozen = True
        self.transport.pause()

    def wake(self):
        self.frozen = False
        self.transport.resume()

    async def kill(self):
        for task in self.tasks:
            task.cancel()
        self.lead.until_s = float("-inf")
        await self.transport.close()


class World:
    """Some daemons that know some replicas, and when each request was sent."""

    def __init__(self, daemons=12, replicas=3, seed=1):
        self.network = MemoryNetwork(random.Random(seed))
        self.sent = {}
        self.leader = ""
        self.daemons = []
        self.daemons.extend(Daemon(self, number) for number in range(daemons))
        self.infos = [
            ReplicaInfo(replica_id=f"r{number}", service="s", address=f"h:{number}", zone="z", slots=SLOTS)
            for number in range(replicas)
        ]
        for daemon in self.daemons:
            daemon.start()

    def entries(self, cold_ms, daemons=None):
        """Let daemons read the entries of all replicas."""
        for daemon in self.daemons if daemons is None else daemons:
            for info in self.infos:
                daemon.table.entry_read(msgspec.structs.replace(info, cold_ms=cold_ms), monotonic_s())

    def lead(self, number, fence, until_s=float("inf")):
        self.daemons[number].lead.take(fence, until_s)
        self.leader = self.daemons[number].name

    def load(self, waiting, daemons=None):
        loop = asyncio.get_running_loop()
        for daemon in self.daemons if daemons is None else daemons:
            daemon.tasks.append(loop.create_task(daemon.load(waiting)))

    @property
    def served(self):
        return sum(len(times) for times in self.sent.values())

    @property
    def worst_second(self):
        """Most requests that were sent to one replica within one second."""
        return max((worst_window(times) for times in self.sent.values()), default=0)


def worst_window(times, window_s=1.0):
    times = sorted(times)
    first, worst = 0, 0
    for last, time_s in enumerate(times):
        while time_s - times[first] > window_s:
            first += 1
        worst = max(worst, last - first + 1)
    return worst
