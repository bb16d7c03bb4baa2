"""Events of an engine model, which its owner delivers, and the model's counters."""

from __future__ import annotations

import enum

import msgspec

from passgate.schema import GenerateChunk, GenerateRequest


class EndReason(enum.Enum):
    """Why a stream ended without a finish reason."""

    CANCELLED = "cancelled"
    CRASHED = "crashed"
    """The engine process crashed; its connections are reset."""
    WEIGHTS_LOST = "weights_lost"
    """A swap failed partway and left the model without weights."""
    REPLACED = "replaced"
    """The same request identifier was submitted again."""


class ChunkProduced(msgspec.Struct, frozen=True):
    """A chunk of output for the stream of ``chunk.request_id``."""

    chunk: GenerateChunk


class StreamEnded(msgspec.Struct, frozen=True):
    """A stream ended without a finish reason."""

    request_id: str
    reason: EndReason


class TransferRequested(msgspec.Struct, frozen=True):
    """The owner must fetch weights and then call ``EngineModel.record_transfer_end``."""

    model: str
    version: int
    source: str
    """``store`` for the weight store, otherwise the address of an engine."""


EngineEvent = ChunkProduced | StreamEnded | TransferRequested


class SwapFailure(enum.Enum):
    """Injected failures of loading new weights."""

    STAGE_FAILS = "stage_fails"
    """The fetched weights are unusable and dropped; the active version stays."""
    KEEPS_OLD = "keeps_old"
    """Activation fails after its pause; the old version stays active."""
    LOSES_WEIGHTS = "loses_weights"
    """Activation fails halfway; the model has no usable weights until the next activation."""


class EngineCounters(msgspec.Struct):
    """Totals of one engine since it was made, over restarts.

    ``submitted`` is the sum of ``refused``, ``finished``, ``cancelled``, ``failed`` and the requests that
    are waiting or running and not cancelled.
    """

    submitted: int = 0
    refused: int = 0
    started: int = 0
    """Entries into the batch; a request enters again after each preemption."""
    finished: int = 0
    cancelled: int = 0
    failed: int = 0
    preempted: int = 0
    prefilled_tokens: int = 0
    cache_hit_tokens: int = 0
    decoded_tokens: int = 0
    total_busy_s: float = 0.0
    total_paused_s: float = 0.0


class KvExport(msgspec.Struct, frozen=True, kw_only=True):
    """Copy of one sequence's KV cache that another engine can import."""

    request: GenerateRequest
    """The request, with the output so far in ``resume_tokens``."""
    version: int
    """Weight version that computed the cache; the cache is useless under any other."""
    block_hashes: tuple[int, ...]
    size_bytes: int
    transfer_s: float
    """Transfer time at the exporting engine's upload rate."""
