"""Admission control of a daemon's HTTP servers, and the count of its work in flight.

>>> admission = RequestAdmissionController(max_in_flight=1, retry_after_s=1.0, write_timeout_s=60.0)
>>> admission.admit()
>>> admission.admit()
Traceback (most recent call last):
    ...
passgate.errors.Overloaded: the daemon has too many requests in flight
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

from passgate import clock
from passgate.errors import Draining, NotReady, Overloaded

IDLE_POLL_INTERVAL_S = 0.01


class ClientStream(Protocol):
    """The methods of tornado's ``IOStream`` that admission control uses."""

    def writing(self) -> bool:
        """Return whether the write buffer holds unsent bytes."""
        ...

    def closed(self) -> bool:
        """Return whether the stream is closed."""
        ...

    def close(self) -> None:
        """Close the stream; unsent bytes are lost."""
        ...


class RequestAdmissionController:
    """Admits or refuses requests, and reports when no work is left.

    A request is work until the last byte of its answer is sent or ``write_timeout_s`` has passed since its
    handler finished.  Detached work, which continues when its caller disconnects, counts until it ends.
    """

    def __init__(self, max_in_flight: int, retry_after_s: float, write_timeout_s: float) -> None:
        self._max_in_flight = max_in_flight
        self._retry_after_s = retry_after_s
        self._admitted_count = 0
        self._write_timeout_s = write_timeout_s
        self._flush_deadline_s_by_stream: dict[ClientStream, float] = {}
        """For each stream with unsent bytes of a finished answer: when it is closed (monotonic clock)."""
        self._detached_tasks: set[asyncio.Task[Any]] = set()
        self.is_closing_connections = False
        """Set when shutdown begins: answers carry ``Connection: close``."""
        self.is_starting = False
        """Set until the active configuration is known: requests are refused as not run."""
        self.is_draining = False
        """Set after the notice period of a shutdown: new requests are refused as not run."""

    @property
    def in_flight(self) -> int:
        """Number of requests whose handler has not finished, plus detached work."""
        return self._admitted_count + len(self._detached_tasks)

    def admit(self) -> None:
        """Admit one request.

        Raises:
            NotReady: the daemon is starting.
            Draining: the daemon is shutting down, and its notice period has passed.
            Overloaded: ``max_in_flight`` requests are admitted.
        """
        if self.is_draining:
            raise Draining("the daemon is shutting down", retry_after_s=self._retry_after_s)
        if self.is_starting:
            raise NotReady("the daemon is starting", retry_after_s=self._retry_after_s)
        if self._admitted_count >= self._max_in_flight:
            raise Overloaded("the daemon has too many requests in flight", retry_after_s=self._retry_after_s)
        self._admitted_count += 1

    def release(self, stream: ClientStream | None) -> None:
        """Release one admitted request; ``stream`` may still hold unsent bytes of its answer."""
        self._admitted_count -= 1
        if stream is not None and not stream.closed() and stream.writing():
            self._flush_deadline_s_by_stream[stream] = clock.monotonic_s() + self._write_timeout_s

    def run_detached(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start work in a task that is not cancelled when its caller disconnects; return the task."""
        task = asyncio.ensure_future(work)
        self._detached_tasks.add(task)
        task.add_done_callback(self._on_detached_done)
        return task

    def _on_detached_done(self, task: asyncio.Task[Any]) -> None:
        self._detached_tasks.discard(task)
        if not task.cancelled():
            task.exception()  # Marks a failure as retrieved, so that asyncio does not log it.

    def is_idle(self) -> bool:
        """Return whether no request, detached work or unsent byte is left.

        Closes streams whose write timeout has passed.
        """
        now_s = clock.monotonic_s()
        for stream, close_at_s in list(self._flush_deadline_s_by_stream.items()):
            if now_s >= close_at_s and not stream.closed() and stream.writing():
                stream.close()
            if stream.closed() or not stream.writing():
                del self._flush_deadline_s_by_stream[stream]
        return self.in_flight == 0 and not self._flush_deadline_s_by_stream

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until idle; return whether that was within ``timeout_s``."""
        deadline_s = clock.monotonic_s() + timeout_s
        while not self.is_idle():
            if clock.monotonic_s() >= deadline_s:
                return False
            await asyncio.sleep(IDLE_POLL_INTERVAL_S)
        return True
