"""Ways to treat cold replicas, compared: nothing until they are warm, even shares, and permits.

``python -m tests.cold_comparison`` prints the table of docs/design/eligibility.md.  A zone of six replicas
comes back and stays cold for eight seconds; three of 24 daemons run jobs, the others have nothing for it.
With ``--all`` each of the others has one request waiting at all times; ``--questions`` prints
what the questions of many daemons with requests cost.
"""

import asyncio
import enum
import sys
from collections.abc import Awaitable, Callable

import msgspec

from passgate.clock import monotonic_s, run_virtual
from passgate.eligibility.permits import SPAN_S
from tests.cold_world import LIMIT, World

COLD_S = 8.0
LEASE_S = 1.8
"""Time for which a leader that is cut off may still grant."""
TAKEOVER_S = 3.5
"""Silence after which another daemon takes the lead."""


class Way(enum.Enum):
    NOTHING = "nothing until warm"
    EVEN_SHARE = "even share"
    PERMITS = "permits"


class Outcome(msgspec.Struct, frozen=True):
    served: int
    worst_second: int


async def none(world):
    """Nothing fails."""


async def third_cut(world):
    """A third of the daemons is cut off from the others, one of those with jobs among them."""
    cut = {daemon.transport.address for daemon in world.daemons[3:11]}
    world.network.cut(lambda address, zone: address in cut)
    for daemon in world.daemons[3:11]:
        daemon.log_age_s = lambda: 10.0


async def grantor_cut(world):
    """The grantor is cut off with a busy daemon; both sides have a leader, one after the other."""
    old = {daemon.transport.address for daemon in world.daemons[:2]}
    world.network.cut(lambda address, zone: address in old)
    world.daemons[0].lead.until_s = monotonic_s() + LEASE_S
    await asyncio.sleep(TAKEOVER_S)
    world.lead(9, fence=2)


async def grantor_frozen(world):
    """The grantor freezes, another takes the lead, and it wakes with questions in its buffers."""
    world.daemons[0].lead.until_s = monotonic_s() + LEASE_S
    world.daemons[0].freeze()
    await asyncio.sleep(TAKEOVER_S)
    world.lead(9, fence=2)
    await asyncio.sleep(1.0)
    world.daemons[0].wake()


async def grantor_killed(world):
    """The grantor ends with permits out."""
    await world.daemons[0].kill()
    await asyncio.sleep(TAKEOVER_S)
    world.lead(9, fence=2)


async def lead_passed(world):
    """The lead passes on at once with permits out, as by a planned stop."""
    world.daemons[0].lead.until_s = monotonic_s()
    world.lead(9, fence=2)


async def both_believe(world):
    """The old grantor still believes that it leads, by its view of the log, when its successor begins."""
    world.daemons[0].lead.until_s = monotonic_s() + LEASE_S
    await asyncio.sleep(LEASE_S)
    world.daemons[9].lead.take(2)  # the others still know the old one, who answers that it may not grant


FAULTS: tuple[Callable[[World], Awaitable[None]], ...] = (
    none,
    third_cut,
    grantor_cut,
    grantor_frozen,
    grantor_killed,
    lead_passed,
    both_believe,
)


async def share_evenly(world, daemon):
    """Let a daemon send its even share of each replica's bound, without asking anybody."""
    share = LIMIT.most_per_s // len(world.daemons)
    while True:
        now_s = monotonic_s()
        for info in world.infos:
            lately = [at_s for at_s in daemon.sent.get(info.replica_id, ()) if now_s - at_s <= 1.0]
            free = share - len(lately)
            if free > 0 and not daemon.table.permits.holds(info.replica_id, now_s):
                daemon.table.permits.add({info.replica_id: free}, now_s, now_s)
        await asyncio.sleep(0.01)


def play(fault, way, *, daemons=24, replicas=6, others_waiting=0):
    """Return what was served at cold replicas within the spell, and the worst second at one of them."""

    async def main():
        world = World(daemons=daemons, replicas=replicas)
        if way is not Way.PERMITS:
            for daemon in world.daemons:
                daemon.lead.may_order = lambda: False
        if way is Way.EVEN_SHARE:
            for daemon in world.daemons:
                daemon.tasks.append(asyncio.get_running_loop().create_task(share_evenly(world, daemon)))
        world.lead(0, fence=1)
        await asyncio.sleep(SPAN_S + 0.2)
        world.entries(round(COLD_S * 1000))
        end_s = monotonic_s() + COLD_S
        world.load(30, world.daemons[1:4])
        world.load(others_waiting, world.daemons[4:])
        await asyncio.sleep(1.0)
        failing = asyncio.get_running_loop().create_task(fault(world))
        await asyncio.sleep(end_s - monotonic_s() - 0.01)
        outcome = Outcome(served=world.served, worst_second=world.worst_second)
        await failing
        return outcome

    return run_virtual(main())


def questions(daemons, replicas=23, play_s=2.0):
    """Return questions a second at the leader, and bytes a second of all daemons that want permits."""

    async def main():
        world = World(daemons=daemons, replicas=replicas)
        world.lead(0, fence=1)
        world.entries(60_000)
        await asyncio.sleep(SPAN_S + 0.2)
        counters = [daemon.transport.counters for daemon in world.daemons]
        received = counters[0].frames_received
        sent_bytes = sum(each.bytes_sent for each in counters)
        world.load(2, world.daemons[1:])
        await asyncio.sleep(play_s)
        sent_bytes = sum(each.bytes_sent for each in counters) - sent_bytes
        return (counters[0].frames_received - received) / play_s, sent_bytes / play_s

    return run_virtual(main())


def main():
    if "--questions" in sys.argv:
        for daemons in (21, 42, 84, 150, 300):
            print(daemons, *questions(daemons), flush=True)
        return
    others_waiting = int("--all" in sys.argv)
    print("| fault | " + " | ".join(f"{way.value}: served | worst second" for way in Way) + " |")
    print("|---|" + "---|---|" * len(Way))
    for fault in FAULTS:
        outcomes = [play(fault, way, others_waiting=others_waiting) for way in Way]
        cells = " | ".join(f"{outcome.served} | {outcome.worst_second}" for outcome in outcomes)
        print(f"| {fault.__doc__.rstrip('.')} | {cells} |")


if __name__ == "__main__":
    main()
