"""Frames of peer connections, encoded as netstrings of JSON, and their incremental decoder.

>>> decoder = FrameDecoder()
>>> decoder.feed(encode_frame(Proof(digest="ab")))
[Proof(digest='ab')]
"""

from __future__ import annotations

import msgspec
import pynetstring

from passgate.errors import PeerMalformedFrame

MAXIMUM_FRAME_BYTES = 1 << 20
"""Largest JSON document of one frame; a larger one closes the connection."""

MAXIMUM_PAYLOAD_BYTES = 700_000
"""Largest payload of a call or an answer; its encoding in base64, a third larger, has to fit into a frame."""

PROTOCOL_VERSION = 1


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """First frame that each side sends."""

    version: int
    address: str
    """Address of the sender's peer port, which identifies it to its peers."""
    nonce: str = ""
    """Random challenge for the other side's Proof; empty without a credential."""


class Proof(msgspec.Struct, frozen=True, tag="proof"):
    """Second frame of each side if a credential is configured: proves that the side knows the credential."""

    digest: str
    """HMAC over the sender's role and the other side's nonce, in hexadecimal."""


class OneWay(msgspec.Struct, frozen=True, tag="m"):
    """A message without an answer."""

    body: msgspec.Raw


class CallRequest(msgspec.Struct, frozen=True, tag="c"):
    """A call; ``call_id`` is unique among the open calls of the sending side."""

    call_id: int
    method: str
    payload: bytes


class CallReply(msgspec.Struct, frozen=True, tag="r"):
    """Successful answer to a call."""

    call_id: int
    payload: bytes


class CallFailure(msgspec.Struct, frozen=True, tag="f"):
    """Error answer to a call: the code and message of the error that the other side's handler raised."""

    call_id: int
    code: str
    message: str


class Goodbye(msgspec.Struct, frozen=True, tag="bye"):
    """Last frame on a connection that the sender closes because of an error."""

    code: str
    """Code of the PeerError, for example ``peer_credential_refused``."""


Frame = Hello | Proof | OneWay | CallRequest | CallReply | CallFailure | Goodbye

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of one frame."""
    return pynetstring.encode(_encoder.encode(frame))


class FrameDecoder:
    """Decodes a byte stream into frames; must not be used again after an error."""

    def __init__(self, maximum_bytes: int = MAXIMUM_FRAME_BYTES) -> None:
        self._netstrings = pynetstring.Decoder(maximum_bytes)

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames completed by ``data``; raises PeerMalformedFrame."""
        try:
            return [_decoder.decode(document) for document in self._netstrings.feed(data)]
        except (pynetstring.NetstringException, msgspec.MsgspecError) as error:
            raise PeerMalformedFrame(str(error)) from error
