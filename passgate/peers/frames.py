"""Frames on a peer connection: netstrings of JSON, and their incremental decoder.

>>> decoder = FrameDecoder()
>>> decoder.feed(encode_frame(Proof(digest="ab")))
[Proof(digest='ab')]
"""

from __future__ import annotations

import msgspec
import pynetstring

from passgate.errors import PeerMalformedFrame

MAXIMUM_FRAME_BYTES = 1 << 20
"""Largest JSON document in one frame; a larger one closes the connection."""

MAXIMUM_PAYLOAD_BYTES = 700_000
"""Largest payload of a call or its answer; base64 in JSON makes it a third larger."""

PROTOCOL_VERSION = 1


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """First frame in both directions."""

    version: int
    address: str
    """Peer port of the sender, to which answers and later messages go."""
    nonce: str = ""
    """Random challenge for the other side's Proof; empty without a credential."""


class Proof(msgspec.Struct, frozen=True, tag="proof"):
    """Second frame when a credential is configured; the credential itself never travels."""

    digest: str


class OneWay(msgspec.Struct, frozen=True, tag="m"):
    """A message without answer."""

    body: msgspec.Raw


class CallRequest(msgspec.Struct, frozen=True, tag="c"):
    """A call; ``call_id`` is unique among the open calls of the sending side."""

    call_id: int
    method: str
    payload: bytes


class CallReply(msgspec.Struct, frozen=True, tag="r"):
    """Answer to a call."""

    call_id: int
    payload: bytes


class CallFailure(msgspec.Struct, frozen=True, tag="f"):
    """A call ended with an error on the answering side."""

    call_id: int
    code: str
    message: str


class Goodbye(msgspec.Struct, frozen=True, tag="bye"):
    """Why the sender is about to close the connection."""

    code: str


Frame = Hello | Proof | OneWay | CallRequest | CallReply | CallFailure | Goodbye

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of one frame."""
    return pynetstring.encode(_encoder.encode(frame))


class FrameDecoder:
    """Turns received bytes into frames; after an error it must not be used again."""

    def __init__(self, maximum_bytes: int = MAXIMUM_FRAME_BYTES) -> None:
        self._netstrings = pynetstring.Decoder(maximum_bytes)

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames completed by ``data``; raises PeerMalformedFrame."""
        try:
            return [_decoder.decode(document) for document in self._netstrings.feed(data)]
        except (pynetstring.NetstringException, msgspec.MsgspecError) as error:
            raise PeerMalformedFrame(str(error)) from error
