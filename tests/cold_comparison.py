"""Compares three policies for cold replicas: send nothing, an even share per daemon, and permits.

``python -m tests.cold_comparison`` prints the table of docs/design/eligibility.md: six replicas are cold for
eight seconds, three of 24 daemons send requests, and one fault occurs.  With ``--all`` each other daemon also
has one request in flight at all times.  ``--questions`` prints the load that permit requests cause.
"""

import asyncio
import enum
import sys
from collections.abc import Awaitable, Callable

import msgspec

from passgate.clock import monotonic_s, run_virtual
from passgate.eligibility.permits import GRANT_WINDOW_S
from tests.cold_world import LIMIT, World

COLD_DURATION_S = 8.0
LEASE_DURATION_S = 1.8
"""Time for which a leader that is cut off may still grant permits."""
TAKEOVER_DELAY_S = 3.5
"""Time after which another daemon takes over from a silent leader."""


class Policy(enum.Enum):
    NOTHING = "nothing until warm"
    EVEN_SHARE = "even share"
    PERMITS = "permits"


class Outcome(msgspec.Struct, frozen=True):
    served: int
    max_sends_per_s: int


async def none(world):
    """Nothing fails."""


async def third_of_daemons_cut_off(world):
    """A third of the daemons is cut off from the others, one of those that send requests among them."""
    cut = {daemon.transport.address for daemon in world.daemons[3:11]}
    world.network.cut(lambda address, zone: address in cut)
    for daemon in world.daemons[3:11]:
        daemon.log_age_s = lambda: 10.0


async def issuer_cut_off(world):
    """The permit issuer and a daemon that sends requests are cut off; another daemon takes over."""
    old = {daemon.transport.address for daemon in world.daemons[:2]}
    world.network.cut(lambda address, zone: address in old)
    world.daemons[0].lease.valid_until_s = monotonic_s() + LEASE_DURATION_S
    await asyncio.sleep(TAKEOVER_DELAY_S)
    world.set_leader(9, fence=2)


async def issuer_frozen(world):
    """The permit issuer freezes, another daemon takes over, and it resumes with requests in its buffers."""
    world.daemons[0].lease.valid_until_s = monotonic_s() + LEASE_DURATION_S
    world.daemons[0].freeze()
    await asyncio.sleep(TAKEOVER_DELAY_S)
    world.set_leader(9, fence=2)
    await asyncio.sleep(1.0)
    world.daemons[0].resume()


async def issuer_killed(world):
    """The permit issuer is killed while permits that it granted are valid."""
    await world.daemons[0].kill()
    await asyncio.sleep(TAKEOVER_DELAY_S)
    world.set_leader(9, fence=2)


async def leadership_transferred(world):
    """Leadership passes on at once, as in a graceful shutdown, while granted permits are valid."""
    world.daemons[0].lease.valid_until_s = monotonic_s()
    world.set_leader(9, fence=2)


async def two_believe_to_lead(world):
    """The old permit issuer still believes that it leads when its successor starts."""
    world.daemons[0].lease.valid_until_s = monotonic_s() + LEASE_DURATION_S
    await asyncio.sleep(LEASE_DURATION_S)
    world.daemons[9].lease.acquire(
        2
    )  # the others still ask the old one, which responds that it does not lead


FAULTS: tuple[Callable[[World], Awaitable[None]], ...] = (
    none,
    third_of_daemons_cut_off,
    issuer_cut_off,
    issuer_frozen,
    issuer_killed,
    leadership_transferred,
    two_believe_to_lead,
)


async def share_evenly(world, daemon):
    """Give a daemon permits for its even share of each replica's limit, without any request."""
    share = LIMIT.max_requests_per_s // len(world.daemons)
    while True:
        now_s = monotonic_s()
        for info in world.infos:
            recent_s = [
                at_s for at_s in daemon.send_times_s_by_id.get(info.replica_id, ()) if now_s - at_s <= 1.0
            ]
            free = share - len(recent_s)
            if free > 0 and not daemon.table.permit_pool.has_permit(info.replica_id, now_s):
                daemon.table.permit_pool.add({info.replica_id: free}, now_s, now_s)
        await asyncio.sleep(0.01)


def run_policy(fault, policy, *, daemons=24, replicas=6, others_concurrency=0):
    """Return the requests sent while the replicas were cold, and the most to one of them in any second."""

    async def main():
        world = World(daemons=daemons, replicas=replicas)
        if policy is not Policy.PERMITS:
            for daemon in world.daemons:
                daemon.lease.may_order = lambda: False
        if policy is Policy.EVEN_SHARE:
            for daemon in world.daemons:
                daemon.tasks.append(asyncio.get_running_loop().create_task(share_evenly(world, daemon)))
        world.set_leader(0, fence=1)
        await asyncio.sleep(GRANT_WINDOW_S + 0.2)
        world.read_entries(round(COLD_DURATION_S * 1000))
        end_s = monotonic_s() + COLD_DURATION_S
        world.start_requests(30, world.daemons[1:4])
        world.start_requests(others_concurrency, world.daemons[4:])
        await asyncio.sleep(1.0)
        fault_task = asyncio.get_running_loop().create_task(fault(world))
        await asyncio.sleep(end_s - monotonic_s() - 0.01)
        outcome = Outcome(served=world.served, max_sends_per_s=world.max_sends_per_s)
        await fault_task
        return outcome

    return run_virtual(main())


def measure_requests(daemons, replicas=23, duration_s=2.0):
    """Return the frames per second that the leader receives, and the bytes per second of all daemons."""

    async def main():
        world = World(daemons=daemons, replicas=replicas)
        world.set_leader(0, fence=1)
        world.read_entries(60_000)
        await asyncio.sleep(GRANT_WINDOW_S + 0.2)
        counters = [daemon.transport.counters for daemon in world.daemons]
        received = counters[0].frames_received
        sent_bytes = sum(each.bytes_sent for each in counters)
        world.start_requests(2, world.daemons[1:])
        await asyncio.sleep(duration_s)
        sent_bytes = sum(each.bytes_sent for each in counters) - sent_bytes
        return (counters[0].frames_received - received) / duration_s, sent_bytes / duration_s

    return run_virtual(main())


def main():
    if "--questions" in sys.argv:
        for daemons in (21, 42, 84, 150, 300):
            print(daemons, *measure_requests(daemons), flush=True)
        return
    others_concurrency = int("--all" in sys.argv)
    print("| fault | " + " | ".join(f"{policy.value}: served | worst second" for policy in Policy) + " |")
    print("|---|" + "---|---|" * len(Policy))
    for fault in FAULTS:
        outcomes = [run_policy(fault, policy, others_concurrency=others_concurrency) for policy in Policy]
        cells = " | ".join(f"{outcome.served} | {outcome.max_sends_per_s}" for outcome in outcomes)
        print(f"| {fault.__doc__.rstrip('.')} | {cells} |")


if __name__ == "__main__":
    main()
