"""Count of the work inside a daemon, and the point at which new work is refused.

>>> gate = RequestGate(max_in_flight=1, retry_after_s=1.0, write_timeout_s=60.0)
>>> gate.enter()
>>> gate.enter()
Traceback (most recent call last):
    ...
passgate.errors.Overloaded: too many requests inside this daemon
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

from passgate import clock
from passgate.errors import Draining, NotReady, Overloaded

IDLE_POLL_S = 0.01


class WriteStream(Protocol):
    """The part of tornado's stream that tells whether bytes wait to be sent."""

    def writing(self) -> bool:
        """Return whether bytes wait in the write buffer."""
        ...

    def closed(self) -> bool:
        """Return whether the stream is closed."""
        ...

    def close(self) -> None:
        """Close the stream; unsent bytes are lost."""
        ...


class RequestGate:
    """Admits requests, and knows when nothing is in flight any more.

    A request counts until its last byte has left the daemon; work that goes on
    after its caller left counts until it ends.
    """

    def __init__(self, max_in_flight: int, retry_after_s: float, write_timeout_s: float) -> None:
        self._max_in_flight = max_in_flight
        self._retry_after_s = retry_after_s
        self._entered = 0
        self._write_timeout_s = write_timeout_s
        self._flushing: dict[WriteStream, float] = {}
        """Streams with unsent bytes of finished answers, and when they are cut off."""
        self._detached: set[asyncio.Task[Any]] = set()
        self.leaving = False
        """Answers ask callers to open their next connection elsewhere."""
        self.starting = False
        """The configuration in force is not yet known, so requests are refused as not run."""
        self.refusing = False
        """New requests are refused as not run."""

    @property
    def in_flight(self) -> int:
        """Requests whose handler has not finished, and detached work."""
        return self._entered + len(self._detached)

    def enter(self) -> None:
        """Admit one request.

        Raises:
            NotReady: the daemon has just started.
            Draining: a planned stop is past its notice.
            Overloaded: the daemon holds as many requests as it may.
        """
        if self.refusing:
            raise Draining("this daemon is stopping", retry_after_s=self._retry_after_s)
        if self.starting:
            raise NotReady("this daemon is starting", retry_after_s=self._retry_after_s)
        if self._entered >= self._max_in_flight:
            raise Overloaded("too many requests inside this daemon", retry_after_s=self._retry_after_s)
        self._entered += 1

    def leave(self, stream: WriteStream | None) -> None:
        """End one admitted request, whose last bytes may still wait in ``stream``."""
        self._entered -= 1
        if stream is not None and not stream.closed() and stream.writing():
            self._flushing[stream] = clock.monotonic_s() + self._write_timeout_s

    def detach(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run work that is not cancelled when its caller leaves."""
        task = asyncio.ensure_future(work)
        self._detached.add(task)
        task.add_done_callback(self._forget)
        return task

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self._detached.discard(task)
        if not task.cancelled():
            task.exception()

    def idle(self) -> bool:
        """Return whether no request, detached work or unsent byte is left."""
        now_s = clock.monotonic_s()
        for stream, cut_off_s in list(self._flushing.items()):
            if now_s >= cut_off_s and not stream.closed() and stream.writing():
                stream.close()
            if stream.closed() or not stream.writing():
                del self._flushing[stream]
        return self.in_flight == 0 and not self._flushing

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until idle; return False when ``timeout_s`` passed first."""
        deadline_s = clock.monotonic_s() + timeout_s
        while not self.idle():
            if clock.monotonic_s() >= deadline_s:
                return False
            await asyncio.sleep(IDLE_POLL_S)
        return True
