"""Repeats a call of the log that gets no answer, beside the one that waits.

A log that was silent answers new calls as soon as it is back, while those sent before
stay without an answer until their time is over.  Calls that do no harm when repeated
are therefore sent again after a short silence, and the first answer counts (hedged
requests: Dean and Barroso, "The Tail at Scale", 2013).

>>> from passgate.clock import run_virtual
>>> answers = [30.0, 0.01]
>>> async def call():
...     await asyncio.sleep(answers.pop(0))
...     return "answer"
>>> run_virtual(hedged(call))
'answer'
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

HEDGE_DELAY_S = 0.35
"""Silence after which a call is sent again; far beyond the usual time of an answer."""
MAX_CONCURRENT_CALLS = 4
"""Calls that wait at the same time."""

T = TypeVar("T")


async def hedged(call: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Return the first answer to a call or to its repetitions; raise the first failure."""
    waiting: list[asyncio.Task[T]] = []
    try:
        while True:
            if len(waiting) < MAX_CONCURRENT_CALLS:
                waiting.append(asyncio.get_running_loop().create_task(call()))
            done, _ = await asyncio.wait(waiting, timeout=HEDGE_DELAY_S, return_when=asyncio.FIRST_COMPLETED)
            answered = [task for task in done if task.exception() is None]
            if done:
                return (answered or list(done))[0].result()
    finally:
        for task in waiting:
            task.cancel()
