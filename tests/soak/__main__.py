"""Fault soak: real daemons as separate processes, faults injected from outside them.

    python -m tests.soak --seconds 120 --seed 7 --daemons 4 --lanes 3

Daemons of the users' platform run as processes; proxies on loopback delay, reset,
silence or cut their connections one way; signals stop, pause, kill and restart
them; the stand-ins of the log and the replicas misbehave; some requests end each replica
that begins them.  Faults come in series and overlap.  Callers use their open connections
until the daemon is gone, and check every promise from what they and the replicas see.
Machines can't be suspended from outside them, nor their clocks set, so neither is played.
Ends with exit code 1 and the seed when a promise was broken.
"""

import asyncio
import logging
import signal
import sys
import tempfile
import time

import fire

from tests.soak.callers import Callers
from tests.soak.faults import Faults
from tests.soak.judge import Judge
from tests.soak.world import World

DAEMONS = 4
LANES = 3
"""Faults that are played at once."""
CALM_S = 3.0
"""Time without trouble before callers end."""


async def play(seconds, seed, folder, log_file, daemons=DAEMONS, lanes=LANES):
    """Run a soak; the stand-ins listen on the loop that runs it."""
    world = World(seed, folder, log_file, daemons)
    try:
        await play_in(world, seconds, lanes)
    finally:
        world.kill_daemons()
    return world


async def play_in(world, seconds, lanes):
    callers = Callers(world)
    faults = Faults(world, callers)
    judge = Judge(world, callers)
    await world.start()
    tasks = callers.start()
    await faults.play(seconds, lanes)
    await faults.heal()
    await asyncio.sleep(CALM_S)
    world.stopping = True
    world.phase("callers end")
    await asyncio.gather(*tasks)
    world.phase("last reads")
    await judge.wait_for_results()
    world.phase("daemons end")
    for daemon in world.daemons:
        daemon.life.signal(signal.SIGTERM)
    for daemon in world.daemons:
        await daemon.life.ended()
        await daemon.proxy.stop()
    judge.judge()


def main(
    seconds: int = 60, seed: int = 0, daemons: int = DAEMONS, lanes: int = LANES, log: str = "soak.log"
) -> None:
    """Run the soak.

    Args:
        seconds: how long faults are injected.
        seed: drives all choices; 0 draws one.
        daemons: processes of the system.
        lanes: faults that are played at once.
        log: file for what the processes write.
    """
    seed = seed or int(time.time()) % 1_000_000
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    with tempfile.TemporaryDirectory() as folder, open(log, "wb") as log_file:
        world = asyncio.run(play(seconds, seed, folder, log_file, daemons, lanes))
    print(world.report(seed))
    sys.exit(1 if world.broken else 0)


if __name__ == "__main__":
    fire.Fire(main)
