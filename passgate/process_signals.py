"""Signals of a daemon's process: held until it can handle them, and again once it ends.

>>> hold_signals()
>>> signal.SIGTERM in signal.pthread_sigmask(signal.SIG_BLOCK, ())
True
>>> release_signals()

Outside the time in which an event loop handles a signal, its default action ends the process:
a daemon that is starting would be ended by the announcement of changed settings, and one whose planned
stop has gone well would report that it was killed.  A held signal stays pending; the kernel
hands it over on release, or drops it with the process.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Mapping

HANDLED = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
"""Signals that a daemon handles; all others keep their default action."""


def hold_signals() -> None:
    """Keep signals pending.  Called before anything that takes time is imported, and after a stop."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


def release_signals() -> None:
    """Deliver pending signals and those that come from now on."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)


def handle_signals(handlers: Mapping[signal.Signals, Callable[[], None]]) -> None:
    """Let the running loop call the handlers, also for signals that were held so far."""
    loop = asyncio.get_running_loop()
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    release_signals()
