"""Headers and JSON bodies exchanged with engines, application services and the platform.

Engines are called through the completions interface that rollout engines share: ``POST /v1/completions``
with ``stream: true`` returns server-sent events.  An event has the tokens of one chunk and the
``weight_version`` that produced them; the event that ends the output also has the ``finish_reason``.

>>> EventDecoder().feed(b": ping\\n\\ndata: {}\\n\\nda")
[b'{}']
"""

from __future__ import annotations

from urllib.parse import quote

import msgspec

from passgate.errors import ErrorBody
from passgate.interfaces import LogEntry
from passgate.schema import CacheEvent, GenerateChunk, LoadReport, MachineInfo

REQUEST_ID_HEADER = "X-Request-Id"
EXECUTION_HEADER = "X-Execution-Status"
"""Set to ``not_run`` by an application service that refuses a call before running it."""
CALLER_HEADER = "X-Caller"
REPLICA_HEADER = "X-Replica-Id"
PRIORITY_HEADER = "X-Priority-Class"
TIMEOUT_HEADER = "X-Timeout-Ms"
NOT_REPEATABLE_HEADER = "X-Not-Repeatable"
LOAD_PATH = "/load"
"""Path of a back end's load report."""
JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"
PLAIN_HEADER_CHARACTERS = " !#$&'()*+,/:;=?@[]^`{|}~\""
"""Characters, besides letters, digits and ``_.-~``, that are not percent-encoded in headers."""
DONE_MARK = b"[DONE]"
MAX_EVENT_BYTES = 1024 * 1024


class CompletionCall(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of ``POST /v1/completions``."""

    model: str
    prompt: tuple[int, ...]
    max_tokens: int
    request_id: str
    stream: bool = False
    return_token_ids: bool = False
    seed: int = 0
    user: str = ""
    """Caller of the request; the engine shares its capacity fairly among callers."""
    priority_class: str = "default"
    timeout_s: float | None = None
    """Time left until the request's deadline; None means no deadline."""
    minimum_weight_version: int = 0
    resume_token_ids: tuple[int, ...] = ()
    """Output tokens of an earlier attempt, after which the engine continues."""


class CompletionChoice(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of a streamed chunk."""

    index: int = 0
    text: str = ""
    token_ids: tuple[int, ...] = ()
    finish_reason: str | None = None


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Token count that an engine reports at the end of a stream."""

    completion_tokens: int
    """Number of tokens of the complete output, including those of earlier attempts."""


class CompletionEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One server-sent event of a streamed completion; ``error`` ends the stream."""

    id: str = ""
    """Identifier of the request, maybe with the prefix ``cmpl-``."""
    object: str = "text_completion"
    choices: tuple[CompletionChoice, ...] = ()
    """One choice; empty in an event without output."""
    weight_version: int | str | None = None
    """Version that produced the tokens, as a number or as decimal text."""
    position: int | None = None
    """Position of the first token in the complete output, if the engine reports it."""
    usage: Usage | None = None
    error: ErrorBody | None = None


class CancelCall(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /v1/completions/cancel``."""

    request_id: str


class CacheEventsAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /cache_events?after=N``."""

    events: tuple[CacheEvent, ...] = ()


class AppLoadAnswer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer of an application service's ``GET /load``."""

    replica_id: str
    sequence: int
    """Increases with each report of one process."""
    running: int
    """Number of calls in progress."""
    waiting: int = 0
    """Number of calls in the service's own queue."""
    leaving: bool = False
    """Whether the replica accepts no new calls."""

    @classmethod
    def from_report(cls, report: LoadReport) -> AppLoadAnswer:
        """Return the answer with the fields that it shares with a report."""
        return cls(
            replica_id=report.replica_id,
            sequence=report.sequence,
            running=report.running,
            waiting=report.waiting,
            leaving=report.leaving,
        )

    def to_report(self) -> LoadReport:
        """Return the report; its token and KV fields are 0."""
        return LoadReport(
            replica_id=self.replica_id,
            sequence=self.sequence,
            running=self.running,
            waiting=self.waiting,
            outstanding_tokens=0,
            kv_used_tokens=0,
            kv_capacity_tokens=0,
            tokens_per_s=0.0,
            leaving=self.leaving,
        )


class AppendCall(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /v1/streams/NAME/records``; payloads are Base64 in JSON."""

    payloads: tuple[bytes, ...]


class AppendAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``POST /v1/streams/NAME/records``."""

    offset: int
    """Offset of the first appended record."""


class ReadAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /v1/streams/NAME/records?offset=N&limit=N&wait_s=S``."""

    entries: tuple[LogEntry, ...]
    end_offset: int


class MachinesAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /v1/machines``."""

    machines: tuple[MachineInfo, ...]


class MachineAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``POST /v1/machines/ID/leaving``."""

    machine_id: str


class WeightAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``GET /v1/weights/MODEL/VERSION``, and body of ``PUT`` to this path."""

    size_bytes: int


class ErrorAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an error answer that states the error's code and execution status."""

    error: ErrorBody


def encode_chunk(chunk: GenerateChunk, total_tokens: int | None = None) -> bytes:
    """Return the server-sent event of a chunk; ``total_tokens``, for the last chunk, adds a Usage."""
    finish = None if chunk.finish_reason is None else chunk.finish_reason.value
    event = CompletionEvent(
        id=chunk.request_id,
        choices=(CompletionChoice(token_ids=chunk.tokens, finish_reason=finish),),
        weight_version=chunk.version,
        position=chunk.start,
        usage=None if total_tokens is None else Usage(completion_tokens=total_tokens),
    )
    return encode_event(msgspec.json.encode(event))


def encode_event(data: bytes) -> bytes:
    """Return one server-sent event with ``data``, which must not contain line breaks."""
    return b"data: " + data + b"\n\n"


class EventDecoder:
    """Splits a byte stream into the ``data`` of its server-sent events.

    Each ``data`` line counts as one event; comments and other fields are ignored.
    """

    def __init__(self) -> None:
        self._unfinished_line = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the data of the events completed by ``data``.

        Raises ValueError if an unfinished line is longer than MAX_EVENT_BYTES.
        """
        lines = (self._unfinished_line + data).split(b"\n")
        self._unfinished_line = lines.pop()
        if len(self._unfinished_line) > MAX_EVENT_BYTES:
            raise ValueError("server-sent event is too long")
        return [line[5:].strip() for line in lines if line.startswith(b"data:")]

    @property
    def has_unfinished_line(self) -> bool:
        """Whether a line was received only in part."""
        return bool(self._unfinished_line.strip())


def encode_header_value(value: str) -> str:
    """Return a value for a header: letters, digits and some punctuation in ASCII, all else percent-encoded.

    >>> encode_header_value("Damião"), encode_header_value("linha/7")
    ('Dami%C3%A3o', 'linha/7')
    """
    return quote(value, safe=PLAIN_HEADER_CHARACTERS)


def authorization_headers(credential: str | None) -> dict[str, str]:
    """Return the headers with a bearer credential; empty without one."""
    return {} if credential is None else {"Authorization": f"Bearer {credential}"}
