"""Interfaces to external systems; only their implementations know the systems' protocols.

All implementations of one interface, over sockets or in virtual time, pass the same tests.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from typing import Protocol

import msgspec

from passgate.schema import (
    AppRequest,
    AppResponse,
    CacheEvent,
    EngineOrder,
    GenerateChunk,
    GenerateRequest,
    LoadReport,
    MachineInfo,
    OrderResult,
)


class LogEntry(msgspec.Struct, frozen=True):
    """One record on a stream of the log."""

    offset: int
    payload: bytes


class LogBatch(msgspec.Struct, frozen=True):
    """Result of a read."""

    entries: tuple[LogEntry, ...]
    end_offset: int
    """Offset of the next record, as far as the log replica that answered knows."""


class LogClient(Protocol):
    """The platform's append-only log: named streams of records with offsets.

    There is no conditional append.  A read may be answered by a log replica that lags behind, so
    ``end_offset`` may decrease between two reads.
    """

    async def append(self, stream: str, payloads: Sequence[bytes], timeout_s: float) -> int:
        """Append records in order and return the offset of the first.

        Raises:
            LogUnavailable: nothing was appended.
            LogAppendUnknown: no answer was received; all, some or none of the records may be appended.
        """
        ...

    async def read(self, stream: str, offset: int, limit: int, wait_s: float) -> LogBatch:
        """Return up to ``limit`` records from ``offset``, waiting up to ``wait_s`` for one.

        A stream that does not exist is empty.

        Raises:
            LogUnavailable: the log could not be read.
        """
        ...


class MachineList(Protocol):
    """The platform's list of live and leaving machines; it lags behind the machines' true state."""

    async def machines(self) -> Sequence[MachineInfo]:
        """Return the list; raises PlatformError if it can not be read."""
        ...


class WeightStore(Protocol):
    """The platform's rate-limited store of weights."""

    async def size_bytes(self, model: str, version: int) -> int:
        """Return the size of a version's weights; raises PlatformError if the store lacks it."""
        ...


class EngineClient(Protocol):
    """Client of model engines; ``address`` is a replica's ``host:port``."""

    def generate(self, address: str, request: GenerateRequest) -> AsyncIterator[GenerateChunk]:
        """Stream the output of one request.

        Closing the iterator cancels the request on the engine.

        Raises (while iterating):
            BackendRefused: the engine refused the request before running it (``not_run``).
            BackendUnreachable: ``execution`` is ``not_run`` only if the request was not sent.
            IncompleteAnswer: the stream ended without its end mark.
            AnswerMismatch: a chunk carries another request identifier.
        """
        ...

    async def cancel(self, address: str, request_id: str) -> None:
        """Ask an engine to stop working on a request; best effort, failures are ignored."""
        ...

    async def load_report(self, address: str) -> LoadReport:
        """Return the engine's latest report; raises BackendUnreachable."""
        ...

    async def cache_events(self, address: str, after_sequence: int) -> Sequence[CacheEvent]:
        """Return the cache events after a sequence number, maybe with gaps; raises BackendUnreachable."""
        ...

    async def order(self, address: str, order: EngineOrder) -> OrderResult:
        """Send a control order.

        Raises:
            OrderRefused: the engine refused it (old fence, unknown version, busy).
            BackendUnreachable: the call failed; the order may have taken effect unless ``execution`` is
                ``not_run``.
        """
        ...


class AppClient(Protocol):
    """Client of plain application services."""

    async def call(self, address: str, request: AppRequest) -> AppResponse:
        """Forward one call and return the complete answer.

        Raises:
            BackendRefused, BackendUnreachable, IncompleteAnswer, AnswerMismatch.
        """
        ...

    async def load_report(self, address: str) -> LoadReport:
        """Return the replica's latest report, which may be some time old.

        ``running`` and ``waiting`` count calls; token and KV fields are 0, and there are no versions.

        Raises:
            BackendUnreachable: the call failed.
            IncompleteAnswer: the answer is not a report.
        """
        ...
