"""Typed requests, results and reports shared by all parts of passgate.

Times are seconds on the event loop's clock unless a name says otherwise;
token positions count from zero.  Weight versions are positive integers that
grow by publication order within one model.
"""

from __future__ import annotations

import enum

import msgspec


class Label(msgspec.Struct, frozen=True, order=True):
    """One ``key=value`` label."""

    key: str
    value: str


Labels = dict[str, str]
"""Label keys to values, as written by operators."""


class MachineRole(enum.Enum):
    """What runs on a machine of the platform's list."""

    DAEMON = "daemon"
    ENGINE = "engine"
    APP = "app"


class MachineState(enum.Enum):
    """State of a machine; later members are more cautious and win a merge."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class MachineInfo(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the platform's lagging machine list."""

    machine_id: str
    role: MachineRole
    address: str
    """``host:port`` of the machine's service."""
    zone: str
    labels: Labels = {}
    state: MachineState = MachineState.LIVE
    generation: int = 0
    """Grows when a machine is replaced under the same identifier."""


class VersionSpan(msgspec.Struct, frozen=True, order=True):
    """Tokens ``[start, end)`` of an output were produced by ``version``."""

    start: int
    end: int
    version: int


class FinishReason(enum.Enum):
    """Why an engine ended its output; absent while the output goes on."""

    STOP = "stop"
    LENGTH = "length"


class GenerateRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request for generated tokens, after parsing and selection."""

    request_id: str
    caller: str
    """Identity that fairness and limits count against."""
    pool: str
    """Name of the chosen pool."""
    model: str
    prompt: tuple[int, ...]
    """Prompt token identifiers."""
    max_tokens: int
    seed: int = 0
    priority_class: str = "default"
    deadline_s: float | None = None
    """Absolute loop time after which the answer is worthless."""
    repeatable: bool = True
    minimum_version: int = 0
    """Oldest weight version acceptable for any token."""
    resume_tokens: tuple[int, ...] = ()
    """Output tokens already received from an earlier attempt."""
    resume_spans: tuple[VersionSpan, ...] = ()


class GenerateChunk(msgspec.Struct, frozen=True, kw_only=True):
    """One piece of an engine's streamed output."""

    request_id: str
    start: int
    """Position of the first token of this piece in the whole output."""
    tokens: tuple[int, ...]
    version: int | None
    """Weight version that produced this piece, as reported by the engine."""
    finish_reason: FinishReason | None = None


class GenerateResult(msgspec.Struct, frozen=True, kw_only=True):
    """A whole, verified answer."""

    request_id: str
    tokens: tuple[int, ...]
    spans: tuple[VersionSpan, ...]
    """Covers every token exactly once, in order; adjacent equal versions merged."""
    finish_reason: FinishReason
    replica_id: str
    """Replica that finished the output."""
    attempts: int = 1

    def oldest_version(self) -> int:
        """Return the oldest weight version among the spans."""
        return min(span.version for span in self.spans)


class AppRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A call to be forwarded to an application service."""

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
    """How long after the deadline the answer of a call that was sent is still awaited.

    For calls that may run only once: their answer is kept for the caller's next question.
    """
    repeatable: bool = True


class AppResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Whole answer of an application service."""

    request_id: str
    status: int
    body: bytes
    content_type: str = "application/json"
    replica_id: str = ""


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """A back end's own view of its load, taken some time before it is read.

    Application services count calls; their token and KV fields are 0.
    """

    replica_id: str
    sequence: int
    """Grows with each report of one process of the back end."""
    running: int
    """Sequences in the batch, or calls being executed."""
    waiting: int
    outstanding_tokens: int
    """Prefill plus expected decode tokens not yet processed."""
    kv_used_tokens: int
    kv_capacity_tokens: int
    tokens_per_s: float
    """Recent decode rate over all sequences."""
    versions: Labels = {}
    """Model name to loaded weight version, as decimal text."""
    leaving: bool = False


class CacheEventKind(enum.Enum):
    """What happened to a prefix block in an engine's cache."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One cache event; a jump in ``sequence`` shows that events were lost."""

    replica_id: str
    sequence: int
    kind: CacheEventKind
    block_hash: int = 0
    """Hash of the prefix up to and including the block, see ``routing.prefix``."""


class OrderKind(enum.Enum):
    """Control orders understood by engines."""

    STAGE_VERSION = "stage_version"
    """Fetch weights into spare memory without using them."""
    ACTIVATE_VERSION = "activate_version"
    """Use staged weights for all later tokens."""
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"
    DRAIN = "drain"
    RESUME = "resume"


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """A fenced control order."""

    order_id: str
    kind: OrderKind
    fence: int
    """Epoch of the ordering lease holder; engines refuse a smaller one than seen."""
    model: str = ""
    version: int = 0
    source: str = ""
    """Where to fetch weights: ``store`` or the address of another engine."""
    argument: str = ""


class OrderResult(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's answer to an accepted order."""

    order_id: str
    done: bool
    """False while the order is still being carried out."""
    detail: str = ""
