"""Members, news about them, and the messages of the membership protocol.

Messages are typed structs, encoded as JSON arrays with a leading tag, since
control traffic counts against a byte budget.

>>> decode_message(encode_message(Ping(sequence=7, target="b")))
Ping(sequence=7, target='b', news=(), held={})
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec


class MemberState(enum.Enum):
    """What this daemon believes about a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """Did not answer; still counts as alive until the suspicion runs out."""
    DEAD = "dead"
    LEFT = "left"
    """Said itself that it leaves."""


STATE_RANK = {MemberState.ALIVE: 0, MemberState.SUSPECT: 1, MemberState.DEAD: 2, MemberState.LEFT: 3}
"""At one incarnation the state with the higher rank wins a merge."""

COUNTER_MAXIMUM = 2**53
"""Larger numbers from a faulty peer are refused, since not every JSON library keeps them."""

Counter = Annotated[int, msgspec.Meta(ge=0, le=COUNTER_MAXIMUM)]

Metadata = dict[str, str]
"""Small values that a member publishes about itself."""


class MemberInfo(msgspec.Struct, frozen=True, kw_only=True):
    """One member of the cluster as this daemon sees it."""

    member_id: str
    address: str
    """``host:port`` of the member's peer port."""
    zone: str
    incarnation: int = 0
    """Set by the member alone; grows with each restart and each refutation."""
    state: MemberState = MemberState.ALIVE
    metadata: Metadata = {}
    metadata_version: int = 0

    def order(self) -> tuple[int, int]:
        """Return the key by which the newer of two views is chosen."""
        return (self.incarnation, STATE_RANK[self.state])


# --- news: what travels on other messages -------------------------------------------


class AliveNews(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """A member is alive under an incarnation; only the member itself starts this news."""

    member_id: str
    incarnation: Counter
    address: str
    zone: str
    metadata_version: Counter = 0
    metadata: Metadata = {}


class SuspectNews(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """``accuser`` got no answer from a member."""

    member_id: str
    incarnation: Counter
    accuser: str


class DeadNews(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """A suspicion ran out without refutation."""

    member_id: str
    incarnation: Counter


class LeftNews(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """A member announced that it leaves."""

    member_id: str
    incarnation: Counter


News = AliveNews | SuspectNews | DeadNews | LeftNews

Held = dict[str, Counter]
"""Named revisions that the sender itself holds, for example of the configuration."""

# --- messages ---------------------------------------------------------------------------


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Ask ``target`` for an Ack; another member that now has the address ignores it."""

    sequence: int
    target: str
    news: tuple[News, ...] = ()
    held: Held = {}


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """Answer to a Ping, or to a PingRequest whose target answered the helper."""

    sequence: int
    news: tuple[News, ...] = ()
    held: Held = {}


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Ask a helper to ping ``target`` on the sender's behalf."""

    sequence: int
    target: str
    target_address: str
    news: tuple[News, ...] = ()
    held: Held = {}


class Nack(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """The helper is healthy but its ping was not answered."""

    sequence: int


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag="g"):
    """News and held revisions alone; needs no answer."""

    news: tuple[News, ...] = ()
    held: Held = {}


class Join(msgspec.Struct, frozen=True, array_like=True, tag="j"):
    """A daemon asks a seed for its whole table."""

    news: tuple[News, ...]
    held: Held = {}


class SyncDigest(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Hash of the sender's whole table; an equal one needs no answer."""

    digest: int
    held: Held = {}


class SyncBuckets(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Hash of each bucket of the sender's table, answer to a differing SyncDigest."""

    digests: tuple[int, ...]


class SyncRows(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Rows of the listed buckets; all of them when ``buckets`` is empty."""

    buckets: tuple[int, ...]
    alive: tuple[AliveNews, ...]
    gone: tuple[DeadNews | LeftNews, ...]
    reply: bool
    """The receiver should send its own rows of these buckets back."""
    held: Held = {}


Message = Ping | Ack | PingRequest | Nack | Gossip | Join | SyncDigest | SyncBuckets | SyncRows


class Outgoing(msgspec.Struct, frozen=True):
    """A message to be sent to the peer port at ``address``."""

    address: str
    message: Message


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the JSON form of a message."""
    return _encoder.encode(message)


def decode_message(payload: bytes) -> Message:
    """Return the message; raises ``msgspec.MsgspecError`` when it is none."""
    return _decoder.decode(payload)


def encoded_size_bytes(news: News) -> int:
    """Return the size of one piece of news inside a message."""
    return len(_encoder.encode(news)) + 1
