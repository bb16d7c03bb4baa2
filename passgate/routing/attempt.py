"""One attempt of a request on one replica.

The attempt reads the engine's stream through a :class:`StreamAssembler` and
turns every way it can end into one typed error or a finished assembler.
Closing or cancelling it closes the stream, which cancels the engine's work.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

from passgate.clock import monotonic_s
from passgate.errors import BackendUnreachable, ExecutionStatus, IncompleteAnswer, PassgateError
from passgate.interfaces import EngineClient
from passgate.routing.execution import ExecutionLedger
from passgate.routing.replica_directory import ReplicaInfo
from passgate.routing.stream_assembler import StreamAssembler
from passgate.schema import GenerateChunk, GenerateRequest

STREAM_END_WAIT_S = 0.25
"""How long a finished stream may take to end; the answer is whole already."""

PieceCallback = Callable[["Attempt", GenerateChunk], None]


class Attempt:
    """One try of a request on a replica, with its progress."""

    def __init__(self, replica: ReplicaInfo, request: GenerateRequest, ledger: ExecutionLedger) -> None:
        self.replica = replica
        self.request = request
        self.assembler = StreamAssembler(request)
        self.started_s = monotonic_s()
        self.first_piece_s: float | None = None
        self.last_piece_s = self.started_s
        self._ledger = ledger
        self._number = ledger.open_attempt()

    @property
    def received(self) -> int:
        """Tokens received by this attempt, without those it resumed from."""
        return len(self.assembler.tokens) - len(self.request.resume_tokens)

    async def run(self, engine: EngineClient, on_piece: PieceCallback) -> Attempt:
        """Stream the output to its finish mark and return self.

        Raises:
            PassgateError: typed; its ``execution`` is this attempt's own status.
        """
        try:
            await self._stream(engine, on_piece)
        except PassgateError as error:
            if self.received > 0:
                error.execution = ExecutionStatus.RAN
            self._ledger.settle(self._number, error.execution)
            raise
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self._ledger.settle(self._number, ExecutionStatus.UNKNOWN)
            raise BackendUnreachable(f"client failed: {type(error).__name__}: {error}") from error
        return self

    async def _stream(self, engine: EngineClient, on_piece: PieceCallback) -> None:
        async with aclosing(engine.generate(self.replica.address, self.request)) as stream:
            async for chunk in stream:
                self.assembler.add(chunk)
                self._note_piece()
                on_piece(self, chunk)
                if chunk.finish_reason is not None:
                    await self._read_end(stream)
                    return
        raise IncompleteAnswer("stream ended without finish mark", execution=ExecutionStatus.UNKNOWN)

    async def _read_end(self, stream: AsyncIterator[GenerateChunk]) -> None:
        """Let the client see the stream's own end, so that its connection can be kept."""
        try:
            async with asyncio.timeout(STREAM_END_WAIT_S):
                extra = await anext(stream)
        except (StopAsyncIteration, TimeoutError, PassgateError):
            return
        self.assembler.add(extra)

    def _note_piece(self) -> None:
        self.last_piece_s = monotonic_s()
        if self.first_piece_s is None:
            self.first_piece_s = self.last_piece_s
            self._ledger.mark_ran(self._number)
