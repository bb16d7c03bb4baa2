"""One TCP connection between two peer ports: handshake, then frames in both directions.

Both ends send Hello first.  With a credential each end proves that it knows it by
an HMAC over the other's nonce; the credential itself never travels.  Frames queued
before the handshake ends go out after it.
"""

from __future__ import annotations

import asyncio
import hmac
from collections.abc import Callable

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from passgate.clock import monotonic_s
from passgate.errors import (
    PeerConnectionLost,
    PeerCredentialRefused,
    PeerError,
    PeerMalformedFrame,
    PeerUnreachable,
)
from passgate.peers.frames import (
    PROTOCOL_VERSION,
    Frame,
    FrameDecoder,
    Goodbye,
    Hello,
    Proof,
    encode_frame,
)
from passgate.peers.transport import TrafficCounters

HANDSHAKE_TIMEOUT_S = 5.0
"""Time for both greetings on a new connection."""
READ_CHUNK_BYTES = 65536
"""Most bytes taken from a connection at once."""
QUEUED_BEFORE_HANDSHAKE_MAXIMUM = 256
"""Frames kept while the handshake runs; further ones are dropped."""

CONNECTING = "connecting"
ACCEPTING = "accepting"


def proof_digest(credential: str, role: str, nonce: str) -> str:
    """Return the proof that the end in ``role`` knows the credential.

    The role keeps an attacker from returning an end's own proof to it.
    """
    return hmac.new(credential.encode(), f"passgate-peer|{role}|{nonce}".encode(), "sha256").hexdigest()


class PeerConnection:
    """Reads and writes frames; reports each frame and the end to its owner."""

    def __init__(
        self,
        stream: IOStream,
        role: str,
        hello: Hello,
        credential: str,
        counters: TrafficCounters,
        on_ready: Callable[[PeerConnection], None],
        on_frame: Callable[[PeerConnection, Frame], None],
        connect_to: tuple[str, int] | None = None,
    ) -> None:
        self.peer_address = ""
        """The peer's port as its Hello states it; empty before the handshake ends."""
        self.error: PeerError | None = None
        """Why the connection ended."""
        self.busy = 0
        """Calls open or being answered on it."""
        self.heard_s = monotonic_s()
        """When bytes came last, or the connection was made."""
        self._stream = stream
        self._role = role
        self._hello = hello
        self._credential = credential
        self._counters = counters
        self._on_ready = on_ready
        self._on_frame = on_frame
        self._connect_to = connect_to
        self._peer_hello: Hello | None = None
        self._ready = False
        self._queued: list[Frame] = []

    @property
    def ready(self) -> bool:
        """Return whether the handshake was completed, so that frames were sent."""
        return self._ready

    @property
    def closed(self) -> bool:
        """Return whether no frame can be sent any more."""
        return self._stream.closed()

    def send(self, frame: Frame) -> bool:
        """Send a frame, after the handshake if need be; False when it was dropped."""
        if self.closed:
            return False
        if self._ready:
            return self._write(frame)
        if len(self._queued) >= QUEUED_BEFORE_HANDSHAKE_MAXIMUM:
            return False
        self._queued.append(frame)
        return True

    def close(self) -> None:
        """Close at once."""
        self._stream.close()

    async def run(self) -> None:
        """Shake hands and read frames until the connection ends; sets ``error``."""
        loop = asyncio.get_running_loop()
        deadline = loop.call_later(HANDSHAKE_TIMEOUT_S, self._end_unless_ready)
        try:
            if self._connect_to is not None:
                await self._stream.connect(self._connect_to)
            self._write(self._hello)
            await self._read()
        except (StreamClosedError, OSError):
            self.error = self.error or self._lost()
        except PeerError as error:
            self._end_with(error)
        finally:
            deadline.cancel()
            self._counters.frames_dropped += len(self._queued)
            self._queued.clear()
            self._stream.close()

    async def _read(self) -> None:
        decoder = FrameDecoder()
        while True:
            data = await self._stream.read_bytes(READ_CHUNK_BYTES, partial=True)
            self._counters.bytes_received += len(data)
            self.heard_s = monotonic_s()
            for frame in decoder.feed(data):
                self._counters.frames_received += 1
                self._receive(frame)

    def _receive(self, frame: Frame) -> None:
        if isinstance(frame, Goodbye):
            raise _error_of_goodbye(frame)
        if self._ready:
            if isinstance(frame, Hello | Proof):
                raise PeerMalformedFrame("second handshake")
            self._on_frame(self, frame)
        elif isinstance(frame, Hello) and self._peer_hello is None:
            self._receive_hello(frame)
        elif isinstance(frame, Proof) and self._peer_hello is not None:
            self._receive_proof(frame)
        else:
            raise PeerMalformedFrame("frame before the handshake")

    def _receive_hello(self, hello: Hello) -> None:
        if hello.version != PROTOCOL_VERSION:
            raise PeerMalformedFrame(f"protocol version {hello.version}")
        if bool(hello.nonce) != bool(self._credential):
            raise PeerCredentialRefused("only one side has a credential")
        self._peer_hello = hello
        if self._credential:
            self._write(Proof(proof_digest(self._credential, self._role, hello.nonce)))
        else:
            self._become_ready()

    def _receive_proof(self, proof: Proof) -> None:
        other_role = ACCEPTING if self._role == CONNECTING else CONNECTING
        expected = proof_digest(self._credential, other_role, self._hello.nonce)
        if not hmac.compare_digest(expected, proof.digest):
            raise PeerCredentialRefused("wrong credential")
        self._become_ready()

    def _become_ready(self) -> None:
        assert self._peer_hello is not None, "hello comes first"
        self._ready = True
        self.peer_address = self._peer_hello.address
        self._on_ready(self)
        queued, self._queued = self._queued, []
        for frame in queued:
            self._write(frame)

    def _write(self, frame: Frame) -> bool:
        data = encode_frame(frame)
        try:
            written = self._stream.write(data)
        except (StreamBufferFullError, StreamClosedError):
            return False
        written.add_done_callback(_ignore_outcome)
        self._counters.frames_sent += 1
        self._counters.bytes_sent += len(data)
        return True

    def _end_unless_ready(self) -> None:
        if not self._ready:
            self.error = PeerUnreachable("handshake timed out")
            self._stream.close()

    def _lost(self) -> PeerError:
        # Calls wait for the handshake, so before its end nothing of them was sent.
        if self._ready:
            return PeerConnectionLost("connection closed")
        return PeerUnreachable("connection closed before the handshake ended")

    def _end_with(self, error: PeerError) -> None:
        self.error = error
        if isinstance(error, PeerCredentialRefused):
            self._counters.refused += 1
        elif isinstance(error, PeerMalformedFrame):
            self._counters.malformed += 1
        self._write(Goodbye(error.code))


def _error_of_goodbye(frame: Goodbye) -> PeerError:
    for kind in (PeerCredentialRefused, PeerMalformedFrame):
        if frame.code == kind.code:
            return kind("said by the peer")
    return PeerConnectionLost(f"peer closed: {frame.code}")


def _ignore_outcome(written: asyncio.Future) -> None:
    # The reading side notices a lost connection; here the error is only marked as seen.
    if not written.cancelled():
        written.exception()
