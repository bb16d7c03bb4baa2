"""JSON bodies of the callers' and the operators' HTTP interface.

Unknown fields of completion requests are ignored, because clients of the OpenAI API send sampling fields
that the engines do not support; other request bodies with unknown fields are rejected.
"""

from __future__ import annotations

import msgspec
from msgspec import UNSET, UnsetType

from passgate.errors import ErrorBody
from passgate.records import PromptSpec
from passgate.schema import Labels, VersionSpan


class ErrorAnswer(msgspec.Struct, frozen=True):
    """Body of every error answer."""

    error: ErrorBody
    request_id: str
    """The caller's X-Request-Id or, if it sent none, the daemon's identifier of the request."""


# --- completions -------------------------------------------------------------------


class CompletionFields(msgspec.Struct, frozen=True, kw_only=True):
    """Fields that text and chat completion requests share."""

    model: str = ""
    """Model to use; optional when there is a selector."""
    selector: str = ""
    """Label selector over pools; the header X-Passgate-Selector takes precedence."""
    version_selector: str = ""
    """Label selector over model versions; no token is produced by a version older than the newest match."""
    minimum_version: int = 0
    """Oldest weight version that may produce any token."""
    max_tokens: int | None = None
    """Maximum number of output tokens; 16 by default."""
    seed: int | None = None
    n: int = 1
    """Only 1 is supported."""
    stream: bool = False
    """Answer with server-sent events, one per chunk of tokens."""


class CompletionRequest(CompletionFields, frozen=True, kw_only=True):
    """Body of ``POST /v1/completions``."""

    prompt: str | list[int]
    """Text, or token identifiers."""


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a conversation."""

    role: str
    content: str


class ChatCompletionRequest(CompletionFields, frozen=True, kw_only=True):
    """Body of ``POST /v1/chat/completions``."""

    messages: list[ChatMessage]
    max_completion_tokens: int | None = None
    """Newer name of ``max_tokens``; takes precedence over it."""


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Token counts of one answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Provenance(msgspec.Struct, frozen=True, kw_only=True):
    """Pool, replica and weight versions that produced an answer."""

    request_id: str
    model: str
    pool: str
    weight_versions: tuple[VersionSpan, ...]
    """Token ranges, each with the weight version that the engine reported for it."""
    replica_id: str
    attempts: int


class CompletionChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The output of a completion, or one chunk of it when streamed."""

    index: int = 0
    text: str
    token_ids: tuple[int, ...]
    weight_version: int | UnsetType = UNSET
    """Weight version that produced a streamed chunk."""
    finish_reason: str | None = None


class CompletionAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``POST /v1/completions``, or one chunk of a streamed answer."""

    id: str
    object: str = "text_completion"
    created: int
    """Unix seconds."""
    model: str
    choices: tuple[CompletionChoice, ...]
    usage: Usage | UnsetType = UNSET
    passgate: Provenance | UnsetType = UNSET
    """Absent in all chunks of a stream but the last."""


class ChatAnswerMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Message of a chat completion, or the part of it in one streamed chunk."""

    role: str = "assistant"
    content: str


class ChatChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The output of a chat completion; ``delta`` when streamed, else ``message``."""

    index: int = 0
    message: ChatAnswerMessage | UnsetType = UNSET
    delta: ChatAnswerMessage | UnsetType = UNSET
    token_ids: tuple[int, ...]
    weight_version: int | UnsetType = UNSET
    finish_reason: str | None = None


class ChatCompletionAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``POST /v1/chat/completions``, or one chunk of a streamed answer."""

    id: str
    object: str = "chat.completion"
    created: int
    model: str
    choices: tuple[ChatChoice, ...]
    usage: Usage | UnsetType = UNSET
    passgate: Provenance | UnsetType = UNSET


# --- lots --------------------------------------------------------------------------


class OpenLotRequest(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/lots``."""

    lot_id: str = ""
    """Name that the trainer gives to the lot; by default derived from the header Idempotency-Key, if set."""
    model: str = ""
    selector: str = ""
    priority_class: str = "training"
    staleness_bound: int
    """Maximum number of versions that a sample may be behind the trainer's when it is delivered."""
    trainer_version: int
    """Weight version that the trainer has; 0 means the newest one configured."""
    deadline_s: float | None = None
    """Seconds from now after which missing samples fail."""
    prompts: tuple[PromptSpec, ...]


class SampleIds(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/lots/{lot_id}/acknowledge``, and answer of ``/replace``."""

    sample_ids: tuple[str, ...]


class ReplaceSamplesRequest(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/lots/{lot_id}/replace``; samples within the staleness bound are not replaced."""

    sample_ids: tuple[str, ...]
    trainer_version: int | None = None
    """Weight version that the trainer has."""


class Done(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of a change that returns no other value."""

    done: bool = True


class PublishVersionRequest(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/models/{model}/versions``."""

    version: int
    uri: str = ""
    labels: Labels = {}


class VersionList(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /v1/models/{model}/versions``."""

    model: str
    newest: int
    """Newest version that is not withdrawn; 0 if there is none."""
    versions: tuple[ConfigObjectView, ...]


# --- operators ---------------------------------------------------------------------


class ConfigObjectView(msgspec.Struct, frozen=True, kw_only=True):
    """One configuration object."""

    kind: str
    name: str
    revision: int
    labels: Labels
    spec: msgspec.Raw
    """JSON of the kind's specification."""


class ConfigList(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /v1/config`` and ``GET /v1/config/{kind}``."""

    revision: int
    """Revision of the configuration that is active on the answering daemon."""
    objects: tuple[ConfigObjectView, ...]


class PutObjectRequest(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``PUT /v1/config/{kind}/{name}``."""

    labels: Labels = {}
    spec: msgspec.Raw
    expected_revision: int | None = None
    """Revision that the change replaces; 0 requires that the object does not exist, None accepts any."""


class ApplyObject(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One object of ``POST /v1/config``."""

    kind: str
    name: str
    labels: Labels = {}
    spec: msgspec.Raw
    expected_revision: int | None = None


class ApplyRequest(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/config``: objects to create or replace, in order."""

    objects: tuple[ApplyObject, ...]


class ChangeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of a change that is on the log."""

    kind: str
    name: str
    revision: int


class ApplyResult(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one object of ``POST /v1/config``: its new revision, or an error."""

    kind: str
    name: str
    revision: int | None = None
    error: ErrorBody | None = None


class ApplyAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``POST /v1/config``: outcomes up to the first error; earlier objects are changed."""

    results: tuple[ApplyResult, ...]


class DaemonView(msgspec.Struct, frozen=True, kw_only=True):
    """State of one daemon as another daemon knows it."""

    daemon_id: str
    zone: str
    member_state: str
    """State in the membership of the answering daemon: alive, suspect, dead or left."""
    reached: bool
    """Whether the daemon answered; if not, ``life``, ``revision`` and ``labels`` are unknown."""
    life: str = ""
    """State of the daemon's lifecycle, see the state chart ``daemon``."""
    revision: int = 0
    """Configuration revision that is active on the daemon."""
    behind: int | None = None
    """Number of revisions from the daemon's to the newest known one; None if it did not answer."""
    labels: Labels = {}


class WatchAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /v1/watch``."""

    revision: int
    """Newest revision that any of the daemons reports."""
    daemons: tuple[DaemonView, ...]


class HealthAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /healthz`` and ``GET /readyz``."""

    daemon_id: str
    state: str
    """State of the daemon's lifecycle, see the state chart ``daemon``."""
    ready: bool
    """Whether load balancers should send requests to the daemon."""
