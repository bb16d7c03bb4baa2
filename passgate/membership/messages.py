"""Members, membership updates, and the messages of the membership protocol.

Messages are encoded as JSON arrays with a leading tag, which keeps them small: control
traffic has a byte budget.

>>> decode_message(encode_message(Ping(sequence=7, target="b")))
Ping(sequence=7, target='b', updates=(), revisions={})
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec


class MemberState(enum.Enum):
    """State of a member in this daemon's view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """Did not answer a probe; counts as alive until the suspicion expires."""
    DEAD = "dead"
    LEFT = "left"
    """Announced itself that it leaves."""


STATE_RANK = {MemberState.ALIVE: 0, MemberState.SUSPECT: 1, MemberState.DEAD: 2, MemberState.LEFT: 3}
"""Between views of the same incarnation, the state with the higher rank takes precedence."""

COUNTER_MAXIMUM = 2**53
"""Largest integer that every JSON library represents exactly; larger ones are rejected."""

Counter = Annotated[int, msgspec.Meta(ge=0, le=COUNTER_MAXIMUM)]

Metadata = dict[str, str]
"""Small values that a member publishes about itself, by key."""


class MemberInfo(msgspec.Struct, frozen=True, kw_only=True):
    """This daemon's view of one member of the cluster."""

    member_id: str
    address: str
    """``host:port`` of the member's peer port."""
    zone: str
    incarnation: int = 0
    """Raised by the member alone, at each restart under the same id and at each refutation."""
    state: MemberState = MemberState.ALIVE
    metadata: Metadata = {}
    metadata_version: int = 0

    def precedence(self) -> tuple[int, int]:
        """Return the sort key of views: of two views, the one with the greater key is newer."""
        return (self.incarnation, STATE_RANK[self.state])


# --- membership updates, which other messages carry ---------------------------------


class AliveUpdate(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """A member is alive under an incarnation; only the member itself originates this update."""

    member_id: str
    incarnation: Counter
    address: str
    zone: str
    metadata_version: Counter = 0
    metadata: Metadata = {}


class SuspectUpdate(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """``accuser`` received no answer from a member."""

    member_id: str
    incarnation: Counter
    accuser: str


class DeadUpdate(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """A suspicion expired without a refutation."""

    member_id: str
    incarnation: Counter


class LeftUpdate(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """A member announced that it leaves."""

    member_id: str
    incarnation: Counter


MemberUpdate = AliveUpdate | SuspectUpdate | DeadUpdate | LeftUpdate

RevisionByKey = dict[str, Counter]
"""Revisions that the sender has applied, by key, for example of the configuration."""

# --- messages ---------------------------------------------------------------------------


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Request for an Ack from ``target``; a different member at the same address ignores it."""

    sequence: int
    target: str
    updates: tuple[MemberUpdate, ...] = ()
    revisions: RevisionByKey = {}


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """Reply to a Ping, or to a PingRequest whose target answered the helper."""

    sequence: int
    updates: tuple[MemberUpdate, ...] = ()
    revisions: RevisionByKey = {}


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Request that a helper pings ``target`` on the sender's behalf."""

    sequence: int
    target: str
    target_address: str
    updates: tuple[MemberUpdate, ...] = ()
    revisions: RevisionByKey = {}


class Nack(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """Reply to a PingRequest whose target did not answer; shows that the helper itself is reachable."""

    sequence: int


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """Updates and revisions without a probe; needs no reply."""

    updates: tuple[MemberUpdate, ...] = ()
    revisions: RevisionByKey = {}


class Join(msgspec.Struct, frozen=True, array_like=True, tag="j"):
    """Request of a joining daemon for a seed's full member table."""

    updates: tuple[MemberUpdate, ...]
    revisions: RevisionByKey = {}


class SyncDigest(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Hash of the sender's member table; a receiver with an equal one does not reply."""

    digest: int
    revisions: RevisionByKey = {}


class SyncBuckets(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Hash of each bucket of the sender's member table; reply to a different SyncDigest."""

    digests: tuple[int, ...]


class SyncRows(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Members in the listed buckets, or in all buckets when ``buckets`` is empty."""

    buckets: tuple[int, ...]
    alive: tuple[AliveUpdate, ...]
    gone: tuple[DeadUpdate | LeftUpdate, ...]
    reply: bool
    """Whether the receiver should send its own rows of these buckets back."""
    revisions: RevisionByKey = {}


Message = Ping | Ack | PingRequest | Nack | Gossip | Join | SyncDigest | SyncBuckets | SyncRows


class Outgoing(msgspec.Struct, frozen=True):
    """A message to send to the peer port at ``address``."""

    address: str
    message: Message


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the JSON form of a message."""
    return _encoder.encode(message)


def decode_message(payload: bytes) -> Message:
    """Return the message; raises ``msgspec.MsgspecError`` when ``payload`` is not a valid one."""
    return _decoder.decode(payload)


def encoded_size_bytes(update: MemberUpdate) -> int:
    """Return the size of one update inside a message, with its separating comma."""
    return len(_encoder.encode(update)) + 1
