"""Fault soak: real daemon processes under load, while faults are injected from outside them.

    python -m tests.soak --seconds 120 --seed 7 --daemons 4 --lanes 3

Proxies disturb the daemons' connections to the log; signals stop, pause, kill and reload
daemons; test doubles of external systems return errors or nothing; some requests crash
every replica that runs them.  Faults overlap.  The answers are compared with what the
replicas recorded.  Suspended machines and changed clocks are not covered.

``--from-build COMMIT`` starts all daemons from an earlier build and replaces them during the run.
The exit code is 1 if a guarantee was violated.
"""

import asyncio
import logging
import signal
import sys
import tempfile
import time

import fire

from tests.soak.builds import PRESENT_BUILD, extract_build
from tests.soak.callers import Callers
from tests.soak.faults import Faults
from tests.soak.result_checker import ResultChecker
from tests.soak.upgrade import RollingUpgrade
from tests.soak.world import World

DAEMONS = 4
LANES = 3
"""Faults that are injected at the same time."""
FAULT_FREE_S = 3.0
"""Time without faults before the callers stop."""


async def run_soak(seconds, seed, folder, log_file, daemons=DAEMONS, lanes=LANES, first_build=PRESENT_BUILD):
    """Run a soak and return its world; no daemon is left running."""
    world = World(seed, folder, log_file, daemons, first_build)
    try:
        await run_phases(world, seconds, lanes)
    finally:
        world.kill_daemons()
    return world


async def run_phases(world, seconds, lanes):
    """Run callers and faults, then shut the daemons down and check the results."""
    callers = Callers(world)
    faults = Faults(world, callers)
    checker = ResultChecker(world, callers)
    await world.start()
    tasks = callers.start()
    upgrade = RollingUpgrade(world, faults)
    await asyncio.gather(faults.run(seconds, lanes), upgrade.run(seconds))
    await faults.end_all()
    upgrade.check_all_replaced()
    await asyncio.sleep(FAULT_FREE_S)
    world.stopping = True
    world.log_phase("callers end")
    await asyncio.gather(*tasks)
    world.log_phase("last reads")
    await checker.wait_for_results()
    world.log_phase("daemons end")
    for daemon in world.daemons:
        daemon.incarnation.send_signal(signal.SIGTERM)
    for daemon in world.daemons:
        await daemon.incarnation.wait_for_exit()
        await daemon.proxy.stop()
    checker.check_all()


@fire.decorators.SetParseFns(from_build=str)
def main(
    seconds: int = 60,
    seed: int = 0,
    daemons: int = DAEMONS,
    lanes: int = LANES,
    log: str = "soak.log",
    from_build: str = "",
) -> None:
    """Run the soak.

    Args:
        seconds: time for which faults are injected.
        seed: seed of all random choices; 0 takes one from the clock.
        daemons: number of daemon processes.
        lanes: number of faults that are injected at the same time.
        log: file for the output of the daemons.
        from_build: commit whose build all daemons run at first; empty for this build.
    """
    seed = seed or int(time.time()) % 1_000_000
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    with tempfile.TemporaryDirectory() as folder, open(log, "wb") as log_file:
        first_build = extract_build(from_build, folder) if from_build else PRESENT_BUILD
        world = asyncio.run(run_soak(seconds, seed, folder, log_file, daemons, lanes, first_build))
    print(world.report(seed))
    sys.exit(1 if world.violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
