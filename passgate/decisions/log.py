"""Writes decision lines to standard output, within a budget and without blocking."""

from __future__ import annotations

import os
import time
from collections.abc import Callable

import msgspec

from passgate.clock import since_boot_s
from passgate.decisions.base import Event, LinesDropped

LINES_PER_S = 60.0
"""Lines a second that may be written on average."""
BURST_LINES = 240.0
ORDINARY_RESERVE_SHARE = 0.5
"""Ordinary events use only this share of the budget; the rest is kept for failures."""
MAX_BUFFER_BYTES = 256 * 1024
STDOUT = 1


def _write_stdout(data: bytes) -> int:
    try:
        return os.write(STDOUT, data)
    except BlockingIOError:
        return 0
    except OSError:
        return len(data)


class DecisionLog:
    """Writes events within a budget; never blocks."""

    def __init__(
        self,
        daemon_id: str,
        *,
        write: Callable[[bytes], int] = _write_stdout,
        now: Callable[[], float] = since_boot_s,
        wall: Callable[[], float] = time.time,
        lines_per_s: float = LINES_PER_S,
        observe: Callable[[Event], None] | None = None,
    ) -> None:
        self._write = write
        self._now = now
        self._wall = wall
        self._observe = observe
        self._rate = lines_per_s
        self._tokens = BURST_LINES
        self._filled_s = now()
        self._buffer = bytearray()
        self._dropped_ordinary = 0
        self._dropped_important = 0
        self._encoder = msgspec.json.Encoder()
        self._daemon = msgspec.json.encode(daemon_id)

    def write(self, event: Event) -> None:
        """Note an event; it is written with the next flush."""
        if self._observe is not None:
            self._observe(event)
        if not self._take(event.ordinary):
            if event.ordinary:
                self._dropped_ordinary += 1
            else:
                self._dropped_important += 1
            return
        self._append(event)

    def _append(self, event: Event) -> None:
        head = b'{"time":%.3f,"up":%.3f,"daemon":%s,' % (self._wall(), self._now(), self._daemon)
        self._buffer += head + self._encoder.encode(event)[1:] + b"\n"

    def _take(self, ordinary: bool) -> bool:
        now_s = self._now()
        self._tokens = min(BURST_LINES, self._tokens + (now_s - self._filled_s) * self._rate)
        self._filled_s = now_s
        floor = BURST_LINES * ORDINARY_RESERVE_SHARE if ordinary else 0.0
        if self._tokens - 1.0 < floor or len(self._buffer) > MAX_BUFFER_BYTES:
            return False
        self._tokens -= 1.0
        return True

    def flush(self) -> None:
        """Write what the reader of standard output takes now; keep the rest."""
        if self._dropped_ordinary or self._dropped_important:
            dropped = LinesDropped(ordinary=self._dropped_ordinary, important=self._dropped_important)
            if len(self._buffer) < MAX_BUFFER_BYTES:
                self._dropped_ordinary = self._dropped_important = 0
                self._append(dropped)
        while self._buffer:
            written = self._write(bytes(self._buffer))
            if written <= 0:
                return
            del self._buffer[:written]
