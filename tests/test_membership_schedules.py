"""Membership of small clusters under schedules of crashes, restarts, pauses and network partitions."""

import asyncio
from random import Random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from passgate.clock import new_virtual_loop
from passgate.membership.agent import MembershipAgent
from passgate.membership.messages import MemberInfo, MemberState
from passgate.peers.memory_transport import MemoryNetwork

DAEMONS = 4
CONVERGENCE_TIME_S = 60


class Kill(msgspec.Struct):
    index: int


class Restart(msgspec.Struct):
    index: int


class Leave(msgspec.Struct):
    index: int


class Pause(msgspec.Struct):
    index: int
    seconds: int


class Partition(msgspec.Struct):
    side: frozenset[int]
    seconds: int


class PublishMetadata(msgspec.Struct):
    index: int


INDEX = st.integers(0, DAEMONS - 1)
STEP = st.one_of(
    st.builds(Kill, INDEX),
    st.builds(Restart, INDEX),
    st.builds(Leave, INDEX),
    st.builds(Pause, INDEX, st.sampled_from([2, 20])),
    st.builds(Partition, st.frozensets(INDEX, min_size=1, max_size=DAEMONS - 1), st.sampled_from([3, 30])),
    st.builds(PublishMetadata, INDEX),
)


class Cluster:
    def __init__(self, seed: int, loss: float):
        self.seed = seed
        self.network = MemoryNetwork(Random(seed))
        self.network.loss = loss
        self.agents: list[MembershipAgent | None] = [None] * DAEMONS
        self.transports = [None] * DAEMONS
        self.running: set[int] = set()
        self.start_count = 0
        self.last_published = 0
        self.highest_precedence: dict[tuple[int, str], tuple[int, int]] = {}
        for index in range(DAEMONS):
            self.start_daemon(index)

    def address_of(self, index: int) -> str:
        return f"10.0.0.{index}:1"

    def start_daemon(self, index: int) -> None:
        self.start_count += 1
        transport = self.network.transport(self.address_of(index), f"zone-{index % 2}")
        own = MemberInfo(member_id=f"d{index}", address=transport.address, zone=transport.zone)
        random = Random(f"{self.seed}/{self.start_count}")
        agent = MembershipAgent(own, transport, random, call_later=transport.call_later)
        agent.start()
        agent.join([self.address_of(other) for other in range(DAEMONS) if other != index])
        self.agents[index], self.transports[index] = agent, transport
        self.running.add(index)
        self.highest_precedence = {
            key: precedence for key, precedence in self.highest_precedence.items() if key[0] != index
        }

    async def kill_daemon(self, index: int) -> None:
        self.running.discard(index)
        await self.agents[index].close()

    async def apply(self, step) -> None:
        match step:
            case Kill(index):
                await self.kill_daemon(index)
            case Restart(index):
                await self.kill_daemon(index)
                self.start_daemon(index)
            case Leave(index) if index in self.running:
                await self.agents[index].leave(1.0)
                await self.kill_daemon(index)
            case Pause(index, seconds):
                self.transports[index].pause()
                await self.run_for(seconds)
                self.transports[index].resume()
            case Partition(side, seconds):
                sides = {self.address_of(index) for index in side}
                self.network.cut(lambda address, _zone: address in sides)
                await self.run_for(seconds)
                self.network.heal()
            case PublishMetadata(index):
                self.last_published += 1
                self.agents[index].set_metadata("value", str(self.last_published))

    async def run_for(self, seconds: float) -> None:
        for _ in range(int(seconds * 2)):
            await asyncio.sleep(0.5)
            self.check_views_move_forward()

    def check_views_move_forward(self) -> None:
        for index in self.running:
            for view in self.agents[index].members():
                key = (index, view.member_id)
                assert view.precedence() >= self.highest_precedence.get(key, (0, 0)), (
                    "a view was replaced by an older one"
                )
                self.highest_precedence[key] = view.precedence()

    def check_agreement(self) -> None:
        expected = {f"d{index}" for index in self.running}
        for index in self.running:
            agent = self.agents[index]
            assert {view.member_id for view in agent.members() if agent.is_alive(view.member_id)} == expected
            for other in self.running:
                own = self.agents[other].self_info
                view = agent.get(own.member_id)
                assert (view.incarnation, view.metadata) == (own.incarnation, own.metadata)
                assert view.state is MemberState.ALIVE


def run_in_virtual_time(coroutine) -> None:
    loop = new_virtual_loop()
    try:
        loop.run_until_complete(coroutine)
    finally:
        loop.close()


async def run_schedule(seed: int, loss: float, steps) -> None:
    cluster = Cluster(seed, loss)
    await cluster.run_for(5)
    for step in steps:
        await cluster.apply(step)
        await cluster.run_for(2)
    cluster.network.loss = 0.0
    await cluster.run_for(CONVERGENCE_TIME_S)
    cluster.check_agreement()
    for index in list(cluster.running):
        await cluster.kill_daemon(index)


@settings(max_examples=8, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 1000), st.sampled_from([0.0, 0.05]), st.lists(STEP, min_size=1, max_size=5))
def test_any_failure_schedule_converges_and_views_never_go_back(seed, loss, steps):
    run_in_virtual_time(run_schedule(seed, loss, steps))


def test_clusters_merge_after_a_partition_and_keep_the_newest_metadata():
    async def scenario():
        cluster = Cluster(seed=3, loss=0.0)
        await cluster.run_for(5)
        await cluster.apply(PublishMetadata(0))
        await cluster.run_for(5)
        cluster.network.cut(lambda address, _zone: address == cluster.address_of(0))
        await cluster.run_for(40)
        assert not cluster.agents[1].is_alive("d0")
        cluster.agents[0].set_metadata("value", "newest")
        cluster.network.heal()
        await cluster.run_for(60)
        cluster.check_agreement()
        assert cluster.agents[1].get("d0").metadata == {"value": "newest"}

    run_in_virtual_time(scenario())


def test_member_paused_for_two_seconds_is_never_declared_dead():
    async def scenario():
        cluster = Cluster(seed=1, loss=0.05)
        await cluster.run_for(5)
        for turn in range(8):
            await cluster.apply(Pause(turn % DAEMONS, 2))
            await cluster.run_for(3)
        assert sum(agent.counters.deaths for agent in cluster.agents) == 0

    run_in_virtual_time(scenario())
