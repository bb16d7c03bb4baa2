"""Timeouts that count what arrived while the event loop was blocked or the machine was suspended.

>>> from passgate.clock import run_virtual
>>> run_virtual(wait_until(1.0, lambda: asyncio.sleep(0.5, "answer")))
'answer'
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


async def wait_until(deadline_s: float, wait: Callable[[], Coroutine[Any, Any, Result]]) -> Result:
    """Return what ``wait`` returns, if it does so until a loop time or has its result by then.

    After a suspension the timer and the data that arrived meanwhile are due in the same round of the event
    loop, and the timer would win.  So ``wait`` is called once more, and may return only without waiting.

    Raises TimeoutError.  As ``wait`` may be cancelled and called again, a cancellation must lose nothing.
    """
    try:
        async with asyncio.timeout_at(deadline_s):
            return await wait()
    except TimeoutError:
        async with asyncio.timeout(0):
            return await wait()
