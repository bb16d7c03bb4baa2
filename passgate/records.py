"""Records that passgate writes to the platform's log, and their encoding.

A record is an envelope around one body.  ``writer`` names one run of a process, and ``sequence`` increases
by one with each record of that writer on a stream, so that a repeated append has no effect.  ``epoch``
fences off records of former lease holders.  A body kind of a newer release decodes to :class:`UnknownBody`
and is ignored.

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

_TOKEN_TYPE_CODE = "I"
TOKEN_BYTES = 4
"""Size of a packed token."""

# --- configuration stream ----------------------------------------------------------


class ObjectPut(msgspec.Struct, frozen=True, kw_only=True, tag="object_put"):
    """Creates or replaces a configuration object."""

    object_kind: str
    name: str
    expected_revision: int | None
    """Revision to replace; 0 means that the object must not exist, None means any."""
    labels: Labels
    spec: msgspec.Raw
    """JSON of the specification, whose type depends on ``object_kind``; see ``state.specs``."""


class ObjectDeleted(msgspec.Struct, frozen=True, kw_only=True, tag="object_deleted"):
    """Deletes a configuration object."""

    object_kind: str
    name: str
    expected_revision: int | None


# --- lease stream --------------------------------------------------------------------


class LeaseTaken(msgspec.Struct, frozen=True, kw_only=True, tag="lease_taken"):
    """Takes the lease of a role; valid only if the envelope's epoch is the current epoch plus one."""

    role: str
    holder: str


class LeaseReleased(msgspec.Struct, frozen=True, kw_only=True, tag="lease_released"):
    """Releases the lease of a role; the envelope's epoch is that of the released lease."""

    role: str
    holder: str


# --- one stream per idempotency key ------------------------------------------------------


class ClaimMade(msgspec.Struct, frozen=True, kw_only=True, tag="claim_made"):
    """Claims the only run of an at-most-once request."""

    key: str
    request_digest: str
    """Digest of the request; another digest with the same key is an error."""
    holder: str


class ClaimReleased(msgspec.Struct, frozen=True, kw_only=True, tag="claim_released"):
    """Releases a claim whose request was not run, so that the next claim may run it."""

    key: str


class ClaimCompleted(msgspec.Struct, frozen=True, kw_only=True, tag="claim_completed"):
    """Answer of the claimed run, which repetitions of the request get."""

    key: str
    status: int
    content_type: str
    body: str
    """Base64 of the answer's body."""


class ClaimUnresolved(msgspec.Struct, frozen=True, kw_only=True, tag="claim_unresolved"):
    """Ends a claim whose request may have run but has no usable answer; it is never run again."""

    key: str
    code: str
    """Code of the error that the first caller received."""


# --- one stream per lot -------------------------------------------------------------------


class PromptSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One prompt of a lot, as token identifiers."""

    prompt: tuple[int, ...]
    max_tokens: int
    seed: int = 0


class PackedPrompt(msgspec.Struct, frozen=True, kw_only=True):
    """A prompt whose tokens are packed by :func:`pack_tokens`; base64 in JSON."""

    tokens: bytes
    max_tokens: int
    seed: int = 0


def pack_tokens(tokens: Sequence[int]) -> bytes:
    """Return token identifiers as little-endian 32-bit integers.

    Packed tokens take less memory than a tuple and are decoded faster.

    Raises:
        OverflowError: an identifier is negative or does not fit into 32 bits.

    >>> unpack_tokens(pack_tokens([1, 70_000]))
    (1, 70000)
    """
    packed = array(_TOKEN_TYPE_CODE, tokens)
    if sys.byteorder == "big":
        packed.byteswap()
    return packed.tobytes()


def unpack_tokens(packed: bytes) -> tuple[int, ...]:
    """Return packed token identifiers; raises ValueError if the length is no multiple of TOKEN_BYTES."""
    tokens = array(_TOKEN_TYPE_CODE, packed)
    if sys.byteorder == "big":
        tokens.byteswap()
    return tuple(tokens)


class LotOpened(msgspec.Struct, frozen=True, kw_only=True, tag="lot_opened"):
    """A trainer opened a lot: a set of prompts for which samples are produced."""

    lot_id: str
    caller: str
    pool: str
    model: str
    priority_class: str
    staleness_bound: int
    """Most versions by which a sample may be behind the trainer's version when it is handed over."""
    trainer_version: int
    deadline_unix_s: float | None
    prompts: tuple[PromptSpec, ...] = ()
    """Prompts with plain tokens; empty if they are packed."""
    packed_prompts: tuple[PackedPrompt, ...] = ()


