"""Bodies exchanged with engines, app services and the platform; JSON throughout.

The engines' part follows the completions interface that rollout engines share:
``POST /v1/completions`` with ``stream: true`` answers server-sent events, each
with the tokens of one piece and the ``weight_version`` that produced them, the
last event before ``[DONE]`` carrying ``finish_reason``.

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
"""Set to ``not_run`` by an app service that refuses a call before running it."""
CALLER_HEADER = "X-Caller"
REPLICA_HEADER = "X-Replica-Id"
PRIORITY_HEADER = "X-Priority-Class"
TIMEOUT_HEADER = "X-Timeout-Ms"
NOT_REPEATABLE_HEADER = "X-Not-Repeatable"
LOAD_PATH = "/load"
"""Where back ends answer their load report."""
JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"
PLAIN_HEADER_CHARACTERS = " !#$&'()*+,/:;=?@[]^`{|}~\""
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
    """Caller that fairness counts against."""
    priority_class: str = "default"
    timeout_s: float | None = None
    """Time left until the answer is worthless."""
    minimum_weight_version: int = 0
    resume_token_ids: tuple[int, ...] = ()
    """Output tokens of an earlier attempt; the engine goes on after them."""


class CompletionChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The only choice of a streamed piece."""

    index: int = 0
    text: str = ""
    token_ids: tuple[int, ...] = ()
    finish_reason: str | None = None


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Token counts of the whole output, on the last event."""

    completion_tokens: int


class CompletionEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One server-sent event of a streamed completion; ``error`` ends the stream."""

    id: str = ""
    object: str = "text_completion"
    choices: tuple[CompletionChoice, ...] = ()
    weight_version: int | str | None = None
    """Version that produced the piece, as a number or its decimal text."""
    position: int | None = None
    """Position of the piece's first token in the whole output, when the engine tells it."""
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
    """Grows with each report of one process."""
    running: int
    """Calls being executed."""
    waiting: int = 0
    """Calls that the service queues itself."""
    leaving: bool = False
    """The replica takes no new calls."""

    @classmethod
    def of(cls, report: LoadReport) -> AppLoadAnswer:
        """Return the answer that carries an application's report."""
        return cls(
            replica_id=report.replica_id,
            sequence=report.sequence,
            running=report.running,
            waiting=report.waiting,
            leaving=report.leaving,
        )

    def report(self) -> LoadReport:
        """Return the report, without tokens or KV memory."""
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
    """Offset of the first appended record."""

    offset: int


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
    """Answer of ``GET /v1/weights/MODEL/VERSION``."""

    size_bytes: int


class ErrorAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Body of every JSON error answer."""

    error: ErrorBody


def encode_chunk(chunk: GenerateChunk, total_tokens: int | None = None) -> bytes:
    """Return the server-sent event of a chunk; ``total_tokens`` goes into the last one."""
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
    """Return one server-sent event around ``data``, which has no line breaks."""
    return b"data: " + data + b"\n\n"


class EventDecoder:
    """Splits a byte stream into the ``data`` of its server-sent events.

    Each event here has one ``data`` line; comments and other fields are passed over.
    """

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the data of the events completed by ``data``; raises ValueError when one is too long."""
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("server-sent event is too long")
        return [line[5:].strip() for line in lines if line.startswith(b"data:")]

    @property
    def has_rest(self) -> bool:
        """Whether bytes of an unfinished event are left."""
        return bool(self._rest.strip())


def header_text(value: str) -> str:
    """Return a value as it stands in a header: percent-encoded where not plain ASCII.

    >>> header_text("Damião"), header_text("linha/7")
    ('Dami%C3%A3o', 'linha/7')
    """
    return quote(value, safe=PLAIN_HEADER_CHARACTERS)


def authorization(credential: str | None) -> dict[str, str]:
    """Return the header that carries a bearer credential, or none."""
    return {} if credential is None else {"Authorization": f"Bearer {credential}"}
