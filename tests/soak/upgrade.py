"""Rolling upgrade of a soak: replaces the daemons of an earlier build one after the other."""

import asyncio

from tests.soak.builds import PRESENT_BUILD

KILL_SHARE = 0.3
"""Share of the daemons that are killed before they start from the present build."""
FIRST_SHARE, LAST_SHARE = 0.05, 0.95
"""Parts of the run's time between which daemons are replaced: builds run side by side for most of it."""


class RollingUpgrade:
    """Replaces the daemons of a run in random order, spread over its time; other faults go on meanwhile."""

    def __init__(self, world, faults):
        self.world = world
        self.faults = faults

    async def run(self, seconds):
        """Replace all daemons within ``seconds``; a replacement that has started is completed."""
        old = [daemon for daemon in self.world.daemons if daemon.build is not PRESENT_BUILD]
        if not old:
            return
        random = self.world.random
        random.shuffle(old)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        slot_s = seconds * (LAST_SHARE - FIRST_SHARE) / len(old)
        for number, daemon in enumerate(old):
            at_s = started_s + seconds * FIRST_SHARE + slot_s * (number + random.random())
            await asyncio.sleep(max(at_s - loop.time(), 0.0))
            await self._replace(daemon)

    async def _replace(self, daemon):
        """Restart a daemon from the present build, also if another fault restarts it meanwhile."""
        daemon.build = PRESENT_BUILD
        is_killed = self.world.random.random() < KILL_SHARE
        self.world.count("replaced after SIGKILL" if is_killed else "replaced after SIGTERM")
        self.world.log_phase(f"replace {daemon.name}")
        while daemon.incarnation.build is not PRESENT_BUILD:
            await (self.faults.kill_daemon(daemon) if is_killed else self.faults.stop_daemon(daemon))

    def check_all_replaced(self):
        """Report daemons that do not run the present build."""
        for daemon in self.world.daemons:
            if daemon.incarnation.build is not PRESENT_BUILD:
                self.world.report_violation(f"{daemon.name} runs the build {daemon.incarnation.build.name}")
