"""Typed events of a run's history, the input of the judges.

Callers, stand-ins of back ends and daemons each record what they themselves
saw; no event is derived from another one.  Times are seconds on one clock per
history.  Request identifiers are those of the caller's attempt: a back end
records the identifier that it was given.

>>> event = BackendRunStarted(time_s=1.5, request_id="r1", replica_id="e1")
>>> decode_event(encode_event(event)) == event
True
"""

from __future__ import annotations

import msgspec

from passgate.errors import ExecutionStatus, PassgateError
from passgate.schema import FinishReason, VersionSpan


class HistoryFormatError(PassgateError):
    """A history line can not be decoded; details name the ``line``."""

    code = "history_format"


class Event(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all events."""

    time_s: float
    """Seconds on the history's clock."""


# --- callers ------------------------------------------------------------------------


class GenerateInvoked(Event, tag="generate_invoked"):
    """A caller sent a generate request."""

    request_id: str
    daemon: str
    model: str
    prompt: tuple[int, ...]
    max_tokens: int
    seed: int
    expected_length: int = 0
    """Length of the whole output as the caller's stand-in knows it; 0 when unknown."""
    key: str = ""
    """Idempotency key; empty when the caller gave none."""
    repeatable: bool = True


class AppInvoked(Event, tag="app_invoked"):
    """A caller sent a call for an application service."""

    request_id: str
    daemon: str
    expected_digest: str
    """Digest of the one right answer to this request, known to the caller's stand-in."""
    key: str = ""
    repeatable: bool = True


class GenerateCompleted(Event, tag="generate_completed"):
    """A caller received an answer that claims to be whole."""

    request_id: str
    answer_request_id: str
    tokens: tuple[int, ...]
    spans: tuple[VersionSpan, ...]
    finish_reason: FinishReason


class AppCompleted(Event, tag="app_completed"):
    """A caller received a whole answer of an application service."""

    request_id: str
    answer_digest: str


class RequestFailed(Event, tag="request_failed"):
    """A caller received a typed error."""

    request_id: str
    error: str
    """Stable code of the error."""
    execution: ExecutionStatus


class RequestCutOff(Event, tag="request_cut_off"):
    """The connection of a caller's request ended without any answer."""

    request_id: str


class RequestAbandoned(Event, tag="request_abandoned"):
    """A caller's own patience ended before an answer."""

    request_id: str


# --- back ends ------------------------------------------------------------------------


class BackendRunStarted(Event, tag="backend_run_started"):
    """A back end began to execute a request."""

    request_id: str
    replica_id: str
    generation: int = 0


class BackendLeaving(Event, tag="backend_leaving"):
    """A back end, the machine list or an operator first said that it is leaving."""

    replica_id: str
    generation: int = 0


# --- trainers -------------------------------------------------------------------------------


class LotPrompt(msgspec.Struct, frozen=True, kw_only=True):
    """One slot of a lot as the trainer asked for it."""

    prompt: tuple[int, ...]
    max_tokens: int
    seed: int
    expected_length: int = 0
    """Length of the whole output as the trainer's stand-in knows it; 0 when unknown."""


class LotSubmitted(Event, tag="lot_submitted"):
    """A trainer's lot was accepted."""

    lot_id: str
    trainer: str
    model: str
    staleness_bound: int
    prompts: tuple[LotPrompt, ...]


class ReceivedSample(msgspec.Struct, frozen=True, kw_only=True):
    """One sample of a page as it reached the trainer."""

    sample_id: str
    index: int
    attempt: int
    tokens: tuple[int, ...]
    spans: tuple[VersionSpan, ...]
    finish_reason: FinishReason


class PageReceived(Event, tag="page_received"):
    """A page of samples reached the trainer."""

    lot_id: str
    cursor: int
    """Position that the trainer asked for."""
    next_cursor: int
    trainer_version: int
    """Weight version of the trainer when it asked."""
    samples: tuple[ReceivedSample, ...]
    finished: bool = False
    """The page says that no further sample follows."""
    withdrawn: tuple[str, ...] = ()
    """Samples that a lost page held and that went stale before the repeated read."""
    failed: tuple[int, ...] = ()
    """Indexes that the page declares as failed."""


class LotAbandoned(Event, tag="lot_abandoned"):
    """The trainer cancelled its lot; nothing more is owed."""

    lot_id: str


class HistoryClosed(Event, tag="history_closed"):
    """End of a run that was given the time to come to rest: every lot must be whole."""


# --- daemons ---------------------------------------------------------------------------------------


class DaemonStarted(Event, tag="daemon_started"):
    """A daemon began to serve."""

    daemon: str


class DaemonKilled(Event, tag="daemon_killed"):
    """A daemon ended without warning."""

    daemon: str


class StopRequested(Event, tag="stop_requested"):
    """A daemon was asked to stop by plan."""

    daemon: str


class StopFinished(Event, tag="stop_finished"):
    """A daemon ended its planned stop."""

    daemon: str


class DaemonCut(Event, tag="daemon_cut"):
    """A daemon can not hear the log, or is paused, from now on."""

    daemon: str


class DaemonReconnected(Event, tag="daemon_reconnected"):
    """A daemon can hear the log again."""

    daemon: str


# --- configuration -------------------------------------------------------------------------------------


class ConfigurationInvoked(Event, tag="configuration_invoked"):
    """An operator sent a change; without an outcome it may be in force or not."""

    name: str
    """``kind/name`` of the object."""
    expected_revision: int | None
    value: str
    """Digest of the written value; empty for a deletion."""


class ConfigurationAccepted(Event, tag="configuration_accepted"):
    """An operator's change was acknowledged."""

    name: str
    """``kind/name`` of the object."""
    expected_revision: int | None
    revision: int
    value: str
    """Digest of the written value; empty for a deletion."""


class ConfigurationRefused(Event, tag="configuration_refused"):
    """An operator's change lost to another one."""

    name: str
    expected_revision: int
    winning_revision: int


class ConfigurationObject(msgspec.Struct, frozen=True, kw_only=True):
    """One object as a daemon holds it."""

    name: str
    revision: int
    value: str


class ConfigurationInForce(Event, tag="configuration_in_force"):
    """A serving daemon holds this configuration."""

    daemon: str
    revision: int
    objects: tuple[ConfigurationObject, ...]


AnyEvent = (
    GenerateInvoked
    | AppInvoked
    | GenerateCompleted
    | AppCompleted
    | RequestFailed
    | RequestCutOff
    | RequestAbandoned
    | BackendRunStarted
    | BackendLeaving
    | LotSubmitted
    | PageReceived
    | LotAbandoned
    | HistoryClosed
    | DaemonStarted
    | DaemonKilled
    | StopRequested
    | StopFinished
    | DaemonCut
    | DaemonReconnected
    | ConfigurationInvoked
    | ConfigurationAccepted
    | ConfigurationRefused
    | ConfigurationInForce
)

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(AnyEvent)


def encode_event(event: AnyEvent) -> bytes:
    """Return the event as one line of JSON without the line's end."""
    return _encoder.encode(event)


def decode_event(line: bytes | str) -> AnyEvent:
    """Return the event of one line.

    Raises:
        HistoryFormatError: the line is not an event.
    """
    try:
        return _decoder.decode(line)
    except msgspec.MsgspecError as error:
        raise HistoryFormatError(str(error)) from error
