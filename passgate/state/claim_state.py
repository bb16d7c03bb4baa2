"""Projection of one idempotency key's stream: which call may run the request, and its outcome.

The first claim on the log wins.  Only the writer of a claim may release it, and it
must do so only when the request certainly did not run.  When a holder crashes before
it records an outcome, the claim stays held for ever, so the request never runs twice.
"""

from __future__ import annotations

import enum

import msgspec

from passgate.errors import KeyReused, OutcomeUnknown, RequestInProgress, SupersededEpoch, UnknownRecord
from passgate.records import ClaimCompleted, ClaimMade, ClaimReleased, ClaimUnresolved, Record
from passgate.state.projection import Accepted, Decision, Rejected


class ClaimStatus(enum.Enum):
    """State of a key and of its only run."""

    FREE = "free"
    """Never claimed, or the claim was released."""
    CLAIMED = "claimed"
    """A call may run the request and has recorded no outcome."""
    COMPLETED = "completed"
    """The outcome is stored."""
    UNRESOLVED = "unresolved"
    """The request may have run; there is no outcome to store."""


class StoredOutcome(msgspec.Struct, frozen=True):
    """Response of the only run, as encoded on the log."""

    status: int
    content_type: str
    body_base64: str


class ClaimState(msgspec.Struct, frozen=True):
    """State of one key; immutable."""

    status: ClaimStatus = ClaimStatus.FREE
    request_digest: str = ""
    """Digest of the first request that used the key; stays after a release."""
    writer: str = ""
    """Writer of the current claim; records of other writers can not end the claim."""
    holder: str = ""
    """Daemon incarnation that holds the claim, under its membership identifier."""
    outcome: StoredOutcome | None = None
    """Present when the status is COMPLETED."""
    failure_code: str = ""
    """Code of the run's error when the status is UNRESOLVED."""


def transition(state: ClaimState, offset: int, record: Record) -> tuple[ClaimState, Decision]:
    """Return the state of the key after ``record`` and the decision on it; pure."""
    body = record.body
    if isinstance(body, ClaimMade):
        return _claim(state, offset, record.writer, body)
    if not isinstance(body, ClaimReleased | ClaimCompleted | ClaimUnresolved):
        return state, Rejected(offset, UnknownRecord("the record is not a claim record"))
    if state.status is not ClaimStatus.CLAIMED or state.writer != record.writer:
        return state, Rejected(
            offset, SupersededEpoch("the record's writer does not hold the claim", holder=state.holder)
        )
    return _end_claim(state, body), Accepted(offset)


def _claim(state: ClaimState, offset: int, writer: str, body: ClaimMade) -> tuple[ClaimState, Decision]:
    if state.request_digest and state.request_digest != body.request_digest:
        return state, Rejected(offset, KeyReused("the idempotency key was used for another request"))
    if state.status is ClaimStatus.CLAIMED:
        return state, Rejected(
            offset, RequestInProgress("another call holds the idempotency key", holder=state.holder)
        )
    if state.status is ClaimStatus.UNRESOLVED:
        return state, Rejected(
            offset, OutcomeUnknown("the only run ended without an outcome", code=state.failure_code)
        )
    if state.status is ClaimStatus.COMPLETED:
        return state, Rejected(offset, RequestInProgress("the request has already run", holder=state.holder))
    claimed = ClaimState(ClaimStatus.CLAIMED, body.request_digest, writer, body.holder)
    return claimed, Accepted(offset)


def _end_claim(state: ClaimState, body: ClaimReleased | ClaimCompleted | ClaimUnresolved) -> ClaimState:
    if isinstance(body, ClaimReleased):
        return ClaimState(ClaimStatus.FREE, state.request_digest)
    if isinstance(body, ClaimUnresolved):
        return msgspec.structs.replace(state, status=ClaimStatus.UNRESOLVED, failure_code=body.code)
    outcome = StoredOutcome(body.status, body.content_type, body.body)
    return msgspec.structs.replace(state, status=ClaimStatus.COMPLETED, outcome=outcome)


class ClaimProjection:
    """State of one key, as a projection for a log follower."""

    def __init__(self) -> None:
        self.state = ClaimState()

    def apply(self, offset: int, record: Record) -> Decision:
        """Apply one record of the key's stream."""
        self.state, decision = transition(self.state, offset, record)
        return decision

    def snapshot(self) -> bytes:
        """Return the state as JSON."""
        return msgspec.json.encode(self.state)

    def restore(self, state: bytes) -> None:
        """Replace the state by a snapshot; raises ``msgspec.MsgspecError`` when it is not readable."""
        self.state = msgspec.json.decode(state, type=ClaimState)
