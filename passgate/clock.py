"""Clocks of daemons, the emulator and simulations.

Code that uses :func:`monotonic_s` and :func:`unix_s` reads the time from the running event loop, so it runs
in real time and, on a loop from :func:`new_virtual_loop`, in virtual time.

>>> loop = new_virtual_loop()
>>> async def sleep_an_hour():
...     await asyncio.sleep(3600)
...     return monotonic_s()
>>> round(loop.run_until_complete(sleep_an_hour()))
3600
>>> loop.close()
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


def since_boot_s() -> float:
    """Return the seconds since the machine was booted; unlike CLOCK_MONOTONIC, they include suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class DaemonEventLoop(asyncio.SelectorEventLoop):
    """Event loop of a daemon, whose clock includes the time for which the machine was suspended.

    CLOCK_MONOTONIC stops during a suspension, while leases expire and deadlines of callers pass.  Timers that
    became due during a suspension fire when the loop next wakes, for example for a periodic task.
    """

    def time(self) -> float:
        """Return the seconds since the machine was booted, suspensions included."""
        return since_boot_s()


MAX_CANCEL_ROUNDS = 20
"""Maximum number of rounds in which :func:`run_virtual` cancels tasks; cancelled tasks may start new ones."""


def monotonic_s() -> float:
    """Return the running loop's time in seconds; the time is monotonic and has an arbitrary origin."""
    return asyncio.get_running_loop().time()


def unix_s() -> float:
    """Return the machine's Unix time in seconds; on a virtual loop, the loop's time."""
    loop = asyncio.get_running_loop()
    return loop.time() if hasattr(loop, "setup_looptime") else time.time()


def new_virtual_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop whose virtual time jumps to the next timer; needs the package looptime."""
    import looptime

    loop = looptime.new_event_loop(start=0.0)
    loop.setup_looptime(start=0.0, noop_cycles=1, idle_step=None)
    return loop


def run_virtual(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on a new virtual loop and return its result, after cancelling the tasks that remain.

    >>> run_virtual(asyncio.sleep(3600, "done"))
    'done'
    """
    loop = new_virtual_loop()
    try:
        return loop.run_until_complete(main)
    finally:
        _cancel_remaining_tasks(loop)
        loop.close()


def _cancel_remaining_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel a loop's tasks and those that they start meanwhile, in up to MAX_CANCEL_ROUNDS rounds."""
    for _ in range(MAX_CANCEL_ROUNDS):
        remaining = asyncio.all_tasks(loop)
        if not remaining:
            return
        for task in remaining:
            task.cancel()
        loop.run_until_complete(asyncio.wait(remaining))