class KeeperTaken(msgspec.Struct, frozen=True, kw_only=True, tag="keeper_taken"):
    """A daemon becomes the keeper of a lot, the only one to produce its samples.

    Valid only if the envelope's epoch is the current epoch plus one.
    """

    holder: str


class KeeperReleased(msgspec.Struct, frozen=True, kw_only=True, tag="keeper_released"):
    """The keeper gives the lot up, so that another daemon may take over at once."""


class SampleCommitted(msgspec.Struct, frozen=True, kw_only=True, tag="sample_committed"):
    """A produced sample; of several commits for one attempt at a slot, the first valid one counts."""

    index: int
    """Index of the prompt in the lot, which is also that of its slot."""
    attempt: int
    tokens: tuple[int, ...] = ()
    """Plain tokens; empty if they are packed."""
    packed_tokens: bytes = b""
    spans: tuple[VersionSpan, ...]
    finish_reason: FinishReason
    replica_id: str


class SampleExpired(msgspec.Struct, frozen=True, kw_only=True, tag="sample_expired"):
    """A committed sample became stale before it was handed over; its slot is opened again."""

    index: int
    attempt: int
    trainer_version: int


class SamplesHandedOver(msgspec.Struct, frozen=True, kw_only=True, tag="samples_handed_over"):
    """Samples are about to be sent to the trainer; from here on their content does not change."""

    indexes: tuple[int, ...]
    trainer_version: int


class SamplesAcknowledged(msgspec.Struct, frozen=True, kw_only=True, tag="samples_acknowledged"):
    """The trainer confirmed that it has received the samples."""

    indexes: tuple[int, ...]


class SamplesReplaced(msgspec.Struct, frozen=True, kw_only=True, tag="samples_replaced"):
    """The trainer did not receive handed-over samples that became stale; their slots are opened again."""

    indexes: tuple[int, ...]
    attempts: tuple[int, ...]
    """Attempt to replace, for each index; a later attempt is not replaced."""


class SampleFailed(msgspec.Struct, frozen=True, kw_only=True, tag="sample_failed"):
    """A slot's sample can not be produced, for example because the deadline has passed."""

    index: int
    code: str


class LotCancelled(msgspec.Struct, frozen=True, kw_only=True, tag="lot_cancelled"):
    """The trainer cancelled the lot."""


# --- any stream ---------------------------------------------------------------------------------


class ProposalWithdrawn(msgspec.Struct, frozen=True, kw_only=True, tag="proposal_withdrawn"):
    """Takes the sequence of an abandoned proposal whose append may still take effect.

    Of the two records, the one that is first on the log counts, so the proposal has no effect after this one.
    """


# --- snapshots and unknown kinds --------------------------------------------------------------


class SnapshotTaken(msgspec.Struct, frozen=True, kw_only=True, tag="snapshot_taken"):
    """State after the stream's record at ``offset`` was applied; written to ``<stream>.snapshots``."""

    offset: int
    schema_version: int
    state: msgspec.Raw


class UnknownBody(msgspec.Struct, frozen=True, kw_only=True):
    """A body of a kind that this release does not know, or that can not be decoded; ignored by readers."""

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
    """Return the record, or None if its envelope can not be decoded.

    Every reader skips such a record, so the states of readers do not diverge.
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
