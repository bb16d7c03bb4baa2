"""Blocks the signals of a daemon's process while its event loop does not handle them.

Otherwise a signal's default action would end the process: SIGHUP for changed settings would end a starting
daemon, and a second SIGTERM after the loop has ended would make a graceful shutdown look like a kill.  A
blocked signal stays pending until it is unblocked or the process exits.  Signals are blocked for the calling
thread and for threads that it starts later.

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
"""Signals that are blocked; all others are delivered as usual."""


def block_signals() -> None:
    """Block HANDLED_SIGNALS.  To be called before slow imports, and again when the event loop has ended."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock_signals() -> None:
    """Unblock HANDLED_SIGNALS; those that are pending are delivered."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def install_signal_handlers(handlers: Mapping[signal.Signals, Callable[[], None]]) -> None:
    """Let the running loop call the handlers, also for signals that are pending; unblock HANDLED_SIGNALS.

    An unblocked signal without a handler has its default action.

    Args:
        handlers: handler by signal, called in the event loop.
    """
    loop = asyncio.get_running_loop()
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    unblock_signals()
