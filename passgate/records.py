"""Records that passgate keeps on the platform's log, and their encoding.

Every record is an envelope around one body.  ``writer`` names one process run
and ``sequence`` grows by one per record of that writer on a stream, so that a
repeated append changes nothing.  ``epoch`` fences records of replaced leaders.
A body kind from a newer version decodes to :class:`UnknownBody` and is passed over.

>>> record = Record(writer="a/1", sequence=1, epoch=0, body=ClaimReleased(key="k"))
>>> decode_record(encode_record(record)) == record
True
"""

from __future__ import annotations

import sys
from array import array
from collections.abc import Sequence

import msgspec

from passgate.schema import FinishReason, Labels, VersionSpan

_TOKEN_CODE = "I"
TOKEN_BYTES = 4
"""Size of one packed token."""

# --- configuration stream ----------------------------------------------------------


class ObjectPut(msgspec.Struct, frozen=True, kw_only=True, tag="object_put"):
    """Create or replace a configuration object."""

    object_kind: str
    name: str
    expected_revision: int | None
    """Revision that the writer replaces; 0 means "must not exist"; None means any."""
    labels: Labels
    spec: msgspec.Raw
    """JSON of the typed specification of ``object_kind``, see ``state.configuration``."""


class ObjectDeleted(msgspec.Struct, frozen=True, kw_only=True, tag="object_deleted"):
    """Delete a configuration object."""

    object_kind: str
    name: str
    expected_revision: int | None


# --- lease stream --------------------------------------------------------------------


class LeaseTaken(msgspec.Struct, frozen=True, kw_only=True, tag="lease_taken"):
    """Take a role; valid only when the envelope's epoch is the current one plus one."""

    role: str
    holder: str


class LeaseReleased(msgspec.Struct, frozen=True, kw_only=True, tag="lease_released"):
    """Give a role up; the envelope's epoch names the held epoch."""

    role: str
    holder: str


# --- one stream per idempotency key ------------------------------------------------------


class ClaimMade(msgspec.Struct, frozen=True, kw_only=True, tag="claim_made"):
    """Claim the single run of a not-repeatable request."""

    key: str
    request_digest: str
    """Digest of the request; a different digest under the same key is an error."""
    holder: str


class ClaimReleased(msgspec.Struct, frozen=True, kw_only=True, tag="claim_released"):
    """The writer's claim never reached a back end; the next claim may run."""

    key: str


class ClaimCompleted(msgspec.Struct, frozen=True, kw_only=True, tag="claim_completed"):
    """Outcome of the claimed run, replayed to repeated calls."""

    key: str
    status: int
    content_type: str
    body: str
    """Base64 of the answer's bytes."""


class ClaimUnresolved(msgspec.Struct, frozen=True, kw_only=True, tag="claim_unresolved"):
    """The claimed run ended without a usable answer and may have run; it is never run again."""

    key: str
    code: str
    """Code of the error that the first caller got."""


# --- one stream per lot -------------------------------------------------------------------


class PromptSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One prompt of a lot; ``prompt`` holds token identifiers."""

    prompt: tuple[int, ...]
    max_tokens: int
    seed: int = 0


class PackedPrompt(msgspec.Struct, frozen=True, kw_only=True):
    """A prompt with its tokens packed, see :func:`pack_tokens`; base64 on the log."""

    tokens: bytes
    max_tokens: int
    seed: int = 0


def pack_tokens(tokens: Sequence[int]) -> bytes:
    """Return token identifiers as little-endian 32-bit integers.

    Packed tokens take a ninth of the memory of a tuple and decode faster.

    Raises:
        OverflowError: an identifier does not fit.

    >>> unpack_tokens(pack_tokens([1, 70_000]))
    (1, 70000)
    """
    packed = array(_TOKEN_CODE, tokens)
    if sys.byteorder == "big":
        packed.byteswap()
    return packed.tobytes()


def unpack_tokens(packed: bytes) -> tuple[int, ...]:
    """Return the token identifiers of :func:`pack_tokens`; raises ValueError on a wrong length."""
    tokens = array(_TOKEN_CODE, packed)
    if sys.byteorder == "big":
        tokens.byteswap()
    return tuple(tokens)


class LotOpened(msgspec.Struct, frozen=True, kw_only=True, tag="lot_opened"):
    """A trainer opened a lot."""

    lot_id: str
    caller: str
    pool: str
    model: str
    priority_class: str
    staleness_bound: int
    """Most versions a sample may be behind the trainer's version at hand-over."""
    trainer_version: int
    deadline_unix_s: float | None
    prompts: tuple[PromptSpec, ...] = ()
    """Prompts with plain tokens; empty when they are packed."""
    packed_prompts: tuple[PackedPrompt, ...] = ()


class KeeperTaken(msgspec.Struct, frozen=True, kw_only=True, tag="keeper_taken"):
    """A daemon starts to produce a lot's samples; epoch must be current plus one."""

    holder: str


