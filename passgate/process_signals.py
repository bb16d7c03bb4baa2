"""Blocks the signals of a daemon's process while its event loop does not handle them.

Otherwise a signal's default action would end the process: SIGHUP for changed settings would end a starting
daemon, and a second SIGTERM after the loop has ended would make a graceful shutdown look like a kill.  A
blocked signal stays pending until it is unblocked or the process exits.

>>> block_signals()
>>> signal.SIGTERM in signal.pthread_sigmask(signal.SIG_BLOCK, ())
True
>>> unblock_signals()
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Mapping

HANDLED_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
"""Signals that are blocked; all others keep their default action."""


def block_signals() -> None:
    """Block the signals.  To be called before slow imports, and again when the event loop has ended."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock_signals() -> None:
    """Unblock the signals; pending ones are delivered at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def install_signal_handlers(handlers: Mapping[signal.Signals, Callable[[], None]]) -> None:
    """Let the running loop call the handlers, also for signals that are pending; unblock the signals.

    Args:
        handlers: signal to the function that handles it, called in the event loop.
    """
    loop = asyncio.get_running_loop()
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    unblock_signals()
