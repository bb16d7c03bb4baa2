"""Hedged requests: repeats a call to the log that has got no response yet, while the first still waits.

When the log recovers from an outage, calls sent before may stay unanswered until they time out, although new
calls are answered.  Calls that may be repeated are therefore sent again after a short delay, and the first
result is used (Dean and Barroso, "The Tail at Scale", 2013).

>>> from passgate.clock import run_virtual
>>> answers = [30.0, 0.01]
>>> async def call():
...     await asyncio.sleep(answers.pop(0))
...     return "answer"
>>> run_virtual(call_hedged(call))
'answer'
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

HEDGE_DELAY_S = 0.35
"""Delay before each repetition; far longer than a usual response takes."""
MAX_CONCURRENT_CALLS = 4
"""Maximum number of calls in all, the first one included."""

T = TypeVar("T")


async def call_hedged(call: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Make a call and repeat it until one of the calls finishes; return its result or raise its error.

    Makes at most MAX_CONCURRENT_CALLS calls.  If several finish at the same moment, a success is preferred.
    The remaining calls are cancelled.
    """
    pending: list[asyncio.Task[T]] = []
    try:
        while True:
            if len(pending) < MAX_CONCURRENT_CALLS:
                pending.append(asyncio.get_running_loop().create_task(call()))
            done, _ = await asyncio.wait(pending, timeout=HEDGE_DELAY_S, return_when=asyncio.FIRST_COMPLETED)
            succeeded = [task for task in done if task.exception() is None]
            if done:
                return (succeeded or list(done))[0].result()
    finally:
        for task in pending:
            task.cancel()
