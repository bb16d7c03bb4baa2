"""Time source shared by daemons, the emulator and simulations.

All code reads time from the running event loop, so the same code runs against
the wall clock and, on a loop made by :func:`new_virtual_loop`, in virtual time.

>>> loop = new_virtual_loop()
>>> async def nap():
...     await asyncio.sleep(3600)
...     return monotonic_s()
>>> round(loop.run_until_complete(nap()))
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
    """Return seconds since the machine was booted; unlike the steady clock it counts suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class DaemonEventLoop(asyncio.SelectorEventLoop):
    """The loop of a daemon: its clock also counts the time for which the machine was suspended.

    Linux's steady clock stands still then, while leases lapse, callers leave and the log goes on.
    Timers that came due meanwhile fire when the loop next wakes; a daemon's ticks wake it each 0.1 s.
    """

    def time(self) -> float:
        """Return seconds since the machine was booted, suspensions included."""
        return since_boot_s()


CANCEL_ROUNDS = 20
"""Most rounds of cancelling what a run left behind."""


def monotonic_s() -> float:
    """Return the running loop's time in seconds; monotonic, arbitrary origin."""
    return asyncio.get_running_loop().time()


def unix_s() -> float:
    """Return wall-clock seconds that daemons can compare; on a virtual loop its own time."""
    loop = asyncio.get_running_loop()
    return loop.time() if hasattr(loop, "setup_looptime") else time.time()


def new_virtual_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop whose time jumps to the next timer (library: looptime)."""
    import looptime

    loop = looptime.new_event_loop(start=0.0)
    loop.setup_looptime(start=0.0, noop_cycles=1, idle_step=None)
    return loop


def run_virtual(main: Coroutine[Any, Any, Result]) -> Result:
    """Run ``main`` to its end on a virtual loop of its own, then cancel what it left behind.

    >>> run_virtual(asyncio.sleep(3600, "rested"))
    'rested'
    """
    loop = new_virtual_loop()
    try:
        return loop.run_until_complete(main)
    finally:
        _cancel_all(loop)
        loop.close()


def _cancel_all(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel what is left, and what that starts in turn, until nothing is or the rounds are over."""
    for _ in range(CANCEL_ROUNDS):
        left = asyncio.all_tasks(loop)
        if not left:
            return
        for task in left:
            task.cancel()
        loop.run_until_complete(asyncio.wait(left))
