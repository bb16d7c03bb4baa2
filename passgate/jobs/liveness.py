"""Probes writers that are silent on the log, to find out whether their daemons still run.

A writer is one incarnation of a daemon, that is, one run of its process; its name contains its peer address.
A probe is a call to that address.  A response under another writer's name proves that the writer has ended;
without a response, it may only be unreachable.  A response also says how long the log has not acknowledged an
append, and whether the log answers the daemon's reads.
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
"""Minimum time between the starts of two probes of the same writer."""
RESPONSE_TTL_S = 30.0
"""Age from which the outcome of a probe may be forgotten; longer than any takeover lasts."""


class AliveResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response of a daemon to a probe."""

    writer: str
    """Writer name of the daemon's present incarnation."""
    zone: str = ""
    """Zone of the daemon, to which the caller attributes the round-trip time."""
    waiting_s: float = 0.0
    """Time for which the log has not acknowledged the daemon's append to the partition; 0 if none waits."""
    log_answers: bool | None = None
    """Whether the log answers the daemon's reads of the operator's topic; None from a build that does not
    tell."""
    partition_answers: bool | None = None
    """Whether the log answers the daemon's reads of the partition; None from a daemon that does not follow
    it, is still catching up, or is of a build that does not tell."""


class WriterStatus(enum.Enum):
    """Outcome of a probe."""

    ALIVE = "alive"
    """The writer responds, and no append of it has been unacknowledged for CUT_OFF_AFTER_S."""
    CUT_OFF = "cut_off"
    """The writer responds, but its append has been unacknowledged for at least CUT_OFF_AFTER_S."""
    REPLACED = "replaced"
    """Another writer responds at the address, so this one has ended."""
    SILENT = "silent"
    """No valid response came from the writer's address."""


class _Probe(msgspec.Struct):
    """A probe that is running or has finished."""

    started_s: float
    response: asyncio.Task[AliveResponse | None]


class LivenessProber:
    """Probes writers in the background and remembers the latest outcome for each."""

    def __init__(self, probe: Callable[[str], Awaitable[AliveResponse | None]]) -> None:
        """Create the prober; ``probe`` calls a writer and returns its response, or None if there is none."""
        self._probe = probe
        self._probe_by_writer: dict[str, _Probe] = {}

    def status_of(self, writer: str, last_contact_s: float) -> WriterStatus | None:
        """Return the outcome of the writer's latest probe, and start another probe if one is due.

        Returns None if the latest probe is unfinished or started before the writer's last contact.  Starts
        no probe of a writer for which it returns REPLACED.  Needs a running event loop; does not wait.

        Args:
            writer: name of the writer.
            last_contact_s: loop time of the writer's last record; minus infinity if none was read.
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
