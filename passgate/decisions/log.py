"""Writes decision events to standard output as JSON lines, at a limited rate and from a buffer."""

from __future__ import annotations

import os
import time
from collections.abc import Callable

import msgspec

from passgate.clock import since_boot_s
from passgate.decisions.base import Event, LinesDropped

LINES_PER_S = 60.0
"""Rate at which the token bucket is refilled; each line takes one token."""
MAX_BURST_LINES = 240.0
"""Size of the token bucket."""
IMPORTANT_RESERVE_SHARE = 0.5
"""Share of the token bucket that routine events must leave for all other events."""
MAX_BUFFER_BYTES = 256 * 1024
"""Size of the buffer of unwritten lines; while the buffer is larger, events are dropped."""
STDOUT_FD = 1


def _write_stdout(data: bytes) -> int:
    """Write to standard output; return the number of bytes written, 0 when the reader is too slow.

    Standard output must be in non-blocking mode, as otherwise a slow reader blocks the event loop.  Data for
    a closed or broken standard output counts as written and is lost.
    """
    try:
        return os.write(STDOUT_FD, data)
    except BlockingIOError:
        return 0
    except OSError:
        return len(data)


class DecisionLog:
    """Buffers events as JSON lines and writes them on :meth:`flush`."""

    def __init__(
        self,
        daemon_id: str,
        *,
        write: Callable[[bytes], int] = _write_stdout,
        now: Callable[[], float] = since_boot_s,
        wall_clock: Callable[[], float] = time.time,
        lines_per_s: float = LINES_PER_S,
        observe: Callable[[Event], None] | None = None,
    ) -> None:
        """Create an empty log.

        Args:
            daemon_id: identifier of the daemon, part of each line.
            write: writes as many bytes as it can without blocking and returns their number.
            now: returns seconds since the machine was booted, suspensions included.
            wall_clock: returns the Unix time in seconds.
            lines_per_s: lines a second that may be written on average, besides those about dropped lines.
            observe: called with each event, also with those that are dropped.
        """
        self._write = write
        self._now = now
        self._wall_clock = wall_clock
        self._observe = observe
        self._lines_per_s = lines_per_s
        self._tokens = MAX_BURST_LINES
        self._last_refill_s = now()
        self._buffer = bytearray()
        self._dropped_routine = 0
        self._dropped_important = 0
        self._encoder = msgspec.json.Encoder()
        self._encoded_daemon_id = msgspec.json.encode(daemon_id)

    def write(self, event: Event) -> None:
        """Buffer an event for the next flush, or drop it if the budget or the buffer is exhausted."""
        if self._observe is not None:
            self._observe(event)
        if not self._take_token(event.is_routine):
            if event.is_routine:
                self._dropped_routine += 1
            else:
                self._dropped_important += 1
            return
        self._buffer_line(event)

    def _buffer_line(self, event: Event) -> None:
        prefix = b'{"time":%.3f,"up":%.3f,"daemon":%s,' % (
            self._wall_clock(),
            self._now(),
            self._encoded_daemon_id,
        )
        self._buffer += prefix + self._encoder.encode(event)[1:] + b"\n"

    def _take_token(self, is_routine: bool) -> bool:
        """Take a token for one line; return False if the line must be dropped."""
        now_s = self._now()
        self._tokens = min(MAX_BURST_LINES, self._tokens + (now_s - self._last_refill_s) * self._lines_per_s)
        self._last_refill_s = now_s
        reserved = MAX_BURST_LINES * IMPORTANT_RESERVE_SHARE if is_routine else 0.0
        if self._tokens - 1.0 < reserved or len(self._buffer) > MAX_BUFFER_BYTES:
            return False
        self._tokens -= 1.0
        return True

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking; the rest stays for the next flush."""
        if self._dropped_routine or self._dropped_important:
            dropped = LinesDropped(ordinary=self._dropped_routine, important=self._dropped_important)
            if len(self._buffer) < MAX_BUFFER_BYTES:
                self._dropped_routine = self._dropped_important = 0
                self._buffer_line(dropped)
        while self._buffer:
            written = self._write(bytes(self._buffer))
            if written <= 0:
                return
            del self._buffer[:written]
