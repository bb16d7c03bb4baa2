"""One attempt to run a generation request on one replica.

An attempt reads the engine's stream through a :class:`StreamAssembler`.  It ends with
a complete assembler or with one PassgateError.  Cancelling an attempt closes the
stream, which makes the engine stop generating.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

from passgate.clock import monotonic_s
from passgate.errors import BackendUnreachable, ExecutionStatus, IncompleteAnswer, PassgateError
from passgate.interfaces import EngineClient
from passgate.routing.execution import ExecutionHistory
from passgate.routing.replica_directory import ReplicaInfo
from passgate.routing.stream_assembler import StreamAssembler
from passgate.schema import GenerateChunk, GenerateRequest

STREAM_END_TIMEOUT_S = 0.25
"""Longest wait for the end of a stream whose finish mark has been read."""

AttemptChunkCallback = Callable[["Attempt", GenerateChunk], None]


class Attempt:
    """One attempt to run a request on a replica, and its progress.

    Creating it opens an attempt in ``execution``, so create it only right before it is run.
    """

    def __init__(self, replica: ReplicaInfo, request: GenerateRequest, execution: ExecutionHistory) -> None:
        self.replica = replica
        self.request = request
        self.assembler = StreamAssembler(request)
        self.started_s = monotonic_s()
        self.first_chunk_s: float | None = None
        self.last_chunk_s = self.started_s
        self._execution = execution
        self._attempt_number = execution.open_attempt()

    @property
    def received_tokens(self) -> int:
        """Number of tokens that this attempt generated, without those that it resumed from."""
        return len(self.assembler.tokens) - len(self.request.resume_tokens)

    async def run(self, engine: EngineClient, on_chunk: AttemptChunkCallback) -> Attempt:
        """Read the stream to its finish mark, passing each verified chunk to ``on_chunk``; return self.

        Raises:
            PassgateError: the attempt failed; ``execution`` is the status of this attempt alone.
        """
        try:
            await self._stream(engine, on_chunk)
        except PassgateError as error:
            if self.received_tokens > 0:
                error.execution = ExecutionStatus.RAN
            self._execution.record_end(self._attempt_number, error.execution)
            raise
        except asyncio.CancelledError:
            raise
        except Exception as error:
            self._execution.record_end(self._attempt_number, ExecutionStatus.UNKNOWN)
            raise BackendUnreachable(f"client failed: {type(error).__name__}: {error}") from error
        return self

    async def _stream(self, engine: EngineClient, on_chunk: AttemptChunkCallback) -> None:
        async with aclosing(engine.generate(self.replica.address, self.request)) as stream:
            async for chunk in stream:
                self.assembler.add_chunk(chunk)
                self._record_chunk()
                on_chunk(self, chunk)
                if chunk.finish_reason is not None:
                    await self._read_stream_end(stream)
                    return
        raise IncompleteAnswer("stream ended without a finish mark", execution=ExecutionStatus.UNKNOWN)

    async def _read_stream_end(self, stream: AsyncIterator[GenerateChunk]) -> None:
        """Read past the finish mark to the end of the stream, so that the client can reuse its connection.

        The output is complete, so a timeout or an error of the client here is ignored.
        The assembler raises an error for a chunk after the finish mark.
        """
        try:
            async with asyncio.timeout(STREAM_END_TIMEOUT_S):
                extra = await anext(stream)
        except (StopAsyncIteration, TimeoutError, PassgateError):
            return
        self.assembler.add_chunk(extra)

    def _record_chunk(self) -> None:
        self.last_chunk_s = monotonic_s()
        if self.first_chunk_s is None:
            self.first_chunk_s = self.last_chunk_s
            self._execution.record_output(self._attempt_number)
