"""Probes writers that are silent on the log, to find out whether their daemons still run.

A probe is a call to the writer's peer address.  A response from another incarnation of the daemon
proves that the writer's process has ended.  Without a response the writer may only be unreachable.
A writer that responds reports also for how long the log has not acknowledged its appends.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable

import msgspec

from passgate.clock import monotonic_s

CUT_OFF_AFTER_S = 0.45
"""A writer whose current append is unacknowledged for this long counts as cut off from the log."""
PROBE_INTERVAL_S = 0.3
"""Shortest time between two probes of the same writer."""
RESPONSE_TTL_S = 30.0
"""Time for which a probe is remembered; longer than any takeover lasts."""


class AliveResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response of a daemon to a probe."""

    writer: str
    """Writer name of the daemon's present incarnation."""
    zone: str = ""
    """Zone of the daemon, to which the caller attributes the round-trip time."""
    waiting_s: float = 0.0
    """Time for which the log has not acknowledged the daemon's append to the partition in question."""


class WriterStatus(enum.Enum):
    """Outcome of a probe."""

    ALIVE = "alive"
    """The writer responds, and the log acknowledges its appends."""
    CUT_OFF = "cut_off"
    """The writer responds, but the log does not acknowledge its appends."""
    REPLACED = "replaced"
    """Another incarnation of the writer's daemon responds, so the writer has ended."""
    SILENT = "silent"
    """Nothing responds at the writer's address."""


class _Probe(msgspec.Struct):
    """A probe that is running or has finished."""

    started_s: float
    response: asyncio.Task[AliveResponse | None]


class LivenessProber:
    """Probes writers in the background and remembers the latest outcomes."""

    def __init__(self, probe: Callable[[str], Awaitable[AliveResponse | None]]) -> None:
        """Create the prober; ``probe`` calls a writer and returns the response, None without one."""
        self._probe = probe
        self._probe_by_writer: dict[str, _Probe] = {}

    def status_of(self, writer: str, last_contact_s: float) -> WriterStatus | None:
        """Return the outcome of the writer's latest probe, and start another probe if one is due.

        Returns None unless that probe started after the writer's last contact and has finished.  A
        writer known to be replaced is not probed again.  Needs a running event loop; does not wait.

        Args:
            writer: name of the writer.
            last_contact_s: loop time of the writer's last record.
        """
        now_s = monotonic_s()
        latest_probe = self._probe_by_writer.get(writer)
        status = None
        if (
            latest_probe is not None
            and latest_probe.response.done()
            and latest_probe.started_s > last_contact_s
        ):
            status = _status_from(writer, latest_probe.response.result())
        if status is not WriterStatus.REPLACED and (
            latest_probe is None or self._may_probe_again(latest_probe, now_s)
        ):
            self._start_probe(writer, now_s)
        return status

    @staticmethod
    def _may_probe_again(latest_probe: _Probe, now_s: float) -> bool:
        return latest_probe.response.done() and now_s - latest_probe.started_s > PROBE_INTERVAL_S

    def _start_probe(self, writer: str, now_s: float) -> None:
        self._probe_by_writer = {
            key: probe
            for key, probe in self._probe_by_writer.items()
            if now_s - probe.started_s < RESPONSE_TTL_S
        }
        response = asyncio.get_running_loop().create_task(self._await_response(writer))
        self._probe_by_writer[writer] = _Probe(now_s, response)

    async def _await_response(self, writer: str) -> AliveResponse | None:
        return await self._probe(writer)


def _status_from(writer: str, response: AliveResponse | None) -> WriterStatus:
    if response is None:
        return WriterStatus.SILENT
    if response.writer != writer:
        return WriterStatus.REPLACED
    return WriterStatus.CUT_OFF if response.waiting_s >= CUT_OFF_AFTER_S else WriterStatus.ALIVE
