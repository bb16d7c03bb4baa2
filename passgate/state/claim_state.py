"""Fold of one idempotency key's stream: who may run the request, and its outcome.

The first claim on the log wins.  A claim is given back only by its own writer and
only when the request certainly did not run; a holder that died in between leaves
the claim held for ever, and the request is never run a second time.
"""

from __future__ import annotations

import enum

import msgspec

from passgate.errors import KeyReused, OutcomeUnknown, RequestInProgress, SupersededEpoch, UnknownRecord
from passgate.records import ClaimCompleted, ClaimMade, ClaimReleased, ClaimUnresolved, Record
from passgate.state.fold import Accepted, Decision, Rejected


class ClaimStatus(enum.Enum):
    """How far the single run of a key has come."""

    FREE = "free"
    CLAIMED = "claimed"
    COMPLETED = "completed"
    UNRESOLVED = "unresolved"
    """The run ended without a usable answer and may have run."""


class StoredOutcome(msgspec.Struct, frozen=True):
    """Answer of the single run, as it stands on the log."""

    status: int
    content_type: str
    body_base64: str


class ClaimState(msgspec.Struct, frozen=True):
    """State of one key; immutable."""

    status: ClaimStatus = ClaimStatus.FREE
    request_digest: str = ""
    """Digest of the first request that used the key; stays after a release."""
    writer: str = ""
    """Writer of the claim in force: nobody else can release or complete it."""
    holder: str = ""
    """Process run that holds the claim, as membership names it."""
    outcome: StoredOutcome | None = None
    failure_code: str = ""


def transition(state: ClaimState, offset: int, record: Record) -> tuple[ClaimState, Decision]:
    """Return the state after ``record`` and the decision on it; pure."""
    body = record.body
    if isinstance(body, ClaimMade):
        return _claim(state, offset, record.writer, body)
    if not isinstance(body, ClaimReleased | ClaimCompleted | ClaimUnresolved):
        return state, Rejected(offset, UnknownRecord("not a claim record"))
    if state.status is not ClaimStatus.CLAIMED or state.writer != record.writer:
        return state, Rejected(
            offset, SupersededEpoch("the writer does not hold the claim", holder=state.holder)
        )
    return _finish(state, body), Accepted(offset)


def _claim(state: ClaimState, offset: int, writer: str, body: ClaimMade) -> tuple[ClaimState, Decision]:
    if state.request_digest and state.request_digest != body.request_digest:
        return state, Rejected(offset, KeyReused("the key was used for another request"))
    if state.status is ClaimStatus.CLAIMED:
        return state, Rejected(
            offset, RequestInProgress("another attempt holds the key", holder=state.holder)
        )
    if state.status is ClaimStatus.UNRESOLVED:
        return state, Rejected(offset, OutcomeUnknown("the only run failed", code=state.failure_code))
    if state.status is ClaimStatus.COMPLETED:
        return state, Rejected(offset, RequestInProgress("the request has run", holder=state.holder))
    claimed = ClaimState(ClaimStatus.CLAIMED, body.request_digest, writer, body.holder)
    return claimed, Accepted(offset)


def _finish(state: ClaimState, body: ClaimReleased | ClaimCompleted | ClaimUnresolved) -> ClaimState:
    if isinstance(body, ClaimReleased):
        return ClaimState(ClaimStatus.FREE, state.request_digest)
    if isinstance(body, ClaimUnresolved):
        return msgspec.structs.replace(state, status=ClaimStatus.UNRESOLVED, failure_code=body.code)
    outcome = StoredOutcome(body.status, body.content_type, body.body)
    return msgspec.structs.replace(state, status=ClaimStatus.COMPLETED, outcome=outcome)


class ClaimFold:
    """Mutable holder of a :class:`ClaimState` for a log follower."""

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
        """Replace the state by a snapshot."""
        self.state = msgspec.json.decode(state, type=ClaimState)