class KeeperReleased(msgspec.Struct, frozen=True, kw_only=True, tag="keeper_released"):
    """The keeper stops as planned; another daemon may take over at once."""


class SampleCommitted(msgspec.Struct, frozen=True, kw_only=True, tag="sample_committed"):
    """One produced sample; the first valid commit of a slot's attempt wins."""

    index: int
    attempt: int
    tokens: tuple[int, ...] = ()
    """Plain tokens; empty when they are packed."""
    packed_tokens: bytes = b""
    spans: tuple[VersionSpan, ...]
    finish_reason: FinishReason
    replica_id: str


class SampleExpired(msgspec.Struct, frozen=True, kw_only=True, tag="sample_expired"):
    """A committed, not handed-over sample went over the bound; the slot is open again."""

    index: int
    attempt: int
    trainer_version: int


class SamplesHandedOver(msgspec.Struct, frozen=True, kw_only=True, tag="samples_handed_over"):
    """Samples are about to be given to the trainer; from here their bytes are fixed."""

    indexes: tuple[int, ...]
    trainer_version: int


class SamplesAcknowledged(msgspec.Struct, frozen=True, kw_only=True, tag="samples_acknowledged"):
    """The trainer confirmed that it has the samples."""

    indexes: tuple[int, ...]


class SamplesReplaced(msgspec.Struct, frozen=True, kw_only=True, tag="samples_replaced"):
    """The trainer lacks handed-over samples that went stale; their slots open again."""

    indexes: tuple[int, ...]
    attempts: tuple[int, ...]
    """Attempt of each index that is replaced; a later attempt is left alone."""


class SampleFailed(msgspec.Struct, frozen=True, kw_only=True, tag="sample_failed"):
    """A slot can not be produced (for example the deadline passed)."""

    index: int
    code: str


class LotCancelled(msgspec.Struct, frozen=True, kw_only=True, tag="lot_cancelled"):
    """The trainer cancelled the lot."""


# --- any stream ---------------------------------------------------------------------------------


class ProposalWithdrawn(msgspec.Struct, frozen=True, kw_only=True, tag="proposal_withdrawn"):
    """Takes the sequence of a proposal given up while in doubt; of the two, the first on the log counts."""


# --- snapshots and unknown kinds --------------------------------------------------------------


class SnapshotTaken(msgspec.Struct, frozen=True, kw_only=True, tag="snapshot_taken"):
    """Fold state after the record at ``offset``; stands on ``<stream>.snapshots``."""

    offset: int
    schema_version: int
    state: msgspec.Raw


class UnknownBody(msgspec.Struct, frozen=True, kw_only=True):
    """A body kind this version does not know; kept as raw JSON and passed over."""

    kind: str
    raw: bytes


Body = (
    ObjectPut
    | ObjectDeleted
    | LeaseTaken
    | LeaseReleased
    | ClaimMade
    | ClaimReleased
    | ClaimCompleted
    | ClaimUnresolved
    | LotOpened
    | KeeperTaken
    | KeeperReleased
    | SampleCommitted
    | SampleExpired
    | SamplesHandedOver
    | SamplesAcknowledged
    | SamplesReplaced
    | SampleFailed
    | LotCancelled
    | ProposalWithdrawn
    | SnapshotTaken
)


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Envelope of every record on the log."""

    writer: str
    sequence: int
    epoch: int
    body: Body | UnknownBody


class _RawRecord(msgspec.Struct, kw_only=True):
    writer: str
    sequence: int
    epoch: int
    body: msgspec.Raw


class _BodyKind(msgspec.Struct):
    type: str = ""


_encoder = msgspec.json.Encoder()
_raw_decoder = msgspec.json.Decoder(_RawRecord)
_body_decoder = msgspec.json.Decoder(Body)
_kind_decoder = msgspec.json.Decoder(_BodyKind)


def encode_record(record: Record) -> bytes:
    """Return the JSON form of a record."""
    if isinstance(record.body, UnknownBody):
        body = msgspec.Raw(record.body.raw)
    else:
        body = msgspec.Raw(_encoder.encode(record.body))
    raw = _RawRecord(writer=record.writer, sequence=record.sequence, epoch=record.epoch, body=body)
    return _encoder.encode(raw)


def decode_record(payload: bytes) -> Record | None:
    """Return the record, or None when the envelope itself is not readable.

    An unreadable envelope is skipped by every reader alike, so it can not make
    two folds differ.
    """
    try:
        raw = _raw_decoder.decode(payload)
    except msgspec.MsgspecError:
        return None
    return Record(writer=raw.writer, sequence=raw.sequence, epoch=raw.epoch, body=_decode_body(raw.body))


def _decode_body(raw: msgspec.Raw) -> Body | UnknownBody:
    try:
        return _body_decoder.decode(raw)
    except msgspec.MsgspecError:
        try:
            kind = _kind_decoder.decode(raw).type
        except msgspec.MsgspecError:
            kind = ""
        return UnknownBody(kind=kind, raw=bytes(raw))
