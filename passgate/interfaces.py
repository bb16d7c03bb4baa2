"""Seams to the outside systems: one adapter each, nothing else knows a protocol.

Every implementation, over sockets or in virtual time, passes the same tests.
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
    """First offset not yet written, as the answering log replica knows it."""


class LogClient(Protocol):
    """The platform's append-only log: named streams of records with offsets.

    There is no conditional append.  A read may be answered by a replica that
    lags behind, so ``end_offset`` may go back between two reads.
    """

    async def append(self, stream: str, payloads: Sequence[bytes], timeout_s: float) -> int:
        """Append records in order and return the offset of the first.

        Raises:
            LogUnavailable: nothing was appended.
            LogAppendUnknown: the answer was lost; all, some or none may be there.
        """
        ...

    async def read(self, stream: str, offset: int, limit: int, wait_s: float) -> LogBatch:
        """Return up to ``limit`` records from ``offset``, waiting up to ``wait_s`` for one.

        A stream never written to reads as empty.

        Raises:
            LogUnavailable: the log could not be read.
        """
        ...


class MachineList(Protocol):
    """The platform's lagging list of live and leaving machines."""

    async def machines(self) -> Sequence[MachineInfo]:
        """Return the list; raises PlatformError when it can not be read."""
        ...


class WeightStore(Protocol):
    """The platform's rate-limited store of weights."""

    async def size_bytes(self, model: str, version: int) -> int:
        """Return the size of one version; raises PlatformError when absent."""
        ...


class EngineClient(Protocol):
    """Client of model engines; ``address`` is a replica's ``host:port``."""

    def generate(self, address: str, request: GenerateRequest) -> AsyncIterator[GenerateChunk]:
        """Stream the output of one request.

        Closing the iterator cancels the request on the engine.

        Raises (while iterating):
            BackendRefused: the engine refused it before running (``not_run``).
            BackendUnreachable: ``execution`` is ``not_run`` only when no byte was sent.
            IncompleteAnswer: the stream ended without its finish mark.
            AnswerMismatch: a chunk carries another request identifier.
        """
        ...

    async def cancel(self, address: str, request_id: str) -> None:
        """Ask an engine to stop working on a request; failures are ignored."""
        ...

    async def load_report(self, address: str) -> LoadReport:
        """Return the engine's latest report; raises BackendUnreachable."""
        ...

    async def cache_events(self, address: str, after_sequence: int) -> Sequence[CacheEvent]:
        """Return later cache events, perhaps with gaps; raises BackendUnreachable."""
        ...

    async def order(self, address: str, order: EngineOrder) -> OrderResult:
        """Send a control order.

        Raises:
            OrderRefused: the engine refused it (old fence, unknown version, busy).
            BackendUnreachable: the order may have taken effect when ``execution`` is unknown.
        """
        ...


class AppClient(Protocol):
    """Client of plain application services."""

    async def call(self, address: str, request: AppRequest) -> AppResponse:
        """Forward one call and return the whole answer.

        Raises:
            BackendRefused, BackendUnreachable, IncompleteAnswer, AnswerMismatch.
        """
        ...

    async def load_report(self, address: str) -> LoadReport:
        """Return the replica's latest report, taken some time before it is read.

        ``running`` and ``waiting`` count calls, ``leaving`` is the replica's own
        word; token and KV fields are 0 and there are no versions.

        Raises:
            BackendUnreachable: nothing was read.
            IncompleteAnswer: the answer is not a report.
        """
        ...
