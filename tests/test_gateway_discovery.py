"""Long lists of replicas: a few relays read them for all, and no change is late or lost."""

import asyncio
import random

import msgspec
import pytest

from passgate.clock import run_virtual
from passgate.decisions import DecisionLog
from passgate.emulator.shared_log import MemorySharedLog, SharedLogFaults
from passgate.gateway.discovery import RELAYS, Discovery, DiscoveryNews, DiscoveryView, ReplicaDecoder
from passgate.gateway.replicas import ReplicaInfo, ReplicaTable

LIMIT = 20
RAW, RELAYED = "keyed.raw", "keyed.relayed"
DRAIN_S = 2.0


class Decoder(ReplicaDecoder):
    def decode(self, record):
        return msgspec.json.decode(record.value, type=ReplicaInfo)


def info(number, **fields):
    return ReplicaInfo(
        replica_id=f"r{number}", service="s", address=f"h:{number}", zone="z", slots=4, **fields
    )


def tell(log, number, **fields):
    log.put_keyed(RAW, f"r{number}", msgspec.json.encode(info(number, **fields)))


class Node:
    def __init__(self, log, number):
        decisions = DecisionLog(f"d{number}", write=len)
        self.table = ReplicaTable("z")
        self.discovery = Discovery(
            log.client(f"d{number}"),
            RAW,
            RELAYED,
            Decoder(),
            DiscoveryView(self.table, decisions),
            f"d{number}",
            decisions,
            direct_limit=LIMIT,
            seed=number,
        )
        self.task = asyncio.get_running_loop().create_task(self.discovery.run())

    async def kill(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


async def beat(log, count, drained, gone):
    """Let all replicas write again and again, as they do in earnest."""
    while True:
        for number in range(count):
            if number not in gone:
                tell(log, number, draining=number in drained)
        await asyncio.sleep(1.2)


def test_older_news_than_what_is_known_is_ignored():
    table = ReplicaTable("z")

    async def main():
        view = DiscoveryView(table, DecisionLog("d", write=len))
        assert view.take(DiscoveryNews(replica_id="r1", at=5, info=info(1, draining=True)))
        assert not view.take(DiscoveryNews(replica_id="r1", at=4, info=info(1)))
        assert table.get("r1").info.draining
        assert view.take(DiscoveryNews(replica_id="r1", at=6))
        assert not view.take(DiscoveryNews(replica_id="r1", at=5, info=info(1)))
        assert table.get("r1") is None

    run_virtual(main())


def test_a_short_list_is_read_by_each_daemon():
    async def main():
        log = MemorySharedLog()
        for number in range(LIMIT):
            tell(log, number)
        nodes = [Node(log, number) for number in range(3)]
        await asyncio.sleep(2.0)
        assert all(len(node.table.all()) == LIMIT for node in nodes)
        assert not any(node.discovery.relaying for node in nodes)
        for node in nodes:
            await node.kill()

    run_virtual(main())


@pytest.mark.parametrize("seed", range(8))
def test_changes_of_a_long_list_reach_all_in_time_while_relays_are_lost(seed):
    async def main():
        chance = random.Random(seed)
        log = MemorySharedLog(seed)
        drained, gone = set(), set()
        beating = asyncio.create_task(beat(log, 60, drained, gone))
        nodes = [Node(log, number) for number in range(8)]
        await asyncio.sleep(12.0)
        for _ in range(12):
            relays = [node for node in nodes if node.discovery.relaying]
            assert 1 <= len(relays) <= RELAYS + 1
            if chance.random() < 0.4:
                victim = chance.choice(relays)
                await victim.kill()
                nodes[nodes.index(victim)] = Node(log, 100 + nodes.index(victim))
            number = chance.choice([n for n in range(60) if n not in drained])
            drained.add(number)
            tell(log, number, draining=True)
            await asyncio.sleep(DRAIN_S)
            judged = [node for node in nodes if node.discovery.loaded]
            assert len(judged) >= len(nodes) - 1
            assert all(node.table.get(f"r{number}").info.draining for node in judged)
        beating.cancel()
        for node in nodes:
            await node.kill()

    run_virtual(main())


def test_relays_read_what_the_others_do_not():
    async def main():
        log = MemorySharedLog()
        beating = asyncio.create_task(beat(log, 60, set(), set()))
        nodes = [Node(log, number) for number in range(8)]
        await asyncio.sleep(15.0)
        relays = [node for node in nodes if node.discovery.relaying]
        assert len(relays) == RELAYS
        assert sum(node.discovery._direct is not None for node in nodes) == RELAYS
        beating.cancel()
        for node in nodes:
            await node.kill()

    run_virtual(main())


def test_an_outage_of_the_log_leaves_the_last_list_in_force():
    async def main():
        log = MemorySharedLog()
        drained = set()
        beating = asyncio.create_task(beat(log, 60, drained, set()))
        nodes = [Node(log, number) for number in range(4)]
        await asyncio.sleep(10.0)
        log.faults = SharedLogFaults(silent=True)
        await asyncio.sleep(6.0)
        assert all(len(node.table.all()) == 60 for node in nodes)
        log.faults = SharedLogFaults()
        await asyncio.sleep(6.0)
        drained.add(7)
        tell(log, 7, draining=True)
        await asyncio.sleep(DRAIN_S)
        assert all(node.table.get("r7").info.draining for node in nodes)
        beating.cancel()
        for node in nodes:
            await node.kill()

    run_virtual(main())


@pytest.mark.parametrize("away_s", [3.0, 4.3, 6.0])
def test_entries_that_lapsed_while_the_log_was_away_may_come_back(away_s):
    """The last list serves on for 2 s after the log's return; who is missing then is gone."""

    async def main():
        log = MemorySharedLog()
        for number in range(3):
            tell(log, number, draining=number == 2)
        node = Node(log, 0)
        await asyncio.sleep(1.0)
        assert len(node.table.all()) == 3
        log.faults = SharedLogFaults(silent=True)
        await asyncio.sleep(away_s)
        for number in range(3):
            log.put_keyed(RAW, f"r{number}", b"")
        log.faults = SharedLogFaults()
        await asyncio.sleep(1.2)
        assert {state.info.replica_id for state in node.table.all()} == {"r0", "r1"}
        tell(log, 0)
        await asyncio.sleep(2.0)
        assert {state.info.replica_id for state in node.table.all()} == {"r0"}
        await node.kill()

    run_virtual(main())


def test_an_entry_that_goes_in_steady_state_is_gone_at_once():
    async def main():
        log = MemorySharedLog()
        tell(log, 0)
        node = Node(log, 0)
        await asyncio.sleep(6.0)
        log.put_keyed(RAW, "r0", b"")
        await asyncio.sleep(0.6)
        assert not node.table.all()
        await node.kill()

    run_virtual(main())
