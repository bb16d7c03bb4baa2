"""Typed output of the engine model: what the driver has to pass on."""

from __future__ import annotations

import enum

import msgspec

from passgate.schema import GenerateChunk, GenerateRequest


class EndReason(enum.Enum):
    """Why a stream ended without its finish mark."""

    CANCELLED = "cancelled"
    CRASHED = "crashed"
    """The engine process died; connections are reset."""
    WEIGHTS_LOST = "weights_lost"
    """A swap failed partway and left the model without weights."""
    REPLACED = "replaced"
    """The same request identifier was submitted again."""


class ChunkProduced(msgspec.Struct, frozen=True):
    """A piece of output for one stream."""

    chunk: GenerateChunk


class StreamEnded(msgspec.Struct, frozen=True):
    """A stream ends here without a finish mark."""

    request_id: str
    reason: EndReason


class TransferWanted(msgspec.Struct, frozen=True):
    """The driver shall fetch weights and report to ``EngineModel.transferred``."""

    model: str
    version: int
    source: str


EngineEvent = ChunkProduced | StreamEnded | TransferWanted


class SwapFailure(enum.Enum):
    """Ways in which loading new weights fails."""

    STAGE_FAILS = "stage_fails"
    """The fetched weights are unusable; nothing changes."""
    KEEPS_OLD = "keeps_old"
    """Activation fails after its pause and the old version stays."""
    LOSES_WEIGHTS = "loses_weights"
    """Activation fails partway: the model has no usable weights until the next activation."""


class EngineCounters(msgspec.Struct):
    """Totals of one engine since it was made, over restarts; they conserve requests and tokens."""

    submitted: int = 0
    refused: int = 0
    started: int = 0
    """Entries into the batch, again after each preemption."""
    finished: int = 0
    cancelled: int = 0
    failed: int = 0
    preempted: int = 0
    prefilled_tokens: int = 0
    cache_hit_tokens: int = 0
    decoded_tokens: int = 0
    busy_s: float = 0.0
    paused_s: float = 0.0


class KvExport(msgspec.Struct, frozen=True, kw_only=True):
    """KV cache of one sequence, ready to be imported by another engine."""

    request: GenerateRequest
    """The request with the output so far as ``resume_tokens``."""
    version: int
    """Weight version that the cache belongs to; it is of no use under another one."""
    block_hashes: tuple[int, ...]
    size_bytes: int
    transfer_s: float
    """Time on the wire at the exporting engine's rate."""
