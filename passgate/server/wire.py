"""JSON bodies of the callers' and operators' interfaces.

Unknown fields of completion requests are ignored, because clients of the
OpenAI form send sampling fields that engines here do not know; all other
bodies refuse unknown fields.
"""

from __future__ import annotations

import msgspec
from msgspec import UNSET, UnsetType

from passgate.errors import ErrorBody
from passgate.records import PromptSpec
from passgate.schema import Labels, VersionSpan


class ErrorAnswer(msgspec.Struct, frozen=True):
    """Body of every answer that carries an error of passgate."""

    error: ErrorBody
    request_id: str


# --- completions -------------------------------------------------------------------


class CompletionFields(msgspec.Struct, frozen=True, kw_only=True):
    """Fields that both forms of completion request share."""

    model: str = ""
    """Model to use; may be left out when a selector is given."""
    selector: str = ""
    """Label selector over pools; the header X-Passgate-Selector goes before it."""
    version_selector: str = ""
    """Label selector over model versions; no token comes from a version older than the newest match."""
    minimum_version: int = 0
    """Oldest weight version that may produce any token."""
    max_tokens: int | None = None
    """Most tokens to produce; 16 when left out."""
    seed: int | None = None
    n: int = 1
    """Only 1 is supported."""
    stream: bool = False
    """Answer piece by piece as server-sent events."""


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
    """Newer name of ``max_tokens``; goes before it."""


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Token counts of one answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Provenance(msgspec.Struct, frozen=True, kw_only=True):
    """What truly produced an answer."""

    request_id: str
    model: str
    pool: str
    weight_versions: tuple[VersionSpan, ...]
    """Token ranges with the weight version that the engine reported for each."""
    replica_id: str
    attempts: int


class CompletionChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The output of a completion, or one piece of it when streamed."""

    index: int = 0
    text: str
    token_ids: tuple[int, ...]
    weight_version: int | UnsetType = UNSET
    """In a streamed piece: the version that produced it."""
    finish_reason: str | None = None


class CompletionAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``POST /v1/completions``, whole or a streamed piece."""

    id: str
    object: str = "text_completion"
    created: int
    """Unix seconds."""
    model: str
    choices: tuple[CompletionChoice, ...]
    usage: Usage | UnsetType = UNSET
    passgate: Provenance | UnsetType = UNSET
    """Present in a whole answer and in the last piece of a stream."""


class ChatAnswerMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Message (whole answer) or delta (streamed piece) of a chat completion."""

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
    """Answer of ``POST /v1/chat/completions``, whole or a streamed piece."""

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
    """Name chosen by the trainer; opening it again is harmless.  Left out: derived from Idempotency-Key."""
    model: str = ""
    selector: str = ""
    priority_class: str = "training"
    staleness_bound: int
    """Most versions that a sample may be behind the trainer's version at hand-over."""
    trainer_version: int
    """Weight version that the trainer is at; 0 means the newest one configured."""
    deadline_s: float | None = None
    """Seconds from now after which the lot is worthless."""
    prompts: tuple[PromptSpec, ...]


class SampleIds(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/lots/{lot_id}/acknowledge``, and answer of ``/replace``."""

    sample_ids: tuple[str, ...]


class ReplaceSamplesRequest(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/lots/{lot_id}/replace``; samples within the bound are left alone."""

    sample_ids: tuple[str, ...]
    trainer_version: int | None = None
    """Version that the trainer is at."""


class Done(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a change that has nothing else to say."""

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
    """Newest version that is not withdrawn; 0 when there is none."""
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
    """Revision of the whole configuration on the answering daemon."""
    objects: tuple[ConfigObjectView, ...]


class PutObjectRequest(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``PUT /v1/config/{kind}/{name}``."""

    labels: Labels = {}
    spec: msgspec.Raw
    expected_revision: int | None = None
    """Revision that is replaced; 0 means that the object must not exist; left out means any."""


class ApplyObject(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One object of ``POST /v1/config``."""

    kind: str
    name: str
    labels: Labels = {}
    spec: msgspec.Raw
    expected_revision: int | None = None


class ApplyRequest(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/config``: objects to put, in order."""

    objects: tuple[ApplyObject, ...]


class ChangeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted change, on the log for good."""

    kind: str
    name: str
    revision: int


class ApplyResult(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one object of ``POST /v1/config``."""

    kind: str
    name: str
    revision: int | None = None
    error: ErrorBody | None = None


class ApplyAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``POST /v1/config``; objects before the first error are in force."""

    results: tuple[ApplyResult, ...]


class DaemonView(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of one daemon."""

    daemon_id: str
    zone: str
    member_state: str
    """What membership believes: alive, suspect, dead or left."""
    reached: bool
    """Whether the daemon itself answered; else ``revision`` and ``life`` are not known."""
    life: str = ""
    """State of the daemon's life, see the chart ``daemon``."""
    revision: int = 0
    """Configuration revision in force on the daemon."""
    behind: int | None = None
    """Revisions between the newest known one and the daemon's."""
    labels: Labels = {}


class WatchAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /v1/watch``."""

    revision: int
    """Newest revision known to the answering daemon."""
    daemons: tuple[DaemonView, ...]


class HealthAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /healthz`` and ``GET /readyz``."""

    daemon_id: str
    state: str
    ready: bool
