"""Typed events of a run's history, the input of the checkers.

All times of one history are seconds on the same clock.  A request identifier names
one attempt of a caller; events of back ends carry the caller's identifier too, where
it is known.

>>> event = BackendRunStarted(time_s=1.5, request_id="r1", replica_id="e1")
>>> decode_event(encode_event(event)) == event
True
"""

from __future__ import annotations

import msgspec

from passgate.errors import ExecutionStatus, PassgateError
from passgate.schema import FinishReason, VersionSpan


class HistoryFormatError(PassgateError):
    """A line of a history can not be decoded; the details may hold the number of the ``line``."""

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
    """Number of tokens of the complete output; 0 when unknown."""
    key: str = ""
    """Idempotency key; empty when the caller gave none."""
    repeatable: bool = True


class AppInvoked(Event, tag="app_invoked"):
    """A caller sent a call for an application service."""

    request_id: str
    daemon: str
    expected_digest: str
    """Digest of the only correct answer to this request."""
    key: str = ""
    repeatable: bool = True


class GenerateCompleted(Event, tag="generate_completed"):
    """A caller received an answer that is marked as complete."""

    request_id: str
    answer_request_id: str
    tokens: tuple[int, ...]
    spans: tuple[VersionSpan, ...]
    finish_reason: FinishReason


class AppCompleted(Event, tag="app_completed"):
    """A caller received a complete answer of an application service."""

    request_id: str
    answer_digest: str


class RequestFailed(Event, tag="request_failed"):
    """A caller received an error response."""

    request_id: str
    error: str
    """Error code, see ``passgate.errors``."""
    execution: ExecutionStatus


class RequestCutOff(Event, tag="request_cut_off"):
    """The connection of a caller's request ended without any answer."""

    request_id: str


class RequestAbandoned(Event, tag="request_abandoned"):
    """A caller's timeout passed before an answer."""

    request_id: str


# --- back ends ------------------------------------------------------------------------


class BackendRunStarted(Event, tag="backend_run_started"):
    """A back end began to execute a request."""

    request_id: str
    replica_id: str
    generation: int = 0


class BackendLeaving(Event, tag="backend_leaving"):
    """A back end, the machine list or an operator reported for the first time that it leaves."""

    replica_id: str
    generation: int = 0


# --- trainers -------------------------------------------------------------------------------


class LotPrompt(msgspec.Struct, frozen=True, kw_only=True):
    """One prompt of a lot, for which the lot owes one sample."""

    prompt: tuple[int, ...]
    max_tokens: int
    seed: int
    expected_length: int = 0
    """Number of tokens of the complete output; 0 when unknown."""


class LotSubmitted(Event, tag="lot_submitted"):
    """A trainer's lot was accepted."""

    lot_id: str
    trainer: str
    model: str
    staleness_bound: int
    prompts: tuple[LotPrompt, ...]


class ReceivedSample(msgspec.Struct, frozen=True, kw_only=True):
    """One sample of a page as the trainer received it."""

    sample_id: str
    index: int
    attempt: int
    tokens: tuple[int, ...]
    spans: tuple[VersionSpan, ...]
    finish_reason: FinishReason


class PageReceived(Event, tag="page_received"):
    """A trainer received a page of samples."""

    lot_id: str
    cursor: int
    """Position that the trainer requested."""
    next_cursor: int
    trainer_version: int
    """Weight version of the trainer when it sent the request."""
    samples: tuple[ReceivedSample, ...]
    finished: bool = False
    """Whether no further sample follows."""
    withdrawn: tuple[str, ...] = ()
    """Identifiers of samples that a lost page contained and that became stale before the repeated read."""
    failed: tuple[int, ...] = ()
    """Indexes of prompts that failed."""


class LotAbandoned(Event, tag="lot_abandoned"):
    """The trainer needs no further samples of its lot."""

    lot_id: str


class HistoryClosed(Event, tag="history_closed"):
    """End of a run that waited for open work; from here on every lot must be complete."""


# --- daemons ---------------------------------------------------------------------------------------


class DaemonStarted(Event, tag="daemon_started"):
    """A daemon began to serve."""

    daemon: str


class DaemonKilled(Event, tag="daemon_killed"):
    """A daemon's process was killed."""

    daemon: str


class StopRequested(Event, tag="stop_requested"):
    """A daemon's graceful shutdown began."""

    daemon: str


class StopFinished(Event, tag="stop_finished"):
    """A daemon's graceful shutdown ended."""

    daemon: str


class DaemonCut(Event, tag="daemon_cut"):
    """From now on a daemon can not read the log, or is paused."""

    daemon: str


class DaemonReconnected(Event, tag="daemon_reconnected"):
    """A daemon can read the log again."""

    daemon: str


# --- configuration -------------------------------------------------------------------------------------


class ConfigurationInvoked(Event, tag="configuration_invoked"):
    """An operator sent a change; without an outcome event it may have been applied or not."""

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
    """An operator's change was refused, as its expected revision was not the object's current one."""

    name: str
    expected_revision: int
    winning_revision: int


class ConfigurationObject(msgspec.Struct, frozen=True, kw_only=True):
    """One configuration object as a daemon has applied it."""

    name: str
    revision: int
    value: str


class ConfigurationInForce(Event, tag="configuration_in_force"):
    """A serving daemon's active configuration."""

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
    """Return the event as one line of JSON without a newline."""
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
