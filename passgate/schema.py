"""Requests, results and reports that several packages share.

Times are seconds on the event loop's clock unless a name says otherwise.  Token positions are counted from
0.  Weight versions are positive integers that increase with each publication for a model.
"""

from __future__ import annotations

import enum

import msgspec


class Label(msgspec.Struct, frozen=True, order=True):
    """One ``key=value`` label."""

    key: str
    value: str


Labels = dict[str, str]
"""Label value by key, as written by operators."""


class MachineRole(enum.Enum):
    """Kind of service that runs on a machine."""

    DAEMON = "daemon"
    ENGINE = "engine"
    APP = "app"


class MachineState(enum.Enum):
    """State of a machine, from least to most cautious; of two reports the more cautious one is used."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class MachineInfo(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the platform's machine list."""

    machine_id: str
    role: MachineRole
    address: str
    """``host:port`` of the machine's service."""
    zone: str
    labels: Labels = {}
    state: MachineState = MachineState.LIVE
    generation: int = 0
    """Increases when a machine is replaced by another with the same identifier."""


class VersionSpan(msgspec.Struct, frozen=True, order=True):
    """Range ``[start, end)`` of an output's tokens that one weight version produced."""

    start: int
    end: int
    version: int


class FinishReason(enum.Enum):
    """Why an engine ended an output: STOP if it was complete, LENGTH at ``max_tokens``."""

    STOP = "stop"
    LENGTH = "length"


class GenerateRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A validated request for generated tokens whose pool is selected."""

    request_id: str
    caller: str
    """Identity to which fairness and limits apply."""
    pool: str
    """Name of the selected pool."""
    model: str
    prompt: tuple[int, ...]
    """Prompt token identifiers."""
    max_tokens: int
    seed: int = 0
    priority_class: str = "default"
    deadline_s: float | None = None
    """Loop time after which the answer is of no use; None means no deadline."""
    repeatable: bool = True
    """Whether the request may run more than once."""
    minimum_version: int = 0
    """Oldest weight version acceptable for any token."""
    resume_tokens: tuple[int, ...] = ()
    """Output tokens received from an earlier attempt, which the next attempt continues."""
    resume_spans: tuple[VersionSpan, ...] = ()
    """Weight versions of ``resume_tokens``."""


class GenerateChunk(msgspec.Struct, frozen=True, kw_only=True):
    """Consecutive tokens of an engine's streamed output."""

    request_id: str
    start: int
    """Position of the chunk's first token in the complete output."""
    tokens: tuple[int, ...]
    version: int | None
    """Weight version that produced the tokens, as reported by the engine."""
    finish_reason: FinishReason | None = None
    """Set in the last chunk only."""


class GenerateResult(msgspec.Struct, frozen=True, kw_only=True):
    """A complete, verified output."""

    request_id: str
    tokens: tuple[int, ...]
    spans: tuple[VersionSpan, ...]
    """Cover every token exactly once, in order; adjacent spans have different versions."""
    finish_reason: FinishReason
    replica_id: str
    """Replica that finished the output."""
    attempts: int = 1

    def oldest_version(self) -> int:
        """Return the oldest weight version among the spans."""
        return min(span.version for span in self.spans)


class AppRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A call to forward to an application service."""

    request_id: str
    caller: str
    pool: str
    method: str
    path: str
    body: bytes
    content_type: str = "application/json"
    priority_class: str = "interactive"
    deadline_s: float | None = None
    outcome_grace_s: float = 0.0
    """Time after the deadline for which the answer of a sent call is still awaited.

    Set for at-most-once calls, whose answer is stored for a repetition by the caller.
    """
    repeatable: bool = True
    """Whether the call may run more than once."""


class AppResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Complete answer of an application service."""

    request_id: str
    status: int
    body: bytes
    content_type: str = "application/json"
    replica_id: str = ""


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load that a back end reports of itself; it may be some time old when it is read.

    Application services report calls; their token and KV fields are 0.
    """

    replica_id: str
    sequence: int
    """Increases with each report of one process of the back end."""
    running: int
    """Sequences in the batch, or calls in progress."""
    waiting: int
    """Sequences or calls in the back end's queue."""
    outstanding_tokens: int
    """Prefill tokens plus expected decode tokens that are not processed yet."""
    kv_used_tokens: int
    kv_capacity_tokens: int
    tokens_per_s: float
    """Recent decode rate of all sequences together."""
    versions: Labels = {}
    """Loaded weight version by model name, as decimal text."""
    leaving: bool = False
    """Whether the back end accepts no new requests."""


class CacheEventKind(enum.Enum):
    """What happened to a prefix block in an engine's cache."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One event of an engine's prefix cache; a gap in ``sequence`` means that events were lost."""

    replica_id: str
    sequence: int
    kind: CacheEventKind
    block_hash: int = 0
    """Hash of the prefix up to and including the block, see ``routing.prefix``."""


class OrderKind(enum.Enum):
    """Control orders that engines accept."""

    STAGE_VERSION = "stage_version"
    """Fetch weights into spare memory without using them."""
    ACTIVATE_VERSION = "activate_version"
    """Use the staged weights for all later tokens."""
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"
    DRAIN = "drain"
    RESUME = "resume"


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """A control order; its fence lets engines refuse orders of a former lease holder."""

    order_id: str
    kind: OrderKind
    fence: int
    """Epoch of the sender's lease; engines refuse an epoch below the highest one received."""
    model: str = ""
    version: int = 0
    source: str = ""
    """Where to fetch weights from: ``store``, or the address of another engine."""
    argument: str = ""


class OrderResult(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's answer to an accepted order."""

    order_id: str
    done: bool
    """Whether the order was carried out; False while it is in progress."""
    detail: str = ""
